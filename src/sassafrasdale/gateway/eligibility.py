"""Which endpoints may run a request: registered, of a usable version, responding."""

from collections.abc import Callable, Collection, Sequence

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.stream_versions import may_continue
from sassafrasdale.deployment import RequestTraits
from sassafrasdale.gateway.attempts import Attempt
from sassafrasdale.gateway.directory import Directory, EndpointRecord
from sassafrasdale.gateway.rollouts import Rollouts


class EndpointEligibility:
    """Endpoints that a request may be sent to, whatever their load.

    :param directory: registered endpoints.
    :param rollouts: which versions of a service's endpoints get requests.
    :param may_begin: returns whether streams of a service may begin at a version.
    """

    def __init__(
        self,
        directory: Directory,
        rollouts: Rollouts,
        may_begin: Callable[[str, str], bool],
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._rollouts = rollouts
        self._may_begin = may_begin
        self._clock = clock

    def endpoints(self, service: str) -> list[EndpointRecord]:
        """Return the endpoints of a service that may get requests."""
        return self._rollouts.usable(service, self._directory.of_service(service))

    def endpoints_for(
        self, service: str, traits: RequestTraits
    ) -> list[EndpointRecord]:
        """Return the endpoints of a service that may get a request."""
        listed = self._directory.of_service(service)
        usable = (
            self._rollouts.usable(service, listed)
            if traits.binding is None
            else self._rollouts.continuable(service, listed)
        )
        return [record for record in usable if self._may_run(record, service, traits)]

    def sample(
        self, service: str, route: str, traits: RequestTraits, tried: Collection[str]
    ) -> tuple[Sequence[EndpointRecord], list[EndpointRecord]]:
        """Return the canary endpoints for a request, and those of them it may try.

        A stream that has begun is never sampled.
        """
        if not self._rollouts or traits.binding is not None:
            return (), []
        registered = self._directory.of_service(service)
        sample = self._rollouts.sample(service, route, registered)
        return sample, [
            record
            for record in sample
            if record.name not in tried and self._may_run(record, service, traits)
        ]

    def may_use(
        self,
        record: EndpointRecord,
        service: str,
        traits: RequestTraits,
        tried: Collection[str],
    ) -> bool:
        """Return whether this gateway can use an endpoint that was assigned.

        This gateway may have learned first that the endpoint is leaving, or be the only
        one that can't reach it. A dispatcher of an earlier version ignores bindings.
        """
        if record.name in tried or not record.is_ready:
            return False
        if not self._may_run(record, service, traits):
            return False
        if traits.binding is None and not self._rollouts.usable(service, [record]):
            return False
        health = self._directory.health_of(service)
        return health.may_serve(record.name, self._clock.elapsed())

    def may_still_run(self, attempt: Attempt) -> bool:
        """Return whether an attempt's endpoint is ready and at the stream's version."""
        record = attempt.record
        if not record.is_ready:
            return False
        return attempt.binding is None or may_continue(
            attempt.binding, attempt.service, record.known_version
        )

    def _may_run(
        self, record: EndpointRecord, service: str, traits: RequestTraits
    ) -> bool:
        """Return whether a request may run at an endpoint's version."""
        if traits.binding is not None:
            return may_continue(traits.binding, service, record.known_version)
        return not traits.is_stream or self._may_begin(service, record.endpoint.version)
