"""Customers' rate limits over all gateways, from the totals that they exchange.

While a customer is below its limit, each gateway admits all of its requests. Near the
limit each gateway keeps to a share in proportion to the demand that it receives. A
gateway that stops responding may be partitioned and still admit requests, so the others
reserve the share that it last reported. It does the same for them, so that all sides of
a partition together stay within the limit.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.aggregators import CONTACT_TIMEOUT
from sassafrasdale.decisions.quotas import (
    PROPAGATION_TIME,
    SharedLimit,
    UsageCounterId,
    admitted_fraction,
    fits_unreported,
    has_headroom,
    retry_after,
    unreported_demand,
)
from sassafrasdale.decisions.rates import DecayingRates
from sassafrasdale.decisions.shares import DemandShares
from sassafrasdale.decisions.thinning import PriorityThinner
from sassafrasdale.deployment import Bounds, Customer, RequestTraits
from sassafrasdale.gateway.peer_states import (
    LimitUsage,
    ReceivedGroup,
    recent_demand,
)

# Time over which a customer's demand is averaged besides, to see the end of a surge. By
# the longer average it would be refused for seconds after it.
RECENT_WINDOW = timedelta(milliseconds=600)
# Fraction of the slack that is added to each limit's depth for large requests. The rest
# covers requests that overdraw the limit and usage that is not reported yet.
DEPTH_SLACK_FRACTION = 0.25
# Fraction of its depth that a limit starts with. After a restart of all gateways, full
# limits would give every customer its burst again. What customers could not use during
# the restart makes up for this fraction.
INITIAL_LEVEL = 0.4
# Fraction of the slack that a limit starts with in addition. Callers that waited during
# the restart return together; with 0.4 of the depth alone, four of ten requests of the
# first half second were refused, and retried late.
INITIAL_SLACK_FRACTION = 0.25
# Fraction of the slack that all gateways may admit before they know of each other.
UNREPORTED_SLACK_FRACTION = 0.15
# Fraction of the slack that a rise of demand may use until all gateways know of it.
RISE_SLACK_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class _AvailableLimit:
    """What the gateways in touch may use of a customer's limit.

    :param fraction: fraction of the limit that is not reserved for silent gateways.
    :param gateways: number of gateways in touch, this one included.
    :param demand: amount that their requests ask for per second.
    """

    fraction: float
    gateways: int
    demand: float


class Quotas:
    """Admission under all customers' limits at one gateway.

    :param bounds: slack of the limits.
    :param gateways: returns the number of gateways, this one included.
    :param clock: source of elapsed time.
    :param counted: returns how much of a customer's usage here others have counted.
    :param propagation_time: returns the time until all gateways know of usage here.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        bounds: Bounds,
        gateways: Callable[[], int],
        clock: Clock,
        counted: Callable[[str], float] = lambda customer: 0.0,
        propagation_time: Callable[[], timedelta] = lambda: PROPAGATION_TIME,
        rng: Random | None = None,
    ) -> None:
        self._bounds = bounds
        self._gateways = gateways
        self._clock = clock
        self._counted = counted
        self._propagation_time = propagation_time
        self._rng = rng or Random()
        self._groups: Sequence[ReceivedGroup] = ()
        self._received_at = clock.elapsed()
        self._customers: dict[str, Customer] = {}
        self._started_at = clock.elapsed()
        self._shares = DemandShares()
        self._recent = DecayingRates(RECENT_WINDOW)
        self._thinners: dict[str, PriorityThinner] = {}
        self._limits: dict[str, SharedLimit] = {}

    def admit(
        self, customer: Customer, traits: RequestTraits, priority: int = 0
    ) -> timedelta | None:
        """Charge a request to its customer's limit, if it fits.

        :param priority: 0 is the most urgent; those go first where not all fit.
        :returns: None if it is admitted, else the time after which to retry.
        """
        if not customer.rate:
            return None
        amount = request_size(customer, traits)
        now = self._clock.elapsed()
        self._customers[customer.name] = customer
        self._shares.add(customer.name, now, amount)
        self._recent.add(customer.name, now, amount)
        available = self._available(customer, now)
        limit = self._limit(customer, now)
        rate = customer.rate * available.fraction
        limit.refill(rate, now)
        limit.record_request(amount, now)
        thinner = self._thinner(customer.name)
        thinner.record(priority, amount, now)
        left = limit.remaining(self._depth(customer), available.fraction, now)
        share = self._share(customer, available, now)
        if not self._has_room(customer, limit, left, share, available):
            rise = self._unreported_demand(customer, limit, share)
            fraction = admitted_fraction(left, rate, available.demand + rise)
            propagation_time = self._propagation_time()
            refill = share * rate * propagation_time.total_seconds()
            unreported = limit.unreported(now, propagation_time)
            if left <= 0 and not fits_unreported(amount, unreported, refill):
                fraction = 0.0
            if not thinner.admits(priority, fraction, now):
                return retry_after(left, rate, available.demand)
        limit.record_admitted(amount, now)
        return None

    def _has_room(
        self,
        customer: Customer,
        limit: SharedLimit,
        left: float,
        share: float,
        available: _AvailableLimit,
    ) -> bool:
        propagation_time = self._propagation_time()
        covered = self._slack(customer) * UNREPORTED_SLACK_FRACTION * share
        unreported = limit.unreported(self._clock.elapsed(), propagation_time) - covered
        return has_headroom(left, available.demand, share, unreported, propagation_time)

    def _unreported_demand(
        self, customer: Customer, limit: SharedLimit, share: float
    ) -> float:
        now = self._clock.elapsed()
        propagation_time = self._propagation_time()
        average = self._shares.own_rate(customer.name, now)
        rise = limit.surge(now, propagation_time, average)
        covered = (
            self._slack(customer)
            * RISE_SLACK_FRACTION
            / propagation_time.total_seconds()
        )
        return unreported_demand(rise, share, covered)

    def explain(self, customer: Customer) -> str:
        """Return what decides on a customer's requests now, for the logs."""
        now = self._clock.elapsed()
        available = self._available(customer, now)
        limit = self._limits.get(customer.name)
        used = 0.0 if limit is None else limit.used(now)
        return (
            f"used {used:.0f},"
            f" asked {available.demand:.0f} of {customer.rate:.0f} a second,"
            f" part here {self._share(customer, available, now):.2f},"
            f" not set aside {available.fraction:.2f}"
        )

    def refund(self, customer: Customer, traits: RequestTraits) -> None:
        """Refund a request that was admitted and did not run."""
        if customer.rate and customer.name in self._limits:
            amount = request_size(customer, traits)
            self._limits[customer.name].record_admitted(-amount, self._clock.elapsed())

    def report(self) -> dict[str, LimitUsage]:
        """Return this gateway's demand and limit usage, by customer."""
        now = self._clock.elapsed()
        return {
            name: self._limit_usage(self._customers[name], demand, limit, now)
            for name, demand in self._shares.report(now).items()
            if (limit := self._limits.get(name)) is not None
        }

    def _limit_usage(
        self, customer: Customer, demand: float, limit: SharedLimit, now: timedelta
    ) -> LimitUsage:
        share = self._share(customer, self._available(customer, now), now)
        counted = self._counted(customer.name)
        return LimitUsage(
            demand,
            limit.admitted,
            counted,
            limit.used(now),
            share,
            self._recent.rate(customer.name, now),
        )

    def receive_groups(self, groups: Sequence[ReceivedGroup]) -> None:
        """Replace the totals over all other gateways."""
        now = self._clock.elapsed()
        self._groups = groups
        self._received_at = now
        self._refill(now)
        for group in groups:
            state = group.state
            reported_at = now - group.age
            counter = UsageCounterId(
                state.aggregator.zone,
                state.counter_id,
                reported_at - timedelta(seconds=state.counting_s),
            )
            for name, usage in state.limit_usage.items():
                if name in self._limits:
                    self._limits[name].add_group_report(
                        counter, usage.admitted, reported_at
                    )

    def _refill(self, now: timedelta) -> None:
        """Refill all limits at the rates that follow from the current reservations.

        One of many gateways may see a customer only every few seconds. At the rate of
        the last request, a limit would fill too slowly or too fast until the next one.
        """
        for name, limit in self._limits.items():
            customer = self._customers[name]
            limit.refill(customer.rate * self._available(customer, now).fraction, now)

    def _available(self, customer: Customer, now: timedelta) -> _AvailableLimit:
        """Return what the gateways in touch may use of a limit."""
        gateways = self._gateways()
        counted = in_touch = 1
        demand = self._shares.own_rate(customer.name, now)
        recent = self._recent.rate(customer.name, now)
        reserved = 0.0
        for group in self._groups:
            state = group.state
            members = state.gateways + state.silent
            counted += members
            usage = state.limit_usage.get(customer.name)
            if not self._is_in_touch(group, now):
                equal_share = members / gateways
                reserved += equal_share if usage is None else usage.share
                reserved += 0.0 if usage is None else usage.reserved
                continue
            in_touch += state.gateways
            if usage is None:
                reserved += state.silent / gateways
            else:
                demand += usage.demand
                recent += recent_demand(usage)
                reserved += usage.reserved
        # Listed gateways that have never reported may each use an equal share.
        reserved += max(gateways - counted, 0) / gateways
        return _AvailableLimit(max(1 - reserved, 0.0), in_touch, min(demand, recent))

    def _is_in_touch(self, group: ReceivedGroup, now: timedelta) -> bool:
        return now - self._received_at + group.age <= CONTACT_TIMEOUT

    def _share(
        self, customer: Customer, available: _AvailableLimit, now: timedelta
    ) -> float:
        """Return this gateway's fraction of a limit."""
        own = self._shares.own_rate(customer.name, now)
        by_demand = self._shares.fraction(own, available.demand, available.gateways)
        rate = customer.rate * available.fraction
        return available.fraction * _add_spare(
            by_demand, available.demand, rate, available.gateways
        )

    def _slack(self, customer: Customer) -> float:
        return self._bounds.quota_slack if customer.counts_tokens else 0.0

    def _depth(self, customer: Customer) -> float:
        return customer.burst + DEPTH_SLACK_FRACTION * self._slack(customer)

    def _thinner(self, name: str) -> PriorityThinner:
        if name not in self._thinners:
            self._thinners[name] = PriorityThinner(self._rng.random)
        return self._thinners[name]

    def _limit(self, customer: Customer, now: timedelta) -> SharedLimit:
        name = customer.name
        limit = self._limits.get(name)
        if limit is not None:
            return limit
        used = [
            group.state.limit_usage[name].used
            for group in self._groups
            if name in group.state.limit_usage and self._is_in_touch(group, now)
        ]
        limit = SharedLimit(max(used, default=self._initial_used(customer, now)), now)
        self._limits[name] = limit
        return limit

    def _initial_used(self, customer: Customer, now: timedelta) -> float:
        """Return the used amount of a limit that no other gateway has reported.

        The limit has been filling since the start of this gateway.
        """
        depth = self._depth(customer)
        slack = self._slack(customer)
        first = min(depth, depth * INITIAL_LEVEL + slack * INITIAL_SLACK_FRACTION)
        filled = customer.rate * (now - self._started_at).total_seconds()
        return max(depth - first - filled, 0.0)


def _add_spare(share: float, total: float, rate: float, gateways: int) -> float:
    """Add an equal share of the part of a limit that the demand leaves unused.

    With shares by demand alone, a gateway would refuse a customer far below its limit
    when its requests reach that gateway for the first time in a while.
    """
    spare = max(1 - total / rate, 0.0) if rate else 0.0
    return share * (1 - spare) + spare / gateways


def request_size(customer: Customer, traits: RequestTraits) -> float:
    """Return how much of a customer's limit a request uses."""
    if not customer.counts_tokens:
        return 1
    if traits.prompt_tokens is None:
        return customer.default_tokens
    return traits.prompt_tokens + traits.output_tokens
