"""Customers' limits over all gateways, from the sums that these tell each other.

While a customer is below its limit, each gateway lets in what comes. Near the limit
each keeps to a part by the demand that arrives there. A gateway that falls silent may
be cut off and spend on, so the others leave it the part that it said it had. It does
the same for them, and all sides of a cut together stay within the limit.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.aggregators import FRESH
from sassafrasdale.decisions.quotas import (
    UNSEEN_TIME,
    SharedLimit,
    SpendingCounter,
    Thinning,
    fits_unseen,
    has_room,
    passing_part,
    time_to_return,
    unseen_demand,
)
from sassafrasdale.decisions.shares import DemandShares
from sassafrasdale.deployment import Bounds, Customer, RequestTraits
from sassafrasdale.gateway.peer_states import HeardGroup, Spending

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
# Part of the slack that a rise of demand may use until it is known everywhere.
RISE_SLACK = 0.5


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
    """Admission under all customers' limits at one gateway.

    :param bounds: slack of the limits.
    :param gateways: number of gateways, this one included.
    :param clock: source of elapsed time.
    :param told: how much of this gateway's spending others have counted, by customer.
    :param unseen_time: time that a spending takes to be known at all gateways.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        bounds: Bounds,
        gateways: Callable[[], int],
        clock: Clock,
        told: Callable[[str], float] = lambda customer: 0.0,
        unseen_time: Callable[[], timedelta] = lambda: UNSEEN_TIME,
        rng: Random | None = None,
    ) -> None:
        self._bounds = bounds
        self._gateways = gateways
        self._clock = clock
        self._told = told
        self._unseen_time = unseen_time
        self._rng = rng or Random()
        self._groups: Sequence[HeardGroup] = ()
        self._heard_at = clock.elapsed()
        self._known: dict[str, Customer] = {}
        self._started_at = clock.elapsed()
        self._shares = DemandShares()
        self._thinnings: dict[str, Thinning] = {}
        self._limits: dict[str, SharedLimit] = {}

    def admit(self, customer: Customer, traits: RequestTraits) -> timedelta | None:
        """Take a request out of its customer's limit.

        :returns: None if it fits, else when it is worth coming back.
        """
        if not customer.rate:
            return None
        amount = request_size(customer, traits)
        now = self._clock.elapsed()
        self._known[customer.name] = customer
        self._shares.add(customer.name, now, amount)
        live = self._live(customer, now)
        limit = self._limit(customer, now)
        rate = customer.rate * live.left
        limit.refill(rate, now)
        limit.ask(amount, now)
        left = limit.left(self._depth(customer), live.left, now)
        share = self._share(customer, live, now)
        if not self._has_room(customer, limit, left, share, live):
            rise = self._unseen_demand(customer, limit, share)
            part = passing_part(left, rate, live.demand + rise)
            unseen_time = self._unseen_time()
            filling = share * rate * unseen_time.total_seconds()
            unseen = limit.unseen(now, unseen_time)
            if left <= 0 and not fits_unseen(amount, unseen, filling):
                part = 0.0
            if not self._thinning(customer.name).lets_in(part):
                return time_to_return(left, rate, live.demand)
        limit.spend(amount, now)
        return None

    def _has_room(
        self,
        customer: Customer,
        limit: SharedLimit,
        left: float,
        share: float,
        live: _LiveDemand,
    ) -> bool:
        unseen_time = self._unseen_time()
        covered = self._slack(customer) * UNSEEN_SLACK * share
        unseen = limit.unseen(self._clock.elapsed(), unseen_time) - covered
        return has_room(left, live.demand, share, unseen, unseen_time)

    def _unseen_demand(
        self, customer: Customer, limit: SharedLimit, share: float
    ) -> float:
        now = self._clock.elapsed()
        unseen_time = self._unseen_time()
        average = self._shares.own(customer.name, now)
        rise = limit.unseen_rise(now, unseen_time, average)
        covered = self._slack(customer) * RISE_SLACK / unseen_time.total_seconds()
        return unseen_demand(rise, share, covered)

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

    def report(self) -> dict[str, Spending]:
        """Return this gateway's demand and spending, by customer."""
        now = self._clock.elapsed()
        return {
            name: self._spending(self._known[name], demand, limit, now)
            for name, demand in self._shares.report(now).items()
            if (limit := self._limits.get(name)) is not None
        }

    def _spending(
        self, customer: Customer, demand: float, limit: SharedLimit, now: timedelta
    ) -> Spending:
        share = self._share(customer, self._live(customer, now), now)
        told = self._told(customer.name)
        return Spending(demand, limit.spent, told, limit.used(now), share)

    def hear_groups(self, groups: Sequence[HeardGroup]) -> None:
        """Take the sums over all other gateways, in place of those before."""
        now = self._clock.elapsed()
        self._groups = groups
        self._heard_at = now
        self._refill(now)
        for heard in groups:
            state = heard.state
            told_at = now - heard.age
            counter = SpendingCounter(
                state.aggregator.zone,
                state.counter,
                told_at - timedelta(seconds=state.counting_s),
            )
            for name, spending in state.spending.items():
                if name in self._limits:
                    self._limits[name].hear(counter, spending.spent, told_at)

    def _refill(self, now: timedelta) -> None:
        """Let all limits fill up by what is set aside now.

        One of many gateways may see a customer every few seconds. By what it knew then,
        a limit would go on filling up too slowly, or too fast, until the next time.
        """
        for name, limit in self._limits.items():
            customer = self._known[name]
            limit.refill(customer.rate * self._live(customer, now).left, now)

    def _live(self, customer: Customer, now: timedelta) -> _LiveDemand:
        """Return what is left of a limit for the gateways in touch."""
        gateways = self._gateways()
        counted = in_touch = 1
        demand = self._shares.own(customer.name, now)
        kept = 0.0
        for heard in self._groups:
            state = heard.state
            members = state.gateways + state.silent
            counted += members
            spending = state.spending.get(customer.name)
            if not self._is_fresh(heard, now):
                even = members / gateways
                kept += even if spending is None else spending.share
                kept += 0.0 if spending is None else spending.set_aside
                continue
            in_touch += state.gateways
            if spending is None:
                kept += state.silent / gateways
            else:
                demand += spending.demand
                kept += spending.set_aside
        # Those that are listed and that nobody has heard may each have an even part.
        kept += max(gateways - counted, 0) / gateways
        return _LiveDemand(max(1 - kept, 0.0), in_touch, demand)

    def _is_fresh(self, heard: HeardGroup, now: timedelta) -> bool:
        return now - self._heard_at + heard.age <= FRESH

    def _share(self, customer: Customer, live: _LiveDemand, now: timedelta) -> float:
        """Return the part of a limit that falls to this gateway."""
        own = self._shares.own(customer.name, now)
        by_demand = self._shares.part(own, live.demand, live.gateways)
        rate = customer.rate * live.left
        return live.left * _with_spare(by_demand, live.demand, rate, live.gateways)

    def _slack(self, customer: Customer) -> float:
        return self._bounds.quota_slack if customer.counts_tokens else 0.0

    def _depth(self, customer: Customer) -> float:
        return customer.burst + USED_SLACK * self._slack(customer)

    def _thinning(self, name: str) -> Thinning:
        if name not in self._thinnings:
            self._thinnings[name] = Thinning(self._rng.random())
        return self._thinnings[name]

    def _limit(self, customer: Customer, now: timedelta) -> SharedLimit:
        name = customer.name
        limit = self._limits.get(name)
        if limit is not None:
            return limit
        used = [
            heard.state.spending[name].used
            for heard in self._groups
            if name in heard.state.spending and self._is_fresh(heard, now)
        ]
        limit = SharedLimit(max(used, default=self._first_used(customer, now)), now)
        self._limits[name] = limit
        return limit

    def _first_used(self, customer: Customer, now: timedelta) -> float:
        """Return what is missing from a limit of which nobody has told anything.

        It has been filling up since the start, though nobody looked at it.
        """
        depth = self._depth(customer)
        slack = self._slack(customer)
        first = min(depth, depth * FIRST_LEVEL + slack * FIRST_SLACK)
        filled = customer.rate * (now - self._started_at).total_seconds()
        return max(depth - first - filled, 0.0)


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
