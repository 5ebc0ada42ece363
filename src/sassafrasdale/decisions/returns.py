"""When callers that are turned away should come back."""

from datetime import timedelta
from random import Random

from sassafrasdale.decisions.backoff import spread_retry_after


class Returns:
    """Counts the callers that were told to come back as a queue of their own.

    The queue drains at the service's rate. With the same time for all, callers
    would come back together and be turned away again until they give up.

    :param rng: source of randomness, to spread the times.
    :param longest: longest time that is given, before the spread.
    :param spread: width of the spread, as a multiple of the time.
    """

    def __init__(self, rng: Random, longest: timedelta, spread: float) -> None:
        self._rng = rng
        self._longest = longest
        self._spread = spread
        self._count = 0.0
        self._updated = timedelta()

    def book(self, now: timedelta, waiting: int, rate: float) -> timedelta:
        """Return when one more caller should come back.

        :param waiting: requests that wait now.
        :param rate: requests that the entry finishes per second.
        """
        drained = (now - self._updated).total_seconds() * rate
        most = self._longest.total_seconds() * rate
        self._count = min(max(self._count - drained, 0.0) + 1, most)
        self._updated = now
        seconds = (waiting + self._count) / rate
        return spread_retry_after(timedelta(seconds=seconds), self._rng, self._spread)
