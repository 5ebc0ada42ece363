"""The dispatcher of a zone: chooses engines for the sends of all its gateways.

The aggregator of a zone is its dispatcher. It counts each send from the moment at which
it names the endpoint, so no two gateways choose the same engine on the same old news.
What it knows is soft: a dispatcher that starts knows nothing of earlier sends, which
their gateways count themselves from then on.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.aggregators import LIFETIME
from sassafrasdale.gateway.assignment import Ask, Assigned, Ended, FirstToken, Notes
from sassafrasdale.gateway.fleet import Fleet
from sassafrasdale.gateway.tickets import Attempt

log = Logger("dispatcher")

# A send that its gateway doesn't list as open has ended, and the note was lost; the
# answer to a question that was just asked may still be on its way.
UNLISTED = timedelta(seconds=1)


@dataclass(slots=True)
class _Sends:
    """Sends of one incarnation of a gateway, by number."""

    incarnation: int
    heard_at: timedelta
    tickets: dict[int, Attempt] = field(default_factory=dict)


class Dispatcher:
    """Names endpoints to other gateways, and follows what becomes of their sends.

    :param fleet: chooses, and counts what is under way.
    :param clock: source of elapsed time.
    """

    def __init__(self, fleet: Fleet, clock: Clock) -> None:
        self._fleet = fleet
        self._clock = clock
        self._gateways: dict[str, _Sends] = {}

    def assign(self, ask: Ask) -> Assigned | None:
        """Return the endpoint for a send; None if there is none."""
        again = bool(ask.tried)
        attempt = self._fleet.begin_here(
            ask.service, ask.traits, ask.tried, again=again
        )
        if attempt is None:
            return None
        sends = self._sends(ask.gateway, ask.incarnation)
        sends.tickets[ask.number] = attempt
        source = attempt.source
        return Assigned(
            attempt.record.name,
            "" if source is None else source.name,
            attempt.unread_tokens,
            max(attempt.queued_tokens, 0),
        )

    def note(self, notes: Notes) -> None:
        """Take what became of a gateway's sends."""
        sends = self._sends(notes.gateway, notes.incarnation)
        for first in notes.first:
            self._note_first(sends, first)
        for ended in notes.ended:
            self._note_end(sends, ended)

    def reconcile(
        self, gateway: str, incarnation: int, open_sends: Collection[int]
    ) -> None:
        """Drop the sends of a gateway that it doesn't list as open."""
        sends = self._sends(gateway, incarnation)
        now = self._clock.elapsed()
        listed = frozenset(open_sends)
        for number, attempt in list(sends.tickets.items()):
            if number not in listed and now - attempt.began_at > UNLISTED:
                self._fleet.end_here(sends.tickets.pop(number))

    def forget_silent(self) -> None:
        """Drop the sends of gateways that have fallen silent."""
        now = self._clock.elapsed()
        for gateway, sends in list(self._gateways.items()):
            if now - sends.heard_at > LIFETIME:
                self._drop(gateway)

    def lay_down(self) -> None:
        """Drop all sends: another gateway is the dispatcher from now on."""
        for gateway in list(self._gateways):
            self._drop(gateway)

    def _sends(self, gateway: str, incarnation: int) -> _Sends:
        now = self._clock.elapsed()
        sends = self._gateways.get(gateway)
        if sends is not None and sends.incarnation != incarnation:
            self._drop(gateway)
            sends = None
        if sends is None:
            sends = self._gateways[gateway] = _Sends(incarnation, now)
        sends.heard_at = now
        return sends

    def _note_first(self, sends: _Sends, first: FirstToken) -> None:
        attempt = sends.tickets.get(first.number)
        if attempt is None:
            return
        seconds = first.took_s
        took = None if seconds is None else timedelta(seconds=seconds)
        self._fleet.first_here(attempt, took)

    def _note_end(self, sends: _Sends, ended: Ended) -> None:
        attempt = sends.tickets.pop(ended.number, None)
        if attempt is not None:
            self._fleet.end_here(attempt)
            pause = timedelta(seconds=ended.pause_s)
            self._fleet.observe(attempt.record, ended.end, pause)

    def _drop(self, gateway: str) -> None:
        sends = self._gateways.pop(gateway)
        if sends.tickets:
            log.info("sends dropped", gateway=gateway, sends=len(sends.tickets))
        for attempt in sends.tickets.values():
            self._fleet.end_here(attempt)
