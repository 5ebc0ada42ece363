"""How many endpoints of each kind a service should have, by zone.

A plan is a pure function of what is seen, so every holder of the duty makes the
same one and no state has to be handed over.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from sassafrasdale.gateway.models import ScaleBounds


@dataclass(frozen=True, slots=True)
class OrderKey:
    """A kind of endpoint that is ordered by itself."""

    service: str
    availability_zone: str
    reclaimable: bool


@dataclass(frozen=True, slots=True)
class PlannedService:
    """A service as the plan sees it.

    :param running: endpoints listed as ready, by kind.
    :param load: endpoints that the present load keeps busy.
    """

    service: str
    bounds: ScaleBounds
    running: Mapping[OrderKey, int]
    load: float


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Endpoints wanted of each kind.

    :param reason: the inputs that decided, for the logs.
    """

    orders: Mapping[OrderKey, int]
    reason: str


def plan_orders(service: PlannedService, dry: Collection[OrderKey]) -> FleetPlan:
    """Return the wanted endpoints of a service.

    :param dry: kinds that were not to be had a moment ago.
    """
    orders = {}
    for zone in service.bounds.zone_prices:
        orders[OrderKey(service.service, zone, False)] = 1
        orders[OrderKey(service.service, zone, True)] = 1
    return FleetPlan(orders, f"load {service.load:.2f}")
