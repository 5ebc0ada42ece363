"""Retry-after times for requests that are shed."""

from datetime import timedelta
from random import Random

from sassafrasdale.decisions.backoff import spread_retry_after


class RetryTimes:
    """Schedules the retries of shed requests as a queue of their own.

    The queue drains at the service's rate. If all callers got the same time, they would
    retry together and be shed again until they give up.

    :param rng: source of randomness for the jitter.
    :param max_retry_after: maximum retry-after time, before jitter.
    :param spread: width of the jitter, as a multiple of the time.
    """

    def __init__(self, rng: Random, max_retry_after: timedelta, spread: float) -> None:
        self._rng = rng
        self._max_retry_after = max_retry_after
        self._spread = spread
        self._count = 0.0
        self._updated = timedelta()

    def reserve(self, now: timedelta, waiting: int, rate: float) -> timedelta:
        """Schedule one more retry and return its retry-after time.

        :param waiting: requests in the queue now.
        :param rate: requests per second that the entry completes.
        """
        drained = (now - self._updated).total_seconds() * rate
        maximum = self._max_retry_after.total_seconds() * rate
        self._count = min(max(self._count - drained, 0.0) + 1, maximum)
        self._updated = now
        seconds = (waiting + self._count) / rate
        return spread_retry_after(timedelta(seconds=seconds), self._rng, self._spread)
