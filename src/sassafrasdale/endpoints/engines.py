"""API of model engines: requests, and the events of their streams."""

import json
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.endpoints.adapters import (
    EndpointRequest,
    EventStream,
    HttpAdapter,
)
from sassafrasdale.endpoints.exceptions import ResponseLost
from sassafrasdale.structures import Address

DATA = b"data: "
DONE = b"data: [DONE]"
EXPORT_TIMEOUT = timedelta(seconds=2)
HEALTH_TIMEOUT = timedelta(seconds=1)
# Fields that a caller must not set: with them, an engine would fetch a KV cache from
# an address of the caller's choice, or continue from tokens that were never generated.
RESERVED_FIELDS = frozenset({"continue_from", "continuation", "kv_transfer_params"})
JSON_TYPE = ("Content-Type", "application/json")


@dataclass(frozen=True, slots=True)
class FromPrompt:
    """Start a new stream."""


@dataclass(frozen=True, slots=True)
class Reattach:
    """Resume the stream that the same engine still runs.

    :param tokens: tokens received so far.
    """

    tokens: int


@dataclass(frozen=True, slots=True)
class FromCache:
    """Continue from a KV cache that another engine exported.

    :param tokens: number of tokens received so far.
    :param text: their text, in case the cache no longer exists.
    :param address: address of the engine that holds the cache.
    :param handle: the cache's handle on that engine.
    """

    tokens: int
    text: str
    address: Address
    handle: str


@dataclass(frozen=True, slots=True)
class Recompute:
    """Continue by recomputing the prompt and the received tokens.

    :param tokens: number of tokens received so far.
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

    :param content: text of its token, or empty.
    :param finish_reason: why the generation ended, or None.
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
    """Open a stream, starting as ``start`` says.

    :param stream_id: id of the stream on the engine.
    :param body: the caller's validated body.
    :param limit: maximum wait for data in one read.
    :raises EndpointError: like ``BaseAdapter.stream``.
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
    allowed = {
        name: value for name, value in body.items() if name not in RESERVED_FIELDS
    }
    document = json.dumps({**allowed, "stream": True, **extra}).encode()
    headers = (JSON_TYPE, ("X-Request-Id", stream_id))
    return EndpointRequest("POST", "/v1/chat/completions", headers, document)


def export_cache(adapter: HttpAdapter, stream_id: str) -> str:
    """Stop the stream and return the handle of its KV cache.

    :raises EndpointError: the engine did not export it.
    """
    response = adapter.ask(
        "POST", f"/v1/streams/{stream_id}/export", limit=EXPORT_TIMEOUT
    )
    try:
        return str(response["kv_handle"])
    except (KeyError, TypeError) as error:
        raise ResponseLost("the engine's export names no handle") from error


def check_health(adapter: HttpAdapter) -> None:
    """Check that the engine is healthy.

    :raises EndpointError: the check failed.
    """
    adapter.ask("GET", "/v1/health", limit=HEALTH_TIMEOUT)


def cancel(adapter: HttpAdapter, stream_id: str) -> None:
    """Cancel a stream on the engine.

    :raises EndpointError: the call failed.
    """
    adapter.ask("POST", f"/v1/streams/{stream_id}/cancel")


def parse_chunk(event: bytes) -> Chunk:
    """Parse an event.

    :raises ResponseLost: the event is not a valid chunk.
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
        raise ResponseLost(f"the engine sent an event that is no chunk: {error}") from (
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
