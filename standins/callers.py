"""Stand-ins for the load balancer and for callers that resume their streams."""

import json
import random
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from standins.clients import Response
from standins.fleet import Fleet
from standins.generation import reference_text
from standins.processes import EntryProcess

MODEL = "reports"
PLAIN = "records"
CUSTOMER = "labs"
DONE = "[DONE]"
CALL_LIMIT = 60.0
PAUSE = 0.05

TEXT = """
deployment: test
instance_classes: [gpu, cpu]
availability_zones:
  zone-a: {region: one, one_way_delay: 0.5ms, client_delay: 1ms}
  zone-b: {region: one, one_way_delay: 0.5ms, client_delay: 1ms}
  zone-c: {region: one, one_way_delay: 0.5ms, client_delay: 1ms}
services:
  reports:
    kind: model
    objective: {latency: 20s, first_token: 1s, share: 0.95}
    timeout: 60s
    priority: 4
    weights: {latency_cost: 1, recomputed_tokens: 1}
    pools:
      - instance_class: gpu
        availability_zones: [zone-a, zone-b, zone-c]
        count: 3
        max_in_flight: 100
        max_waiting: 100
  records:
    kind: plain
    objective: {latency: 1s, share: 0.99}
    timeout: 5s
    priority: 0
    weights: {latency_cost: 1, recomputed_tokens: 0}
    rules:
      - {method: GET, path: /*, idempotent: true}
      - {method: POST, path: /certificates, idempotent: false}
    pools:
      - instance_class: cpu
        availability_zones: [zone-a, zone-b, zone-c]
        count: 3
        max_in_flight: 64
        max_waiting: 128
customers:
  labs: {weight: 1, max_in_flight: 1000}
"""


def start_fleet(*, step_ms: float = 10, entries: int = 3, **options: Any) -> Fleet:
    """Return a fleet over three zones, to be used as a context manager.

    :param step_ms: time between two tokens, whatever the number of streams.
    """
    engine = {"step_ms": step_ms, "step_per_stream_ms": 0, "load_lag_ms": 100}
    return Fleet(TEXT, entries=entries, engine_options=engine, **options)


class Balancer:
    """Load balancer over the entries whose readiness probe returns 200."""

    def __init__(self, entries: Sequence[EntryProcess], seed: int = 1) -> None:
        self._entries = tuple(entries)
        self._rng = random.Random(seed)
        self._lock = threading.Lock()

    @property
    def entries(self) -> tuple[EntryProcess, ...]:
        """The entries that calls go to."""
        return self._entries

    def add(self, entry: EntryProcess) -> None:
        """Send calls to another entry, too."""
        with self._lock:
            self._entries = (*self._entries, entry)

    def remove(self, entry: EntryProcess) -> None:
        """Send no more calls to an entry."""
        with self._lock:
            self._entries = tuple(one for one in self._entries if one is not entry)

    def replace_all(self, entries: Sequence[EntryProcess]) -> None:
        """Send calls to these entries from now on."""
        with self._lock:
            self._entries = tuple(entries)

    def pick(self, avoid: str = "") -> EntryProcess | None:
        """Return a ready entry, if possible another one than ``avoid``."""
        with self._lock:
            entries = self._rng.sample(self._entries, len(self._entries))
        entries.sort(key=lambda entry: entry.name == avoid)
        for entry in entries:
            if _is_ready(entry):
                return entry
        return None


def _is_ready(entry: EntryProcess) -> bool:
    try:
        with _open(entry, "GET", "/health/ready", {}, None, 2.0) as response:
            return response.status == 200
    except HTTPError:
        return False


@contextmanager
def _open(
    entry: EntryProcess,
    method: str,
    path: str,
    headers: dict[str, str],
    body: Any,
    limit: float = CALL_LIMIT,
) -> Iterator[urllib3.BaseHTTPResponse]:
    """Send a request on a new connection and yield the response."""
    host, port = entry.address.split(":")
    pool = urllib3.HTTPConnectionPool(host, int(port), retries=False, timeout=limit)
    response = None
    try:
        response = pool.urlopen(
            method,
            path,
            body=None if body is None else json.dumps(body),
            headers=headers,
            preload_content=False,
            redirect=False,
        )
        yield response
    finally:
        if response is not None:
            response.close()
        pool.close()


def call(
    entry: EntryProcess,
    method: str,
    path: str,
    body: Any = None,
    limit: float = CALL_LIMIT,
    **headers: str,
) -> Response:
    """Send a request on a new connection and return the whole response."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    with _open(
        entry, method, path, {"X-Customer": CUSTOMER, **named}, body, limit
    ) as response:
        return Response(response.status, response.headers, response.read())


@dataclass
class Stream:
    """One caller's streamed request, and everything that the caller received."""

    request_id: str
    prompt: str
    max_tokens: int
    events: dict[int, str] = field(default_factory=dict)
    whole: bool = False
    failures: list[str] = field(default_factory=list)
    duplicates: int = 0
    moved: int = 0
    broken_connections: int = 0
    errors: list[str] = field(default_factory=list)
    refusals: list[str] = field(default_factory=list)
    resumed: int = 0
    restarted: int = 0
    entry: str = ""
    longest_pause: float = 0.0
    _taken_at: float = 0.0

    @property
    def messages(self) -> list[dict[str, str]]:
        """The messages of the request."""
        return [{"role": "user", "content": self.prompt}]

    @property
    def reference(self) -> str:
        """The text that the whole stream must have."""
        return reference_text(MODEL, self.messages, self.max_tokens)

    @property
    def text(self) -> str:
        """The text of the events, in the order of their positions."""
        return "".join(
            chunk["choices"][0]["delta"].get("content", "") for chunk in self._chunks()
        )

    @property
    def last(self) -> int:
        """Position of the last event."""
        return max(self.events, default=0)

    def take(self, position: int, data: str) -> None:
        """Record an event; a repeated one must have the same content."""
        now = time.monotonic()
        if self._taken_at:
            self.longest_pause = max(self.longest_pause, now - self._taken_at)
        self._taken_at = now
        if position in self.events:
            self.duplicates += 1
            if self.events[position] != data:
                self.failures.append(f"event {position} came with other content")
        elif position != self.last + 1:
            self.failures.append(f"event {position} came after {self.last}")
        self.events[position] = data
        self.whole = self.whole or data == DONE

    def restart(self) -> None:
        """Discard the events, as the request is sent again."""
        self.restarted += 1
        self.events.clear()

    def faults(self) -> list[str]:
        """Return all faults of the received stream."""
        found = list(self.failures)
        if not self.whole:
            found.append(f"not whole: {self.last} events, {self.errors[-2:]}")
        if self.text != self.reference:
            found.append("the text is not the reference")
        finish = [
            chunk["choices"][0]["finish_reason"]
            for chunk in self._chunks()
            if chunk["choices"][0]["finish_reason"]
        ]
        if finish != ["stop"]:
            found.append(f"finish reasons {finish}")
        return [f"{self.request_id}: {fault}" for fault in found]

    def _chunks(self) -> Iterator[dict]:
        for position in sorted(self.events):
            if self.events[position] != DONE:
                yield json.loads(self.events[position])


@dataclass(frozen=True)
class ReadPattern:
    """How a caller reads its stream.

    :param drop_every: events after which it drops its connection; 0 for never.
    :param step_back: number of received events that it requests again on resuming.
    :param pause: pause in seconds after each event.
    """

    drop_every: int = 0
    step_back: int = 0
    pause: float = 0.0


class StreamReader:
    """Requests a stream and resumes it until it is complete.

    :param balancer: selects an entry for each connection.
    :param limit: seconds after which it gives up.
    :param resume: whether the request was already accepted.
    """

    def __init__(
        self,
        balancer: Balancer,
        stream: Stream,
        pattern: ReadPattern | None = None,
        limit: float = CALL_LIMIT,
        *,
        resume: bool = False,
    ) -> None:
        self._balancer = balancer
        self.stream = stream
        self._pattern = pattern or ReadPattern()
        self._until = time.monotonic() + limit
        self._accepted = resume

    def run(self) -> Stream:
        """Read to the end; errors are recorded in the stream."""
        while not self.stream.whole and time.monotonic() < self._until:
            entry = self._balancer.pick(avoid=self.stream.entry)
            if entry is None:
                time.sleep(PAUSE)
                continue
            self.stream.entry = entry.name
            if not self.connect(entry):
                break
        return self.stream

    def connect(self, entry: EntryProcess) -> bool:
        """Read on one connection; return whether to try again."""
        stream = self.stream
        try:
            with self._connect(entry) as response:
                if response.status != 200:
                    return self._handle_refusal(response)
                self._accepted = True
                self._read(response)
        except NewConnectionError:
            time.sleep(PAUSE)
        except (HTTPError, OSError) as error:
            self._accepted = True
            stream.broken_connections += 1
            stream.errors.append(f"{entry.name}: {error!r}"[:200])
            time.sleep(PAUSE)
        return True

    def _connect(self, entry: EntryProcess) -> Any:
        stream = self.stream
        headers = {"X-Customer": CUSTOMER, "X-Request-Id": stream.request_id}
        if self._accepted:
            stream.resumed += 1
            last = max(0, stream.last - self._pattern.step_back)
            headers["Last-Event-ID"] = str(last)
            return _open(
                entry, "GET", f"/v1/requests/{stream.request_id}", headers, None
            )
        body = {
            "model": MODEL,
            "messages": stream.messages,
            "max_tokens": stream.max_tokens,
            "stream": True,
        }
        return _open(entry, "POST", "/v1/chat/completions", headers, body)

    def _handle_refusal(self, response: urllib3.BaseHTTPResponse) -> bool:
        outcome = response.headers.get("X-Outcome")
        refusal = f"{response.status} {outcome}"
        self.stream.refusals.append(refusal)
        self.stream.errors.append(f"{refusal} {response.read()[:200]!r}")
        time.sleep(PAUSE)
        if response.status == 404 and self._accepted:
            # No entry has the request any more. It may be sent again, as it is
            # idempotent.
            self._accepted = False
            self.stream.restart()
            return True
        return response.status in (502, 503, 409)

    def _read(self, response: urllib3.BaseHTTPResponse) -> None:
        for count, lines in enumerate(_events(response), start=1):
            fields = dict(line.split(": ", 1) for line in lines)
            if fields.get("event") == "moved":
                self.stream.moved += 1
                return
            if fields.get("event") == "error":
                self.stream.errors.append(fields.get("data", ""))
                return
            self.stream.take(int(fields["id"]), fields["data"])
            if self.stream.whole or count == self._pattern.drop_every:
                return
            if self._pattern.pause:
                time.sleep(self._pattern.pause)


def _events(response: urllib3.BaseHTTPResponse) -> Iterator[list[str]]:
    """Yield the lines of each complete event."""
    rest = b""
    while chunk := response.read1(65536):
        *events, rest = (rest + chunk).split(b"\n\n")
        for event in events:
            yield event.decode().split("\n")


class CallerPool:
    """Concurrent callers, each in a thread.

    Usage::

        with CallerPool(balancer) as callers:
            callers.stream(40, tokens=100)
            ...
        assert callers.faults() == []
    """

    def __init__(self, balancer: Balancer, size: int = 128) -> None:
        self.balancer = balancer
        self._pool = ThreadPoolExecutor(size)
        self._futures: list[Future] = []
        self.streams: list[Stream] = []

    def __enter__(self) -> "CallerPool":
        """Return the pool itself."""
        return self

    def __exit__(self, *_exception: object) -> None:
        """Wait for every caller."""
        self._pool.shutdown()

    def stream(
        self,
        count: int,
        tokens: int,
        pattern: Callable[[int], ReadPattern] = lambda number: ReadPattern(),
        prefix: str = "stream",
    ) -> list[Stream]:
        """Start ``count`` callers, each with its own prompt."""
        started = []
        for number in range(count):
            name = f"{prefix}-{number}"
            stream = Stream(name, f"tell {name} what the cubes say", tokens)
            caller = StreamReader(self.balancer, stream, pattern(number))
            self._futures.append(self._pool.submit(caller.run))
            started.append(stream)
        self.streams.extend(started)
        return started

    def read_again(self, streams: Sequence[Stream]) -> None:
        """Start a second reader of each stream, from its first event."""
        for first in streams:
            stream = Stream(first.request_id, first.prompt, first.max_tokens)
            caller = StreamReader(self.balancer, stream, resume=True)
            self._futures.append(self._pool.submit(caller.run))
            self.streams.append(stream)

    def submit(self, function: Callable[..., Any], *arguments: Any) -> Future:
        """Run ``function`` in a thread of the pool."""
        return self._pool.submit(function, *arguments)

    def wait_until_running(self, events: int = 3, limit: float = 15.0) -> None:
        """Wait until every stream has received ``events`` events."""
        until = time.monotonic() + limit
        while any(stream.last < events for stream in self.streams):
            assert time.monotonic() < until, [
                (stream.request_id, stream.last, stream.errors)
                for stream in self.streams
                if stream.last < events
            ]
            time.sleep(PAUSE / 5)

    def faults(self, *, may_restart: bool = False) -> list[str]:
        """Return the faults of all streams, after all have ended.

        :param may_restart: whether a request may be lost and sent again.
        """
        for future in self._futures:
            future.result()
        found = [fault for stream in self.streams for fault in stream.faults()]
        if not may_restart:
            found += [f"{s.request_id}: lost" for s in self.streams if s.restarted]
        return found


def recomputed_tokens(fleet: Fleet) -> int:
    """Return the number of tokens that the running engines recomputed."""
    return sum(
        engine.counts()["recomputed_tokens"]
        for engine in fleet.endpoints_of(MODEL)
        if engine.return_code is None
    )


def busiest_engine(fleet: Fleet) -> Any:
    """Return the running engine with the most streams."""
    engines = [each for each in fleet.endpoints_of(MODEL) if each.return_code is None]
    return max(
        engines, key=lambda each: each.client.call("GET", "/v1/load").json()["running"]
    )
