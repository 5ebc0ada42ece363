"""Forwarding of one request to endpoints until one responds.

Whether a failed attempt may be retried depends on what is known of it: nothing was
sent, the endpoint reports that it did not run the request, or it may have run.
"""

from collections.abc import Callable, Iterator
from dataclasses import replace
from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock, milliseconds, optional_milliseconds
from sassafrasdale.decisions.silence import STALL_TIME, SilenceCause
from sassafrasdale.decisions.stream_versions import StreamBinding
from sassafrasdale.gateway.admission.attempt_starter import (
    AttemptRequest,
    AttemptStarter,
)
from sassafrasdale.gateway.admission.terms import AdmissionTerms
from sassafrasdale.gateway.admitted_requests import AdmittedRequest
from sassafrasdale.gateway.advertisements.endpoint_gate import NO_ENDPOINT_RETRY_AFTER
from sassafrasdale.gateway.attempt_sender import AttemptSender
from sassafrasdale.gateway.attempts import Attempt
from sassafrasdale.gateway.events import EventSplitter
from sassafrasdale.gateway.exceptions import RequestRefused, StreamInterrupted
from sassafrasdale.gateway.failure_recorder import FailureRecorder, SendState
from sassafrasdale.gateway.failures import (
    MALFORMED,
    AttemptFailed,
    AttemptOutcome,
    reason_of,
)
from sassafrasdale.gateway.fleet import Fleet
from sassafrasdale.gateway.forwarding.paths import (
    MAX_FORWARDERS,
    EndpointPaths,
    ForwarderRefused,
    Path,
)
from sassafrasdale.gateway.hedger import SUPERSEDED, RequestHedger
from sassafrasdale.gateway.hedges import Hedge
from sassafrasdale.gateway.quarantine.quarantine import (
    QUARANTINE_RETRY_AFTER,
    QUARANTINED,
    RequestQuarantine,
)
from sassafrasdale.gateway.quarantine.soundness import RunProgress
from sassafrasdale.gateway.responses import EndpointResponse
from sassafrasdale.gateway.streams.continuations import StreamContinuations
from sassafrasdale.green import sleep
from sassafrasdale.http.exceptions import (
    CallerDisconnected,
    HttpError,
    MalformedResponse,
)
from sassafrasdale.http.server import ServerConnection
from sassafrasdale.platform.headers import caller_headers

log = Logger("exchange")

# Reason and Retry-After while this gateway is stopping; the balancer sends the retry to
# another one.
STOPPING = "stopping"
STOPPING_RETRY_AFTER = timedelta(milliseconds=50)
# Fraction of the time left after which a body that isn't whole is hedged.
LONG_BODY_SHARE = 0.5
# Fraction of the time left for which a request waits for a retry; the rest is for the
# attempt. Other requests save up retries as they come, so the budget is polled.
RETRY_WAIT_SHARE = 0.5
RETRY_WAIT_INTERVAL = timedelta(milliseconds=100)
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
        self._admitted = admitted
        self._caller = caller
        self._fleet = fleet
        self._clock = clock
        self._tried: set[str] = set(admitted.avoided)
        self._progress = RunProgress()
        self._splitter = EventSplitter(admitted.traits.resume_after)
        self._first_byte_at: timedelta | None = None
        self._waited = timedelta()
        self._not_retried = ""
        self._last_attempt: Attempt | None = None
        self._failed_response: EndpointResponse | None = None
        self._failures = FailureRecorder(admitted, fleet, quarantine, paths, clock)
        self._sender = AttemptSender(
            admitted,
            fleet,
            quarantine,
            paths,
            lambda: self._failures.features.fingerprint,
            lambda: self._splitter.last_id,
            clock,
        )
        self._hedger = RequestHedger(
            admitted,
            caller,
            fleet,
            paths,
            starter,
            self._sender,
            self._failures,
            self._state,
            self._tried,
            clock,
        )

    @property
    def last_attempt(self) -> Attempt | None:
        """The last attempt; None if there was none."""
        return self._last_attempt

    @property
    def endpoint(self) -> str | None:
        """Name of the endpoint of the last attempt."""
        attempt = self._last_attempt
        return None if attempt is None else attempt.record.name

    @property
    def waited(self) -> timedelta:
        """Time from the request's arrival until an endpoint was chosen."""
        return self._waited

    @property
    def attempts(self) -> int:
        """Number of attempts."""
        return self._sender.sent

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
        :raises StreamInterrupted: if a stream that has begun can't be resumed.
        :raises CallerDisconnected: if the caller disconnects.
        """
        try:
            return self._run_attempts()
        except RequestRefused:
            if self._failed_response is None:
                raise
            return self._answer(self._failed_response)

    def _run_attempts(self) -> int:
        attempt, hedge = self._start_attempt(), None
        while True:
            try:
                return self._run_attempt(attempt, hedge)
            except AttemptFailed as failure:
                hedge = self._hedger.take()
                if hedge is None:
                    # One that is being started would run beside the retry.
                    self._hedger.cancel()
                    self._check_retry(failure)
            finally:
                self._hedger.cancel()
            if hedge is None:
                attempt = self._start_attempt()
            else:
                attempt = hedge.attempt
                self._use(attempt)

    def _start_attempt(self) -> Attempt:
        admitted = self._admitted
        self._give_up_if_quarantined()
        is_retry = self._sender.sent > 0
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
            self._sender.priority,
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
            self._record_failure(attempt, failure)
            raise
        finally:
            self._fleet.finish_attempt(attempt)

    def _try_forwarders(self, attempt: Attempt) -> int:
        """Run an attempt, where it is forwarded by another peer if one refuses."""
        for _ in range(MAX_FORWARDERS - 1):
            try:
                return self._run_on_path(attempt, self._sender.open_path(attempt))
            except ForwarderRefused as refusal:
                log.info("forwarder refused", why=refusal.reason)
        return self._run_on_path(attempt, self._sender.open_path(attempt))

    def _run_on_path(
        self, attempt: Attempt, path: Path, hedge: Hedge | None = None
    ) -> int:
        def cancel() -> None:
            path.close()
            self._hedger.cancel()

        self._caller.on_disconnect(cancel)
        try:
            if self._caller.is_disconnected:
                raise CallerDisconnected
            return self._forward(path, attempt, hedge)
        except CallerDisconnected:
            path.close()
            self._fleet.record_disconnect(attempt)
            raise
        finally:
            self._caller.on_disconnect(None)
            self._hedger.unwatch(path)
            path.release()

    def _forward(self, path: Path, attempt: Attempt, hedge: Hedge | None) -> int:
        self._failures.note_send()
        self._progress = RunProgress()
        if hedge is None:
            if self._hedger.superseded_by is not None:
                raise AttemptFailed(AttemptOutcome.WITHHELD, SUPERSEDED)
            self._sender.check(attempt)
            # It may have waited for its endpoint since it was checked.
            self._give_up_if_quarantined()
        self._hedger.watch(path, attempt)
        try:
            if hedge is None:
                response = EndpointResponse(self._sender.send(path, attempt))
            else:
                response = hedge.wait()
            return self._relay_response(path, response, attempt)
        except HttpError as error:
            path.close()
            if isinstance(error, CallerDisconnected) or self._caller.is_disconnected:
                raise CallerDisconnected from error
            reason = SUPERSEDED if self._hedger.superseded_by else reason_of(error)
            raise AttemptFailed(AttemptOutcome.UNKNOWN, reason) from error

    def _relay_response(
        self, path: Path, response: EndpointResponse, attempt: Attempt
    ) -> int:
        head = response.head
        if self._sender.is_stream(head):
            return self._relay_stream(path, response, attempt)
        if response.body is None:
            # A body may be long, so only one that takes much of the time is hedged.
            self._hedger.note_progress(self._sender.time_left * LONG_BODY_SHARE)
            response = EndpointResponse(head, self._sender.read_body(path))
        self._hedger.cancel()
        self._record_first_byte(attempt, is_prefilled=head.succeeded)
        if head.status >= 500 and self._may_retry_status():
            self._failed_response = response
            raise AttemptFailed(AttemptOutcome.UNKNOWN, f"failed with {head.status}")
        self._fleet.record_response(
            attempt, head.status, self._clock.elapsed() - attempt.began_at
        )
        if head.succeeded:
            self._record_success()
        return self._answer(response)

    def _answer(self, response: EndpointResponse) -> int:
        """Send a whole response to the caller, and return its status."""
        head = response.head
        self._caller.answer(head.status, caller_headers(head), response.body)
        return head.status

    def _stream_data(self, path: Path, response: EndpointResponse) -> Iterator[bytes]:
        """Yield a stream's data, those first that were read before."""
        yield from filter(None, response.received)
        if b"" not in response.received:
            while data := path.read_data(self._admitted.deadline):
                yield data

    def _relay_stream(
        self, path: Path, response: EndpointResponse, attempt: Attempt
    ) -> int:
        """Relay a stream, complete events only."""
        head = response.head
        splitter = self._splitter
        gaps: list[timedelta] = []
        last_at: timedelta | None = None
        try:
            for data in self._stream_data(path, response):
                complete = splitter.feed(data)
                if splitter.has_advanced:
                    self._hedger.note_progress()
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
                    self._quarantine.record_progress(self._admitted.traits.parts)
                self._record_first_byte(attempt)
                if not self._caller.response_started:
                    self._caller.begin(head.status, caller_headers(head))
                self._caller.write(complete)
            self._hedger.cancel()
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

    def _note_begun(self, *, is_event: bool) -> None:
        """Have a stream that has sent no event be hedged if none is complete in time.

        :param is_event: whether part of an event has come. Otherwise an engine sends
            comments while it prefills, which may take long.
        """
        stall_time = self._sender.time_left * LONG_BODY_SHARE
        self._hedger.note_begun(STALL_TIME if is_event else max(stall_time, STALL_TIME))

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

    def _record_failure(self, attempt: Attempt, failure: AttemptFailed) -> None:
        hedge = self._hedger.superseded_by
        if failure.reason == SUPERSEDED and hedge is not None:
            is_fault = hedge.cause is SilenceCause.ENDPOINT
            self._failures.record_superseded(
                attempt, failure, self._state(), is_fault=is_fault
            )
        else:
            self._failures.record(attempt, failure, self._progress, self._state())

    def _state(self) -> SendState:
        return SendState(
            self._sender.sent, self._caller.response_started, self._splitter.count
        )

    def _give_up_if_quarantined(self) -> None:
        """End the request if it was quarantined after it was admitted."""
        if self._failures.is_quarantined:
            self._give_up(
                AttemptFailed(AttemptOutcome.WITHHELD, QUARANTINED),
                QUARANTINE_RETRY_AFTER,
            )

    def _may_retry_status(self) -> bool:
        """Return whether a 5xx response may be retried at another endpoint."""
        return (
            self._admitted.route.repeatable
            and self._sender.may_send_more
            and self._fleet.has_alternative(
                self._admitted.service, self._admitted.traits, self._tried
            )
            and self._fleet.retry_budgets.allow_retry(
                self._admitted.service, spend=False
            )
        )

    def _check_retry(self, failure: AttemptFailed) -> None:
        """Give the request up unless it may be sent again after a failure."""
        self._not_retried = self._obstacle_to_retry(failure)
        if self._not_retried:
            self._give_up(failure)

    def _obstacle_to_retry(self, failure: AttemptFailed) -> str:
        """Return why a failed request may not be sent again; empty if it may.

        The retry is taken from the budget.
        """
        admitted = self._admitted
        if failure.outcome is AttemptOutcome.UNKNOWN and not admitted.route.repeatable:
            return "may have run"
        if self._failures.is_crash_suspect:
            return "may crash endpoints"
        if self._sender.time_left <= timedelta():
            return "no time left"
        if self._sender.sent == 0:
            return ""
        if not self._sender.may_send_more:
            return "no attempt left"
        if failure.outcome is AttemptOutcome.WITHHELD:
            return ""
        if not self._take_retry(failure):
            return "retry budget spent"
        return ""

    def _take_retry(self, failure: AttemptFailed) -> bool:
        """Take a retry from the budget; return whether there was one.

        Where an endpoint's response was malformed, and another endpoint may take the
        request, it waits for a retry. Otherwise a few such endpoints would spend the
        budget, and requests would end long before their deadlines.
        """
        admitted, budgets = self._admitted, self._fleet.retry_budgets
        until = self._clock.elapsed()
        if failure.reason == MALFORMED:
            until += self._sender.time_left * RETRY_WAIT_SHARE
        while not budgets.allow_retry(admitted.service, spend=True):
            is_over = self._clock.elapsed() >= until
            if is_over or not self._fleet.has_alternative(
                admitted.service, admitted.traits, self._tried
            ):
                return False
            sleep(RETRY_WAIT_INTERVAL)
            if self._caller.is_disconnected:
                raise CallerDisconnected
        return True

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
        reason = self._failures.last_reason or failure.reason
        if self._caller.response_started:
            log.info(
                "stream broken off",
                why=reason,
                not_continued=self._not_retried or failure.reason,
                retries_left=self._fleet.retry_budgets.left(self._admitted.service),
                events=self._splitter.count,
                sends=self._sender.sent,
                left_ms=milliseconds(self._sender.time_left),
                all_silent_ms=optional_milliseconds(self._fleet.since_receipt()),
            )
            self._caller.abort()
            raise StreamInterrupted(failure.reason)
        if not self._failures.may_have_run:
            raise RequestRefused(503, reason, retry_after=retry_after)
        if self._sender.time_left <= timedelta():
            raise RequestRefused(504, reason)
        raise RequestRefused(502, reason)
