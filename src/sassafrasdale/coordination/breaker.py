"""Circuit breaker in front of an outside system."""

from datetime import timedelta
from random import Random

from sassafrasdale.clock import Clock

FAILURES_TO_OPEN = 2
FIRST_PAUSE = timedelta(milliseconds=250)
LONGEST_PAUSE = timedelta(seconds=2)
JITTER = 0.2


class Breaker:
    """Refuses calls for a while after several failures in a row.

    An outage shows as calls that each wait for their whole timeout. Once it is
    known, later calls are refused at once; after a pause a single call is let
    through as a probe while the others are still refused.

    Usage::

        if (pause := breaker.refusal()) is not None:
            raise StoreNotReached(retry_after=pause)

    :param clock: source of elapsed time.
    :param rng: source of jitter, so that a fleet's probes spread out.
    """

    def __init__(self, clock: Clock, rng: Random) -> None:
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self._pause = FIRST_PAUSE
        self._open_until: timedelta | None = None

    @property
    def is_open(self) -> bool:
        """Whether calls are refused, save for a probe."""
        return self._open_until is not None

    @property
    def pause(self) -> timedelta:
        """Time after which a refused call is worth trying again."""
        if self._open_until is None:
            return FIRST_PAUSE
        return max(FIRST_PAUSE, self._open_until - self._clock.elapsed())

    def refusal(self, *, may_probe: bool = True) -> timedelta | None:
        """Return when to come back, or None if the call may go ahead.

        :param may_probe: whether the call may be the probe of an open breaker.

        A call let through by an open breaker is the probe; the next one is only
        let through after another pause, or once the probe has succeeded.
        """
        if self._open_until is None:
            return None
        if not may_probe or self._clock.elapsed() < self._open_until:
            return self.pause
        self._open_until = self._clock.elapsed() + self._jittered_pause()
        return None

    def record_success(self) -> None:
        """Close the breaker."""
        self._failures = 0
        self._pause = FIRST_PAUSE
        self._open_until = None

    def record_failure(self) -> None:
        """Count a failure, and open the breaker if there were several in a row."""
        self._failures += 1
        if self._failures < FAILURES_TO_OPEN:
            return
        self._open_until = self._clock.elapsed() + self._jittered_pause()
        self._pause = min(self._pause * 2, LONGEST_PAUSE)

    def _jittered_pause(self) -> timedelta:
        return self._pause * self._rng.uniform(1 - JITTER, 1 + JITTER)
