"""Input of the autoscaler: services with their endpoints and load."""

from collections import Counter
from collections.abc import Callable, Mapping
from datetime import timedelta

from sassafrasdale.decisions.ordering import OrderKey, PlannedService
from sassafrasdale.deployment import Configuration
from sassafrasdale.gateway.directory import Directory, EndpointRecord
from sassafrasdale.gateway.rollouts import Rollouts


def planned_services(
    configuration: Configuration | None,
    directory: Directory,
    load: Callable[[str], float],
    rollouts: Rollouts,
    is_limited: Callable[[EndpointRecord], bool],
    request_time: Callable[[str], timedelta | None] = lambda service: None,
) -> tuple[PlannedService, ...]:
    """Return the services that the leader scales.

    Endpoints of a canary version are not counted: the leader did not order them, and
    the endpoints of the baseline version are still needed beside them.

    :param load: returns a service's load as a number of fully busy endpoints.
    :param rollouts: knows which versions are baseline and canary.
    :param is_limited: returns whether an endpoint has named a rate limit.
    :param request_time: returns the mean endpoint time of a service's requests; None if
        it is unknown.
    """
    if configuration is None:
        return ()
    return tuple(
        PlannedService(
            service.name,
            service.scale,
            _running(directory, service.name, rollouts),
            load(service.name),
            has_canary=_has_open_rollout(rollouts, service.name),
            limited=sum(
                is_limited(record)
                for record in _ready(directory, service.name, rollouts)
            ),
            objective=configuration.objective(service.name),
            request_time=request_time(service.name),
        )
        for service in configuration.services.values()
        if service.scale is not None
    )


def _has_open_rollout(rollouts: Rollouts, service: str) -> bool:
    rollout = rollouts.get(service)
    return rollout is not None and rollout.is_open


def _running(
    directory: Directory, service: str, rollouts: Rollouts
) -> Mapping[OrderKey, int]:
    return Counter(
        OrderKey(
            service, record.endpoint.availability_zone, record.endpoint.reclaimable
        )
        for record in _ready(directory, service, rollouts)
    )


def _ready(
    directory: Directory, service: str, rollouts: Rollouts
) -> list[EndpointRecord]:
    registered = directory.all_of_service(service)
    return [rec for rec in rollouts.usable(service, registered) if rec.is_ready]
