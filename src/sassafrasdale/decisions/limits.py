"""Limits that each entry adapts by itself, without a counter shared by entries."""

from dataclasses import dataclass
from datetime import timedelta
from math import inf

DEFAULT_COOLDOWN = timedelta(milliseconds=100)
"""Shortest time between two decreases while no latency is known."""

BURST = timedelta(seconds=5)
"""Time for which a customer's unused tokens are kept."""


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Constants of an adaptive concurrency limit.

    :param smallest: requests in flight that are always allowed.
    :param increase: growth per full limit's worth of successes, as a part of the
        entry's share.
    :param decrease: factor applied on a refusal.
    :param borrow: largest multiple of the entry's share that it may grow to.
    :param tolerance: multiple of the usual latency at which what was borrowed is
        given back, for endpoints that queue instead of refusing.
    :param samples: answers over which a latency is averaged.
    :param ageing: growth of the usual latency per average above it, so that a
        lasting change of the work is learned.
    :param cooldown: shortest time between two decreases, in usual latencies.
    """

    smallest: int = 1
    increase: float = 0.3
    decrease: float = 0.8
    borrow: float = 4.0
    tolerance: float = 2.0
    samples: int = 20
    ageing: float = 0.02
    cooldown: float = 0.1


class ConcurrencyLimit:
    """Additive-increase, multiplicative-decrease limit on requests in flight.

    It starts at the entry's share of the capacity (capacity / live entries),
    grows while requests succeed and the limit is in use, and falls on refusals.

    :param capacity: requests that all endpoints of the service run at once.
    :param live_entries: entries that share the endpoints.
    """

    def __init__(
        self,
        capacity: int,
        live_entries: int = 1,
        settings: LimitSettings | None = None,
    ) -> None:
        self._settings = settings or LimitSettings()
        self._share = max(capacity / max(live_entries, 1), self._settings.smallest)
        self._value = self._share
        self._next_decrease = timedelta()
        self._sum = 0.0
        self._count = 0
        self._usual = inf

    @property
    def value(self) -> int:
        """Requests that may be in flight from this entry."""
        return max(round(self._value), self._settings.smallest)

    @property
    def share(self) -> float:
        """Even share of the capacity that falls to the entry."""
        return self._share

    def set_share(self, capacity: int, live_entries: int) -> None:
        """Take a new capacity or number of entries; keep the learned ratio."""
        share = max(capacity / max(live_entries, 1), self._settings.smallest)
        self._value *= share / self._share
        self._share = share

    def on_success(self, in_flight: int, latency: timedelta) -> None:
        """Grow if the limit was in use when a request succeeded.

        :param in_flight: requests still in flight after this one.
        """
        self._average(latency.total_seconds())
        if in_flight + 1 < self.value:
            return
        step = self._settings.increase * self._share
        grown = self._value + step / self._value
        self._value = min(grown, self._share * self._settings.borrow)

    def _average(self, seconds: float) -> None:
        self._sum += seconds
        self._count += 1
        if self._count < self._settings.samples:
            return
        mean = self._sum / self._count
        self._sum, self._count = 0.0, 0
        if mean > self._usual * self._settings.tolerance and self._value > self._share:
            self._value = max(self._value * self._settings.decrease, self._share)
        self._usual = min(mean, self._usual * (1 + self._settings.ageing))

    @property
    def cooldown(self) -> timedelta:
        """Shortest time between two decreases."""
        if self._usual == inf:
            return DEFAULT_COOLDOWN
        return timedelta(seconds=self._usual * self._settings.cooldown)

    def on_refusal(self, now: timedelta) -> None:
        """Shrink, at most once per cooldown, since an endpoint refused."""
        if now < self._next_decrease:
            return
        self._next_decrease = now + self.cooldown
        shrunk = self._value * self._settings.decrease
        self._value = max(shrunk, self._settings.smallest)


class TokenBucket:
    """Token bucket for the rate limit of one customer on one entry.

    :param rate: requests per second on this entry.
    :param burst: time for which unused tokens are kept.
    """

    def __init__(self, rate: float, burst: timedelta = BURST) -> None:
        self._burst = burst
        self._updated = timedelta()
        self.set_rate(rate)
        self._tokens = self._depth

    @property
    def rate(self) -> float:
        """Tokens per second on this entry."""
        return self._rate

    def set_rate(self, rate: float) -> None:
        """Take a new rate, in requests per second on this entry."""
        self._rate = rate
        self._depth = max(rate * self._burst.total_seconds(), 1.0)

    def try_take(self, now: timedelta) -> bool:
        """Take a token if there is one."""
        self._refill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def wait(self, now: timedelta) -> timedelta:
        """Return the time until there is a token."""
        self._refill(now)
        missing = max(1 - self._tokens, 0.0)
        return timedelta(seconds=missing / self._rate)

    def _refill(self, now: timedelta) -> None:
        elapsed = max((now - self._updated).total_seconds(), 0.0)
        self._updated = now
        self._tokens = min(self._tokens + elapsed * self._rate, self._depth)
