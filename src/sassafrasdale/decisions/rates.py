"""Exponentially decaying rates of events, by key."""

from collections.abc import Collection
from datetime import timedelta
from math import exp


class DecayingRates:
    """Rates of events, by key; an event counts less the longer ago it was.

    :param window: time over which they are averaged.
    """

    def __init__(self, window: timedelta) -> None:
        self._window = window
        self._rates: dict[str, float] = {}
        self._updated_at: dict[str, timedelta] = {}

    @property
    def keys(self) -> Collection[str]:
        """Keys that had events."""
        return self._rates.keys()

    def add(self, key: str, now: timedelta, amount: float = 1) -> None:
        """Record events.

        :param amount: their number; a negative one takes earlier ones back.
        """
        rate = self.rate(key, now) + amount / self._window.total_seconds()
        self._rates[key] = max(rate, 0.0)
        self._updated_at[key] = now

    def rate(self, key: str, now: timedelta) -> float:
        """Return the events per second."""
        elapsed = now - self._updated_at.get(key, now)
        return self._rates.get(key, 0.0) * exp(-(elapsed / self._window))

    def remove(self, key: str) -> None:
        """Remove a key."""
        self._rates.pop(key, None)
        self._updated_at.pop(key, None)

    def clear(self) -> None:
        """Remove all keys."""
        self._rates.clear()
        self._updated_at.clear()
