"""Planned number of endpoints of each kind per availability zone.

The plan is a pure function of the observed state, so every leader computes the same
one.

Reclaimable endpoints cost a fraction of on-demand ones, but the cloud may reclaim all
of a zone's at a few seconds' notice, one zone after another, with none available
anywhere for a while. The plan therefore always provides enough endpoints to carry the
load at the maximum utilization without those of the zone that has most of them. If the
reclaimable endpoints of the other zones don't suffice for that, on-demand ones are
ordered in the cheapest zones. One on-demand endpoint always has a place in the cheapest
zone, and those that serve stay until others have replaced them: both kinds share a
zone's upper bound. Once a zone has no reclaimable endpoints available, the next zones
are likely to follow, and enough on-demand ones are ordered to carry the load alone.
While the load is not known yet, extra reclaimable ones are provided.

Where a route of the service names an objective, and the load and its variation are
known, the numbers don't follow from utilizations but from what endpoints are worth to
callers (``endpoint_value``).
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from math import ceil, isfinite

from sassafrasdale.decisions.endpoint_value import (
    KEEP_MARGIN,
    MIN_ENDPOINTS,
    MIN_ON_DEMAND,
    MIN_ON_DEMAND_ALONE,
    ServiceDemand,
    TargetFleet,
    is_priced,
    target_fleet,
)
from sassafrasdale.decisions.load_history import LoadVariation
from sassafrasdale.deployment import ScaleBounds

# Planned utilization of an endpoint. Requests come in bursts, and the first token of
# one waits for the prompts ahead of it.
TARGET_UTILIZATION = 0.22
# Maximum utilization of an endpoint after a zone's reclaimable ones were reclaimed,
# until their replacements have started.
MAX_UTILIZATION = 0.5


@dataclass(frozen=True, slots=True)
class OrderKey:
    """A kind of endpoint that is ordered separately."""

    service: str
    availability_zone: str
    reclaimable: bool


@dataclass(frozen=True, slots=True)
class PlannedService:
    """State of a service for the plan.

    :param running: endpoints listed as ready, by kind.
    :param load: number of endpoints that the current load would keep fully busy.
    :param load_known: whether the load was measured; otherwise it is an estimate.
    :param has_canary: whether endpoints of a canary version run in addition to these.
    :param limited: number of running endpoints that take only a limited rate.
    :param objective: shortest objective of the service's routes; None without any.
    :param request_time: mean endpoint time of a request; None if unknown.
    :param variation: variation of the load; None if it is not known yet.
    :param ordered: endpoints that run or were ordered, by kind.
    """

    service: str
    bounds: ScaleBounds
    running: Mapping[OrderKey, int]
    load: float
    load_known: bool = True
    has_canary: bool = False
    limited: int = 0
    objective: timedelta | None = None
    request_time: timedelta | None = None
    variation: LoadVariation | None = None
    ordered: Mapping[OrderKey, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Number of endpoints to order of each kind.

    :param reason: the inputs that determined the plan, for the logs.
    """

    orders: Mapping[OrderKey, int]
    reason: str


def plan_orders(
    service: PlannedService, unavailable: Collection[OrderKey]
) -> FleetPlan:
    """Return the number of endpoints of each kind to order for a service.

    :param unavailable: reclaimable kinds that the cloud could not provide recently.
    """
    demand = _demand(service)
    if demand is None:
        return _plan_by_utilization(service, unavailable)
    return _plan_by_value(service, demand, unavailable)


def _plan_by_utilization(
    service: PlannedService, unavailable: Collection[OrderKey]
) -> FleetPlan:
    bounds = service.bounds
    zones = _zones_by_price(bounds)
    needed = max(MIN_ENDPOINTS, ceil(service.load / TARGET_UTILIZATION))
    # Each of these has another one beside it that carries what it doesn't take.
    needed += service.limited
    if not service.load_known:
        needed += MIN_ON_DEMAND_ALONE
    has_unavailable = _has_unavailable(service, unavailable)
    on_demand = _on_demand_needed(service, has_unavailable=has_unavailable)
    # The same number in each zone, so that the loss of one zone costs as little as
    # possible.
    per_zone = min(
        max(ceil((needed - on_demand) / len(zones)), 1), bounds.max_endpoints
    )
    orders = _orders_within_bounds(service, on_demand, dict.fromkeys(zones, per_zone))
    available = sum(
        _reclaimable_count(service, zone, per_zone, unavailable) for zone in zones
    )
    return FleetPlan(
        orders,
        f"load {service.load:.2f}, needed {needed}, limited {service.limited}, "
        f"reclaimable to be had {available}",
    )


def _demand(service: PlannedService) -> ServiceDemand | None:
    """Return what a decision by value needs; None if some of it is not known."""
    variation = service.variation
    is_known = service.load_known and variation is not None
    if service.objective is None or not is_known or not is_priced(service.bounds):
        return None
    # A load that is no number is replaced by the highest one of the last minute.
    is_valid = isfinite(service.load) and service.load >= 0
    demand = ServiceDemand(
        service.load if is_valid else variation.maximum,
        variation,
        service.objective,
        service.request_time,
        service.limited,
    )
    return demand if demand.is_valid else None


def _plan_by_value(
    service: PlannedService, demand: ServiceDemand, unavailable: Collection[OrderKey]
) -> FleetPlan:
    """Plan what is worth its price, and keep what was ordered and is worth nearly it.

    The reclaimable endpoints don't depend on how many run: those that are missing are
    ordered again. Meanwhile on-demand ones replace them.
    """
    worthwhile = target_fleet(demand, service.bounds)
    kept = target_fleet(demand, service.bounds, KEEP_MARGIN)
    has_unavailable = _has_unavailable(service, unavailable)
    on_demand = _within(
        sum(n for key, n in service.ordered.items() if not key.reclaimable),
        _on_demand_worthwhile(service, worthwhile, has_unavailable=has_unavailable),
        _on_demand_worthwhile(service, kept, has_unavailable=has_unavailable),
    )
    reclaimable = {
        zone: _within(
            service.ordered.get(OrderKey(service.service, zone, True), 0),
            count,
            kept.reclaimable[zone],
        )
        for zone, count in worthwhile.reclaimable.items()
    }
    orders = _orders_within_bounds(service, on_demand, reclaimable)
    return FleetPlan(
        orders,
        _value_reason(service, demand, worthwhile, has_unavailable=has_unavailable),
    )


def _on_demand_worthwhile(
    service: PlannedService, target: TargetFleet, *, has_unavailable: bool
) -> int:
    """Return how many on-demand endpoints are needed besides the reclaimable ones.

    :param has_unavailable: whether reclaimable ones are unavailable. Those that run
        count as lost: the next zones are likely to follow.
    """
    if has_unavailable:
        return max(target.on_demand, target.on_demand_alone)
    return max(target.on_demand, target.required - _left_after_reclaim(service))


def _within(ordered: int, lower: int, upper: int) -> int:
    """Return the number ordered, if it is within bounds, or the nearest bound."""
    return max(lower, min(ordered, upper))


def _value_reason(
    service: PlannedService,
    demand: ServiceDemand,
    target: TargetFleet,
    *,
    has_unavailable: bool,
) -> str:
    variation = demand.variation
    request_time = demand.mean_request_time.total_seconds()
    source = "assumed" if demand.request_time is None else "measured"
    return (
        f"load {demand.load:.2f}, mean {variation.mean:.2f}, "
        f"deviation {variation.deviation:.2f}, maximum {variation.maximum:.2f}, "
        f"rise {variation.rise:.2f}, limited {demand.limited}, "
        f"objective {demand.objective.total_seconds():.3f} s, "
        f"request time {request_time:.4f} s {source}, "
        f"required without a zone {target.required}, "
        f"left without a zone {_left_after_reclaim(service)}, "
        f"worthwhile {target.on_demand} + {sum(target.reclaimable.values())}, "
        f"reclaimable {'unavailable' if has_unavailable else 'available'}"
    )


def _zones_by_price(bounds: ScaleBounds) -> list[str]:
    return sorted(bounds.zone_prices, key=lambda zone: (bounds.zone_prices[zone], zone))


def _has_unavailable(
    service: PlannedService, unavailable: Collection[OrderKey]
) -> bool:
    return any(key.service == service.service for key in unavailable)


def _orders_within_bounds(
    service: PlannedService, on_demand: int, reclaimable: Mapping[str, int]
) -> dict[OrderKey, int]:
    """Return the orders, within the bounds of each zone.

    :param on_demand: number of on-demand endpoints, over all zones.
    :param reclaimable: number of reclaimable ones by zone.
    """
    bounds = service.bounds
    zones = _zones_by_price(bounds)
    orders = {}
    for zone in zones:
        reserved = MIN_ON_DEMAND if zone == zones[0] else 0
        count = min(on_demand, max(_on_demand_places(service, zone), reserved))
        # Places that reclaimable endpoints do not fill go to on-demand ones. The lower
        # bound applies to the number ordered, even if the cloud cannot start them now.
        count = max(count, bounds.min_endpoints - reclaimable[zone], 0)
        on_demand -= count
        orders[OrderKey(service.service, zone, False)] = count
        orders[OrderKey(service.service, zone, True)] = min(
            reclaimable[zone], bounds.max_endpoints - count
        )
    return orders


def _on_demand_needed(service: PlannedService, *, has_unavailable: bool) -> int:
    """Return how many on-demand endpoints are needed."""
    if not service.load_known:
        # Running ones stay until reclaimable ones, at a fifth of the price, are ready
        # in other zones.
        replaced = _left_after_reclaim(service) >= MIN_ON_DEMAND_ALONE
        return MIN_ON_DEMAND if replaced else MIN_ON_DEMAND_ALONE
    at_max_utilization = ceil(service.load / MAX_UTILIZATION)
    if has_unavailable:
        return max(MIN_ON_DEMAND_ALONE, at_max_utilization)
    return max(MIN_ON_DEMAND, at_max_utilization - _left_after_reclaim(service))


def _on_demand_places(service: PlannedService, zone: str) -> int:
    """Return how many on-demand endpoints fit into a zone.

    Both kinds share a zone's upper bound. Running reclaimable endpoints are not
    displaced. Those that are only ordered take no place: otherwise a serving endpoint
    would be released for one that may never start. One place is left for a reclaimable
    endpoint, so that it continues to be ordered.
    """
    running = service.running.get(OrderKey(service.service, zone, True), 0)
    return service.bounds.max_endpoints - max(running, 1)


def _left_after_reclaim(service: PlannedService) -> int:
    """Return how many reclaimable endpoints run outside the zone that has most."""
    running = [count for key, count in service.running.items() if key.reclaimable]
    return sum(running) - max(running, default=0)


def _reclaimable_count(
    service: PlannedService, zone: str, wanted: int, unavailable: Collection[OrderKey]
) -> int:
    """Return how many reclaimable endpoints a zone has or will soon have."""
    key = OrderKey(service.service, zone, True)
    if key in unavailable:
        return min(service.running.get(key, 0), wanted)
    return wanted
