"""Exponentially decaying rates of events, by key."""

from collections.abc import Collection, Hashable
from datetime import timedelta
from math import exp
from typing import Generic, TypeVar

KeyT = TypeVar("KeyT", bound=Hashable)


class DecayingRates(Generic[KeyT]):
    """Rates of events, by key; an event counts less the longer ago it was.

    :param window: time over which they are averaged.
    """

    def __init__(self, window: timedelta) -> None:
        self._window = window
        self._rates: dict[KeyT, float] = {}
        self._updated_at: dict[KeyT, timedelta] = {}

    @property
    def keys(self) -> Collection[KeyT]:
        """Keys that had events."""
        return self._rates.keys()

    def add(self, key: KeyT, now: timedelta, amount: float = 1) -> None:
        """Record events.

        :param amount: their number; a negative one takes earlier ones back.
        """
        rate = self.rate(key, now) + amount / self._window.total_seconds()
        self._rates[key] = max(rate, 0.0)
        self._updated_at[key] = now

    def rate(self, key: KeyT, now: timedelta) -> float:
        """Return the events per second."""
        elapsed = now - self._updated_at.get(key, now)
        return self._rates.get(key, 0.0) * exp(-(elapsed / self._window))

    def remove(self, key: KeyT) -> None:
        """Remove a key."""
        self._rates.pop(key, None)
        self._updated_at.pop(key, None)

    def clear(self) -> None:
        """Remove all keys."""
        self._rates.clear()
        self._updated_at.clear()
