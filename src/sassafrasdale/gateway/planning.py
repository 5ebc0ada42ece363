"""What the holder of the duties plans by: services with their endpoints and load."""

from collections import Counter
from collections.abc import Callable, Mapping

from sassafrasdale.decisions.ordering import OrderKey, PlannedService
from sassafrasdale.deployment import Configuration
from sassafrasdale.gateway.directory import Directory


def planned_services(
    configuration: Configuration | None,
    directory: Directory,
    load: Callable[[str], float],
) -> tuple[PlannedService, ...]:
    """Return the services whose endpoints may be ordered.

    :param load: returns the endpoints that a service's load keeps busy all the time.
    """
    if configuration is None:
        return ()
    return tuple(
        PlannedService(
            service.name,
            service.scale,
            _running(directory, service.name),
            load(service.name),
        )
        for service in configuration.services.values()
        if service.scale is not None
    )


def _running(directory: Directory, service: str) -> Mapping[OrderKey, int]:
    return Counter(
        OrderKey(
            service, record.endpoint.availability_zone, record.endpoint.reclaimable
        )
        for record in directory.all_of_service(service)
        if record.is_ready
    )
