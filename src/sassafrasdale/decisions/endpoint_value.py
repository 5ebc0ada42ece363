"""Number of endpoints that are worth their price to callers.

Workload: load in waves and bursts, while the cloud reclaims all reclaimable endpoints
of a zone at a few seconds' notice and has none available for longer than an endpoint
takes to start.

The share of the requests that miss their objective follows from a queue with Poisson
arrivals, n endpoints, and as many waiting places as can be served in time. A request
that finds none is rejected or late. The next endpoint is worth ordering while the
requests that it saves are worth more than its price.

Independently of prices, so many endpoints are provided that the loss of the zone with
the most reclaimable ones leaves enough for the load.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from math import isfinite

from sassafrasdale.decisions.load_history import LoadVariation
from sassafrasdale.deployment import ScaleBounds

# Minimum number of endpoints at any load: one crash must not stop the service.
MIN_ENDPOINTS = 3
# Minimum number of on-demand endpoints at any load.
MIN_ON_DEMAND = 1
# The same while reclaimable ones may be unavailable: one may crash.
MIN_ON_DEMAND_ALONE = 2
# Worth of a request, as a multiple of the price of its endpoint time at an on-demand
# endpoint in the most expensive zone. Callers also pay for the spare capacity that
# keeps responses on time, most of which is idle.
REQUEST_WORTH = 8.0
# Fraction of its worth that a late request loses.
LATE_LOSS = 0.9
# Fraction of the requests that must be on time after the loss of a zone.
ON_TIME_AFTER_LOSS = 0.97
# Fraction of the time for which a zone's reclaimable endpoints count as missing.
ZONE_LOSS_SHARE = 0.05
# Fractions of the time that the load is expected to be at each level.
EXPECTED_SHARE = 0.5
HIGH_SHARE = 0.2
LOW_SHARE = 0.2
PEAK_SHARE = 0.1
# Fraction of its time to the objective that a request may wait, as at the dispatcher's
# queue: a longer queue adds no throughput, and any error of the estimate makes all of
# it late.
WAIT_SHARE = 0.3
# Factor by which the waits of requests of uneven sizes, placed before the endpoints'
# queues are known exactly, exceed those of the model.
WAIT_FACTOR = 2.0
# Number of mean requests that fit into an objective, while their time is not known.
ASSUMED_REQUESTS = 4
# Lower bound of the mean endpoint time. The waits of shorter requests don't matter.
MIN_REQUEST_TIME = timedelta(milliseconds=1)
# Smallest gain that counts, as a fraction of the highest price: without it, an endpoint
# without a price would be ordered however little it saves.
MIN_GAIN = 0.001
# Margin in price and load by which endpoints already ordered are kept. Small changes of
# the load would otherwise order and release the same endpoint in turn.
KEEP_MARGIN = 0.2


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """Demand for the endpoints of a service.

    :param load: number of endpoints that the current load would keep fully busy.
    :param variation: variation of the load in the last minute.
    :param objective: time within which responses should begin.
    :param request_time: mean endpoint time of a request; None if unknown.
    :param limited: number of running endpoints that take only a limited rate. Each has
        another one beside it that carries what it doesn't take.
    """

    load: float
    variation: LoadVariation
    objective: timedelta
    request_time: timedelta | None = None
    limited: int = 0

    @property
    def is_valid(self) -> bool:
        """Whether the inputs are numbers that a decision can be based on."""
        variation = self.variation
        loads = (
            self.load,
            variation.mean,
            variation.deviation,
            variation.maximum,
            variation.rise,
        )
        return self.objective > timedelta() and all(
            isfinite(load) and load >= 0 for load in loads
        )

    @property
    def expected_load(self) -> float:
        """Load by the time that an endpoint ordered now serves."""
        return self.load + self.variation.rise

    @property
    def usual_peak(self) -> float:
        """Load that must be carried also after the loss of a zone."""
        high = self.variation.mean + self.variation.deviation
        return max(self.expected_load, min(high, self.variation.maximum))

    @property
    def mean_request_time(self) -> timedelta:
        """Mean endpoint time of a request, or an assumed one."""
        known = self.request_time
        if known is None:
            known = self.objective / ASSUMED_REQUESTS
        return max(known, MIN_REQUEST_TIME)

    def waiting_places(self) -> float:
        """Return how many requests may wait for each endpoint."""
        slack = max(self.objective - self.mean_request_time, timedelta())
        return slack * WAIT_SHARE / (self.mean_request_time * WAIT_FACTOR)

    def levels(self) -> tuple[tuple[float, float], ...]:
        """Return the expected levels of the load, each with its fraction of time."""
        mean, deviation = self.variation.mean, self.variation.deviation
        return (
            (EXPECTED_SHARE, self.expected_load),
            (HIGH_SHARE, mean + deviation),
            (LOW_SHARE, max(mean - deviation, 0.0)),
            (PEAK_SHARE, max(self.variation.maximum, self.expected_load)),
        )


@dataclass(frozen=True, slots=True)
class TargetFleet:
    """Endpoints that a service should have.

    :param on_demand: on-demand endpoints in addition to the reclaimable ones.
    :param reclaimable: reclaimable endpoints by zone.
    :param on_demand_alone: on-demand endpoints while no reclaimable ones are available.
    :param required: endpoints that carry the current load, without a lost zone's.
    """

    on_demand: int
    reclaimable: Mapping[str, int]
    on_demand_alone: int
    required: int


def is_priced(bounds: ScaleBounds) -> bool:
    """Return whether all prices are known and none is negative."""
    prices = (bounds.reclaimable_price, *bounds.zone_prices.values())
    return bool(bounds.zone_prices) and all(
        isfinite(price) and price >= 0 for price in prices
    )


def target_fleet(
    demand: ServiceDemand, bounds: ScaleBounds, margin: float = 0.0
) -> TargetFleet:
    """Return the endpoints that are worth their price.

    :param margin: fraction by which prices count as lower and the load as higher. With
        ``KEEP_MARGIN``, the result is what is kept if it was ordered before.
    """
    return _FleetChoice(demand, bounds, margin).target()


def missed_share(endpoints: int, load: float, waiting_places: float) -> float:
    """Return the fraction of the requests that can't be served in time.

    :param load: number of endpoints that the requests would keep fully busy.
    :param waiting_places: number of requests that may wait, over all endpoints.
    """
    return _missed_shares(endpoints, load, waiting_places / max(endpoints, 1))[-1]


def _missed_shares(
    max_endpoints: int, load: float, places_per_endpoint: float
) -> list[float]:
    """Return the fraction of the requests that miss, by number of endpoints from 0."""
    if load <= 0:
        return [0.0] * (max_endpoints + 1)
    blocked = 1.0
    shares = [blocked]
    for count in range(1, max_endpoints + 1):
        # Erlang's loss formula, without waiting places.
        blocked = load * blocked / (count + load * blocked)
        places = places_per_endpoint * count
        shares.append(_with_waiting_places(blocked, load / count, places))
    return shares


def _with_waiting_places(blocked: float, utilization: float, places: float) -> float:
    """Return the fraction blocked if some more requests may wait.

    :param blocked: fraction blocked without waiting places.
    """
    if abs(utilization - 1) < 1e-6:
        return blocked / (1 + blocked * places)
    if utilization > 1:
        # Powers of the inverse, which don't overflow.
        inverse = 1 / utilization
        decay = inverse**places
        return blocked / (decay + blocked * (1 - decay) / (1 - inverse))
    decay = utilization**places
    waiting = utilization * (1 - decay) / (1 - utilization)
    return blocked * decay / (1 + blocked * waiting)


@dataclass(frozen=True, slots=True)
class _Counts:
    """Numbers of endpoints.

    :param reclaimable: reclaimable endpoints of each zone, the cheapest zone first.
    """

    on_demand: int
    reclaimable: tuple[int, ...]

    @property
    def total(self) -> int:
        return self.on_demand + sum(self.reclaimable)

    @property
    def left(self) -> int:
        """Endpoints that are left without any one zone's reclaimable ones."""
        return self.total - max(self.reclaimable)


class _FleetChoice:
    """Choice of the endpoints of one service."""

    def __init__(
        self, demand: ServiceDemand, bounds: ScaleBounds, margin: float
    ) -> None:
        self._demand = demand
        self._bounds = bounds
        self._margin = margin
        prices = bounds.zone_prices
        self._zones = sorted(prices, key=lambda zone: (prices[zone], zone))
        self._max_price = max(prices.values())
        self._max_total = bounds.max_endpoints * len(self._zones)
        self._missed = self._missed_by_count()

    def target(self) -> TargetFleet:
        """Return the endpoints that the service should have."""
        required = self._required(self._demand.usual_peak)
        counts = self._add_worthwhile(self._cheapest_surviving(required))
        return TargetFleet(
            counts.on_demand,
            dict(zip(self._zones, counts.reclaimable, strict=True)),
            self._on_demand_alone(),
            self._required(self._demand.load),
        )

    def _missed_by_count(self) -> list[float]:
        """Return the load that misses its objective, by number of endpoints."""
        places = self._demand.waiting_places()
        missed = [0.0] * (self._max_total + 1)
        for share, load in self._demand.levels():
            table = _missed_shares(self._max_total, load, places)
            for count, fraction in enumerate(table):
                missed[count] += share * load * fraction
        return missed

    def _required(self, load: float) -> int:
        """Return how many endpoints serve a load on time, at most the upper bound."""
        table = _missed_shares(
            self._max_total, load * (1 + self._margin), self._demand.waiting_places()
        )
        tolerated = 1 - ON_TIME_AFTER_LOSS
        enough = (count for count, share in enumerate(table) if share <= tolerated)
        required = next(enough, self._max_total) + self._demand.limited
        return min(required, self._max_total)

    def _price(self, zone: str, *, reclaimable: bool) -> float:
        price = self._bounds.zone_prices[zone] / (1 + self._margin)
        return price * self._bounds.reclaimable_price if reclaimable else price

    def _room(self, zone: str) -> int:
        """Return how many reclaimable endpoints a zone may get."""
        reserved = MIN_ON_DEMAND if zone == self._zones[0] else 0
        return max(self._bounds.max_endpoints - reserved, 1)

    def _cheapest_surviving(self, required: int) -> _Counts:
        """Return the cheapest endpoints of which enough are left without any one zone.

        If the bounds don't allow that, as many as possible are left.
        """
        levels = max(min(self._bounds.max_endpoints, required), 1)
        choices = [
            _Counts(on_demand, self._spread(required - on_demand, level))
            for on_demand in range(MIN_ON_DEMAND, max(required, MIN_ON_DEMAND) + 1)
            for level in range(1, levels + 1)
        ]
        return min(
            choices,
            key=lambda counts: (
                max(required - counts.left, 0),
                self._total_price(counts),
            ),
        )

    def _spread(self, needed: int, level: int) -> tuple[int, ...]:
        """Return reclaimable endpoints of which some are left without any one zone.

        :param needed: how many should be left.
        :param level: how many each zone may get.
        """
        # One is kept in each zone, so that orders show when there are more.
        least = max(self._bounds.min_endpoints, 1)
        spread = []
        for position, zone in enumerate(self._zones):
            wanted = min(level, needed) if position else level
            count = min(max(wanted, least), self._room(zone))
            spread.append(count)
            if position:
                needed -= count
        return tuple(spread)

    def _total_price(self, counts: _Counts) -> float:
        total = counts.on_demand * self._price(self._zones[0], reclaimable=False)
        for zone, count in zip(self._zones, counts.reclaimable, strict=True):
            total += count * self._price(zone, reclaimable=True)
        return total

    def _add_worthwhile(self, counts: _Counts) -> _Counts:
        """Add the next endpoint while it saves callers more than its price."""
        least = MIN_ENDPOINTS + self._demand.limited
        while counts.total < self._max_total:
            gain, following = max(self._next_steps(counts), key=lambda step: step[0])
            if gain <= MIN_GAIN * self._max_price and counts.total >= least:
                break
            counts = following
        return counts

    def _next_steps(self, counts: _Counts) -> list[tuple[float, _Counts]]:
        """Return the ways to add one endpoint, each with its gain per second."""
        steps = [
            self._step(
                counts,
                replace(counts, on_demand=counts.on_demand + 1),
                self._price(self._zones[0], reclaimable=False),
            )
        ]
        for position, zone in enumerate(self._zones):
            added = list(counts.reclaimable)
            added[position] += 1
            if added[position] <= self._room(zone):
                following = replace(counts, reclaimable=tuple(added))
                price = self._price(zone, reclaimable=True)
                steps.append(self._step(counts, following, price))
        return steps

    def _step(
        self, counts: _Counts, following: _Counts, price: float
    ) -> tuple[float, _Counts]:
        saved = self._missed_load(counts) - self._missed_load(following)
        return self._worth(saved) - price, following

    def _missed_load(self, counts: _Counts) -> float:
        """Return the load that misses its objective, with and without a lost zone."""
        return (1 - ZONE_LOSS_SHARE) * self._missed_with(
            counts.total
        ) + ZONE_LOSS_SHARE * self._missed_with(counts.left)

    def _missed_with(self, endpoints: int) -> float:
        usable = max(endpoints - self._demand.limited, 0)
        return self._missed[min(usable, self._max_total)]

    def _worth(self, saved_load: float) -> float:
        """Return what callers gain per second if some load is on time."""
        return saved_load * self._max_price * REQUEST_WORTH * LATE_LOSS

    def _on_demand_alone(self) -> int:
        """Return how many on-demand endpoints to have without reclaimable ones."""
        least = MIN_ON_DEMAND_ALONE + self._demand.limited
        count = max(least, self._required(self._demand.expected_load))
        price = self._price(self._zones[0], reclaimable=False)
        while count < self._max_total:
            saved = self._missed_with(count) - self._missed_with(count + 1)
            if self._worth(saved) - price <= MIN_GAIN * self._max_price:
                break
            count += 1
        return count
