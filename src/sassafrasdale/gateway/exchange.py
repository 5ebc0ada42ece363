"""Forwarding of one request to endpoints until one responds.

Whether a failed attempt may be retried depends on what is known of it: nothing was
sent, the endpoint reports that it did not run the request, or it may have run.
"""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from functools import cached_property

from logbook import Logger

from sassafrasdale.clock import Clock, milliseconds, optional_milliseconds
from sassafrasdale.decisions.stream_versions import StreamBinding
from sassafrasdale.decisions.strikes import PART_PREFIX
from sassafrasdale.deployment import RequestKind
from sassafrasdale.gateway.admission.attempt_starter import (
    AttemptRequest,
    AttemptStarter,
)
from sassafrasdale.gateway.admission.terms import AdmissionTerms
from sassafrasdale.gateway.admitted_requests import AdmittedRequest
from sassafrasdale.gateway.advertisements.endpoint_gate import NO_ENDPOINT_RETRY_AFTER
from sassafrasdale.gateway.attempts import Attempt
from sassafrasdale.gateway.directory import EndpointRecord
from sassafrasdale.gateway.events import EventSplitter
from sassafrasdale.gateway.exceptions import RequestRefused, StreamInterrupted
from sassafrasdale.gateway.failures import (
    CONNECTION_LOST,
    NOT_CONNECTED,
    AttemptFailed,
    AttemptOutcome,
    reason_of,
)
from sassafrasdale.gateway.fleet import Fleet
from sassafrasdale.gateway.forwarding.paths import (
    FORWARDER_LOST,
    MAX_FORWARDERS,
    EndpointPaths,
    ForwarderRefused,
    ForwardWithheld,
    Hop,
    Path,
)
from sassafrasdale.gateway.quarantine.fingerprints import RequestFeatures
from sassafrasdale.gateway.quarantine.quarantine import (
    QUARANTINE_RETRY_AFTER,
    QUARANTINED,
    RequestQuarantine,
)
from sassafrasdale.gateway.quarantine.soundness import RunProgress
from sassafrasdale.gateway.streams.continuations import StreamContinuations
from sassafrasdale.http.exceptions import (
    CallerDisconnected,
    HttpError,
    MalformedResponse,
    NotConnected,
)
from sassafrasdale.http.messages import Request, ResponseHead
from sassafrasdale.http.server import ServerConnection
from sassafrasdale.platform.headers import (
    REQUEST_ID,
    EndpointHeaders,
    caller_headers,
    endpoint_request,
    is_signed,
    states_not_run,
)
from sassafrasdale.platform.signals import read_signals

log = Logger("exchange")

# A stream that another endpoint could resume is abandoned after this time without data.
# Its caller gives up after a gap of two seconds or more.
STREAM_IDLE_TIMEOUT = timedelta(seconds=1.2)
# Reason and Retry-After while this gateway is stopping; the balancer sends the retry to
# another one.
STOPPING = "stopping"
STOPPING_RETRY_AFTER = timedelta(milliseconds=50)
# Most parts of a prompt in one log line.
MAX_LOGGED_PARTS = 16
# Most gaps between a stream's events that are recorded to estimate the engine's speed.
MAX_EVENT_GAPS = 64


class RequestExchange:
    """Forwards one request to endpoints and relays the response.

    :param admitted: the request.
    :param caller: the caller's connection.
    :param fleet: chooses endpoints and tracks their load.
    :param quarantine: records endpoints that crash while they run the request.
    :param paths: opens the way to an endpoint.
    :param continuations: records which versions begin streams.
    :param clock: source of elapsed time.
    :param starter: starts the attempts.
    :param last_end: returns the elapsed time by which requests must end; None for no
        limit.
    """

    def __init__(
        self,
        admitted: AdmittedRequest,
        caller: ServerConnection,
        fleet: Fleet,
        quarantine: RequestQuarantine,
        paths: EndpointPaths,
        continuations: StreamContinuations,
        clock: Clock,
        starter: AttemptStarter,
        last_end: Callable[[], timedelta | None] = lambda: None,
    ) -> None:
        self._starter = starter
        self._last_end = last_end
        self._continuations = continuations
        self._quarantine = quarantine
        self._paths = paths
        self._admitted = admitted
        self._caller = caller
        self._fleet = fleet
        self._clock = clock
        self._attempts = 0
        self._tried: set[str] = set(admitted.avoided)
        self._endpoint_crashed = False
        self._progress = RunProgress()
        self._may_have_run = False
        self._splitter = EventSplitter(admitted.traits.resume_after)
        self._first_byte_at: timedelta | None = None
        self._waited = timedelta()
        self._last_failure = ""
        self._not_retried = ""
        self._endpoint: str | None = None
        self._last_attempt: Attempt | None = None

    @property
    def last_attempt(self) -> Attempt | None:
        """The last attempt; None if there was none."""
        return self._last_attempt

    @property
    def endpoint(self) -> str | None:
        """Name of the endpoint of the last attempt."""
        return self._endpoint

    @property
    def waited(self) -> timedelta:
        """Time from the request's arrival until an endpoint was chosen."""
        return self._waited

    @property
    def attempts(self) -> int:
        """Number of attempts."""
        return self._attempts

    @property
    def first_byte_after(self) -> timedelta | None:
        """Time to the first byte of a response; None if there was none."""
        if self._first_byte_at is None:
            return None
        return self._first_byte_at - self._admitted.received_at

    def run(self) -> int:
        """Respond to the caller and return the status.

        :raises RequestRefused: if no endpoint responds and no response has begun; with
            status 503 the request did not run.
        :raises StreamBrokenOff: if a stream that has begun can't be resumed.
        :raises CallerDisconnected: if the caller disconnects.
        """
        while True:
            attempt = self._start_attempt()
            try:
                return self._run_attempt(attempt)
            except AttemptFailed as failure:
                if not self._may_send_again(failure):
                    self._give_up(failure)

    def _start_attempt(self) -> Attempt:
        admitted = self._admitted
        self._give_up_if_quarantined()
        is_retry = self._attempts > 0
        attempt = self._starter.start(
            AttemptRequest(
                admitted.service,
                admitted.traits,
                self._tried,
                admitted.route.name,
                is_retry,
                self._terms(),
                self._check_waiting,
            )
        )
        if attempt is None:
            self._give_up_unsent()
        if not is_retry:
            self._waited = self._clock.elapsed() - admitted.received_at
        self._tried.add(attempt.record.name)
        if self._caller.response_started:
            log.info(
                "stream resumed",
                endpoint=attempt.record.name,
                software=attempt.record.endpoint.version or None,
                events=self._splitter.count,
            )
        self._endpoint = attempt.record.name
        self._last_attempt = attempt
        return attempt

    def _terms(self) -> AdmissionTerms | None:
        """Return on which terms the request may wait; None if it may not.

        One that was sent before, or whose stream has begun, has used its wait.
        """
        admitted = self._admitted
        objective = admitted.route.objective
        if objective is None or admitted.traits.binding is not None:
            return None
        began_at = admitted.received_at - admitted.time_spent
        return AdmissionTerms(
            admitted.customer_name,
            self._queue_priority(),
            began_at,
            began_at + objective,
            admitted.deadline,
        )

    def _check_waiting(self) -> None:
        """End a request that waits, if nobody waits for it or this gateway stops."""
        if self._caller.is_disconnected:
            raise CallerDisconnected
        self._give_up_if_quarantined()
        last_end = self._last_end()
        if last_end is not None and self._admitted.deadline > last_end:
            raise RequestRefused(503, STOPPING, retry_after=STOPPING_RETRY_AFTER)

    def _run_attempt(self, attempt: Attempt) -> int:
        """Send the request to an endpoint and relay its response."""
        try:
            return self._try_forwarders(attempt)
        except AttemptFailed as failure:
            self._record_failure(attempt, failure)
            raise
        finally:
            self._fleet.finish_attempt(attempt)

    def _try_forwarders(self, attempt: Attempt) -> int:
        """Run an attempt, where it is forwarded by another peer if one refuses."""
        for _ in range(MAX_FORWARDERS - 1):
            try:
                return self._run_on_path(attempt)
            except ForwarderRefused as refusal:
                log.info("forwarder refused", why=refusal.reason)
        return self._run_on_path(attempt)

    def _run_on_path(self, attempt: Attempt) -> int:
        path = self._open_path(attempt)
        self._caller.on_disconnect(path.close)
        try:
            if self._caller.is_disconnected:
                raise CallerDisconnected
            return self._forward(path, attempt)
        except CallerDisconnected:
            path.close()
            self._fleet.record_disconnect(attempt)
            raise
        finally:
            self._caller.on_disconnect(None)
            path.release()

    def _open_path(self, attempt: Attempt) -> Path:
        admitted = self._admitted
        hop = Hop(
            attempt.record.name,
            lambda: self._features.fingerprint,
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

    def _forward(self, path: Path, attempt: Attempt) -> int:
        admitted = self._admitted
        record = attempt.record
        if not self._fleet.may_send(attempt):
            raise AttemptFailed(AttemptOutcome.WITHHELD, "endpoint takes none now")
        # It may have waited for its endpoint since it was checked.
        self._give_up_if_quarantined()
        self._endpoint_crashed = False
        self._progress = RunProgress()
        time_left = admitted.deadline - self._clock.elapsed()
        if time_left <= timedelta():
            raise AttemptFailed(AttemptOutcome.WITHHELD, "no time left")
        headers = EndpointHeaders(
            endpoint=record.name,
            customer=admitted.customer_name,
            time_left=time_left,
            priority=self._priority(),
            resume_after=self._splitter.last_id,
            fetch_from=attempt.source.endpoint.address if attempt.source else None,
        )
        try:
            head = self._send(
                path, endpoint_request(admitted.request, headers), attempt
            )
            self._fleet.record_signals(attempt, read_signals(head))
            return self._relay_response(path, head, attempt)
        except HttpError as error:
            path.close()
            if isinstance(error, CallerDisconnected) or self._caller.is_disconnected:
                raise CallerDisconnected from error
            raise AttemptFailed(AttemptOutcome.UNKNOWN, reason_of(error)) from error

    def _send(self, path: Path, request: Request, attempt: Attempt) -> ResponseHead:
        """Send a request and return the head of the endpoint's response.

        A forwarded attempt that did not reach the endpoint does not count.
        """
        admitted = self._admitted
        self._attempts += 1
        if not path.forwarder:
            self._count_attempt(attempt)
        try:
            path.send(request)
            echoed = (REQUEST_ID, admitted.request.header(REQUEST_ID))
            head = path.read_head(admitted.deadline, echoed)
        except (ForwarderRefused, ForwardWithheld):
            self._attempts -= 1
            raise
        except HttpError:
            if path.forwarder:
                self._count_attempt(attempt)
            raise
        if path.forwarder:
            self._count_attempt(attempt)
        return head

    def _count_attempt(self, attempt: Attempt) -> None:
        self._fleet.count_attempt(attempt, is_retry=self._attempts > 1)

    def _priority(self) -> int | None:
        """Return the priority of a stream at its engine; None for plain services."""
        if self._admitted.route.kind is not RequestKind.STREAM:
            return None
        return self._queue_priority()

    def _queue_priority(self) -> int:
        admitted = self._admitted
        priority = admitted.route.priority
        if admitted.customer is not None and admitted.customer.priority is not None:
            priority = admitted.customer.priority
        return max(priority, 0)

    def _relay_response(self, path: Path, head: ResponseHead, attempt: Attempt) -> int:
        admitted = self._admitted
        if states_not_run(head):
            path.read_body(admitted.deadline)
            raise AttemptFailed(AttemptOutcome.NOT_RUN, f"refused with {head.status}")
        succeeded = 200 <= head.status < 300
        if succeeded and not is_signed(head):
            raise MalformedResponse("a success without a signature")
        if admitted.route.kind is RequestKind.STREAM and succeeded:
            return self._relay_stream(path, head, attempt)
        body = path.read_body(admitted.deadline)
        path.check_complete(self._quarantine.is_serving)
        self._record_first_byte(attempt, is_prefilled=succeeded)
        if head.status >= 500 and self._may_retry_status():
            raise AttemptFailed(AttemptOutcome.UNKNOWN, f"failed with {head.status}")
        self._fleet.record_response(
            attempt, head.status, self._clock.elapsed() - attempt.began_at
        )
        if succeeded:
            self._record_success()
        self._caller.answer(head.status, caller_headers(head), body)
        return head.status

    def _relay_stream(self, path: Path, head: ResponseHead, attempt: Attempt) -> int:
        """Relay a stream, complete events only."""
        admitted = self._admitted
        splitter = self._splitter
        # An engine may queue the prompt, so silence is no sign of a failure before its
        # first event.
        deadline = admitted.deadline
        gaps: list[timedelta] = []
        last_at: timedelta | None = None
        try:
            while data := path.read_data(deadline):
                complete = splitter.feed(data)
                if complete:
                    self._bind_stream(attempt)
                deadline = self._next_read_deadline()
                if not complete:
                    continue
                now = self._clock.elapsed()
                if last_at is not None and len(gaps) < MAX_EVENT_GAPS:
                    gaps.append(now - last_at)
                last_at = now
                if self._progress.note_data(now):
                    self._quarantine.record_progress(admitted.traits.parts)
                self._record_first_byte(attempt)
                if not self._caller.response_started:
                    self._caller.begin(head.status, caller_headers(head))
                self._caller.write(complete)
            path.check_complete(self._quarantine.is_serving)
        except HttpError:
            splitter.drop_partial()
            raise
        if splitter.has_partial:
            splitter.drop_partial()
            raise MalformedResponse("the stream ended within an event")
        if not self._caller.response_started:
            self._caller.begin(head.status, caller_headers(head))
        self._caller.end()
        self._fleet.record_stream(attempt, gaps)
        self._record_success()
        return head.status

    def _record_success(self) -> None:
        admitted = self._admitted
        self._quarantine.record_success(
            admitted.request, admitted.customer_name, admitted.traits.parts
        )

    def _bind_stream(self, attempt: Attempt) -> None:
        """Bind the stream to the version whose event is its first."""
        admitted = self._admitted
        if admitted.traits.binding is not None:
            return
        binding = StreamBinding(admitted.service, attempt.record.known_version)
        admitted.traits = replace(admitted.traits, binding=binding)
        self._continuations.record_begin(admitted, binding)

    def _next_read_deadline(self) -> timedelta:
        """Return the deadline for the next data of a stream.

        An unresponsive engine is abandoned early only if another one can resume the
        stream.
        """
        admitted = self._admitted
        can_resume = (
            admitted.route.repeatable
            and self._attempts < admitted.route.max_attempts
            and self._fleet.has_alternative(
                admitted.service, admitted.traits, self._tried
            )
        )
        if not can_resume:
            return admitted.deadline
        return min(self._clock.elapsed() + STREAM_IDLE_TIMEOUT, admitted.deadline)

    def _record_first_byte(
        self, attempt: Attempt, *, is_prefilled: bool = True
    ) -> None:
        self._fleet.record_first_token(attempt, is_prefilled=is_prefilled)
        if self._first_byte_at is None:
            self._first_byte_at = self._clock.elapsed()
            self._fleet.count_usage(self._admitted.customer)

    def _record_failure(self, attempt: Attempt, failure: AttemptFailed) -> None:
        if failure.outcome is AttemptOutcome.UNKNOWN:
            self._may_have_run = True
        is_counted = failure.outcome is not AttemptOutcome.WITHHELD
        is_fault = failure.outcome is not AttemptOutcome.NOT_RUN
        if is_counted:
            self._fleet.record_failure(attempt, is_fault)
        # This probes the endpoint, which takes time, so the failure is counted first.
        crashed = self._check_crash(attempt, failure)
        if is_counted and is_fault and not crashed:
            self._attribute_failure(attempt, failure)
        if failure.reason in (CONNECTION_LOST, NOT_CONNECTED):
            self._fleet.doubt_version(attempt)
        self._last_failure = failure.reason
        log.info(
            "send failed",
            endpoint=attempt.record.name,
            software=attempt.record.endpoint.version or None,
            endpoint_ended=crashed,
            forwarder=attempt.forwarder or None,
            fingerprint=self._features.fingerprint,
            parts=self._logged_parts() if crashed else None,
            outcome=str(failure.outcome),
            why=failure.reason,
            send=self._attempts,
            begun=self._caller.response_started,
            events=self._splitter.count or None,
            left_ms=milliseconds(self._admitted.deadline - self._clock.elapsed()),
            endpoint_silent_ms=self._silence_of(attempt.record),
            all_silent_ms=optional_milliseconds(self._fleet.since_receipt()),
        )

    def _attribute_failure(self, attempt: Attempt, failure: AttemptFailed) -> None:
        """Count a failure against the endpoint's version, or excuse the endpoint.

        A lost link of this gateway says nothing of the endpoint, and the forwarder
        knows best whether an endpoint that it has lost has crashed.
        """
        if failure.reason == FORWARDER_LOST:
            self._fleet.excuse_failure(attempt)
        elif attempt.forwarder:
            if failure.outcome is AttemptOutcome.NOT_SENT:
                self._fleet.withhold_report(attempt)
        elif self._paths.is_partitioned(attempt.record):
            self._fleet.excuse_failure(attempt)
        else:
            self._fleet.record_version_failure(attempt)

    def _silence_of(self, record: EndpointRecord) -> int | None:
        received_at = record.pool.received_at
        if received_at is None:
            return None
        return milliseconds(self._clock.elapsed() - received_at)

    def _check_crash(self, attempt: Attempt, failure: AttemptFailed) -> bool | None:
        """Return whether the endpoint has crashed; None if nothing suggests it."""
        if failure.reason != CONNECTION_LOST or attempt.forwarder:
            return None
        self._paths.record_lost_connection(attempt.record)
        record = attempt.record
        self._endpoint_crashed = self._quarantine.record_lost_connection(
            self._features,
            record,
            self._progress,
            registered=self._fleet.is_registered(record),
        )
        return self._endpoint_crashed

    @cached_property
    def _features(self) -> RequestFeatures:
        admitted = self._admitted
        return self._quarantine.features_of(
            admitted.request, admitted.customer_name, admitted.traits.parts
        )

    def _give_up_if_quarantined(self) -> None:
        """End the request if it was quarantined after it was admitted."""
        if self._admitted.is_trial or self._quarantine.is_empty:
            return
        if self._quarantine.refused_feature(self._features):
            self._give_up(
                AttemptFailed(AttemptOutcome.WITHHELD, QUARANTINED),
                QUARANTINE_RETRY_AFTER,
            )

    def _logged_parts(self) -> list[str] | None:
        """Return the first parts of the prompt that other requests may share."""
        shared = self._features.parts[:MAX_LOGGED_PARTS]
        return [part.removeprefix(PART_PREFIX) for part in shared] or None

    def _may_retry_status(self) -> bool:
        """Return whether a 5xx response may be retried at another endpoint."""
        return (
            self._admitted.route.repeatable
            and self._attempts < self._admitted.route.max_attempts
            and self._fleet.has_alternative(
                self._admitted.service, self._admitted.traits, self._tried
            )
            and self._fleet.retry_budgets.allow_retry(
                self._admitted.service, spend=False
            )
        )

    def _may_send_again(self, failure: AttemptFailed) -> bool:
        self._not_retried = self._obstacle_to_retry(failure)
        return not self._not_retried

    def _obstacle_to_retry(self, failure: AttemptFailed) -> str:
        """Return why a failed request may not be sent again; empty if it may.

        The retry is taken from the budget.
        """
        admitted = self._admitted
        if failure.outcome is AttemptOutcome.UNKNOWN and not admitted.route.repeatable:
            return "may have run"
        if self._endpoint_crashed and not self._quarantine.may_retry(self._features):
            return "may crash endpoints"
        if self._clock.elapsed() >= admitted.deadline:
            return "no time left"
        if self._attempts == 0:
            return ""
        if self._attempts >= admitted.route.max_attempts:
            return "no attempt left"
        if failure.outcome is AttemptOutcome.WITHHELD:
            return ""
        if not self._fleet.retry_budgets.allow_retry(admitted.service, spend=True):
            return "retry budget spent"
        return ""

    def _give_up_unsent(self) -> None:
        """End the request because no endpoint takes it now."""
        admitted = self._admitted
        unavailability = self._fleet.unavailability(admitted.service, admitted.traits)
        self._give_up(
            AttemptFailed(AttemptOutcome.WITHHELD, unavailability.reason),
            unavailability.retry_after,
        )

    def _give_up(
        self,
        failure: AttemptFailed,
        retry_after: timedelta = NO_ENDPOINT_RETRY_AFTER,
    ) -> None:
        """Raise the error that ends the request; abort a response that has begun.

        :param retry_after: time after which its caller may come back.
        """
        if self._caller.response_started:
            log.info(
                "stream broken off",
                why=self._last_failure or failure.reason,
                not_continued=self._not_retried or failure.reason,
                retries_left=self._fleet.retry_budgets.left(self._admitted.service),
                events=self._splitter.count,
                sends=self._attempts,
                left_ms=milliseconds(self._admitted.deadline - self._clock.elapsed()),
                all_silent_ms=optional_milliseconds(self._fleet.since_receipt()),
            )
            self._caller.abort()
            raise StreamInterrupted(failure.reason)
        reason = self._last_failure or failure.reason
        if not self._may_have_run:
            raise RequestRefused(503, reason, retry_after=retry_after)
        if self._clock.elapsed() >= self._admitted.deadline:
            raise RequestRefused(504, reason)
        raise RequestRefused(502, reason)
