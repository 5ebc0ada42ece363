"""An entry's view of the fleet, and its conversion to the capacity plan's inputs."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from sassafrasdale.coordination.clouds import Price
from sassafrasdale.decisions.structures import (
    InstanceOffer,
    RunningInstance,
    ServiceDemand,
)
from sassafrasdale.duties.loads import Load
from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.text.structures import Service, ServiceKind, Text


@dataclass(frozen=True, slots=True)
class FleetView:
    """An entry's view of the fleet.

    :param text: the current configuration.
    :param endpoints: the endpoints that the platform lists.
    :param prices: the platform's prices.
    :param entries: number of live entries, including this one.
    """

    text: Text
    endpoints: tuple[Endpoint, ...]
    prices: tuple[Price, ...]
    entries: int = 1

    def of_service(self, service: Service) -> list[Endpoint]:
        """Return the endpoints of a service."""
        return [e for e in self.endpoints if e.instance.service == service.name]


def current_load(service: Service, view: FleetView) -> float:
    """Return the requests in flight at a service, from all entries.

    Engines report their load. Plain services don't, so the entry's own requests
    are multiplied by the number of entries, as the load balancer distributes
    requests evenly.
    """
    endpoints = view.of_service(service)
    own = sum(each.in_flight for each in endpoints)
    if service.kind is ServiceKind.PLAIN:
        return float(own * view.entries)
    return float(max(own, sum(each.reported_load for each in endpoints)))


def service_demand(service: Service, load: Load) -> ServiceDemand:
    """Return a service's demand; the configured counts are its minimum.

    :param load: load of the service over the last minute.
    """
    zones = [zone for pool in service.pools for zone in pool.availability_zones]
    return ServiceDemand(
        service=service.name,
        load=load.mean,
        growth=load.growth,
        availability_zones=tuple(dict.fromkeys(zones)),
        min_instances=sum(pool.count for pool in service.pools),
    )


def running_instances(endpoints: Iterable[Endpoint]) -> list[RunningInstance]:
    """Return ``endpoints`` in the form that the capacity plan uses."""
    return [
        RunningInstance(
            name=each.name,
            availability_zone=each.instance.availability_zone,
            instance_class=each.instance.instance_class,
            reclaimable=each.instance.reclaimable,
            in_flight=max(each.reported_load, each.in_flight),
            leaving=not each.takes_work,
        )
        for each in endpoints
    ]


def offers_for(service: Service, prices: Sequence[Price]) -> list[InstanceOffer]:
    """Return the kinds of instance that may be started for a service's pools."""
    return [
        InstanceOffer(
            price.availability_zone,
            price.instance_class,
            price.reclaimable,
            price.price_per_hour,
            float(pool.max_in_flight),
        )
        for pool in service.pools
        for price in prices
        if price.instance_class == pool.instance_class
        and price.availability_zone in pool.availability_zones
    ]
