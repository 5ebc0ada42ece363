"""Customers' limits over all gateways, from what they report to each other.

While a customer is below its limit, each gateway lets in what comes. Near the limit
each keeps to a part by the demand that arrives there. A gateway that falls silent may
be cut off and spend on, so the others leave it the part that it had when it was last
heard. It does the same for them, and all sides of a cut together stay within the limit.
"""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.quotas import (
    EXPECTED_TIME,
    PartOfLimit,
    SharedLimit,
    SpendingReport,
    has_room,
)
from sassafrasdale.decisions.shares import DemandShares
from sassafrasdale.deployment import Bounds, Customer, RequestTraits

# Part of the slack on top of each limit that is used as room for large requests;
# the rest covers requests that overdraw and spending that isn't known yet.
USED_SLACK = 0.25
# Part of its depth that a limit begins with: after a restart of all gateways at
# once, full limits would give every customer its burst again. What was not spent
# while they started makes up for this part.
FIRST_LEVEL = 0.4
# Part of the slack that is left at the beginning on top of that. Callers who waited out
# the restart come back together; with 0.4 alone, four of ten requests of the first half
# second were refused, and came back late.
FIRST_SLACK = 0.25
# Part of the slack that all gateways may let in before they know of each other.
UNSEEN_SLACK = 0.15
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
    """A peer's report when it was last heard, and all gateways' demand about then."""

    reports: Mapping[str, SpendingReport]
    sums: _Sums
    heard_at: timedelta


@dataclass(frozen=True, slots=True)
class _LiveDemand:
    """What the gateways in touch may use of a customer's limit.

    :param left: part of the limit that is not set aside for silent gateways.
    :param gateways: gateways in touch, this one included.
    :param demand: what their requests ask for a second.
    """

    left: float
    gateways: int
    demand: float


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
        self._parts: dict[str, PartOfLimit] = {}
        self._limits: dict[str, SharedLimit] = {}

    def admit(self, customer: Customer, traits: RequestTraits) -> timedelta | None:
        """Take a request out of its customer's limit.

        :returns: None if it fits, else when it is worth coming back.
        """
        if not customer.rate:
            return None
        amount = request_size(customer, traits)
        now = self._clock.elapsed()
        self._shares.add(customer.name, now, amount)
        slack = self._bounds.quota_slack if customer.counts_tokens else 0
        depth = customer.burst + USED_SLACK * slack
        live = self._live(customer, now)
        first = min(depth, depth * FIRST_LEVEL + slack * FIRST_SLACK)
        limit = self._limit(customer.name, depth - first, now)
        limit.refill(customer.rate * live.left, now)
        share = self._share(customer, live, now)
        part = self._part(customer, depth, first, share, now)
        left = depth * live.left - limit.used(now)
        unseen = limit.unseen(now) - slack * UNSEEN_SLACK * share
        if has_room(left, live.demand, share, unseen):
            part.drain(amount)
        elif not part.try_spend(amount):
            return part.time_to_positive()
        limit.spend(amount, now)
        return None

    def explain(self, customer: Customer) -> str:
        """Return what decides on a customer's requests now, for the logs."""
        now = self._clock.elapsed()
        live = self._live(customer, now)
        limit = self._limits.get(customer.name)
        used = 0.0 if limit is None else limit.used(now)
        return (
            f"used {used:.0f}, asked {live.demand:.0f} of {customer.rate:.0f} a second,"
            f" part here {self._share(customer, live, now):.2f},"
            f" not set aside {live.left:.2f}"
        )

    def restore(self, customer: Customer, traits: RequestTraits) -> None:
        """Give back what a request took that then didn't run."""
        if customer.rate and customer.name in self._limits:
            amount = request_size(customer, traits)
            self._limits[customer.name].spend(-amount, self._clock.elapsed())
            self._parts[customer.name].restore(amount)

    def report(self) -> Mapping[str, SpendingReport]:
        """Return this gateway's demand and spending, by customer."""
        now = self._clock.elapsed()
        return {
            name: SpendingReport(demand, limit.spent, limit.used(now))
            for name, demand in self._shares.report(now).items()
            if (limit := self._limits.get(name)) is not None
        }

    def hear(
        self, peer: str, reports: Mapping[str, SpendingReport], incarnation: int = 0
    ) -> None:
        """Take a peer's report.

        :param incarnation: distinguishes starts of the peer, which count from nothing.
        """
        now = self._clock.elapsed()
        demand = {name: report.demand for name, report in reports.items()}
        self._shares.hear(peer, demand, now)
        self._last_heard[peer] = _LastHeard(reports, self._sums(now), now)
        for name, report in reports.items():
            if name in self._limits:
                self._limits[name].hear(peer, incarnation, report.spent, now)

    def _live(self, customer: Customer, now: timedelta) -> "_LiveDemand":
        """Return what is left of a limit for the gateways in touch."""
        gateways = self._gateways()
        silent = set(self._silent())
        heard = {
            peer: last.heard_at
            for peer, last in self._last_heard.items()
            if peer not in silent
        }
        recent = [at for at in heard.values() if now - at <= EXPECTED_TIME]
        missing = max(gateways - 1 - len(recent) - len(silent), 0)
        # Those heard a while ago keep the part that they had then.
        overdue = [peer for peer, at in heard.items() if now - at > EXPECTED_TIME]
        silent.update(sorted(overdue, key=heard.get, reverse=True)[:missing])
        unknown = max(gateways - 1 - len(recent) - len(silent), 0)
        kept = unknown / gateways
        for peer in silent:
            self._shares.forget(peer)
            kept += self._part_of_silent(customer, peer, gateways)
        in_touch = max(gateways - len(silent) - unknown, 1)
        demand = self._shares.total(customer.name, in_touch, now)
        return _LiveDemand(max(1 - kept, 0.0), in_touch, demand)

    def _share(self, customer: Customer, live: "_LiveDemand", now: timedelta) -> float:
        """Return the part of a limit that falls to this gateway."""
        own = self._shares.own(customer.name, now)
        by_demand = self._shares.part(own, live.demand, live.gateways)
        rate = customer.rate * live.left
        return live.left * _with_spare(by_demand, live.demand, rate, live.gateways)

    def _part(
        self,
        customer: Customer,
        depth: float,
        first: float,
        share: float,
        now: timedelta,
    ) -> PartOfLimit:
        part = self._parts.get(customer.name)
        if part is None:
            # It has been filling since the start, though nobody looked at it.
            part = PartOfLimit(first * share, self._started_at)
            self._parts[customer.name] = part
        part.refill(customer.rate * share, depth * share, now)
        return part

    def _limit(self, name: str, first_used: float, now: timedelta) -> SharedLimit:
        limit = self._limits.get(name)
        if limit is not None:
            return limit
        used = [
            last.reports[name].used
            for last in self._last_heard.values()
            if name in last.reports and now - last.heard_at <= EXPECTED_TIME
        ]
        limit = SharedLimit(max(used, default=first_used), now)
        self._limits[name] = limit
        return limit

    def _part_of_silent(self, customer: Customer, peer: str, gateways: int) -> float:
        last = self._last_heard.get(peer)
        if last is None:
            return 1 / gateways
        sums = last.sums
        report = last.reports.get(customer.name)
        demand = report.demand if report else 0.0
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
                for limit in self._limits.values():
                    limit.forget(peer)


def _with_spare(part: float, total: float, rate: float, gateways: int) -> float:
    """Divide evenly what all of a customer's demand leaves of its limit.

    With parts by demand alone, a customer far below its limit would be refused by a
    gateway that its requests reach for the first time in a while.
    """
    spare = max(1 - total / rate, 0.0) if rate else 0.0
    return part * (1 - spare) + spare / gateways


def request_size(customer: Customer, traits: RequestTraits) -> float:
    """Return how much of a customer's limit a request takes."""
    if not customer.counts_tokens:
        return 1
    if traits.prompt_tokens is None:
        return customer.plain_tokens
    return traits.prompt_tokens + traits.output_tokens
