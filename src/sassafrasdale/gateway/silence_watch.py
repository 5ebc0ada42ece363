"""Evidence about a response that does not go on."""

from collections.abc import Callable, Sequence
from datetime import timedelta

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

Records = Sequence[EndpointRecord]


class SilenceWatch:
    """Watches one attempt's response for silence.

    :param record: the attempt's endpoint.
    :param alternatives: returns the endpoints that could take over.
    :param is_link_lost: returns whether the link to the endpoint is known to be lost.
    :param begin_checks: begins checks whether endpoints respond.
    :param clock: source of elapsed time.
    """

    def __init__(
        self,
        record: EndpointRecord,
        alternatives: Callable[[], Records],
        is_link_lost: Callable[[EndpointRecord], bool],
        begin_checks: Callable[[Records], None],
        clock: Clock,
    ) -> None:
        self._record = record
        self._alternatives = alternatives
        self._is_link_lost = is_link_lost
        self._begin_checks = begin_checks
        self._clock = clock
        self._responsiveness = Responsiveness()
        self._progress_at = clock.elapsed()
        self._has_begun = False
        self._patience = STALL_TIME
        self._last: Silence | None = None

    @property
    def last(self) -> Silence | None:
        """The silence that was judged last."""
        return self._last

    @property
    def is_quiet(self) -> bool:
        """Whether the response has made no progress for long enough to be judged."""
        return self._clock.elapsed() - self._progress_at >= MIN_SILENCE

    @property
    def has_begun(self) -> bool:
        """Whether the response has begun."""
        return self._has_begun

    def note_progress(self, patience: timedelta = STALL_TIME) -> None:
        """Record that the response has begun, or has made progress.

        :param patience: time without progress that is usual from now on.
        """
        self._has_begun = True
        self._progress_at = self._clock.elapsed()
        self._patience = max(patience, STALL_TIME)
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
        responding = self._responsiveness.responding(self._clock.elapsed())
        return {each.name for each in self._alternatives()} - responding.keys()

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
            self._patience,
        )
        return judge(self._last)

    def _sample(self, now: timedelta) -> dict[str, timedelta]:
        """Return the alternatives that respond; check some if none has just done so."""
        records = self._alternatives()
        received_at = {each.name: each.pool.received_at for each in records}
        self._responsiveness.sample(received_at, now)
        responding = self._responsiveness.responding(now)
        if not any(at and now - at < FRESH for at in received_at.values()):
            responders = [each for each in records if each.name in responding]
            self._begin_checks(responders or records)
        return responding
