"""Start of a request's next attempt: at which endpoint, and after which wait."""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.queued_requests import Rejection, RequestKey
from sassafrasdale.decisions.service_queue import (
    DEADLINE_UNREACHABLE,
    RETRY_AFTER_FRACTION,
)
from sassafrasdale.deployment import RequestTraits
from sassafrasdale.gateway.admission.attempt_queues import (
    AttemptQueues,
    Outcome,
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
    AssignmentReply,
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


@dataclass(slots=True)
class _Wait:
    """A request that waits for an endpoint.

    :param key: its key in this gateway's own queue.
    :param number: number of its attempt at the dispatcher.
    :param is_queued: whether the dispatcher has replied that it waits.
    :param backed_off: endpoints that want no requests from this gateway now.
    """

    request: AttemptRequest
    terms: AdmissionTerms
    key: RequestKey
    number: int
    is_queued: bool = False
    backed_off: Collection[str] = ()


class AttemptStarter:
    """Starts attempts: by the zone's dispatcher, or by this gateway's own choice.

    :param fleet: the endpoints.
    :param queues: requests that wait here, if this gateway is the dispatcher.
    :param clock: source of elapsed time.
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
        wait = _Wait(request, terms, self._client.key_of(number), number)
        try:
            while True:
                self._check(wait)
                match self._ask(wait):
                    case Assignment() as assigned:
                        return self._start_in_time(wait, assigned)
                    case AssignmentRejected(reason, retry_after_s, inputs):
                        retry_after = timedelta(seconds=retry_after_s)
                        raise _refusal(reason, retry_after, inputs)
                    case Queued():
                        self._queues.remove(wait.key)
                        continue
                if self._client.has_dispatcher:
                    # A local queue would rely on outdated load reports.
                    return self._start_local(request)
                match self._queue_here(wait):
                    case Started(attempt):
                        self._check_time(attempt, terms)
                        return attempt
                    case Rejection() as rejection:
                        raise _refusal(
                            rejection.reason, rejection.retry_after, rejection.inputs
                        )
                    case Unavailable():
                        return self._start_local(request)
        finally:
            self._queues.remove(wait.key)

    def _start_in_time(self, wait: _Wait, assigned: Assignment) -> Attempt | None:
        """Return the attempt that the dispatcher has started."""
        attempt = self._adopt(wait.number, assigned, wait.request)
        if attempt is None:
            return self._start_local(wait.request)
        self._check_time(attempt, wait.terms)
        return attempt

    def _check_time(self, attempt: Attempt, terms: AdmissionTerms) -> None:
        """End an attempt that would miss its deadline as its choice took too long."""
        left = terms.deadline - self._clock.elapsed()
        if left >= attempt.needed:
            return
        self._fleet.finish_attempt(attempt)
        needed = attempt.needed.total_seconds()
        inputs = f"left {left.total_seconds():.3f} s, needed {needed:.3f} s"
        retry_after = max(left, timedelta()) * RETRY_AFTER_FRACTION
        raise _refusal(DEADLINE_UNREACHABLE, retry_after, inputs)

    def _ask(self, wait: "_Wait") -> AssignmentReply | None:
        """Return the reply of another gateway as the dispatcher; None without one."""
        request = wait.request
        wait.backed_off = self._fleet.backed_off()
        reply = None
        if not self._fleet.all_backed_off(request.service, wait.backed_off):
            reply = self._client.request_assignment(
                wait.number,
                request.service,
                request.traits,
                request.tried,
                wait.backed_off,
                wait.terms,
                is_queued=wait.is_queued,
            )
        wait.is_queued = isinstance(reply, Queued)
        return reply

    def _queue_here(self, wait: "_Wait") -> Outcome | Waiting:
        """Return what becomes of a request in this gateway's own queue."""
        request = wait.request
        pending = PendingAttempt(
            wait.key,
            request.service,
            request.traits,
            request.tried,
            wait.backed_off,
            wait.terms,
        )
        return self._queues.request(pending, HOLD_TIME)

    def _check(self, wait: "_Wait") -> None:
        """Run the request's check; if it raises, cancel its queue position."""
        try:
            wait.request.check()
        except BaseException:
            if wait.is_queued:
                self._client.cancel(wait.number)
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


def _refusal(reason: str, retry_after: timedelta, inputs: str) -> RequestRefused:
    return RequestRefused(503, reason, retry_after=retry_after, inputs=inputs)
