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
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from math import ceil

from sassafrasdale.deployment import ScaleBounds

# Planned utilization of an endpoint. Requests come in bursts, and the first token of
# one waits for the prompts ahead of it.
TARGET_UTILIZATION = 0.22
# Maximum utilization of an endpoint after a zone's reclaimable ones were reclaimed,
# until their replacements have started.
MAX_UTILIZATION = 0.5
# Minimum number of endpoints at any load: one crash must not stop the service.
MIN_ENDPOINTS = 3
# Minimum number of on-demand endpoints at any load.
MIN_ON_DEMAND = 1
# The same while reclaimable ones may be unavailable: one may crash.
MIN_ON_DEMAND_ALONE = 2


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
    """

    service: str
    bounds: ScaleBounds
    running: Mapping[OrderKey, int]
    load: float
    load_known: bool = True
    has_canary: bool = False
    limited: int = 0


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
    bounds = service.bounds
    zones = sorted(
        bounds.zone_prices, key=lambda zone: (bounds.zone_prices[zone], zone)
    )
    needed = max(MIN_ENDPOINTS, ceil(service.load / TARGET_UTILIZATION))
    # Each of these has another one beside it that carries what it doesn't take.
    needed += service.limited
    if not service.load_known:
        needed += MIN_ON_DEMAND_ALONE
    has_unavailable = any(key.service == service.service for key in unavailable)
    on_demand = _on_demand_needed(service, has_unavailable=has_unavailable)
    # The same number in each zone, so that the loss of one zone costs as little as
    # possible.
    per_zone = min(
        max(ceil((needed - on_demand) / len(zones)), 1), bounds.max_endpoints
    )
    orders = {}
    for zone in zones:
        reserved = MIN_ON_DEMAND if zone == zones[0] else 0
        count = min(on_demand, max(_on_demand_places(service, zone), reserved))
        # Places that reclaimable endpoints do not fill go to on-demand ones. The lower
        # bound applies to the number ordered, even if the cloud cannot start them now.
        count = max(count, bounds.min_endpoints - per_zone, 0)
        on_demand -= count
        orders[OrderKey(service.service, zone, False)] = count
        reclaimable = min(per_zone, bounds.max_endpoints - count)
        orders[OrderKey(service.service, zone, True)] = reclaimable
    available = sum(
        _reclaimable_count(service, zone, per_zone, unavailable) for zone in zones
    )
    return FleetPlan(
        orders,
        f"load {service.load:.2f}, needed {needed}, limited {service.limited}, "
        f"reclaimable to be had {available}",
    )


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
