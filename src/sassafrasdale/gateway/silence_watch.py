"""Evidence about a response that does not go on."""

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Protocol

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.silence import (
    MIN_SILENCE,
    STALL_TIME,
    CollectEvidence,
    Responsiveness,
    Silence,
    SilenceVerdict,
    judge,
)
from sassafrasdale.gateway.directory import EndpointRecord

# An endpoint that has sent bytes this recently need not be checked.
FRESH = timedelta(milliseconds=90)

# Time for which the alternatives count as unchanged. An endpoint is asked for anew as a
# hedge starts.
ALTERNATIVES_TTL = timedelta(milliseconds=500)

Records = Sequence[EndpointRecord]


class EndpointChecks(Protocol):
    """Checks whether endpoints respond to this gateway, or to its peers."""

    def begin_checks(self, records: Records) -> None:
        """Begin checks of some endpoints."""

    def can_check(self, record: EndpointRecord) -> bool:
        """Return whether a check shows that an endpoint responds."""


class SilenceWatch:
    """Watches one attempt's response for silence.

    :param record: the attempt's endpoint.
    :param alternatives: returns the endpoints that could take over.
    :param is_link_lost: returns whether the link to the endpoint is known to be lost.
    :param is_engine: whether the endpoint is an engine.
    :param checks: checks whether endpoints respond.
    :param clock: source of elapsed time.
    """

    def __init__(
        self,
        record: EndpointRecord,
        alternatives: Callable[[], Records],
        is_link_lost: Callable[[EndpointRecord], bool],
        checks: EndpointChecks,
        clock: Clock,
        *,
        is_engine: bool,
    ) -> None:
        self._is_engine = is_engine
        self._record = record
        self._alternatives = alternatives
        self._is_link_lost = is_link_lost
        self._checks = checks
        self._clock = clock
        self._responsiveness = Responsiveness()
        self._progress_at = clock.elapsed()
        self._has_begun = False
        self._stall_time = STALL_TIME
        self._last: Silence | None = None
        self._known_alternatives: Records = ()
        self._alternatives_until = timedelta()

    @property
    def last(self) -> Silence | None:
        """The silence that was judged last."""
        return self._last

    @property
    def quiet_in(self) -> timedelta:
        """Time until the response will have made no progress for long enough to judge.

        Zero or less if that is so now.
        """
        return self._progress_at + MIN_SILENCE - self._clock.elapsed()

    @property
    def has_begun(self) -> bool:
        """Whether the response has begun."""
        return self._has_begun

    def note_progress(self, stall_time: timedelta = STALL_TIME) -> None:
        """Record that the response has begun, or has made progress.

        :param stall_time: time without progress after which it counts as stalled.
        """
        self._has_begun = True
        self._progress_at = self._clock.elapsed()
        self._stall_time = stall_time
        self._last = None

    def judge(self) -> SilenceVerdict:
        """Return what the silence justifies now, and collect evidence if it is due."""
        now = self._clock.elapsed()
        verdict = self._judge(now, {})
        if verdict == CollectEvidence():
            verdict = self._judge(now, self._sample(now))
        return verdict

    def unresponsive(self) -> set[str]:
        """Return the alternatives that are not known to respond.

        Where the link is lost, others may be reached through a peer.
        """
        if self._is_link_lost(self._record):
            return set()
        now = self._clock.elapsed()
        responding = self._responsiveness.responding(now)
        return {each.name for each in self._records(now)} - responding.keys()

    def _judge(
        self, now: timedelta, responding: dict[str, timedelta]
    ) -> SilenceVerdict:
        received_at = self._record.pool.received_at
        self._last = Silence(
            now - self._progress_at,
            self._has_begun,
            None if received_at is None else now - received_at,
            max(responding.values(), default=None),
            self._is_link_lost(self._record),
            self._is_engine,
            self._stall_time,
        )
        return judge(self._last)

    def _sample(self, now: timedelta) -> dict[str, timedelta]:
        """Return the alternatives that respond; check some if none has just done so."""
        records = self._records(now)
        responded_at = {each.name: self._last_response(each, now) for each in records}
        self._responsiveness.sample(responded_at, now)
        responding = self._responsiveness.responding(now)
        if not any(at and now - at < FRESH for at in responded_at.values()):
            responders = [each for each in records if each.name in responding]
            self._checks.begin_checks(responders or records)
        return responding

    def _last_response(
        self, record: EndpointRecord, now: timedelta
    ) -> timedelta | None:
        """Return when an endpoint last showed that it responds.

        One that can't be checked, and owes no response, is taken for responding.
        """
        if record.connections or self._checks.can_check(record):
            return record.responded_at
        return now

    def _records(self, now: timedelta) -> Records:
        """Return the alternatives, as of a moment ago."""
        if now >= self._alternatives_until:
            self._known_alternatives = self._alternatives()
            self._alternatives_until = now + ALTERNATIVES_TTL
        return self._known_alternatives
