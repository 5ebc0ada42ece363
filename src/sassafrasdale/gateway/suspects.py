"""Requests under which endpoints have ended, as one gateway deals with them."""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.quarantine import (
    HeldStrike,
    Strike,
    StrikeLedger,
    trial_scope,
)
from sassafrasdale.gateway.crash_detection import Endings
from sassafrasdale.gateway.directory import EndpointRecord
from sassafrasdale.gateway.fingerprints import fingerprint
from sassafrasdale.gateway.trials import Trials
from sassafrasdale.gateway.usage import TrueTime
from sassafrasdale.green import spawn
from sassafrasdale.http.connections import Reach
from sassafrasdale.http.messages import Request

log = Logger("suspects")

# The list shows an end within seconds: the entry lapses, or tells a later start.
REMEMBERED = timedelta(seconds=10)
# Sends that lost their endpoint without a sign of its end, and are remembered.
MOST_LOST = 500


@dataclass(frozen=True, slots=True)
class Run:
    """A request's run at an endpoint, that ended without an answer.

    :param version: of the endpoint's software.
    :param begun: whether the run had handed out events.
    """

    fingerprint: str
    endpoint: str
    version: str
    begun: bool


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a request may be sent to endpoints.

    :param fingerprint: of the request; empty where nothing is held against any.
    :param refused: whether no endpoint may get it.
    :param avoided: endpoints that may not get it.
    """

    fingerprint: str = ""
    refused: bool = False
    avoided: frozenset[str] = frozenset()


NOTHING_AGAINST_IT = Verdict()


class Suspects:
    """Notes which requests endpoints ended under, and refuses those that end them.

    :param name: this gateway's name.
    :param ledger: strikes of all gateways.
    :param trials: tries of refused requests, of all gateways.
    :param time: true time, which strikes are dated by.
    :param count: counts an event for the metrics.
    """

    def __init__(
        self,
        name: str,
        ledger: StrikeLedger,
        trials: Trials,
        time: TrueTime,
        clock: Clock,
        count: Callable[[str], None],
    ) -> None:
        self._name = name
        self._ledger = ledger
        self._trials = trials
        self._time = time
        self._clock = clock
        self._count = count
        self._endings = Endings(clock)
        self._lost: list[tuple[timedelta, Run]] = []
        self._quarantined: frozenset[str] = frozenset()

    def verdict(
        self, request: Request, customer: str, endpoints: Collection[EndpointRecord]
    ) -> Verdict:
        """Return whether a request may be sent to endpoints.

        :param customer: name of the customer; empty for a public route.
        :param endpoints: those that it might be sent to.
        """
        if not self._ledger.quarantined:
            return NOTHING_AGAINST_IT
        name = fingerprint(request, customer)
        if name not in self._ledger.quarantined:
            return Verdict(name)
        strikes = self._ledger.open_strikes(name)
        met = {held.strike.version for held in strikes}
        versions = {record.name: record.endpoint.version for record in endpoints}
        scope = trial_scope(met, versions)
        if self._trials.take(name, strikes[-1].strike.at, has_new=scope.has_new):
            return Verdict(name, avoided=scope.avoided)
        self._count("quarantined request refused")
        return Verdict(name, refused=True)

    def lost(
        self, name: str, record: EndpointRecord, *, begun: bool, listed: bool
    ) -> bool:
        """Take that a request's connection was lost, and return whether by an end.

        An endpoint that is leaving ends as planned, whatever it runs.

        :param name: the request's fingerprint.
        :param begun: whether the endpoint had handed out events for it.
        :param listed: whether the endpoint is listed as one that takes requests.
        """
        run = Run(name, record.name, record.endpoint.version, begun)
        now = self._clock.elapsed()
        has_ended = record.is_unreachable or self._endings.has_ended(record)
        if not listed and not record.is_unreachable:
            return has_ended
        if has_ended:
            self._strike(run, now)
            return True
        self._lost = [kept for kept in self._lost if now - kept[0] <= REMEMBERED]
        self._lost = [*self._lost, (now, run)][-MOST_LOST:]
        return False

    def vanished(self, record: EndpointRecord) -> None:
        """Take that an endpoint's entry is gone, though it didn't say that it leaves.

        Where its instance has lost power no connection is reset, and what it ran would
        wait to its deadline.
        """
        has_lost = any(run.endpoint == record.name for _, run in self._lost)
        if record.connections or has_lost:
            spawn(self._look_after, record)

    def _look_after(self, record: EndpointRecord) -> None:
        reach = self._endings.look_often(record)
        if reach is Reach.OPEN:
            # It has lost the store, or leaves.
            return
        self.ended(record.name)
        if reach is Reach.UNANSWERED and record.connections:
            self._break_off(record)

    def _break_off(self, record: EndpointRecord) -> None:
        log.notice(
            "endpoint gone dark", endpoint=record.name, runs=len(record.connections)
        )
        record.is_unreachable = True
        for connection in list(record.connections):
            connection.close()

    def ended(self, endpoint: str) -> None:
        """Take that an endpoint has ended, which had lost connections before."""
        now = self._clock.elapsed()
        lost, self._lost = self._lost, []
        for lost_at, run in lost:
            if run.endpoint != endpoint:
                self._lost.append((lost_at, run))
            elif now - lost_at <= REMEMBERED:
                self._strike(run, lost_at)

    def ended_well(self, request: Request, customer: str) -> None:
        """Take that an endpoint has run a request to its end."""
        if not len(self._ledger):
            return
        name = fingerprint(request, customer)
        if self._ledger.clear(name):
            log.info("strikes cleared", fingerprint=name, why="answered")
            self.note_changes()

    def lift(self, name: str) -> bool:
        """Let a request through again, as an operator asks."""
        lifted = self._ledger.clear(name)
        if lifted:
            log.notice("strikes cleared", fingerprint=name, why="lifted by an operator")
            self.note_changes()
        return lifted

    def may_send_again(self, name: str) -> bool:
        """Return whether one attempt may go on to another endpoint."""
        return self._ledger.may_send_again(name)

    def note_changes(self) -> None:
        """Log which requests have come into quarantine, or out of it."""
        now = self._ledger.quarantined
        for name in sorted(now - self._quarantined):
            self._count("request quarantined")
            ends = self._described(self._ledger.open_strikes(name))
            log.warning("request quarantined", fingerprint=name, ends=ends)
        for name in sorted(self._quarantined - now):
            log.notice("quarantine ended", fingerprint=name)
        self._quarantined = now

    def described(self) -> list[dict[str, object]]:
        """Return the requests that strikes count against, for an operator."""
        return [
            {
                "fingerprint": strikes[0].strike.fingerprint,
                "quarantined": strikes[0].strike.fingerprint in self._quarantined,
                "ends": self._described(strikes),
            }
            for strikes in (
                [held for held in all_held if held.is_open]
                for all_held in self._ledger.by_request()
            )
            if strikes
        ]

    def _described(self, strikes: Iterable[HeldStrike]) -> list[dict[str, object]]:
        now = self._time.seconds
        return [
            {
                "endpoint": held.strike.endpoint,
                "version": held.strike.version,
                "witness": held.strike.witness,
                "age_s": round(now - held.strike.at, 3),
                "begun": held.strike.begun,
            }
            for held in strikes
        ]

    def _strike(self, run: Run, lost_at: timedelta) -> None:
        self._count("endpoint ended under a request")
        since = (self._clock.elapsed() - lost_at).total_seconds()
        strike = Strike(
            run.fingerprint,
            run.endpoint,
            run.version,
            run.begun,
            self._time.seconds - since,
            self._name,
        )
        self._ledger.take(strike)
        self.note_changes()
