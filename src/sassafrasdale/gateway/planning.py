"""Input of the autoscaler: services with their endpoints and load."""

from collections import Counter
from collections.abc import Callable, Mapping

from sassafrasdale.decisions.ordering import OrderKey, PlannedService
from sassafrasdale.deployment import Configuration
from sassafrasdale.gateway.directory import Directory
from sassafrasdale.gateway.rollouts import Rollouts


def planned_services(
    configuration: Configuration | None,
    directory: Directory,
    load: Callable[[str], float],
    rollouts: Rollouts,
) -> tuple[PlannedService, ...]:
    """Return the services that the leader scales.

    Endpoints of a canary version are not counted: the leader did not order them, and
    the endpoints of the baseline version are still needed beside them.

    :param load: returns a service's load as a number of fully busy endpoints.
    :param rollouts: knows which versions are baseline and canary.
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
        for record in rollouts.usable(service, directory.all_of_service(service))
        if record.is_ready
    )
