"""Plain endpoints that the zone's dispatcher assigns, and which of them are slow."""

from collections.abc import Callable, Collection, Mapping
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.response_times import ResponseTimes
from sassafrasdale.deployment import Configuration
from sassafrasdale.gateway.directory import Directory
from sassafrasdale.gateway.peering import Peering

# CPU cores of a dispatcher from which on it assigns plain endpoints. On a smaller one,
# the assignment takes as long as the request.
MIN_DISPATCHER_CORES = 0.3
# Slots of a plain service for each gateway below which a dispatcher assigns them.
MIN_SLOTS_PER_GATEWAY = 2


class PlainEndpoints:
    """Which plain services a dispatcher assigns, and what is observed of all.

    :param directory: registered endpoints.
    :param peering: the other gateways.
    :param configuration: returns the current configuration.
    :param clock: source of elapsed time.
    """

    def __init__(
        self,
        directory: Directory,
        peering: Peering,
        configuration: Callable[[], Configuration],
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._peering = peering
        self._configuration = configuration
        self._clock = clock
        self._assigned: dict[str, bool] = {}
        self._response_times: dict[str, ResponseTimes] = {}

    def refresh(self) -> None:
        """Discard what follows from the last reports of the other gateways."""
        self._assigned.clear()

    def is_assigned(self, service: str) -> bool:
        """Return whether the zone's dispatcher assigns a plain service's endpoints.

        It does where there are few slots for each gateway, and it has the CPU for it. A
        request there ends before the other gateways hear of it. With fewer than two
        slots for each gateway, their choices meet at one endpoint while another is
        idle.
        """
        configuration = self._configuration()
        if configuration.objective(service) is None:
            return False
        if configuration.service(service).engine is not None:
            return False
        if service not in self._assigned:
            registered = self._directory.of_service(service)
            slots = sum(record.endpoint.slots for record in registered)
            least = MIN_SLOTS_PER_GATEWAY * self._peering.gateway_count()
            has_enough_cores = self._peering.dispatcher_cores() >= MIN_DISPATCHER_CORES
            self._assigned[service] = has_enough_cores and slots < least
        return self._assigned[service]

    def slow(self, service: str, names: Collection[str]) -> Mapping[str, float] | None:
        """Return the factors of slow endpoints; None if gateways choose themselves."""
        if not self.is_assigned(service):
            return None
        return self._times_of(service).slowness(names, self._clock.elapsed())

    def usual_time(self, service: str) -> timedelta | None:
        """Return the usual response time of a service; None if it is not known."""
        return self._times_of(service).usual_time()

    def high_time(self, service: str) -> timedelta | None:
        """Return the time that most responses of a service take at the most."""
        return self._times_of(service).high_time(self._clock.elapsed())

    def observe(self, service: str, endpoint: str, took: timedelta) -> None:
        """Record a response of a plain service whose requests may wait."""
        if self._configuration().objective(service) is not None:
            self._times_of(service).observe(endpoint, took, self._clock.elapsed())

    def forget(self, endpoint: str) -> None:
        """Drop the response times of an endpoint that is gone."""
        for times in self._response_times.values():
            times.forget(endpoint)

    def _times_of(self, service: str) -> ResponseTimes:
        return self._response_times.setdefault(service, ResponseTimes())
