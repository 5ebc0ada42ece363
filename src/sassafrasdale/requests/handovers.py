"""Encoding of a generation that is handed over to another entry.

The message contains the call, every event so far (a caller may resume from any of
them) and the point to continue from: the endpoint that runs the engine's stream, or
the KV cache that was exported from it.
"""

import base64
from dataclasses import dataclass
from datetime import timedelta

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from sassafrasdale.clock import Clock, milliseconds
from sassafrasdale.endpoints.engines import FromCache
from sassafrasdale.requests.exceptions import MalformedHandOver
from sassafrasdale.requests.placement import Progress
from sassafrasdale.requests.structures import Call, ModelCall
from sassafrasdale.structures import Address


class _Message(BaseModel):
    """Schema of the message between the two entries."""

    model_config = ConfigDict(extra="ignore")

    request_id: str
    customer: str
    service: str
    remaining_ms: int
    priority: int = Field(ge=0, le=7)
    idempotency_key: str
    prompt: str
    opening: tuple[str, ...]
    body: dict
    max_tokens: int
    streamed: bool
    events: list[str]
    endpoint: str
    cache_address: str
    cache_handle: str
    sent: bool
    delivered_ago_ms: int | None = Field(default=None, ge=0)


@dataclass(frozen=True, slots=True)
class IncomingGeneration:
    """A generation that another entry hands over to this one.

    :param call: the caller's request.
    :param events: events that the previous holder received.
    :param endpoint: name of the endpoint that runs the stream, or empty.
    :param cache: the exported KV cache to continue with, or None.
    :param sent: whether an endpoint may have started the request.
    :param delivered_ago: time since a caller was sent the end of the response; None
        before that.
    """

    call: ModelCall
    events: list[bytes]
    endpoint: str
    cache: FromCache | None
    sent: bool
    delivered_ago: timedelta | None


def encode(call: ModelCall, progress: Progress, clock: Clock) -> bytes:
    """Return the message from which another entry can continue ``call``."""
    about = call.call
    endpoint = progress.endpoint
    cache = progress.cache
    message = _Message(
        request_id=about.request_id,
        customer=about.customer,
        service=about.service,
        remaining_ms=milliseconds(about.deadline - clock.elapsed()),
        priority=about.priority,
        idempotency_key=about.idempotency_key,
        prompt=call.prompt,
        opening=call.opening,
        body=call.body,
        max_tokens=call.max_tokens,
        streamed=call.streamed,
        events=[base64.b64encode(event).decode() for event in progress.events],
        endpoint=endpoint.name if endpoint else "",
        cache_address=str(cache.address) if cache else "",
        cache_handle=cache.handle if cache else "",
        sent=progress.sent,
        delivered_ago_ms=_optional_milliseconds(progress.delivered_ago),
    )
    return message.model_dump_json().encode()


def decode(data: bytes, clock: Clock) -> IncomingGeneration:
    """Return the generation in ``data``.

    :raises MalformedHandOver: the message is malformed.
    """
    try:
        message = _Message.model_validate_json(data)
        events = [base64.b64decode(event) for event in message.events]
        cache = _cache(message)
    except (ValidationError, ValueError) as error:
        raise MalformedHandOver(f"malformed hand-over: {error}") from error
    about = Call(
        request_id=message.request_id,
        customer=message.customer,
        service=message.service,
        deadline=clock.elapsed() + timedelta(milliseconds=message.remaining_ms),
        priority=message.priority,
        idempotency_key=message.idempotency_key,
    )
    call = ModelCall(
        call=about,
        prompt=message.prompt,
        opening=message.opening,
        body=message.body,
        max_tokens=message.max_tokens,
        streamed=message.streamed,
    )
    return IncomingGeneration(
        call,
        events,
        message.endpoint,
        cache,
        message.sent,
        _optional_duration(message.delivered_ago_ms),
    )


def _optional_milliseconds(duration: timedelta | None) -> int | None:
    return None if duration is None else milliseconds(duration)


def _optional_duration(millis: int | None) -> timedelta | None:
    return None if millis is None else timedelta(milliseconds=millis)


def _cache(message: _Message) -> FromCache | None:
    if not message.cache_handle:
        return None
    return FromCache(0, "", Address.parse(message.cache_address), message.cache_handle)
