"""A generation as it is handed to another entry.

What is handed over is the call, every event so far (a caller may come back for
any of them) and the endpoint on which the engine's stream runs.
"""

import base64
from dataclasses import dataclass
from datetime import timedelta

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from sassafrasdale.clock import Clock
from sassafrasdale.requests.exceptions import HandOverFaulty
from sassafrasdale.requests.generation import Generation
from sassafrasdale.requests.structures import Call, ModelCall


class _Message(BaseModel):
    """The hand-over on its way between two entries."""

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


@dataclass(frozen=True, slots=True)
class Parcel:
    """A generation on its way to this entry.

    :param call: what the caller asked for.
    :param events: events that the earlier holder received.
    :param endpoint: name of the endpoint where the stream runs, or empty.
    """

    call: ModelCall
    events: list[bytes]
    endpoint: str


def pack(generation: Generation, clock: Clock) -> bytes:
    """Return what another entry needs to go on with ``generation``."""
    call = generation.call
    about = call.call
    endpoint = generation.endpoint
    message = _Message(
        request_id=about.request_id,
        customer=about.customer,
        service=about.service,
        remaining_ms=(about.deadline - clock.elapsed()) // timedelta(milliseconds=1),
        priority=about.priority,
        idempotency_key=about.idempotency_key,
        prompt=call.prompt,
        opening=call.opening,
        body=call.body,
        max_tokens=call.max_tokens,
        streamed=call.streamed,
        events=[base64.b64encode(event).decode() for event in generation.events],
        endpoint=endpoint.name if endpoint else "",
    )
    return message.model_dump_json().encode()


def unpack(data: bytes, clock: Clock) -> Parcel:
    """Return the generation in ``data``.

    :raises HandOverFaulty: it can't be read.
    """
    try:
        message = _Message.model_validate_json(data)
        events = [base64.b64decode(event) for event in message.events]
    except (ValidationError, ValueError) as error:
        raise HandOverFaulty(f"the hand-over can't be read: {error}") from error
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
    return Parcel(call, events, message.endpoint)
