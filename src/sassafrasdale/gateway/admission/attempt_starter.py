"""Start of a request's next attempt: at which endpoint, and after which wait."""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.queued_requests import Rejection, RequestKey
from sassafrasdale.deployment import RequestTraits
from sassafrasdale.gateway.admission.attempt_queues import (
    AttemptQueues,
    PendingAttempt,
    Started,
    Unavailable,
    Waiting,
)
from sassafrasdale.gateway.admission.terms import AdmissionTerms
from sassafrasdale.gateway.attempts import Attempt
from sassafrasdale.gateway.dispatcher_client import DispatcherClient
from sassafrasdale.gateway.dispatcher_messages import (
    HOLD_TIME,
    Assignment,
    AssignmentRejected,
    AttemptResult,
    Queued,
)
from sassafrasdale.gateway.exceptions import RequestRefused
from sassafrasdale.gateway.fleet import Fleet


@dataclass(frozen=True, slots=True)
class AttemptRequest:
    """A request's need of an endpoint.

    :param tried: endpoints that it was sent to before.
    :param route: name of its route.
    :param is_retry: whether it was sent before.
    :param terms: on which terms it waits; None if it must be sent at once.
    :param check: called while it waits; raises the error that ends it.
    """

    service: str
    traits: RequestTraits
    tried: Collection[str]
    route: str = ""
    is_retry: bool = False
    terms: AdmissionTerms | None = None
    check: Callable[[], None] = lambda: None


class AttemptStarter:
    """Starts attempts: by the zone's dispatcher, or by this gateway's own choice.

    :param fleet: the endpoints.
    :param queues: requests that wait at this gateway.
    :param client: client of the dispatcher; None if this gateway always chooses itself.
    """

    def __init__(
        self,
        fleet: Fleet,
        queues: AttemptQueues,
        clock: Clock,
        client: DispatcherClient | None = None,
    ) -> None:
        self._fleet = fleet
        self._queues = queues
        self._clock = clock
        self._client = client

    def start(self, request: AttemptRequest) -> Attempt | None:
        """Start a request's next attempt, once an endpoint has room if it may wait.

        :returns: None if there is no endpoint.
        :raises RequestRefused: if the request can't be served in time.
        """
        attempt = self._start(request)
        if attempt is not None:
            attempt.route = request.route
            attempt.binding = request.traits.binding
        return attempt

    def _start(self, request: AttemptRequest) -> Attempt | None:
        if not request.is_retry:
            attempt = self._fleet.start_canary_attempt(
                request.service, request.traits, request.tried, request.route
            )
            if attempt is not None:
                return attempt
        if self._client is not None and self._fleet.is_dispatched(request.service):
            if request.terms is not None and not request.is_retry:
                return self._start_after_wait(request, request.terms)
            attempt = self._start_assigned(request)
            if attempt is not None:
                return attempt
        return self._start_local(request)

    def _start_local(self, request: AttemptRequest) -> Attempt | None:
        return self._fleet.start_local_attempt(
            request.service,
            request.traits,
            request.tried,
            self._fleet.backed_off(),
            is_retry=request.is_retry,
        )

    def _start_assigned(self, request: AttemptRequest) -> Attempt | None:
        backed_off = self._fleet.backed_off()
        if self._fleet.all_backed_off(request.service, backed_off):
            return None
        number = self._client.next_number()
        reply = self._client.request_assignment(
            number, request.service, request.traits, request.tried, backed_off
        )
        if not isinstance(reply, Assignment):
            return None
        return self._adopt(number, reply, request)

    def _start_after_wait(
        self, request: AttemptRequest, terms: AdmissionTerms
    ) -> Attempt | None:
        number = self._client.next_number()
        key = self._client.key_of(number)
        try:
            return self._wait(request, terms, number, key)
        finally:
            self._queues.remove(key)

    def _wait(
        self,
        request: AttemptRequest,
        terms: AdmissionTerms,
        number: int,
        key: RequestKey,
    ) -> Attempt | None:
        is_queued = False
        while True:
            self._check(request, number, is_queued)
            backed_off = self._fleet.backed_off()
            reply = None
            if not self._fleet.all_backed_off(request.service, backed_off):
                reply = self._client.request_assignment(
                    number,
                    request.service,
                    request.traits,
                    request.tried,
                    backed_off,
                    terms,
                    is_queued=is_queued,
                )
            is_queued = isinstance(reply, Queued)
            match reply:
                case Queued():
                    self._queues.remove(key)
                    continue
                case Assignment():
                    return self._adopt(number, reply, request) or self._start_local(
                        request
                    )
                case AssignmentRejected():
                    raise _refusal(reply.reason, timedelta(seconds=reply.retry_after_s))
            pending = PendingAttempt(
                key,
                request.service,
                request.traits,
                request.tried,
                backed_off,
                terms,
            )
            match self._queues.request(pending, HOLD_TIME):
                case Started(attempt):
                    return attempt
                case Rejection() as rejection:
                    raise _refusal(rejection.reason, rejection.retry_after)
                case Unavailable():
                    return self._start_local(request)
                case Waiting():
                    continue

    def _check(self, request: AttemptRequest, number: int, is_queued: bool) -> None:
        """Give the place up that the dispatcher keeps if nobody waits any more."""
        try:
            request.check()
        except BaseException:
            if is_queued:
                self._client.cancel(number)
            raise

    def _adopt(
        self, number: int, assigned: Assignment, request: AttemptRequest
    ) -> Attempt | None:
        """Return the attempt at an assigned endpoint; None if it can't be used here."""
        attempt = self._fleet.adopt_assignment(
            assigned, request.service, request.traits, request.tried
        )
        if attempt is None:
            self._client.record_end(number, AttemptResult.NEUTRAL)
            return None
        attempt.number = number
        attempt.assigned_by = self._client.dispatcher
        self._client.add_attempt(number, lambda: self._fleet.count_locally(attempt))
        return attempt


def _refusal(reason: str, retry_after: timedelta) -> RequestRefused:
    return RequestRefused(503, reason, retry_after=retry_after)
