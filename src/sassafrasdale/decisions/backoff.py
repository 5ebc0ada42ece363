"""Retry delays with jitter."""

from datetime import timedelta
from random import Random

BACKOFF_BASE = timedelta(milliseconds=50)
"""Shortest wait before a retry."""

BACKOFF_CAP = timedelta(seconds=5)
"""Longest wait before a retry."""

RETRY_AFTER_SPREAD = 1.0
"""Width of the jitter of a retry-after time, as a multiple of it."""


class Backoff:
    """Backoff with decorrelated jitter for the retries of one request.

    :param rng: source of randomness.
    :param base: minimum delay.
    :param cap: maximum delay.
    """

    def __init__(
        self,
        rng: Random,
        base: timedelta = BACKOFF_BASE,
        cap: timedelta = BACKOFF_CAP,
    ) -> None:
        self._rng = rng
        self._base = base
        self._cap = cap
        self._last = base

    def next(self) -> timedelta:
        """Return the delay before the next retry."""
        drawn = self._rng.uniform(
            self._base.total_seconds(), self._last.total_seconds() * 3
        )
        self._last = min(timedelta(seconds=drawn), self._cap)
        return self._last


def spread_retry_after(
    hint: timedelta, rng: Random, spread: float = RETRY_AFTER_SPREAD
) -> timedelta:
    """Return ``hint`` plus random jitter, so that callers don't retry together.

    :param hint: earliest time at which a retry is worthwhile.
    :param spread: width of the jitter, as a multiple of the hint.
    """
    return hint * (1 + rng.random() * spread)
