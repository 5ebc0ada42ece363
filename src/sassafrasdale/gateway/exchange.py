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
from sassafrasdale.decisions.silence import (
    STALL_TIME,
    SilenceCause,
    StartHedge,
    blames_version,
)
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
    NO_RESPONSE_IN_TIME,
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
from sassafrasdale.gateway.hedges import Hedge, HedgeResponse
from sassafrasdale.gateway.quarantine.fingerprints import RequestFeatures
from sassafrasdale.gateway.quarantine.quarantine import (
    QUARANTINE_RETRY_AFTER,
    QUARANTINED,
    RequestQuarantine,
)
from sassafrasdale.gateway.quarantine.soundness import RunProgress
from sassafrasdale.gateway.silence_watch import SilenceWatch
from sassafrasdale.gateway.streams.continuations import StreamContinuations
from sassafrasdale.green import spawn
from sassafrasdale.http.exceptions import (
    CallerDisconnected,
    HttpError,
    MalformedResponse,
    NotConnected,
)
from sassafrasdale.http.messages import Request, ResponseHead
from sassafrasdale.http.server import ServerConnection
from sassafrasdale.logs import request_context
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

# Reason of an attempt whose hedge has responded first.
OUTRUN = "hedge responded first"
# Reason and Retry-After while this gateway is stopping; the balancer sends the retry to
# another one.
STOPPING = "stopping"
STOPPING_RETRY_AFTER = timedelta(milliseconds=50)
# Fraction of the time left after which a body that isn't whole is hedged.
LONG_BODY_SHARE = 0.5
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
        self._path: Path | None = None
        self._watch: SilenceWatch | None = None
        self._hedge: Hedge | None = None

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
        attempt, hedge = self._start_attempt(), None
        while True:
            try:
                return self._run_attempt(attempt, hedge)
            except AttemptFailed as failure:
                hedge, self._hedge = self._hedge, None
                if hedge is not None:
                    attempt = self._adopt(hedge)
                    continue
                if not self._may_send_again(failure):
                    self._give_up(failure)
            finally:
                self._cancel_hedge()
            attempt = self._start_attempt()

    def _adopt(self, hedge: Hedge) -> Attempt:
        """Have the request go on with its hedge."""
        hedge.is_adopted = True
        self._use(hedge.attempt)
        return hedge.attempt

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
        self._use(attempt)
        return attempt

    def _use(self, attempt: Attempt) -> None:
        """Record that the request goes on with an attempt."""
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

    def _run_attempt(self, attempt: Attempt, hedge: Hedge | None) -> int:
        """Send the request to an endpoint and relay its response.

        :param hedge: the hedge that the attempt began as, if it did.
        """
        try:
            if hedge is not None:
                return self._run_on_path(attempt, hedge.path, hedge)
            return self._try_forwarders(attempt)
        except AttemptFailed as failure:
            self._record_failure(attempt, failure, self._progress)
            raise
        finally:
            self._fleet.finish_attempt(attempt)

    def _try_forwarders(self, attempt: Attempt) -> int:
        """Run an attempt, where it is forwarded by another peer if one refuses."""
        for _ in range(MAX_FORWARDERS - 1):
            try:
                return self._run_on_path(attempt, self._open_path(attempt))
            except ForwarderRefused as refusal:
                log.info("forwarder refused", why=refusal.reason)
        return self._run_on_path(attempt, self._open_path(attempt))

    def _run_on_path(
        self, attempt: Attempt, path: Path, hedge: Hedge | None = None
    ) -> int:
        self._path = path
        self._caller.on_disconnect(self._close_paths)
        try:
            if self._caller.is_disconnected:
                raise CallerDisconnected
            return self._forward(path, attempt, hedge)
        except CallerDisconnected:
            path.close()
            self._fleet.record_disconnect(attempt)
            raise
        finally:
            self._path = None
            path.while_reading(None)
            self._caller.on_disconnect(None)
            path.release()

    def _close_paths(self) -> None:
        """Cancel what runs for a caller that has disconnected."""
        if self._path is not None:
            self._path.close()
        self._cancel_hedge()

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

    def _forward(self, path: Path, attempt: Attempt, hedge: Hedge | None) -> int:
        self._endpoint_crashed = False
        self._progress = RunProgress()
        if hedge is None:
            self._check_sendable(attempt)
        self._watch_for_silence(path, attempt)
        try:
            if hedge is not None:
                response = hedge.wait()
            else:
                head = self._send(path, self._endpoint_request(attempt), attempt)
                response = HedgeResponse(head)
            self._fleet.record_signals(attempt, read_signals(response.head))
            return self._relay_response(path, response, attempt)
        except HttpError as error:
            path.close()
            if isinstance(error, CallerDisconnected) or self._caller.is_disconnected:
                raise CallerDisconnected from error
            raise AttemptFailed(
                AttemptOutcome.UNKNOWN, self._reason_of(error)
            ) from error

    def _check_sendable(self, attempt: Attempt) -> None:
        """Check that an attempt may be sent now.

        :raises AttemptFailed: if it may not.
        """
        if not self._fleet.may_send(attempt):
            raise AttemptFailed(AttemptOutcome.WITHHELD, "endpoint takes none now")
        # It may have waited for its endpoint since it was checked.
        self._give_up_if_quarantined()
        if self._admitted.deadline <= self._clock.elapsed():
            raise AttemptFailed(AttemptOutcome.WITHHELD, "no time left")

    def _endpoint_request(self, attempt: Attempt) -> Request:
        admitted = self._admitted
        headers = EndpointHeaders(
            endpoint=attempt.record.name,
            customer=admitted.customer_name,
            time_left=admitted.deadline - self._clock.elapsed(),
            priority=self._priority(),
            resume_after=self._splitter.last_id,
            fetch_from=attempt.source.endpoint.address if attempt.source else None,
        )
        return endpoint_request(admitted.request, headers)

    def _reason_of(self, error: HttpError) -> str:
        hedge = self._hedge
        if hedge is not None and hedge.has_responded:
            return OUTRUN
        return reason_of(error)

    def _send(self, path: Path, request: Request, attempt: Attempt) -> ResponseHead:
        """Send a request and return the head of the endpoint's response.

        A forwarded attempt that did not reach the endpoint does not count.
        """
        admitted = self._admitted
        self._attempts += 1
        is_retry = self._attempts > 1
        if not path.forwarder:
            self._fleet.count_attempt(attempt, is_retry=is_retry)
        try:
            path.send(request)
            echoed = (REQUEST_ID, admitted.request.header(REQUEST_ID))
            head = path.read_head(admitted.deadline, echoed)
        except (ForwarderRefused, ForwardWithheld):
            self._attempts -= 1
            raise
        except HttpError:
            if path.forwarder:
                self._fleet.count_attempt(attempt, is_retry=is_retry)
            raise
        if path.forwarder:
            self._fleet.count_attempt(attempt, is_retry=is_retry)
        return head

    def _watch_for_silence(self, path: Path, attempt: Attempt) -> None:
        """Have the attempt's reader consider a hedge now and then."""
        admitted = self._admitted
        if not admitted.route.repeatable or admitted.route.max_attempts < 2:
            return
        self._watch = SilenceWatch(
            attempt.record,
            self._alternatives,
            self._paths.is_partitioned,
            self._paths.begin_checks,
            self._clock,
        )
        path.while_reading(self._consider_hedge)

    def _alternatives(self) -> list[EndpointRecord]:
        admitted = self._admitted
        return self._fleet.alternatives(admitted.service, admitted.traits, self._tried)

    def _may_hedge(self) -> bool:
        admitted = self._admitted
        return (
            self._hedge is None
            and self._attempts < admitted.route.max_attempts
            and self._fleet.retry_budgets.allow_hedge(admitted.service, spend=False)
        )

    def _consider_hedge(self) -> None:
        """Start a hedge if the silence of the response justifies one."""
        watch = self._watch
        if watch is None or not self._may_hedge():
            return
        match watch.judge():
            case StartHedge(cause):
                self._start_hedge(cause, watch)

    def _start_hedge(self, cause: SilenceCause, watch: SilenceWatch) -> None:
        """Start a hedge if all that it needs is there: endpoint, connection, budget."""
        silence = watch.last
        attempt = self._start_elsewhere(watch.unresponsive())
        if attempt is None:
            return
        path = self._open_hedge_path(attempt)
        if path is None:
            self._fleet.finish_attempt(attempt)
            return
        self._tried.add(attempt.record.name)
        hedge = self._hedge = Hedge(attempt, path, cause)
        log.info(
            "hedge started",
            endpoint=attempt.record.name,
            beside=self._endpoint,
            cause=str(cause),
            silent_ms=milliseconds(silence.lasted),
            endpoint_heard_ms=optional_milliseconds(silence.heard),
            others_responding_ms=optional_milliseconds(silence.others_responding),
            retries_left=self._fleet.retry_budgets.left(attempt.service),
            begun=self._caller.response_started,
            events=self._splitter.count or None,
        )
        spawn(self._run_hedge, hedge)

    def _open_hedge_path(self, attempt: Attempt) -> Path | None:
        """Return a way to a hedge's endpoint; None if it may not be sent now."""
        if self._is_quarantined():
            return None
        try:
            path = self._open_path(attempt)
        except AttemptFailed as failure:
            log.info(
                "hedge not started", endpoint=attempt.record.name, why=failure.reason
            )
            return None
        budgets = self._fleet.retry_budgets
        may_send = not self._caller.is_disconnected and self._fleet.may_send(attempt)
        if may_send and budgets.allow_hedge(attempt.service, spend=True):
            return path
        path.release()
        return None

    def _start_elsewhere(self, excluded: set[str]) -> Attempt | None:
        """Return a further attempt at an endpoint that was neither tried nor excluded.

        It is not waited for if none has room.
        """
        admitted = self._admitted
        try:
            return self._starter.start(
                AttemptRequest(
                    admitted.service,
                    admitted.traits,
                    self._tried | excluded,
                    admitted.route.name,
                    is_retry=True,
                )
            )
        except RequestRefused:
            return None

    def _run_hedge(self, hedge: Hedge) -> None:
        """Run a hedge until its response has come; it then takes over."""
        with request_context(self._admitted.request.header(REQUEST_ID) or "none"):
            try:
                hedge.succeed(self._hedge_response(hedge))
            except (HttpError, AttemptFailed) as error:
                self._end_hedge(hedge, error)
                return
            if not hedge.is_adopted and self._path is not None:
                # Wakes the reader of the first attempt, which then adopts the hedge.
                self._path.close()

    def _hedge_response(self, hedge: Hedge) -> HedgeResponse:
        path, attempt = hedge.path, hedge.attempt
        head = self._send(path, self._endpoint_request(attempt), attempt)
        self._check_head(path, head)
        succeeded = 200 <= head.status < 300
        if head.status >= 500 or (self._caller.response_started and not succeeded):
            raise AttemptFailed(AttemptOutcome.UNKNOWN, f"failed with {head.status}")
        if self._admitted.route.kind is RequestKind.STREAM and succeeded:
            return HedgeResponse(head)
        return HedgeResponse(head, self._read_whole_body(path))

    def _end_hedge(self, hedge: Hedge, error: HttpError | AttemptFailed) -> None:
        """Record that a hedge has failed, unless it was cancelled."""
        failure = error
        if isinstance(error, HttpError):
            failure = AttemptFailed(AttemptOutcome.UNKNOWN, self._reason_of(error))
        hedge.fail(failure)
        if hedge.is_adopted:
            return
        if self._hedge is hedge:
            self._hedge = None
        if not hedge.is_cancelled:
            self._record_failure(hedge.attempt, failure, RunProgress())
        self._release_hedge(hedge)

    def _cancel_hedge(self) -> None:
        hedge, self._hedge = self._hedge, None
        if hedge is None:
            return
        log.info("hedge cancelled", endpoint=hedge.attempt.record.name)
        hedge.cancel()
        if hedge.has_responded:
            self._release_hedge(hedge)

    def _release_hedge(self, hedge: Hedge) -> None:
        hedge.path.close()
        hedge.path.release()
        self._fleet.finish_attempt(hedge.attempt)

    def _note_progress(self, patience: timedelta = STALL_TIME) -> None:
        if self._watch is not None:
            self._watch.note_progress(patience)

    def _note_begun(self, *, is_event: bool) -> None:
        """Have a stream that has sent no event be hedged if none is complete in time.

        :param is_event: whether part of an event has come. Otherwise an engine sends
            comments while it prefills, which may take long.
        """
        if self._watch is None or self._watch.has_begun:
            return
        time_left = self._admitted.deadline - self._clock.elapsed()
        patience = STALL_TIME if is_event else time_left * LONG_BODY_SHARE
        self._note_progress(max(patience, STALL_TIME))

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

    def _relay_response(
        self, path: Path, response: HedgeResponse, attempt: Attempt
    ) -> int:
        head = response.head
        self._check_head(path, head)
        succeeded = 200 <= head.status < 300
        if self._admitted.route.kind is RequestKind.STREAM and succeeded:
            return self._relay_stream(path, head, attempt)
        body = response.body
        if body is None:
            # A body may be long, so only one that takes much of the time is hedged.
            time_left = self._admitted.deadline - self._clock.elapsed()
            self._note_progress(time_left * LONG_BODY_SHARE)
            body = self._read_whole_body(path)
        self._cancel_hedge()
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

    def _check_head(self, path: Path, head: ResponseHead) -> None:
        """Check that a response is one of the endpoint that ran the request.

        :raises AttemptFailed: if it states that the request did not run.
        :raises MalformedResponse: if it is not signed.
        """
        if states_not_run(head):
            path.skip_body(self._admitted.deadline)
            raise AttemptFailed(AttemptOutcome.NOT_RUN, f"refused with {head.status}")
        if 200 <= head.status < 300 and not is_signed(head):
            raise MalformedResponse("a success without a signature")

    def _read_whole_body(self, path: Path) -> bytes:
        body = path.read_body(self._admitted.deadline)
        path.check_complete(self._quarantine.is_serving)
        return body

    def _relay_stream(self, path: Path, head: ResponseHead, attempt: Attempt) -> int:
        """Relay a stream, complete events only."""
        admitted = self._admitted
        splitter = self._splitter
        gaps: list[timedelta] = []
        last_at: timedelta | None = None
        try:
            while data := path.read_data(admitted.deadline):
                complete = splitter.feed(data)
                if splitter.has_advanced:
                    # What the hedge would go on after is outdated.
                    self._cancel_hedge()
                    self._note_progress()
                else:
                    self._note_begun(is_event=not complete)
                if not complete:
                    continue
                self._bind_stream(attempt)
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
            self._cancel_hedge()
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

    def _record_first_byte(
        self, attempt: Attempt, *, is_prefilled: bool = True
    ) -> None:
        self._fleet.record_first_token(attempt, is_prefilled=is_prefilled)
        if self._first_byte_at is None:
            self._first_byte_at = self._clock.elapsed()
            self._fleet.count_usage(self._admitted.customer)

    def _record_failure(
        self, attempt: Attempt, failure: AttemptFailed, progress: RunProgress
    ) -> None:
        if failure.outcome is AttemptOutcome.UNKNOWN:
            self._may_have_run = True
        is_counted = failure.outcome is not AttemptOutcome.WITHHELD
        if failure.reason == OUTRUN:
            is_counted = self._hedge.cause is SilenceCause.ENDPOINT
        is_fault = failure.outcome is not AttemptOutcome.NOT_RUN
        if is_counted:
            self._fleet.record_failure(attempt, is_fault)
        # This probes the endpoint, which takes time, so the failure is counted first.
        crashed = self._check_crash(attempt, failure, progress)
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
        elif failure.reason == NO_RESPONSE_IN_TIME:
            if blames_version(self._fleet.since_receipt()):
                self._fleet.record_version_failure(attempt)
        elif failure.reason != OUTRUN:
            self._fleet.record_version_failure(attempt)

    def _silence_of(self, record: EndpointRecord) -> int | None:
        received_at = record.pool.received_at
        if received_at is None:
            return None
        return milliseconds(self._clock.elapsed() - received_at)

    def _check_crash(
        self, attempt: Attempt, failure: AttemptFailed, progress: RunProgress
    ) -> bool | None:
        """Return whether the endpoint has crashed; None if nothing suggests it."""
        if failure.reason != CONNECTION_LOST or attempt.forwarder:
            return None
        self._paths.record_lost_connection(attempt.record)
        record = attempt.record
        self._endpoint_crashed = self._quarantine.record_lost_connection(
            self._features,
            record,
            progress,
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
        if self._is_quarantined():
            self._give_up(
                AttemptFailed(AttemptOutcome.WITHHELD, QUARANTINED),
                QUARANTINE_RETRY_AFTER,
            )

    def _is_quarantined(self) -> bool:
        if self._admitted.is_trial or self._quarantine.is_empty:
            return False
        return bool(self._quarantine.refused_feature(self._features))

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
