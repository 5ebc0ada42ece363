"""Circuit breaker for calls to an external service."""

from datetime import timedelta
from random import Random

from sassafrasdale.clock import Clock

FAILURES_TO_OPEN = 2
INITIAL_DELAY = timedelta(milliseconds=250)
MAX_DELAY = timedelta(seconds=2)
JITTER = 0.2


class CircuitBreaker:
    """Rejects calls for some time after consecutive failures.

    During an outage each call waits for its full timeout. An open breaker rejects
    calls immediately instead; after a delay it lets a single call through as a
    probe and goes on rejecting the others.

    Usage::

        if (delay := breaker.check()) is not None:
            raise StoreNotReached(retry_after=delay)

    :param clock: source of elapsed time.
    :param rng: source of jitter, so that entries don't probe at the same time.
    """

    def __init__(self, clock: Clock, rng: Random) -> None:
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self._delay = INITIAL_DELAY
        self._open_until: timedelta | None = None

    @property
    def is_open(self) -> bool:
        """Whether the breaker rejects all calls but a probe."""
        return self._open_until is not None

    @property
    def retry_after(self) -> timedelta:
        """Time after which a rejected call may be retried."""
        if self._open_until is None:
            return INITIAL_DELAY
        return max(INITIAL_DELAY, self._open_until - self._clock.elapsed())

    def check(self, *, may_probe: bool = True) -> timedelta | None:
        """Return the delay before a retry, or None if the call is allowed.

        :param may_probe: whether the call may be the probe of an open breaker.

        A call that an open breaker allows is the probe; the next one is allowed
        after another delay, or once the probe has succeeded.
        """
        if self._open_until is None:
            return None
        if not may_probe or self._clock.elapsed() < self._open_until:
            return self.retry_after
        self._open_until = self._clock.elapsed() + self._jittered_delay()
        return None

    def record_success(self) -> None:
        """Close the breaker."""
        self._failures = 0
        self._delay = INITIAL_DELAY
        self._open_until = None

    def record_failure(self) -> None:
        """Count a failure, and open the breaker after FAILURES_TO_OPEN in a row."""
        self._failures += 1
        if self._failures < FAILURES_TO_OPEN:
            return
        self._open_until = self._clock.elapsed() + self._jittered_delay()
        self._delay = min(self._delay * 2, MAX_DELAY)

    def _jittered_delay(self) -> timedelta:
        return self._delay * self._rng.uniform(1 - JITTER, 1 + JITTER)
