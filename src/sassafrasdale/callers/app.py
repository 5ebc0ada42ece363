"""HTTP handlers for callers: chat completions, services, fetches and health."""

import random
from collections.abc import Callable
from datetime import timedelta

from sassafrasdale.callers.exceptions import CallerError, NotReady
from sassafrasdale.callers.generations import generation_response
from sassafrasdale.callers.headers import read_call, read_customer
from sassafrasdale.callers.messages import (
    HttpRequest,
    HttpResponse,
    json_response,
    outcome_response,
    problem,
)
from sassafrasdale.callers.models import parse_chat
from sassafrasdale.callers.relays import RELAYED
from sassafrasdale.callers.routes import Route, route
from sassafrasdale.clock import Clock
from sassafrasdale.endpoints.adapters import HOP_BY_HOP
from sassafrasdale.green import sleep
from sassafrasdale.metrics import Metrics
from sassafrasdale.requests.dispatcher import Dispatcher
from sassafrasdale.requests.exceptions import (
    KeyReused,
    RequestIdTaken,
    RequestNotHeld,
)
from sassafrasdale.requests.generation import Generation
from sassafrasdale.requests.structures import ModelCall, OutcomeName, ServiceCall
from sassafrasdale.text.current import CurrentText
from sassafrasdale.text.structures import Service, ServiceKind, Text

NOT_READY_RETRY_AFTER = timedelta(seconds=1)
# Searches for the entry that holds a request, and the pause between two of them.
MAX_SEARCHES = 3
SEARCH_INTERVAL = timedelta(milliseconds=100)
# Headers of a caller that are meant for this entry and aren't forwarded.
OWN_HEADERS = frozenset(
    {
        "x-customer",
        "x-request-id",
        "x-timeout-ms",
        "x-relayed",
        "idempotency-key",
        "priority",
        "content-length",
        "host",
        "expect",
    }
)

Relay = Callable[[HttpRequest, str], HttpResponse | None]


class CallerApp:
    """HTTP handlers of one entry for its callers.

    :param current: the current configuration.
    :param dispatcher: runs the calls.
    :param is_ready: whether the load balancer should send callers here.
    :param accepts_requests: whether the entry accepts new requests; it still does for
        a moment after it is no longer ready.
    :param relay: fetches a response from the peer that holds the request; returns
        None if there is none.
    :param metrics: the entry's metrics.
    :param clock: source of time.
    :param rng: random source of request ids.
    """

    def __init__(
        self,
        *,
        current: CurrentText,
        dispatcher: Dispatcher,
        is_ready: Callable[[], bool],
        accepts_requests: Callable[[], bool],
        relay: Relay,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._current = current
        self._dispatcher = dispatcher
        self._is_ready = is_ready
        self._accepts_requests = accepts_requests
        self._relay = relay
        self._metrics = metrics
        self._clock = clock
        self._rng = rng

    def routes(self) -> list[Route]:
        """Return the routes for callers."""
        return [
            route("POST", "/v1/chat/completions", self.chat),
            route("*", "/v1/services/(?P<service>[^/]+)(?P<rest>/.*)", self.service),
            route("GET", "/v1/requests/(?P<request_id>[^/]+)", self.fetch),
            route("GET", "/health/live", self.live),
            route("GET", "/health/ready", self.ready),
            route("GET", "/metrics", self.metrics),
        ]

    def live(self, request: HttpRequest) -> HttpResponse:
        """Report that the process is running."""
        return json_response({"live": True})

    def ready(self, request: HttpRequest) -> HttpResponse:
        """Report whether the load balancer should send callers here."""
        ready = self._is_ready()
        return json_response({"ready": ready}, status=200 if ready else 503)

    def metrics(self, request: HttpRequest) -> HttpResponse:
        """Return the metrics for a scraper."""
        page = self._metrics.metrics_page()
        return HttpResponse(200, (("Content-Type", self._metrics.content_type),), page)

    def chat(self, request: HttpRequest) -> HttpResponse:
        """Run a chat completion."""
        text = self._text_for_new_request()
        chat = parse_chat(request.body)
        service = _service(text, chat.model, ServiceKind.MODEL, "model")
        call = read_call(
            request, text, service, idempotent=True, clock=self._clock, rng=self._rng
        )
        model_call = ModelCall(
            call=call,
            prompt=chat.prompt(),
            opening=chat.opening(),
            body=chat.engine_body(service.name),
            max_tokens=chat.max_tokens,
            streamed=chat.stream,
        )
        if call.idempotent:
            return generation_response(self._dispatcher.generate(model_call))
        return self._chat_once(model_call)

    def _chat_once(self, call: ModelCall) -> HttpResponse:
        if call.streamed:
            raise CallerError(
                "a request with an Idempotency-Key is answered whole, not streamed",
                field="stream",
            )
        started = self._dispatcher.generate_once(call)
        if isinstance(started, Generation):
            return generation_response(started)
        request_id = ("X-Request-Id", call.call.request_id)
        return outcome_response(started).with_headers(request_id)

    def service(self, request: HttpRequest, service: str, rest: str) -> HttpResponse:
        """Forward a call to a plain service."""
        text = self._text_for_new_request()
        plain_service = _service(text, service, ServiceKind.PLAIN, "service")
        call = read_call(
            request,
            text,
            plain_service,
            idempotent=plain_service.is_idempotent(request.method, rest),
            clock=self._clock,
            rng=self._rng,
        )
        target = request.target.removeprefix(f"/v1/services/{service}")
        outcome = self._dispatcher.serve(
            ServiceCall(
                call, request.method, target, _forwarded_headers(request), request.body
            )
        )
        return outcome_response(outcome).with_headers(("X-Request-Id", call.request_id))

    def fetch(self, request: HttpRequest, request_id: str) -> HttpResponse:
        """Return the response to an earlier request, or the rest of its stream."""
        customer = read_customer(request, self._current_text())
        after = _last_event(request)
        # A search during a hand-over may ask the receiver (which may be this entry)
        # too early and the sender too late. The sender drops a request only after
        # the receiver has accepted it, so a later search finds it.
        searches = 1 if request.header(RELAYED) else MAX_SEARCHES
        for attempt in range(searches):
            if attempt:
                sleep(SEARCH_INTERVAL)
            response = self._search(request, request_id, customer, after)
            if response is not None:
                return response
        # It may have run: the entry that held it may have crashed.
        return problem(
            404,
            "Not found",
            f"no request {request_id!r} is held",
            field="request_id",
            outcome=OutcomeName.UNKNOWN,
        )

    def _search(
        self, request: HttpRequest, request_id: str, customer: str, after: int
    ) -> HttpResponse | None:
        """Return the response of this entry or a peer, or None if none holds it."""
        try:
            generation = self._dispatcher.registry.find(request_id, customer)
        except RequestNotHeld:
            return self._relay(request, request_id)
        return generation_response(generation, after)

    def _text_for_new_request(self) -> Text:
        if not self._accepts_requests():
            raise NotReady(
                "this entry takes no new work", retry_after=NOT_READY_RETRY_AFTER
            )
        return self._current_text()

    def _current_text(self) -> Text:
        if self._current.text is None:
            raise NotReady("no text is in force yet", retry_after=NOT_READY_RETRY_AFTER)
        return self._current.text


def _service(text: Text, name: str, kind: ServiceKind, field: str) -> Service:
    service = text.services.get(name)
    if service is None or service.kind is not kind:
        raise CallerError(
            f"there is no {kind.value} service {name[:128]!r}", field=field, status=404
        )
    return service


def _forwarded_headers(request: HttpRequest) -> tuple[tuple[str, str], ...]:
    dropped = HOP_BY_HOP | OWN_HEADERS
    return tuple(
        (name, value) for name, value in request.headers.items() if name not in dropped
    )


def _last_event(request: HttpRequest) -> int:
    position = request.header("Last-Event-ID")
    if position is None:
        return 0
    if not position.isdecimal() or len(position) > 9:
        raise CallerError(
            "Last-Event-ID must be the position of an event", field="Last-Event-ID"
        )
    return int(position)


def error_response(error: Exception) -> HttpResponse | None:
    """Return the response for a known error, or None for an unexpected one."""
    match error:
        case CallerError():
            return problem(
                error.status, "Bad request", error.message, field=error.field
            )
        case NotReady():
            return problem(
                503, "Not ready", error.message, retry_after=error.retry_after
            )
        case KeyReused():
            return problem(422, "Key reused", error.message, field=error.field)
        case RequestIdTaken():
            return problem(409, "Request id taken", error.message, field=error.field)
        case _:
            return None
