"""Limits that each entry adapts on its own, without a shared counter."""

from dataclasses import dataclass
from datetime import timedelta
from math import inf

DEFAULT_COOLDOWN = timedelta(milliseconds=100)
"""Minimum time between two decreases while no latency is known."""

BURST = timedelta(seconds=5)
"""Time for which a customer's unused tokens are kept."""


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Constants of the adaptive concurrency limit.

    :param smallest: minimum of the limit.
    :param increase: growth per full limit's worth of successes, as a fraction of the
        entry's share.
    :param decrease: factor applied after a refusal.
    :param borrow: maximum of the limit, as a multiple of the entry's share.
    :param tolerance: multiple of the baseline latency above which growth beyond the
        share is reverted, for endpoints that queue instead of refusing.
    :param samples: number of responses over which a latency is averaged.
    :param ageing: growth of the baseline latency per average above it, so that it
        adapts to a lasting change of the workload.
    :param cooldown: minimum time between two decreases, in baseline latencies.
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

    It starts at the entry's share of the capacity (capacity / live entries), grows
    while requests succeed and the limit is in use, and shrinks on refusals.

    :param capacity: requests that all endpoints of the service run concurrently.
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
        self._baseline = inf

    @property
    def value(self) -> int:
        """Maximum number of requests in flight from this entry."""
        return max(round(self._value), self._settings.smallest)

    @property
    def share(self) -> float:
        """The entry's equal share of the capacity."""
        return self._share

    def set_share(self, capacity: int, live_entries: int) -> None:
        """Set the capacity and the number of entries.

        The ratio of the limit to the share, which was learned, stays the same.
        """
        share = max(capacity / max(live_entries, 1), self._settings.smallest)
        self._value *= share / self._share
        self._share = share

    def on_success(self, in_flight: int, latency: timedelta) -> None:
        """Grow if the limit was in use when a request succeeded.

        :param in_flight: requests still in flight after this one.
        """
        self._update_average(latency.total_seconds())
        if in_flight + 1 < self.value:
            return
        step = self._settings.increase * self._share
        grown = self._value + step / self._value
        self._value = min(grown, self._share * self._settings.borrow)

    def _update_average(self, seconds: float) -> None:
        self._sum += seconds
        self._count += 1
        if self._count < self._settings.samples:
            return
        mean = self._sum / self._count
        self._sum, self._count = 0.0, 0
        if (
            mean > self._baseline * self._settings.tolerance
            and self._value > self._share
        ):
            self._value = max(self._value * self._settings.decrease, self._share)
        self._baseline = min(mean, self._baseline * (1 + self._settings.ageing))

    @property
    def cooldown(self) -> timedelta:
        """Minimum time between two decreases."""
        if self._baseline == inf:
            return DEFAULT_COOLDOWN
        return timedelta(seconds=self._baseline * self._settings.cooldown)

    def on_refusal(self, now: timedelta) -> None:
        """Shrink after a refusal, at most once per cooldown."""
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
        """Set the rate, in requests per second on this entry."""
        self._rate = rate
        self._depth = max(rate * self._burst.total_seconds(), 1.0)

    def try_take(self, now: timedelta) -> bool:
        """Take a token if one is available."""
        self._refill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def wait(self, now: timedelta) -> timedelta:
        """Return the time until a token is available."""
        self._refill(now)
        missing = max(1 - self._tokens, 0.0)
        return timedelta(seconds=missing / self._rate)

    def _refill(self, now: timedelta) -> None:
        elapsed = max((now - self._updated).total_seconds(), 0.0)
        self._updated = now
        self._tokens = min(self._tokens + elapsed * self._rate, self._depth)
