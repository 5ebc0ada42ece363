"""Hedging of one request's stalled attempts."""

from collections.abc import Callable
from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock, milliseconds, optional_milliseconds
from sassafrasdale.decisions.silence import STALL_TIME, SilenceCause, StartHedge
from sassafrasdale.deployment import RequestKind
from sassafrasdale.gateway.admission.attempt_starter import (
    AttemptRequest,
    AttemptStarter,
)
from sassafrasdale.gateway.admitted_requests import AdmittedRequest
from sassafrasdale.gateway.attempt_sender import AttemptSender
from sassafrasdale.gateway.attempts import Attempt
from sassafrasdale.gateway.directory import EndpointRecord
from sassafrasdale.gateway.events import EventSplitter
from sassafrasdale.gateway.exceptions import RequestRefused
from sassafrasdale.gateway.failure_recorder import FailureRecorder, SendState
from sassafrasdale.gateway.failures import AttemptFailed, AttemptOutcome, reason_of
from sassafrasdale.gateway.fleet import Fleet
from sassafrasdale.gateway.forwarding.paths import EndpointPaths, Path
from sassafrasdale.gateway.hedges import Hedge
from sassafrasdale.gateway.quarantine.soundness import RunProgress
from sassafrasdale.gateway.responses import EndpointResponse
from sassafrasdale.gateway.silence_watch import SilenceWatch
from sassafrasdale.green import spawn
from sassafrasdale.http.exceptions import HttpError
from sassafrasdale.http.server import ServerConnection
from sassafrasdale.logs import request_context
from sassafrasdale.platform.headers import REQUEST_ID

log = Logger("exchange")

# Reason of an attempt whose hedge has responded first.
SUPERSEDED = "hedge responded first"
# Time from a hedge that could not be started to the next try. Each may ask the
# dispatcher and open a connection.
START_INTERVAL = timedelta(milliseconds=500)
# Interval at which the silence of a response is judged.
CONSIDER_INTERVAL = timedelta(milliseconds=100)


class RequestHedger:
    """Runs a second attempt of a request beside one that has stalled.

    :param admitted: the request.
    :param caller: the caller's connection.
    :param fleet: knows endpoints and budgets.
    :param paths: opens the way to an endpoint.
    :param starter: starts attempts.
    :param sender: sends them.
    :param failures: records their failures.
    :param state: returns what is logged of the request.
    :param tried: names of the endpoints that the request was sent to.
    :param clock: source of elapsed time.
    """

    def __init__(
        self,
        admitted: AdmittedRequest,
        caller: ServerConnection,
        fleet: Fleet,
        paths: EndpointPaths,
        starter: AttemptStarter,
        sender: AttemptSender,
        failures: FailureRecorder,
        state: Callable[[], SendState],
        tried: set[str],
        clock: Clock,
    ) -> None:
        self._admitted = admitted
        self._caller = caller
        self._fleet = fleet
        self._paths = paths
        self._starter = starter
        self._sender = sender
        self._failures = failures
        self._state = state
        self._tried = tried
        self._clock = clock
        self._watch: SilenceWatch | None = None
        self._first: Path | None = None
        self._first_endpoint = ""
        self._hedge: Hedge | None = None
        self._starting: object | None = None
        self._next_start_at = timedelta()

    @property
    def superseded_by(self) -> Hedge | None:
        """The hedge that has responded; None if none has."""
        hedge = self._hedge
        return hedge if hedge is not None and hedge.has_responded else None

    def watch(self, path: Path, attempt: Attempt) -> None:
        """Have the attempt's reader consider a hedge now and then."""
        admitted = self._admitted
        if not admitted.route.repeatable or admitted.route.max_attempts < 2:
            return
        self._first = path
        self._first_endpoint = attempt.record.name

        def is_link_lost(record: EndpointRecord) -> bool:
            # A peer that forwards uses its own link.
            return not path.forwarder and self._paths.is_partitioned(record)

        self._watch = SilenceWatch(
            attempt.record,
            self._alternatives,
            is_link_lost,
            self._paths,
            self._clock,
            is_engine=admitted.route.kind is RequestKind.STREAM,
        )
        path.while_reading(self._consider)

    def note_begun(self, stall_time: timedelta) -> None:
        """Record that the attempt's response has begun, unless it had before.

        :param stall_time: time without progress after which it counts as stalled.
        """
        if self._watch is not None and not self._watch.has_begun:
            self._watch.note_progress(stall_time)

    def unwatch(self, path: Path) -> None:
        """End the watch; the connection may serve another request from now on."""
        path.while_reading(None)
        self._first = None

    def note_progress(self, stall_time: timedelta = STALL_TIME) -> None:
        """Record that the attempt's response has made progress.

        A hedge is cancelled: it would send again what has just come.

        :param stall_time: time without progress after which it counts as stalled.
        """
        self.cancel()
        if self._watch is not None:
            self._watch.note_progress(stall_time)

    def take(self) -> Hedge | None:
        """Return the hedge, which the request goes on with; None if there is none."""
        hedge, self._hedge = self._hedge, None
        if hedge is not None:
            hedge.is_adopted = True
        return hedge

    def cancel(self) -> None:
        """Cancel the hedge, if there is one or one is being started."""
        self._starting = None
        hedge, self._hedge = self._hedge, None
        if hedge is None:
            return
        log.info("hedge cancelled", endpoint=hedge.attempt.record.name)
        hedge.cancel()
        if hedge.has_responded:
            self._release(hedge)

    def _alternatives(self) -> list[EndpointRecord]:
        admitted = self._admitted
        return self._fleet.alternatives(admitted.service, admitted.traits, self._tried)

    def _may_hedge(self) -> bool:
        budgets = self._fleet.retry_budgets
        return (
            self._hedge is None
            and self._starting is None
            and self._clock.elapsed() >= self._next_start_at
            and self._sender.may_send_more
            and budgets.allow_hedge(self._admitted.service, spend=False)
        )

    def _consider(self) -> timedelta:
        """Start a hedge if the silence of the response justifies one.

        :returns: the time until this is to be considered again.
        """
        quiet_in = self._watch.quiet_in
        if quiet_in > timedelta():
            return quiet_in
        if not self._may_hedge():
            return CONSIDER_INTERVAL
        match self._watch.judge():
            case StartHedge(cause):
                self._begin_start(cause)
        return CONSIDER_INTERVAL

    def _begin_start(self, cause: SilenceCause) -> None:
        """Start a hedge in a task, as the response must be read meanwhile.

        Its retry is taken from the budget now: all that stall at the same time would
        ask for an endpoint otherwise.
        """
        if self._fleet.retry_budgets.allow_hedge(self._admitted.service, spend=True):
            self._starting = token = object()
            spawn(self._start_in_task, cause, token, self._watch)

    def _start_in_task(
        self, cause: SilenceCause, token: object, watch: SilenceWatch
    ) -> None:
        hedge = None
        with request_context(self._admitted.request.header(REQUEST_ID) or "none"):
            try:
                hedge = self._start(cause, token, watch)
            finally:
                self._next_start_at = self._clock.elapsed() + START_INTERVAL
                if self._starting is token:
                    self._starting = None
                if hedge is None:
                    self._fleet.retry_budgets.give_back(self._admitted.service)
            if hedge is not None:
                self._run(hedge)

    def _start(
        self, cause: SilenceCause, token: object, watch: SilenceWatch
    ) -> Hedge | None:
        """Return a hedge if all that it needs is there: endpoint and connection.

        :param token: marks this start; another one is kept if it is no longer wanted.
        """
        silence = watch.last
        attempt = self._start_attempt(watch.unresponsive())
        if attempt is None:
            return None
        path = self._open_path(attempt, token)
        if path is None:
            self._fleet.finish_attempt(attempt)
            return None
        self._tried.add(attempt.record.name)
        hedge = self._hedge = Hedge(attempt, path, cause)
        state = self._state()
        log.info(
            "hedge started",
            endpoint=attempt.record.name,
            beside=self._first_endpoint,
            cause=str(cause),
            silent_ms=milliseconds(silence.lasted),
            endpoint_silent_ms=optional_milliseconds(silence.since_receipt),
            others_responding_ms=optional_milliseconds(silence.others_responding),
            retries_left=self._fleet.retry_budgets.left(attempt.service),
            begun=state.has_begun,
            events=state.events or None,
        )
        return hedge

    def _start_attempt(self, excluded: set[str]) -> Attempt | None:
        """Return an attempt at an endpoint that was neither tried nor is excluded.

        It does not wait for room.
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
        except RequestRefused as refusal:
            log.info("hedge not started", why=refusal.reason)
            return None

    def _open_path(self, attempt: Attempt, token: object) -> Path | None:
        """Return a way to the hedge's endpoint; None if it may not be sent now."""
        if self._starting is not token or self._failures.is_quarantined:
            return None
        if self._first is not None:
            self._paths.record_stall(self._first)
        try:
            path = self._sender.open_path(attempt)
        except AttemptFailed as failure:
            log.info(
                "hedge not started", endpoint=attempt.record.name, why=failure.reason
            )
            return None
        is_wanted = self._starting is token and not self._caller.is_disconnected
        if is_wanted and self._fleet.may_send(attempt):
            return path
        path.release()
        return None

    def _run(self, hedge: Hedge) -> None:
        """Run a hedge until its response has come; it then takes over."""
        try:
            response = self._response(hedge)
        except (HttpError, AttemptFailed) as error:
            self._end(hedge, error)
            return
        except Exception as error:
            log.exception("unhandled exception in a hedge")
            self._end(hedge, AttemptFailed(AttemptOutcome.UNKNOWN, repr(error)))
            return
        if hedge.is_cancelled and not hedge.is_adopted:
            self._release(hedge)
            return
        hedge.succeed(response)
        if not hedge.is_adopted and self._first is not None:
            # Wakes the reader of the first attempt, which then takes the hedge.
            self._first.close()

    def _response(self, hedge: Hedge) -> EndpointResponse:
        head = self._sender.send(hedge.path, hedge.attempt)
        is_failure = self._caller.response_started and not head.succeeded
        if head.status >= 500 or is_failure:
            raise AttemptFailed(AttemptOutcome.UNKNOWN, f"failed with {head.status}")
        if self._sender.is_stream(head):
            return EndpointResponse(head, received=self._read_event(hedge.path))
        return EndpointResponse(head, self._sender.read_body(hedge.path))

    def _read_event(self, path: Path) -> tuple[bytes, ...]:
        """Return a stream's data up to its first event, or to its end.

        An engine may send a head long before its first event, and fail in between.
        """
        splitter = EventSplitter()
        received = []
        while True:
            data = path.read_data(self._admitted.deadline)
            received.append(data)
            splitter.feed(data)
            if not data or splitter.has_advanced:
                return tuple(received)

    def _end(self, hedge: Hedge, error: HttpError | AttemptFailed) -> None:
        """Record that a hedge has failed, unless it was cancelled."""
        failure = error
        if isinstance(error, HttpError):
            reason = reason_of(error) if self.superseded_by is None else SUPERSEDED
            failure = AttemptFailed(AttemptOutcome.UNKNOWN, reason)
        hedge.fail(failure)
        if hedge.is_adopted:
            return
        if self._hedge is hedge:
            self._hedge = None
        if not hedge.is_cancelled:
            self._failures.record(hedge.attempt, failure, RunProgress(), self._state())
        self._release(hedge)

    def _release(self, hedge: Hedge) -> None:
        hedge.path.close()
        hedge.path.release()
        self._fleet.finish_attempt(hedge.attempt)
