"""What a model engine is asked beside plain HTTP, and the events it streams."""

import json
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.endpoints.adapters import (
    EndpointRequest,
    EventStream,
    HttpAdapter,
)
from sassafrasdale.endpoints.exceptions import AnswerLost
from sassafrasdale.structures import Address

DATA = b"data: "
DONE = b"data: [DONE]"
EXPORT_LIMIT = timedelta(seconds=2)
HEALTH_LIMIT = timedelta(seconds=1)
# Fields that only this system sets. A caller's would make an engine fetch from an
# address of the caller's choice, or answer as if tokens had gone before.
OWN_FIELDS = frozenset({"continue_from", "continuation", "kv_transfer_params"})
JSON_TYPE = ("Content-Type", "application/json")


@dataclass(frozen=True, slots=True)
class FromPrompt:
    """Start from nothing."""


@dataclass(frozen=True, slots=True)
class Reattach:
    """Go on with the stream that the same engine still runs.

    :param tokens: tokens received so far.
    """

    tokens: int


@dataclass(frozen=True, slots=True)
class FromCache:
    """Go on with a KV cache that another engine exported.

    :param tokens: tokens received so far.
    :param text: their text, should the cache be gone.
    :param address: the engine that keeps the cache.
    :param handle: its name there.
    """

    tokens: int
    text: str
    address: Address
    handle: str


@dataclass(frozen=True, slots=True)
class Recompute:
    """Go on by computing prompt and received tokens again.

    :param tokens: tokens received so far.
    :param text: their text.
    """

    tokens: int
    text: str


Start = FromPrompt | Reattach | FromCache | Recompute


@dataclass(frozen=True, slots=True)
class Usage:
    """Token counts of a finished generation."""

    prompt: int = 0
    completion: int = 0
    cached: int = 0
    recomputed: int = 0


@dataclass(frozen=True, slots=True)
class Chunk:
    """One parsed event of a stream.

    :param content: text of its token, empty if it brings none.
    :param finish_reason: why the generation ended, if it did.
    :param usage: token counts, in the last chunk.
    """

    content: str
    finish_reason: str | None
    usage: Usage | None


def open_stream(
    adapter: HttpAdapter,
    stream_id: str,
    body: dict,
    start: Start,
    limit: timedelta,
) -> EventStream:
    """Return the engine's events from ``start`` on.

    :param stream_id: the engine's name for the stream.
    :param body: the caller's checked body.
    :param limit: longest silence between two reads.
    :raises EndpointError: as ``BaseAdapter.stream`` does.
    """
    return adapter.stream(_stream_request(stream_id, body, start), limit)


def _stream_request(stream_id: str, body: dict, start: Start) -> EndpointRequest:
    match start:
        case Reattach(tokens):
            target = f"/v1/streams/{stream_id}?after={tokens}"
            return EndpointRequest("GET", target, (), b"")
        case FromPrompt():
            extra = {}
        case FromCache(tokens, text, address, handle):
            transfer = {"remote_address": str(address), "kv_handle": handle}
            extra = {
                "continue_from": tokens,
                "continuation": text,
                "kv_transfer_params": transfer,
            }
        case Recompute(tokens, text):
            extra = {"continue_from": tokens, "continuation": text}
    allowed = {name: value for name, value in body.items() if name not in OWN_FIELDS}
    document = json.dumps({**allowed, "stream": True, **extra}).encode()
    headers = (JSON_TYPE, ("X-Request-Id", stream_id))
    return EndpointRequest("POST", "/v1/chat/completions", headers, document)


def export_cache(adapter: HttpAdapter, stream_id: str) -> str:
    """Stop the stream and return the handle of its KV cache.

    :raises EndpointError: the engine did not export it.
    """
    answer = adapter.ask("POST", f"/v1/streams/{stream_id}/export", limit=EXPORT_LIMIT)
    try:
        return str(answer["kv_handle"])
    except (KeyError, TypeError) as error:
        raise AnswerLost("the engine's export names no handle") from error


def check_health(adapter: HttpAdapter) -> None:
    """Ask the engine whether it works.

    :raises EndpointError: it does not answer that it does.
    """
    adapter.ask("GET", "/v1/health", limit=HEALTH_LIMIT)


def cancel(adapter: HttpAdapter, stream_id: str) -> None:
    """Tell the engine that nobody waits for the stream any more.

    :raises EndpointError: the engine can't be told.
    """
    adapter.ask("POST", f"/v1/streams/{stream_id}/cancel")


def parse_chunk(event: bytes) -> Chunk:
    """Return what an event says.

    :raises AnswerLost: the event is no chunk.
    """
    try:
        document = json.loads(event.removeprefix(DATA))
        choice = document["choices"][0]
        content = choice["delta"].get("content") or ""
        usage = document.get("usage")
        return Chunk(
            content, choice.get("finish_reason"), _usage(usage) if usage else None
        )
    except (ValueError, KeyError, IndexError, TypeError, AttributeError) as error:
        raise AnswerLost(f"the engine sent an event that is no chunk: {error}") from (
            error
        )


def _usage(document: dict) -> Usage:
    details = document.get("prompt_tokens_details") or {}
    return Usage(
        prompt=document.get("prompt_tokens", 0),
        completion=document.get("completion_tokens", 0),
        cached=details.get("cached_tokens", 0),
        recomputed=document.get("recomputed_tokens", 0),
    )
