"""Customers' limits, divided between the gateways by where requests arrive.

Each gateway spends its part of a limit without asking anyone. The parts come from
the demand that all gateways report to each other, so they add up to the limit as
far as the reports agree. A gateway that falls silent may be cut off and spend on, so
the others leave it the part that it had when it was last heard. It does the same for
them, and all sides of a cut together stay within the limit.
"""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.shares import DemandShares
from sassafrasdale.gateway.models import Bounds, Customer, RequestTraits

# Part of the slack on top of each limit that is used as room for large requests;
# the rest covers requests that overdraw and reports that disagree.
USED_SLACK = 0.5
# Part of its depth that a bucket begins with: after a restart of all gateways at
# once, full buckets would give every customer its burst again. What was not spent
# while they started makes up for this part.
FIRST_LEVEL = 0.4
# What a gateway that is gone was last heard to have is dropped after this time.
LAST_HEARD_KEPT = timedelta(minutes=2)
# Time between two sums of all gateways' demand.
SUM_PAUSE = timedelta(milliseconds=400)


@dataclass(frozen=True, slots=True)
class _Sums:
    """Demand of all gateways at one moment.

    :param totals: by customer, a second.
    """

    made_at: timedelta
    gateways: int
    totals: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class _LastHeard:
    """A peer's demand when it was last heard, and all gateways' about then."""

    demand: Mapping[str, float]
    sums: _Sums


class Quotas:
    """The part of all customers' limits.

    :param bounds: slack of the limits.
    :param gateways: number of gateways, this one included.
    :param silent: names of the gateways among them that were not heard lately.
    :param clock: source of elapsed time.
    """

    def __init__(
        self,
        bounds: Bounds,
        gateways: Callable[[], int],
        clock: Clock,
        silent: Callable[[], Collection[str]] = frozenset,
    ) -> None:
        self._bounds = bounds
        self._gateways = gateways
        self._clock = clock
        self._silent = silent
        self._last_heard: dict[str, _LastHeard] = {}
        self._last_sums: _Sums | None = None
        self._started_at = clock.elapsed()
        self._shares = DemandShares()
        self._buckets: dict[str, _Bucket] = {}

    def admit(self, customer: Customer, traits: RequestTraits) -> timedelta | None:
        """Take a request out of its customer's limit.

        :returns: None if it fits, else when it is worth coming back.
        """
        if not customer.rate:
            return None
        amount = request_size(customer, traits)
        now = self._clock.elapsed()
        self._shares.add(customer.name, now, amount)
        bucket = self._bucket(customer, now)
        if bucket.try_spend(amount):
            return None
        return bucket.time_to_positive()

    def restore(self, customer: Customer, traits: RequestTraits) -> None:
        """Give back what a request took that then didn't run."""
        if customer.rate and (bucket := self._buckets.get(customer.name)):
            bucket.restore(request_size(customer, traits))

    def report(self) -> Mapping[str, float]:
        """Return this gateway's demand by customer, a second."""
        return self._shares.report(self._clock.elapsed())

    def hear(self, peer: str, report: Mapping[str, float]) -> None:
        """Take a peer's demand."""
        now = self._clock.elapsed()
        self._shares.hear(peer, report, now)
        self._last_heard[peer] = _LastHeard(report, self._sums(now))

    def _share(self, customer: Customer, now: timedelta) -> float:
        """Return the part of a customer's limit that this gateway may use."""
        gateways = self._gateways()
        silent = self._silent()
        kept = 0.0
        for peer in silent:
            self._shares.forget(peer)
            kept += self._part_of_silent(customer, peer, gateways)
        left = max(1 - kept, 0.0)
        live = max(gateways - len(silent), 1)
        total = self._shares.total(customer.name, live, now)
        by_demand = self._shares.part(self._shares.own(customer.name, now), total, live)
        return left * _with_spare(by_demand, total, customer.rate * left, live)

    def _part_of_silent(self, customer: Customer, peer: str, gateways: int) -> float:
        last = self._last_heard.get(peer)
        if last is None:
            return 1 / gateways
        sums = last.sums
        demand = last.demand.get(customer.name, 0.0)
        total = sums.totals.get(customer.name, 0.0)
        part = self._shares.part(demand, max(total, demand), sums.gateways)
        return _with_spare(part, total, customer.rate, sums.gateways)

    def _sums(self, now: timedelta) -> _Sums:
        if self._last_sums is None or now - self._last_sums.made_at >= SUM_PAUSE:
            gateways = self._gateways()
            totals = {
                name: self._shares.total(name, gateways, now)
                for name in self._shares.customers()
            }
            self._last_sums = _Sums(now, gateways, totals)
            self._drop_old(now)
        return self._last_sums

    def _drop_old(self, now: timedelta) -> None:
        for peer, last in list(self._last_heard.items()):
            if now - last.sums.made_at > LAST_HEARD_KEPT:
                del self._last_heard[peer]
                self._shares.forget(peer)

    def _bucket(self, customer: Customer, now: timedelta) -> "_Bucket":
        share = self._share(customer, now)
        slack = self._bounds.quota_slack if customer.counts_tokens else 0
        depth = (customer.burst + USED_SLACK * slack) * share
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            # It has been filling since the start, though nobody looked at it.
            bucket = _Bucket(depth * FIRST_LEVEL, self._started_at)
            self._buckets[customer.name] = bucket
        bucket.refill(customer.rate * share, depth, now)
        return bucket


def _with_spare(part: float, total: float, rate: float, gateways: int) -> float:
    """Divide evenly what all of a customer's demand leaves of its limit.

    With parts by demand alone, a customer far below its limit would be refused by a
    gateway that its requests reach for the first time in a while.
    """
    spare = max(1 - total / rate, 0.0) if rate else 0.0
    return part * (1 - spare) + spare / gateways


class _Bucket:
    """A bucket that one request may overdraw, since some are larger than it."""

    def __init__(self, level: float, now: timedelta) -> None:
        self._level = level
        self._rate = 0.0
        self._updated = now

    def refill(self, rate: float, depth: float, now: timedelta) -> None:
        elapsed = (now - self._updated).total_seconds()
        self._rate = rate
        self._level = min(self._level + rate * elapsed, depth)
        self._updated = now

    def try_spend(self, amount: float) -> bool:
        if self._level <= 0:
            return False
        self._level -= amount
        return True

    def restore(self, amount: float) -> None:
        self._level += amount

    def time_to_positive(self) -> timedelta:
        return timedelta(seconds=max(0.1, -self._level / max(self._rate, 1.0)))


def request_size(customer: Customer, traits: RequestTraits) -> float:
    """Return how much of a customer's limit a request takes."""
    if not customer.counts_tokens:
        return 1
    if traits.prompt_tokens is None:
        return customer.plain_tokens
    return traits.prompt_tokens + traits.output_tokens
