"""Sending of one request's attempts to endpoints."""

from collections.abc import Callable
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.deployment import RequestKind
from sassafrasdale.gateway.admitted_requests import AdmittedRequest
from sassafrasdale.gateway.attempts import Attempt
from sassafrasdale.gateway.failures import (
    NOT_CONNECTED,
    AttemptFailed,
    AttemptOutcome,
)
from sassafrasdale.gateway.fleet import Fleet
from sassafrasdale.gateway.forwarding.paths import (
    EndpointPaths,
    ForwarderRefused,
    ForwardWithheld,
    Hop,
    Path,
)
from sassafrasdale.gateway.quarantine.quarantine import RequestQuarantine
from sassafrasdale.http.exceptions import HttpError, MalformedResponse, NotConnected
from sassafrasdale.http.messages import Request, ResponseHead
from sassafrasdale.platform.headers import (
    REQUEST_ID,
    EndpointHeaders,
    endpoint_request,
    is_signed,
    states_not_run,
)
from sassafrasdale.platform.signals import read_signals


class AttemptSender:
    """Sends one request's attempts, and counts them.

    :param admitted: the request.
    :param fleet: counts attempts for the retry budget.
    :param quarantine: knows whether endpoints have crashed.
    :param paths: opens the way to an endpoint.
    :param fingerprint: returns the request's fingerprint, which costs a hash.
    :param resume_after: returns the id of the last event that its caller has; None if
        there was none.
    :param clock: source of elapsed time.
    """

    def __init__(
        self,
        admitted: AdmittedRequest,
        fleet: Fleet,
        quarantine: RequestQuarantine,
        paths: EndpointPaths,
        fingerprint: Callable[[], str],
        resume_after: Callable[[], int | None],
        clock: Clock,
    ) -> None:
        self._admitted = admitted
        self._fleet = fleet
        self._quarantine = quarantine
        self._paths = paths
        self._fingerprint = fingerprint
        self._resume_after = resume_after
        self._clock = clock
        self._sent = 0

    @property
    def sent(self) -> int:
        """Number of attempts that were sent."""
        return self._sent

    @property
    def may_send_more(self) -> bool:
        """Whether the route allows a further attempt."""
        return self._sent < self._admitted.route.max_attempts

    @property
    def time_left(self) -> timedelta:
        """Time until the request's deadline."""
        return self._admitted.deadline - self._clock.elapsed()

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is the highest."""
        admitted = self._admitted
        priority = admitted.route.priority
        if admitted.customer is not None and admitted.customer.priority is not None:
            priority = admitted.customer.priority
        return max(priority, 0)

    def open_path(self, attempt: Attempt) -> Path:
        """Return a way to an attempt's endpoint.

        :raises AttemptFailed: if there is none.
        """
        admitted = self._admitted
        hop = Hop(
            attempt.record.name,
            self._fingerprint,
            admitted.route.repeatable,
            admitted.deadline,
            "" if attempt.binding is None else attempt.binding.version,
            admitted.is_trial,
        )
        try:
            path = self._paths.open(attempt.record, hop)
        except NotConnected as error:
            raise AttemptFailed(AttemptOutcome.NOT_SENT, NOT_CONNECTED) from error
        attempt.forwarder = path.forwarder
        return path

    def check(self, attempt: Attempt) -> None:
        """Check that an attempt may be sent now.

        :raises AttemptFailed: if its endpoint takes none, or no time is left.
        """
        if not self._fleet.may_send(attempt):
            raise AttemptFailed(AttemptOutcome.WITHHELD, "endpoint takes none now")
        if self.time_left <= timedelta():
            raise AttemptFailed(AttemptOutcome.WITHHELD, "no time left")

    def send(self, path: Path, attempt: Attempt) -> ResponseHead:
        """Send the request and return the head of the endpoint's response.

        A forwarded attempt that did not reach the endpoint does not count.

        :raises AttemptFailed: if the endpoint takes no request now, or states that it
            did not run this one.
        :raises HttpError: if there is no response.
        """
        self.check(attempt)
        self._sent += 1
        is_retry = self._sent > 1
        if not path.forwarder:
            self._fleet.count_attempt(attempt, is_retry=is_retry)
        try:
            path.send(self._endpoint_request(attempt))
            echoed = (REQUEST_ID, self._admitted.request.header(REQUEST_ID))
            head = path.read_head(self._admitted.deadline, echoed)
        except (ForwarderRefused, ForwardWithheld):
            self._sent -= 1
            raise
        except HttpError:
            if path.forwarder:
                self._fleet.count_attempt(attempt, is_retry=is_retry)
            raise
        if path.forwarder:
            self._fleet.count_attempt(attempt, is_retry=is_retry)
        self._fleet.record_signals(attempt, read_signals(head))
        self._check_head(path, head)
        return head

    def is_stream(self, head: ResponseHead) -> bool:
        """Return whether a response is a stream."""
        return self._admitted.route.kind is RequestKind.STREAM and head.succeeded

    def read_body(self, path: Path) -> bytes:
        """Return the whole body of a response.

        :raises HttpError: if it is not complete.
        """
        body = path.read_body(self._admitted.deadline)
        path.check_complete(self._quarantine.is_serving)
        return body

    def _check_head(self, path: Path, head: ResponseHead) -> None:
        """Check that a response is one of the endpoint that ran the request.

        :raises AttemptFailed: if it states that the request did not run.
        :raises MalformedResponse: if it is not signed.
        """
        if states_not_run(head):
            path.read_body(self._admitted.deadline)
            raise AttemptFailed(AttemptOutcome.NOT_RUN, f"refused with {head.status}")
        if head.succeeded and not is_signed(head):
            raise MalformedResponse("a success without a signature")

    def _endpoint_request(self, attempt: Attempt) -> Request:
        admitted = self._admitted
        # Plain services know no priorities.
        is_stream = admitted.route.kind is RequestKind.STREAM
        headers = EndpointHeaders(
            endpoint=attempt.record.name,
            customer=admitted.customer_name,
            time_left=self.time_left,
            priority=self.priority if is_stream else None,
            resume_after=self._resume_after(),
            fetch_from=attempt.source.endpoint.address if attempt.source else None,
        )
        return endpoint_request(admitted.request, headers)
