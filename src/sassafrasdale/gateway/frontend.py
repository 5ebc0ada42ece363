"""Admission, error responses and access log for callers' requests."""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from random import Random

from logbook import Logger

from sassafrasdale.clock import Clock, milliseconds, optional_milliseconds
from sassafrasdale.decisions.caller_deadlines import CallerDeadlines
from sassafrasdale.deployment import (
    Customer,
    RequestKind,
    RequestTraits,
    Route,
    customer_name,
)
from sassafrasdale.gateway.admission.attempt_starter import AttemptStarter
from sassafrasdale.gateway.admitted_requests import AdmittedRequest
from sassafrasdale.gateway.attempts import Attempt
from sassafrasdale.gateway.exceptions import RequestRefused, StreamInterrupted
from sassafrasdale.gateway.exchange import (
    STOPPING,
    STOPPING_RETRY_AFTER,
    RequestExchange,
)
from sassafrasdale.gateway.fleet import Fleet
from sassafrasdale.gateway.forwarding.paths import EndpointPaths
from sassafrasdale.gateway.quarantine.quarantine import (
    QUARANTINE_RETRY_AFTER,
    QUARANTINED,
    RequestQuarantine,
    Verdict,
)
from sassafrasdale.gateway.quotas import Quotas
from sassafrasdale.gateway.routing import RouteTable, draw_service
from sassafrasdale.gateway.streams.continuations import StreamContinuations
from sassafrasdale.green import sleep
from sassafrasdale.http.exceptions import CallerDisconnected
from sassafrasdale.http.messages import Request
from sassafrasdale.http.server import ServerConnection
from sassafrasdale.lazy_metrics import LazyMetrics
from sassafrasdale.logs import request_context
from sassafrasdale.platform.exceptions import ValueMalformed
from sassafrasdale.platform.headers import REQUEST_ID, read_traits

log = Logger("frontend")

# Retry-After while this gateway has no configuration yet.
NOT_READY_RETRY_AFTER = timedelta(milliseconds=500)
# Shortest Retry-After; a caller whose time is up gets no zero, which would have it come
# back at once.
MIN_RETRY_AFTER = timedelta(milliseconds=10)
# Longest time that a request waits for a gateway that has just started.
STARTUP_WAIT = timedelta(milliseconds=150)
STARTUP_POLL_INTERVAL = timedelta(milliseconds=10)
# Time limit of a request without a deadline whose route allows more time.
DEFAULT_TIMEOUT = timedelta(seconds=60)


class Frontend:
    """Admits requests, has them forwarded, and logs the outcome of each.

    :param routes: returns the look-ups for the current configuration; None before one
        is loaded.
    :param fleet: the endpoints.
    :param starter: starts attempts at them.
    :param quotas: customers' rate limits.
    :param quarantine: quarantine of requests that crash endpoints.
    :param paths: opens the ways to endpoints.
    :param continuations: finds the versions of streams that callers take up.
    :param may_serve: returns whether this gateway has the state that it needs to serve.
    :param last_end: returns the elapsed time by which new requests must end; None for
        no limit.
    """

    def __init__(
        self,
        routes: Callable[[], RouteTable | None],
        fleet: Fleet,
        starter: AttemptStarter,
        quotas: Quotas,
        quarantine: RequestQuarantine,
        paths: EndpointPaths,
        continuations: StreamContinuations,
        metrics: LazyMetrics,
        clock: Clock,
        rng: Random,
        may_serve: Callable[[], bool],
        last_end: Callable[[], timedelta | None] = lambda: None,
    ) -> None:
        self._routes = routes
        self._fleet = fleet
        self._starter = starter
        self._quotas = quotas
        self._quarantine = quarantine
        self._paths = paths
        self._continuations = continuations
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._may_serve = may_serve
        self._last_end = last_end
        self._caller_deadlines = CallerDeadlines()

    def handle(self, caller: ServerConnection, request: Request) -> None:
        """Handle one request; errors become responses and are never raised."""
        with request_context(request.header(REQUEST_ID) or "none"):
            began_at = self._clock.elapsed()
            record = _AccessRecord()
            try:
                self._run_request(caller, request, record)
            except RequestRefused as refusal:
                self._refuse(caller, refusal, record)
            except StreamInterrupted as error:
                record.outcome = "broken off"
                record.reason = error.message
            except CallerDisconnected:
                record.outcome = record.outcome or "caller gone"
            except Exception:
                record.outcome = "internal error"
                log.exception("unhandled exception while serving a request")
                if caller.response_started:
                    caller.abort()
                else:
                    caller.answer(500)
            finally:
                self._log_end(record, self._clock.elapsed() - began_at)

    def _run_request(
        self, caller: ServerConnection, request: Request, record: "_AccessRecord"
    ) -> None:
        admitted = self._admit(request, record)
        exchange = RequestExchange(
            admitted,
            caller,
            self._fleet,
            self._quarantine,
            self._paths,
            self._continuations,
            self._clock,
            self._starter,
            self._last_end,
        )
        try:
            self._continuations.bind(admitted)
            record.service = admitted.service
            self._metrics.request_began(admitted.service)
            record.status = exchange.run()
            record.outcome = "answered"
        except RequestRefused as refusal:
            # A 503 means that the request did not run, so its quota is returned.
            if refusal.status == 503 and admitted.customer is not None:
                self._quotas.refund(admitted.customer, admitted.traits)
            raise
        finally:
            record.attempts = exchange.attempts
            record.endpoint = exchange.endpoint
            record.first_byte_after = exchange.first_byte_after
            record.waited = exchange.waited
            record.last_attempt = exchange.last_attempt

    def _admit(self, request: Request, record: "_AccessRecord") -> AdmittedRequest:
        """Check that a request may run, and return it with its routing decision.

        :raises RequestRefused: if it may not run.
        """
        now = self._clock.elapsed()
        self._wait_until_ready(now + STARTUP_WAIT)
        routes = self._routes()
        if routes is None or not self._may_serve():
            raise RequestRefused(503, "not ready", retry_after=NOT_READY_RETRY_AFTER)
        record.version = routes.configuration.version
        route = routes.route(request.header("host"), request.target)
        if route is None:
            raise RequestRefused(404, "no route")
        record.route = route.name
        traits = self._traits(request, route)
        record.resumes = traits.resumes or None
        record.resume_after = traits.resume_after
        caller_time = traits.deadline or DEFAULT_TIMEOUT
        deadline = now + min(route.timeout, caller_time)
        last_end = self._last_end()
        if last_end is not None and deadline > last_end:
            raise RequestRefused(503, STOPPING, retry_after=STOPPING_RETRY_AFTER)
        customer = self._customer(routes, route, traits)
        service = draw_service(route, self._rng)
        verdict = self._check_quarantine(request, customer, traits, service, record)
        if customer is not None:
            record.customer = customer.name
            retry_after = self._quotas.admit(customer, traits, route.priority)
            if retry_after is not None:
                record.limit = self._quotas.explain(customer)
                raise RequestRefused(
                    429, "over the customer's limit", retry_after=retry_after
                )
        return AdmittedRequest(
            request,
            traits,
            route,
            service,
            customer,
            now,
            deadline,
            now + caller_time,
            verdict.avoided,
            verdict.is_trial,
            self._caller_deadlines.time_spent(route.name, traits.deadline),
        )

    def _check_quarantine(
        self,
        request: Request,
        customer: Customer | None,
        traits: RequestTraits,
        service: str,
        record: "_AccessRecord",
    ) -> Verdict:
        """Return the verdict on a request that may be sent.

        :raises RequestRefused: if the request is quarantined.
        """
        verdict = self._quarantine.check(
            request,
            customer_name(customer),
            traits.parts,
            self._fleet.endpoints(service),
        )
        if not verdict.is_refused:
            return verdict
        record.fingerprint = verdict.fingerprint
        raise RequestRefused(503, QUARANTINED, retry_after=QUARANTINE_RETRY_AFTER)

    def _wait_until_ready(self, deadline: timedelta) -> None:
        """Wait for the store's first responses, a few milliseconds after startup.

        Callers may connect before the program has finished loading.
        """
        while not self._may_serve() and self._clock.elapsed() < deadline:
            sleep(STARTUP_POLL_INTERVAL)

    def _traits(self, request: Request, route: Route) -> RequestTraits:
        is_stream = route.kind is RequestKind.STREAM
        try:
            return replace(read_traits(request), is_stream=is_stream)
        except ValueMalformed as error:
            raise RequestRefused(400, "header malformed", error.message) from error

    def _customer(
        self, routes: RouteTable, route: Route, traits: RequestTraits
    ) -> Customer | None:
        if route.public or not routes.configuration.customers:
            return None
        customer = routes.customer(traits.key)
        if customer is None:
            raise RequestRefused(401, "unknown key")
        return customer

    def _refuse(
        self, caller: ServerConnection, refusal: RequestRefused, record: "_AccessRecord"
    ) -> None:
        record.status = refusal.status
        record.outcome = "refused"
        record.reason = refusal.message
        record.queue = refusal.inputs or None
        headers = []
        if refusal.retry_after is not None:
            seconds = max(refusal.retry_after, MIN_RETRY_AFTER).total_seconds()
            headers.append(("retry-after", f"{seconds:.2f}"))
        try:
            caller.answer(refusal.status, headers)
        except CallerDisconnected:
            record.outcome = "caller gone"

    def _log_end(self, record: "_AccessRecord", took: timedelta) -> None:
        self._metrics.count(
            "request", outcome=record.outcome, status=str(record.status)
        )
        if record.service is not None:
            self._metrics.request_ended(record.service, record.outcome, took)
        attempt = record.last_attempt
        log.info(
            "request ended",
            outcome=record.outcome,
            status=record.status,
            reason=record.reason,
            route=record.route,
            service=record.service,
            customer=record.customer,
            version=record.version,
            endpoint=record.endpoint,
            software=(attempt and attempt.record.endpoint.version) or None,
            resumes=record.resumes,
            resume_after=record.resume_after,
            fingerprint=record.fingerprint,
            sends=record.attempts,
            limit=record.limit,
            queue=record.queue,
            unread=attempt and attempt.prefill_tokens,
            queued=attempt and attempt.queued_tokens,
            news_ms=attempt and milliseconds(attempt.peer_report_age),
            named_by=(attempt and attempt.assigned_by) or None,
            forwarder=(attempt and attempt.forwarder) or None,
            fetched_from=attempt and attempt.source and attempt.source.name,
            waited_ms=milliseconds(record.waited),
            first_ms=optional_milliseconds(record.first_byte_after),
            took_ms=milliseconds(took),
        )


class _AccessRecord:
    """Fields of a request's access log line."""

    def __init__(self) -> None:
        self.outcome = ""
        self.status = 0
        self.reason: str | None = None
        self.route: str | None = None
        self.service: str | None = None
        self.customer: str | None = None
        self.endpoint: str | None = None
        self.version = 0
        self.attempts = 0
        self.first_byte_after: timedelta | None = None
        self.waited = timedelta()
        self.limit: str | None = None
        self.queue: str | None = None
        self.fingerprint: str | None = None
        self.last_attempt: Attempt | None = None
        self.resumes: str | None = None
        self.resume_after: int | None = None
