"""Times that requests are expected to take at their endpoints."""

from collections.abc import Callable, Sequence
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.endpoint_delays import EndpointDelays
from sassafrasdale.decisions.endpoint_room import longest_queue
from sassafrasdale.deployment import Configuration, RequestTraits
from sassafrasdale.gateway.attempts import Attempt
from sassafrasdale.gateway.directory import EndpointRecord
from sassafrasdale.gateway.placement import (
    PLAIN_REQUEST_TIME,
    RUNNING_REQUEST_TIME,
    shared_parts,
)
from sassafrasdale.gateway.plain_endpoints import PlainEndpoints
from sassafrasdale.gateway.prefill_times import PrefillTimes

# Time from the choice of a plain endpoint until the gateway has sent the request.
SEND_TIME = timedelta(milliseconds=10)


class EndpointTimes:
    """Expected endpoint times of requests, for the queues that they wait in.

    :param registered: returns the endpoints of a service.
    :param plain_endpoints: usual response times of plain services.
    :param prefill_times: times per prompt token of engines.
    :param clock: source of elapsed time.
    """

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        registered: Callable[[str], Sequence[EndpointRecord]],
        plain_endpoints: PlainEndpoints,
        prefill_times: PrefillTimes,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._registered = registered
        self._plain_endpoints = plain_endpoints
        self._prefill_times = prefill_times
        self._clock = clock
        self._delays: dict[str, EndpointDelays] = {}

    def cost_of(self, service: str, traits: RequestTraits) -> timedelta:
        """Return the endpoint time that a request is expected to take.

        A plain endpoint gives a second per second, whatever its slots. The engines that
        own the shared parts of a prompt have them cached.
        """
        if self._is_plain(service):
            return self._plain_cost(service)
        cached = sum(part.tokens for part in shared_parts(traits))
        unread = max((traits.prompt_tokens or 0) - cached, 0)
        return RUNNING_REQUEST_TIME + unread * self._prefill_times.token_time(service)

    def delay_of(self, service: str, priority: int) -> timedelta:
        """Return how much longer than its cost a request takes at its endpoint.

        An engine queues it, and a plain endpoint runs others at the same time.
        """
        objective = self._configuration().objective(service)
        if objective is None:
            return timedelta()
        if self._is_plain(service):
            longest = self._plain_endpoints.high_time(service) or PLAIN_REQUEST_TIME
            return longest + SEND_TIME - self._plain_cost(service)
        delays = self._delays_of(service)
        return delays.expected(
            priority, longest_queue(objective), objective, self._clock.elapsed()
        )

    def observe(self, attempt: Attempt, took: timedelta) -> None:
        """Record the response time of an attempt, or its time to first token."""
        service = attempt.service
        if self._is_plain(service):
            self._plain_endpoints.observe(service, attempt.record.name, took)
        elif attempt.priority is not None:
            prefill = attempt.prefill_tokens * self._prefill_times.token_time(service)
            self._delays_of(service).observe(
                attempt.priority,
                took - RUNNING_REQUEST_TIME - prefill,
                self._clock.elapsed(),
            )

    def _is_plain(self, service: str) -> bool:
        return self._configuration().service(service).engine is None

    def _plain_cost(self, service: str) -> timedelta:
        usual = self._plain_endpoints.usual_time(service) or PLAIN_REQUEST_TIME
        registered = self._registered(service)
        return usual / max((record.endpoint.slots for record in registered), default=1)

    def _delays_of(self, service: str) -> EndpointDelays:
        return self._delays.setdefault(service, EndpointDelays())
