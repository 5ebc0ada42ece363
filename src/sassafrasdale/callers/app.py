"""What callers may ask an entry."""

import random
from collections.abc import Callable
from datetime import timedelta

from sassafrasdale.callers.exceptions import CallerError, NotReady
from sassafrasdale.callers.generations import generation_answer
from sassafrasdale.callers.headers import read_call, read_customer
from sassafrasdale.callers.messages import (
    HttpAnswer,
    HttpRequest,
    json_answer,
    outcome_answer,
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

NOT_READY_RETRY = timedelta(seconds=1)
# Looks for the holder of a request, and the pause between two of them.
SEARCHES = 3
SEARCH_AGAIN = timedelta(milliseconds=100)
# Headers of a caller that are this system's own and do not pass through.
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

Relay = Callable[[HttpRequest, str], HttpAnswer | None]


class CallerApp:
    """The callers' side of one entry.

    :param current: the text in force.
    :param dispatcher: runs the calls.
    :param is_ready: whether the balancer should send callers here.
    :param takes_work: whether the entry takes new work; for a moment longer.
    :param relay: fetches a request that a peer holds, or gives None.
    :param metrics: the entry's metrics.
    :param clock: source of time.
    :param rng: source of request ids.
    """

    def __init__(
        self,
        *,
        current: CurrentText,
        dispatcher: Dispatcher,
        is_ready: Callable[[], bool],
        takes_work: Callable[[], bool],
        relay: Relay,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._current = current
        self._dispatcher = dispatcher
        self._is_ready = is_ready
        self._takes_work = takes_work
        self._relay = relay
        self._metrics = metrics
        self._clock = clock
        self._rng = rng

    def routes(self) -> list[Route]:
        """Return the routes of this side."""
        return [
            route("POST", "/v1/chat/completions", self.chat),
            route("*", "/v1/services/(?P<service>[^/]+)(?P<rest>/.*)", self.service),
            route("GET", "/v1/requests/(?P<request_id>[^/]+)", self.fetch),
            route("GET", "/health/live", self.live),
            route("GET", "/health/ready", self.ready),
            route("GET", "/metrics", self.metrics),
        ]

    def live(self, request: HttpRequest) -> HttpAnswer:
        """Answer that the process runs."""
        return json_answer({"live": True})

    def ready(self, request: HttpRequest) -> HttpAnswer:
        """Answer whether the balancer should send callers here."""
        ready = self._is_ready()
        return json_answer({"ready": ready}, status=200 if ready else 503)

    def metrics(self, request: HttpRequest) -> HttpAnswer:
        """Give the metrics' scrape page."""
        page = self._metrics.metrics_page()
        return HttpAnswer(200, (("Content-Type", self._metrics.content_type),), page)

    def chat(self, request: HttpRequest) -> HttpAnswer:
        """Run a model call."""
        text = self._text()
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
            return generation_answer(self._dispatcher.generate(model_call))
        return self._chat_once(model_call)

    def _chat_once(self, call: ModelCall) -> HttpAnswer:
        if call.streamed:
            raise CallerError(
                "a request with an Idempotency-Key is answered whole, not streamed",
                field="stream",
            )
        started = self._dispatcher.generate_once(call)
        if isinstance(started, Generation):
            return generation_answer(started)
        request_id = ("X-Request-Id", call.call.request_id)
        return outcome_answer(started).with_headers(request_id)

    def service(self, request: HttpRequest, service: str, rest: str) -> HttpAnswer:
        """Pass a call through to a plain service."""
        text = self._text()
        found = _service(text, service, ServiceKind.PLAIN, "service")
        call = read_call(
            request,
            text,
            found,
            idempotent=found.is_idempotent(request.method, rest),
            clock=self._clock,
            rng=self._rng,
        )
        target = request.target.removeprefix(f"/v1/services/{service}")
        outcome = self._dispatcher.serve(
            ServiceCall(call, request.method, target, _passed_on(request), request.body)
        )
        return outcome_answer(outcome).with_headers(("X-Request-Id", call.request_id))

    def fetch(self, request: HttpRequest, request_id: str) -> HttpAnswer:
        """Give the answer to an earlier request, or the rest of its stream."""
        customer = read_customer(request, self._text_or_fail())
        after = _last_event(request)
        # A search that falls into a hand-over may ask the receiver, which may be
        # this entry, too early and the giver too late. The giver drops a request
        # only after it was taken, so a later search finds it.
        searches = 1 if request.header(RELAYED) else SEARCHES
        for attempt in range(searches):
            if attempt:
                sleep(SEARCH_AGAIN)
            found = self._search(request, request_id, customer, after)
            if found is not None:
                return found
        # It may have run: its holder may have died with all it knew.
        return problem(
            404,
            "Not found",
            f"no request {request_id!r} is held",
            field="request_id",
            outcome=OutcomeName.UNKNOWN,
        )

    def _search(
        self, request: HttpRequest, request_id: str, customer: str, after: int
    ) -> HttpAnswer | None:
        """Return the answer of this entry or of a peer, or None if none holds it."""
        try:
            generation = self._dispatcher.registry.find(request_id, customer)
        except RequestNotHeld:
            return self._relay(request, request_id)
        return generation_answer(generation, after)

    def _text(self) -> Text:
        if not self._takes_work():
            raise NotReady("this entry takes no new work", retry_after=NOT_READY_RETRY)
        return self._text_or_fail()

    def _text_or_fail(self) -> Text:
        if self._current.text is None:
            raise NotReady("no text is in force yet", retry_after=NOT_READY_RETRY)
        return self._current.text


def _service(text: Text, name: str, kind: ServiceKind, field: str) -> Service:
    service = text.services.get(name)
    if service is None or service.kind is not kind:
        raise CallerError(
            f"there is no {kind.value} service {name[:128]!r}", field=field, status=404
        )
    return service


def _passed_on(request: HttpRequest) -> tuple[tuple[str, str], ...]:
    dropped = HOP_BY_HOP | OWN_HEADERS
    return tuple(
        (name, value) for name, value in request.headers.items() if name not in dropped
    )


def _last_event(request: HttpRequest) -> int:
    given = request.header("Last-Event-ID")
    if given is None:
        return 0
    if not given.isdecimal() or len(given) > 9:
        raise CallerError(
            "Last-Event-ID must be the position of an event", field="Last-Event-ID"
        )
    return int(given)


def error_answer(error: Exception) -> HttpAnswer | None:
    """Return what a caller is told of an error, or None if it is unforeseen."""
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
