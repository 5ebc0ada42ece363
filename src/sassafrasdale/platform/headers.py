"""HTTP headers between callers, gateways and endpoints."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.clock import milliseconds
from sassafrasdale.deployment import PromptPart, RequestTraits
from sassafrasdale.http.messages import Headers, Request, ResponseHead
from sassafrasdale.platform.exceptions import ValueMalformed
from sassafrasdale.structures import Address

REQUEST_ID = "request-id"
_DEADLINE = "deadline-ms"
_KEY = "api-key"
_CUSTOMER = "tenant"
_LAST_EVENT = "last-event-id"
_RESUMES = "resumes"
_TOKENS = "token-count"
_PREFIX = "prompt-prefix"
_EXPECTED_ENDPOINT = "expect-replica"
# Lower values have priority; the default of an endpoint is 5.
_PRIORITY = "request-priority"
_LOWEST_PRIORITY = 9
# Address of the engine whose KV cache holds more of the prompt.
_FETCH_FROM = "kv-fetch"
_NOT_RUN = "not-run"
_SIGNATURE = "replica-stamp"

# Hop-by-hop headers, and those that the HTTP codec sets itself.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers that the gateway sets; the values of callers are dropped.
_GATEWAY_HEADERS = frozenset(
    {
        _CUSTOMER,
        _DEADLINE,
        _EXPECTED_ENDPOINT,
        _KEY,
        _LAST_EVENT,
        _PRIORITY,
        "expect-version",
        "kv-backup",
        _FETCH_FROM,
        "kv-from",
        "kv-hold",
        "pin-ms",
        "wait-ms",
    }
)
_MISDIRECTED = 421
# Maximum number of digits in a numeric header.
_MAX_DIGITS = 15


@dataclass(frozen=True, slots=True)
class EndpointHeaders:
    """Values that the gateway sends to an endpoint in the headers of a request.

    :param endpoint: name of the intended endpoint; any other one rejects the request.
    :param time_left: time after which the endpoint may abandon the request.
    :param priority: priority among the requests of an engine, 0 is the highest.
    :param resume_after: last event of the stream that was already received.
    :param fetch_from: engine to fetch KV cache blocks of the prompt from.
    """

    endpoint: str
    customer: str
    time_left: timedelta
    priority: int | None = None
    resume_after: int | None = None
    fetch_from: Address | None = None


def read_traits(request: Request) -> RequestTraits:
    """Return the request properties in a caller's headers.

    :raises ValueMalformed: if a header is malformed.
    """
    prompt, output = _token_counts(request.header(_TOKENS))
    deadline = _number(request, _DEADLINE)
    return RequestTraits(
        request_id=request.header(REQUEST_ID),
        key=request.header(_KEY),
        deadline=None if deadline is None else timedelta(milliseconds=deadline),
        resume_after=_number(request, _LAST_EVENT),
        prompt_tokens=prompt,
        output_tokens=output,
        parts=_parts(request.header(_PREFIX)),
        resumes=request.header(_RESUMES),
    )


def read_parts(headers: Headers) -> tuple[PromptPart, ...]:
    """Return the parts of the prompt that headers name.

    :raises ValueMalformed: if they are malformed.
    """
    return _parts(Request("", "", headers).header(_PREFIX))


def endpoint_request(request: Request, order: EndpointHeaders) -> Request:
    """Return the request to send to an endpoint for a caller's request."""
    left = max(1, milliseconds(order.time_left))
    headers = [
        *_forwarded(request.headers, _GATEWAY_HEADERS),
        (_DEADLINE, str(left)),
        (_EXPECTED_ENDPOINT, order.endpoint),
    ]
    if order.customer:
        headers.append((_CUSTOMER, order.customer))
    if order.priority is not None:
        headers.append((_PRIORITY, str(min(max(order.priority, 0), _LOWEST_PRIORITY))))
    if order.resume_after is not None:
        headers.append((_LAST_EVENT, str(order.resume_after)))
    if order.fetch_from is not None:
        headers.append((_FETCH_FROM, str(order.fetch_from)))
    return Request(request.method, request.target, tuple(headers), request.body)


def with_time_left(headers: Headers, time_left: timedelta) -> Headers:
    """Return an endpoint's request headers with another time left."""
    left = (_DEADLINE, str(max(1, milliseconds(time_left))))
    return tuple(
        left if name == _DEADLINE else (name, value) for name, value in headers
    )


def caller_headers(head: ResponseHead) -> Headers:
    """Return an endpoint's headers without hop-by-hop headers, for the caller."""
    return tuple(_forwarded(head.headers, frozenset()))


def states_not_run(head: ResponseHead) -> bool:
    """Return whether an endpoint states that it did not run the request."""
    return bool(head.header(_NOT_RUN)) or head.status == _MISDIRECTED


def is_signed(head: ResponseHead) -> bool:
    """Return whether a response has an endpoint's signature header."""
    return bool(head.header(_SIGNATURE))


def _forwarded(headers: Headers, dropped: frozenset[str]) -> Iterable[tuple[str, str]]:
    named = {
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    }
    # A caller must not have required headers dropped by listing them here.
    named -= {REQUEST_ID, "host"}
    for name, value in headers:
        if name not in _HOP_BY_HOP and name not in dropped and name not in named:
            yield name, value


def _number(request: Request, name: str) -> int | None:
    value = request.header(name)
    if not value:
        return None
    if not value.isdecimal() or len(value) > _MAX_DIGITS:
        raise ValueMalformed(f"{name} is not a number", field=name)
    return int(value)


def _token_counts(value: str) -> tuple[int | None, int]:
    if not value:
        return None, 0
    numbers = [part.strip() for part in value.split(",")]
    if len(numbers) != 2 or not all(
        part.isdecimal() and len(part) <= _MAX_DIGITS for part in numbers
    ):
        raise ValueMalformed(f"{_TOKENS} is not two numbers", field=_TOKENS)
    return int(numbers[0]), int(numbers[1])


def _parts(value: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in filter(None, (part.strip() for part in value.split(","))):
        name, _, tokens = item.partition(":")
        if not tokens.isdecimal() or len(tokens) > _MAX_DIGITS:
            raise ValueMalformed(
                f"{_PREFIX} has a part without a token count", field=_PREFIX
            )
        parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)
