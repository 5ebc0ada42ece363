"""Waiting times before a request is repeated, spread so that callers don't align."""

from datetime import timedelta
from random import Random

BACKOFF_BASE = timedelta(milliseconds=50)
"""Shortest wait before a retry."""

BACKOFF_CAP = timedelta(seconds=5)
"""Longest wait before a retry."""

RETRY_AFTER_SPREAD = 1.0
"""Width of the spread of a retry-after hint, as a multiple of the hint."""


class Backoff:
    """Backoff with decorrelated jitter for the retries of one request.

    :param rng: source of randomness.
    :param base: shortest wait.
    :param cap: longest wait.
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
        """Return the wait before the next retry."""
        drawn = self._rng.uniform(
            self._base.total_seconds(), self._last.total_seconds() * 3
        )
        self._last = min(timedelta(seconds=drawn), self._cap)
        return self._last


def spread_retry_after(
    hint: timedelta, rng: Random, spread: float = RETRY_AFTER_SPREAD
) -> timedelta:
    """Return ``hint`` lengthened at random, so that callers come back spread out.

    :param hint: earliest time at which it is worth coming back.
    :param spread: width of the spread, as a multiple of the hint.
    """
    return hint * (1 + rng.random() * spread)
