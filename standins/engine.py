"""Stand-in for a model engine with continuous batching.

Usage::

    python -m standins.engine --address 127.0.0.1:0 --name engine-1

It prints ``{"address": "host:port"}`` and implements the API for model engines in
docs/PROTOCOLS.md. Controls: ``POST /standin/faults`` (see
:class:`standins.faults.Faults`), ``GET /standin/log``, ``GET /standin/counts``.
"""

import argparse
import json
import random
import uuid
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

from sassafrasdale.clock import Clock, SystemClock
from sassafrasdale.green import listen, sleep, spawn
from sassafrasdale.structures import Address
from standins.batch import Batch, Speed
from standins.cache import PrefixCache
from standins.command import announce, argument_parser
from standins.faults import REFUSED, Faults
from standins.generation import TokenSource
from standins.orders import Orders
from standins.prompts import Prompt
from standins.streams import CANCELLED, EXPORTED, FINISHED, Stream, chunk_object
from standins.transfers import Transfers
from standins.web import (
    Application,
    Request,
    Response,
    Route,
    bound_address,
    serve,
)

RETENTION = timedelta(seconds=30)
"""Shortest time for which an ended stream can be read again."""

COMPLETIONS = "/v1/chat/completions"
EVENT_POLL = timedelta(milliseconds=50)
DEFAULT_MAX_TOKENS = 16
DEFAULT_PRIORITY = 4


@dataclass(frozen=True, slots=True)
class Execution:
    """A call that the engine accepted."""

    stream: Stream
    idempotency_key: str
    at: datetime

    def json(self) -> dict[str, Any]:
        """Return the execution as shown by ``GET /standin/log``."""
        return {
            "request_id": self.stream.stream_id,
            "idempotency_key": self.idempotency_key,
            "continue_from": self.stream.first,
            "recomputed_tokens": self.stream.recomputed,
            "cached_tokens": self.stream.cached,
            "tokens": self.stream.position,
            "state": self.stream.state,
            "at": self.at.isoformat(),
        }


class Engine:
    """One model engine.

    :param clock: source of time.
    :param name: shown by the health check.
    :param speed: durations and limits of the batch.
    :param cache: prefix cache.
    :param checks_fencing: whether orders with an old fencing number are refused.
    :param load_lag: time between two measurements of the reported load.
    :param reconnect_window: time after which a stream without a reader is cancelled.
    """

    def __init__(
        self,
        clock: Clock,
        name: str,
        speed: Speed,
        cache: PrefixCache,
        *,
        checks_fencing: bool,
        load_lag: timedelta,
        reconnect_window: timedelta,
    ) -> None:
        self._clock = clock
        self._name = name
        self._cache = cache
        self._load_lag = load_lag
        self._reconnect_window = reconnect_window
        self._faults = Faults(clock, _is_work)
        self._batch = Batch(clock, speed, cache, self._faults, self._is_abandoned)
        self._streams: dict[str, Stream] = {}
        self._expiring: set[str] = set()
        self._transfers = Transfers(speed.kv_per_token, self._faults)
        self._log: list[Execution] = []
        self._orders = Orders(checks_fencing)
        self._load: dict[str, Any] = {}

    def start(self) -> None:
        """Start the batch loop and the load report."""
        spawn(self._batch.run)
        spawn(self._report_load)
        spawn(self._forget_ended)

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of the API and of the controls."""
        return (
            Route("POST", COMPLETIONS, self._complete),
            Route("GET", "/v1/streams/{id}", self._resume),
            Route("POST", "/v1/streams/{id}/cancel", self._cancel),
            Route("POST", "/v1/streams/{id}/export", self._export),
            Route("GET", "/v1/load", self._show_load),
            Route("GET", "/v1/cache/events", self._cache_events),
            Route("GET", "/v1/health", self._health),
            Route("GET", "/standin/log", self._list_log),
            Route("GET", "/standin/counts", self._count),
            *self._transfers.routes(),
            *self._orders.routes(),
            *self._faults.routes(),
        )

    @property
    def middleware(
        self,
    ) -> Callable[[Request, Callable[[Request], Response]], Response]:
        """Middleware that applies the present faults."""
        return self._faults.apply

    def _complete(self, request: Request) -> Response:
        body = request.json()
        if self._batch.full:
            return Response({"error": "queue is full"}, status=429, headers=REFUSED)
        stream = self._open_stream(request, body)
        self._streams[stream.stream_id] = stream
        if stream.position >= stream.max_tokens:
            stream.end(FINISHED)
        else:
            self._batch.add(stream)
        if body.get("stream"):
            return self._stream_response(request, stream, stream.first)
        return self._whole_response(stream)

    def _open_stream(self, request: Request, body: dict[str, Any]) -> Stream:
        transfer = body.get("kv_transfer_params")
        messages = body["messages"]
        model = body.get("model", "")
        stream = Stream(
            request.header("X-Request-Id") or uuid.uuid4().hex,
            model,
            TokenSource(model, messages),
            Prompt(messages),
            max_tokens=int(body.get("max_tokens", DEFAULT_MAX_TOKENS)),
            priority=int(body.get("priority", DEFAULT_PRIORITY)),
            first=int(body.get("continue_from", 0)),
            continues="continue_from" in body,
            transferred=bool(transfer) and self._transfers.fetch(transfer),
        )
        self._log.append(
            Execution(stream, request.header("Idempotency-Key"), self._clock.now())
        )
        return stream

    def _is_abandoned(self, stream: Stream) -> bool:
        if stream.readers or stream.lost_at is None:
            return False
        return self._clock.elapsed() - stream.lost_at > self._reconnect_window

    def _stream_response(
        self, request: Request, stream: Stream, after: int
    ) -> Response:
        stream.lost_at = self._clock.elapsed()
        return Response(
            chunks=self._events(request, stream, after),
            content_type="text/event-stream",
        )

    def _events(self, request: Request, stream: Stream, after: int) -> Iterator[bytes]:
        """Yield the events since the last iteration, joined into one write.

        A stream that was cancelled or exported ends without a last chunk, so that
        it can't be mistaken for a finished one.
        """
        end = stream.max_tokens
        truncated = self._faults.consume_truncation()
        if truncated:
            end = (after + stream.max_tokens) // 2
        stream.readers += 1
        try:
            while after < end and (after < stream.position or not stream.ended):
                if after >= stream.position:
                    stream.wait()
                    continue
                if self._faults.is_silent(request):
                    request.connection.wait_until_closed()
                    return
                last = min(stream.position, end)
                yield stream.events(after + 1, last)
                after = last
            if stream.state == FINISHED and not truncated:
                yield _last_event(stream)
        finally:
            stream.readers -= 1
            stream.lost_at = self._clock.elapsed()

    def _whole_response(self, stream: Stream) -> Response:
        stream.readers += 1
        try:
            while not stream.ended:
                stream.wait()
        finally:
            stream.readers -= 1
            stream.lost_at = self._clock.elapsed()
        if stream.state != FINISHED:
            return Response({"error": stream.state}, status=409)
        text = "".join(stream.source.tokens(stream.first + 1, stream.position))
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": stream.state,
        }
        return Response(
            {
                "id": stream.stream_id,
                "object": "chat.completion",
                "model": stream.model,
                "choices": [choice],
                "usage": _usage(stream),
            }
        )

    def _resume(self, request: Request, stream_id: str) -> Response:
        stream = self._streams.get(stream_id)
        if stream is None or stream.state in (CANCELLED, EXPORTED):
            return _unknown_stream(stream_id)
        after = int(request.query.get("after", stream.first))
        return self._stream_response(request, stream, max(after, stream.first))

    def _cancel(self, _request: Request, stream_id: str) -> Response:
        stream = self._streams.get(stream_id)
        if stream is None:
            return _unknown_stream(stream_id)
        stream.end(CANCELLED)
        return Response({"tokens": stream.position})

    def _export(self, _request: Request, stream_id: str) -> Response:
        stream = self._streams.get(stream_id)
        if stream is None or stream.state == CANCELLED:
            return _unknown_stream(stream_id)
        stream.end(EXPORTED)
        handle = self._transfers.export(stream)
        return Response({"kv_handle": handle, "tokens": stream.position})

    def _report_load(self) -> None:
        while True:
            self._load = self._measure_load()
            sleep(max(self._load_lag, EVENT_POLL))

    def _forget_ended(self) -> None:
        """Forget streams that had already ended at the previous check."""
        while True:
            for stream_id in self._expiring:
                self._streams.pop(stream_id, None)
            self._expiring = {
                stream_id
                for stream_id, stream in self._streams.items()
                if stream.ended and not stream.readers
            }
            sleep(RETENTION)

    def _measure_load(self) -> dict[str, Any]:
        return {
            "running": self._batch.running,
            "waiting": self._batch.waiting,
            "kv_used_tokens": self._cache.tokens + self._batch.running_tokens,
            "kv_total_tokens": self._cache.capacity,
            "measured_at": self._clock.now().isoformat(),
        }

    def _show_load(self, _request: Request) -> Response:
        return Response(self._load)

    def _cache_events(self, request: Request) -> Response:
        after = int(request.query.get("after", 0))
        limit = timedelta(milliseconds=int(request.query.get("wait_ms", 0)))
        deadline = self._clock.elapsed() + limit
        found = self._cache.events_after(after)
        while not found and self._clock.elapsed() < deadline:
            sleep(EVENT_POLL)
            found = self._cache.events_after(after)
        events = [
            {"sequence": event.sequence, "kind": event.kind, "prefix": event.prefix}
            for event in found
        ]
        return Response(
            {"events": events, "next": events[-1]["sequence"] if events else after}
        )

    def _health(self, _request: Request) -> Response:
        return Response({"status": "ok", "name": self._name})

    def _list_log(self, _request: Request) -> Response:
        return Response({"executions": [item.json() for item in self._log]})

    def _count(self, _request: Request) -> Response:
        streams = [item.stream for item in self._log]
        return Response(
            {
                "executions": len(streams),
                "by_request_id": Counter(stream.stream_id for stream in streams),
                "generated_tokens": sum(
                    stream.position - stream.first for stream in streams
                ),
                "recomputed_tokens": sum(stream.recomputed for stream in streams),
            }
        )


def _is_work(request: Request) -> bool:
    return request.method == "POST" and request.path == COMPLETIONS


def _unknown_stream(stream_id: str) -> Response:
    return Response({"error": f"no stream {stream_id}"}, status=404)


def _usage(stream: Stream) -> dict[str, Any]:
    return {
        "prompt_tokens": stream.prompt.tokens,
        "completion_tokens": stream.position,
        "total_tokens": stream.prompt.tokens + stream.position,
        "recomputed_tokens": stream.recomputed,
        "prompt_tokens_details": {"cached_tokens": stream.cached},
    }


def _last_event(stream: Stream) -> bytes:
    chunk = chunk_object(stream.stream_id, stream.model, {}, stream.state)
    chunk["usage"] = _usage(stream)
    return b"data: " + json.dumps(chunk).encode() + b"\n\ndata: [DONE]\n\n"


def _speed(arguments: argparse.Namespace) -> Speed:
    return Speed(
        step=timedelta(milliseconds=arguments.step_ms),
        step_per_stream=timedelta(milliseconds=arguments.step_per_stream_ms),
        prefill_per_token=timedelta(milliseconds=arguments.prefill_ms_per_token),
        kv_per_token=timedelta(milliseconds=arguments.kv_ms_per_token),
        max_batch=arguments.max_batch,
        max_waiting=arguments.max_waiting,
    )


def _parse() -> argparse.Namespace:
    parser = argument_parser(__doc__)
    add = parser.add_argument
    add("--address", type=Address.parse, default="127.0.0.1:0")
    add("--name", default="engine")
    add("--step-ms", type=float, default=10.0)
    add("--step-per-stream-ms", type=float, default=0.05)
    add("--prefill-ms-per-token", type=float, default=0.05)
    add("--kv-ms-per-token", type=float, default=0.002)
    add("--max-batch", type=int, default=64)
    add("--max-waiting", type=int, default=256)
    add("--cache-tokens", type=int, default=65_536)
    add("--event-lag-ms", type=float, default=200.0)
    add("--event-loss", type=float, default=0.05)
    add("--load-lag-ms", type=float, default=500.0)
    add("--reconnect-window-ms", type=float, default=10_000.0)
    add("--fencing", action="store_true")
    add("--seed", type=int, default=1)
    return parser.parse_args()


def main() -> None:
    """Serve until the process is terminated."""
    arguments = _parse()
    clock = SystemClock()
    cache = PrefixCache(
        arguments.cache_tokens,
        clock.elapsed,
        random.Random(arguments.seed),
        timedelta(milliseconds=arguments.event_lag_ms),
        arguments.event_loss,
    )
    engine = Engine(
        clock,
        arguments.name,
        _speed(arguments),
        cache,
        checks_fencing=arguments.fencing,
        load_lag=timedelta(milliseconds=arguments.load_lag_ms),
        reconnect_window=timedelta(milliseconds=arguments.reconnect_window_ms),
    )
    listener = listen(arguments.address)
    engine.start()
    announce(arguments, address=bound_address(listener))
    serve(listener, Application(engine.routes(), engine.middleware))


if __name__ == "__main__":
    main()
