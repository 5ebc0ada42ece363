"""Headers between callers, the system and endpoints."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.clock import milliseconds
from sassafrasdale.deployment import PromptPart, RequestTraits
from sassafrasdale.http.messages import AnswerHead, Headers, Request
from sassafrasdale.platform.exceptions import ValueMalformed
from sassafrasdale.structures import Address

REQUEST_ID = "request-id"
_DEADLINE = "deadline-ms"
_KEY = "api-key"
_CUSTOMER = "tenant"
_LAST_EVENT = "last-event-id"
_TOKENS = "token-count"
_PREFIX = "prompt-prefix"
_EXPECTED_ENDPOINT = "expect-replica"
# Smaller numbers go first; an endpoint assumes 5.
_PRIORITY = "request-priority"
_LAST_PRIORITY = 9
# Where an engine finds what another one keeps of the prompt.
_FETCH_FROM = "kv-fetch"
_NOT_RUN = "not-run"
_SIGNATURE = "replica-stamp"

# Headers that concern one connection only, and those that the codec writes itself.
_PER_CONNECTION = frozenset(
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
# Headers that are the system's to set; a caller's own are dropped.
_SYSTEM = frozenset(
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
# Largest header values that are taken for numbers.
_MOST_DIGITS = 15


@dataclass(frozen=True, slots=True)
class EndpointOrder:
    """What the system tells an endpoint with a request.

    :param endpoint: name of the endpoint that is meant; another refuses.
    :param time_left: time after which the endpoint need not go on.
    :param priority: rank among the requests of an engine, 0 goes first.
    :param resume_after: last event of the stream that is already there.
    :param fetch_from: engine that keeps more of the prompt, to be fetched from there.
    """

    endpoint: str
    customer: str
    time_left: timedelta
    priority: int | None = None
    resume_after: int | None = None
    fetch_from: Address | None = None


def read_traits(request: Request) -> RequestTraits:
    """Return what a caller's headers say.

    :raises ValueMalformed: if a header that the system needs has another form.
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
    )


def endpoint_request(request: Request, order: EndpointOrder) -> Request:
    """Return a caller's request as it is sent to an endpoint."""
    left = max(1, milliseconds(order.time_left))
    headers = [
        *_forwarded(request.headers, _SYSTEM),
        (_DEADLINE, str(left)),
        (_EXPECTED_ENDPOINT, order.endpoint),
    ]
    if order.customer:
        headers.append((_CUSTOMER, order.customer))
    if order.priority is not None:
        headers.append((_PRIORITY, str(min(max(order.priority, 0), _LAST_PRIORITY))))
    if order.resume_after is not None:
        headers.append((_LAST_EVENT, str(order.resume_after)))
    if order.fetch_from is not None:
        headers.append((_FETCH_FROM, str(order.fetch_from)))
    return Request(request.method, request.target, tuple(headers), request.body)


def caller_headers(head: AnswerHead) -> Headers:
    """Return an endpoint's headers as the caller gets them."""
    return tuple(_forwarded(head.headers, frozenset()))


def says_not_run(head: AnswerHead) -> bool:
    """Return whether an endpoint states that it did not run the request."""
    return bool(head.header(_NOT_RUN)) or head.status == _MISDIRECTED


def is_signed(head: AnswerHead) -> bool:
    """Return whether an answer bears an endpoint's signature."""
    return bool(head.header(_SIGNATURE))


def _forwarded(headers: Headers, dropped: frozenset[str]) -> Iterable[tuple[str, str]]:
    named = {
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    }
    # A caller can't have the system's own headers dropped by naming them.
    named -= {REQUEST_ID, "host"}
    for name, value in headers:
        if name not in _PER_CONNECTION and name not in dropped and name not in named:
            yield name, value


def _number(request: Request, name: str) -> int | None:
    written = request.header(name)
    if not written:
        return None
    if not written.isdecimal() or len(written) > _MOST_DIGITS:
        raise ValueMalformed(f"{name} is no number", field=name)
    return int(written)


def _token_counts(written: str) -> tuple[int | None, int]:
    if not written:
        return None, 0
    numbers = [part.strip() for part in written.split(",")]
    if len(numbers) != 2 or not all(
        part.isdecimal() and len(part) <= _MOST_DIGITS for part in numbers
    ):
        raise ValueMalformed(f"{_TOKENS} is not two numbers", field=_TOKENS)
    return int(numbers[0]), int(numbers[1])


def _parts(written: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in filter(None, (part.strip() for part in written.split(","))):
        name, _, tokens = item.partition(":")
        if not tokens.isdecimal() or len(tokens) > _MOST_DIGITS:
            raise ValueMalformed(f"{_PREFIX} has a part without tokens", field=_PREFIX)
        parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)
