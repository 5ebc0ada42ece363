"""Stand-ins for the gateways' endpoints: a streaming engine and a plain service."""

import json
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from random import Random

from sassafrasdale.clock import Clock
from sassafrasdale.green import listen, sleep, spawn
from sassafrasdale.http.exceptions import CallerDisconnected
from sassafrasdale.http.messages import Request
from sassafrasdale.http.server import HttpServer, ServerConnection
from sassafrasdale.structures import Address
from standins.engine_gates import EngineCapacity, Visit
from standins.kv_store import KvStore

# An engine prefills 40 tokens per millisecond and sends an event every 20 ms; a plain
# request takes 15 ms.
TOKEN_TIME = timedelta(microseconds=25)
# An endpoint crashes this long after it began to run the request, and restarts after
# the second time.
CRASH_DELAY = timedelta(milliseconds=30)
RESTART_DELAY = timedelta(milliseconds=700)
EVENT_TIME = timedelta(milliseconds=20)
PLAIN_TIME = timedelta(milliseconds=15)
# An endless response comes in parts of this size at this interval, 2 MB per second.
ENDLESS_PART_BYTES = 20_000
ENDLESS_INTERVAL = timedelta(milliseconds=10)


class Endless(StrEnum):
    """A response without an end: what it sends until its connection is closed."""

    STATUS_LINE = "status line"
    HEAD = "head"
    INTERIM = "interim responses"
    # A whole head, and a body in chunks that ends no event.
    CHUNKED = "chunked body"
    # A whole head without a length or chunks, and a body that ends no event.
    UNFRAMED = "unframed body"
    # Chunks of one byte.
    TINY_CHUNKS = "tiny chunks"
    # Complete events that are only comments.
    COMMENTS = "comments"

    def bytes_for(self, headers: list[tuple[str, str]]) -> tuple[bytes, bytes]:
        """Return what comes first, and the part that is then repeated.

        :param headers: headers of a whole head.
        """
        ok = b"HTTP/1.1 200 OK\r\n"
        lines = b"".join(f"{name}: {value}\r\n".encode() for name, value in headers)
        chunked = ok + lines + b"transfer-encoding: chunked\r\n\r\n"
        match self:
            case Endless.STATUS_LINE:
                return b"HTTP/1.1 200 ", b"O" * ENDLESS_PART_BYTES
            case Endless.HEAD:
                return ok, b"filler: x\r\n" * (ENDLESS_PART_BYTES // 11)
            case Endless.INTERIM:
                interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
                return b"", interim * (ENDLESS_PART_BYTES // len(interim))
            case Endless.UNFRAMED:
                return ok + lines + b"\r\n", b"x" * ENDLESS_PART_BYTES
            case Endless.TINY_CHUNKS:
                return chunked, b"1\r\nx\r\n" * (ENDLESS_PART_BYTES // 6)
            case Endless.COMMENTS:
                part = b": filler\n\n" * (ENDLESS_PART_BYTES // 10)
            case Endless.CHUNKED:
                part = b"x" * ENDLESS_PART_BYTES
        return chunked, b"%x\r\n%b\r\n" % (len(part), part)


@dataclass(frozen=True, slots=True)
class Defect:
    """A defect of a version that makes some of its responses faulty.

    :param share: fraction of the responses that are faulty.
    :param slowdown: factor of a faulty response's duration; 0 if it fails instead.
    :param after: time from the endpoint's start until the defect shows.
    :param min_load: concurrent requests from which on the defect shows.
    :param target_prefix: prefix of the request targets with faulty responses.
    """

    share: float
    slowdown: float = 0.0
    after: timedelta = timedelta()
    min_load: int = 0
    target_prefix: str = "/"


@dataclass(frozen=True, slots=True)
class Run:
    """A request that an endpoint has begun to process.

    :param shows_key: whether the caller's own API key was passed on.
    :param at: elapsed time of the clock.
    :param faulty: whether the version's defect affects the response.
    """

    request_id: str
    target: str
    customer: str
    shows_key: bool
    at: timedelta
    faulty: bool = False


@dataclass(slots=True)
class Brittleness:
    """What makes an endpoint fall over.

    :param rejections: most requests that it rejects within a second.
    :param waiting: requests that it lets wait for one of its slots.
    :param plain_time: time that a plain request takes.
    :param down_time: time that it is down after a fall.
    :ivar rejected_at: elapsed times of its rejections.
    """

    rejections: int
    waiting: int
    plain_time: timedelta = timedelta(milliseconds=250)
    down_time: timedelta = timedelta(seconds=3)
    rejected_at: list[timedelta] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class PartDefect:
    """A part of prompts on which an engine crashes as soon as it begins an answer.

    The last part of a prompt never has this effect.

    :param part: id of the part.
    :param events: events that the engine sends first; None if it sends no head either.
    :param down_time: time that it is down after a crash.
    """

    part: str
    events: int | None = None
    down_time: timedelta = timedelta(seconds=1.5)

    def affects(self, request: Request) -> bool:
        """Return whether a request has the part in the right place."""
        parts = request.header("prompt-prefix").split(",")
        return self.part in {part.partition(":")[0] for part in parts[:-1]}


class StandInEndpoint:
    """An endpoint that registers itself in the store and serves requests.

    :param name: its name at the platform.
    :param streams: whether it is a streaming engine.
    :param crash_marker: a request whose body contains this crashes the endpoint.
    :param proxy: maps the endpoint's address to the one that it registers.
    :param version: version of its software.
    :param defect: defect of that version, if it has one.
    :ivar arrivals: elapsed times at which requests meant for it have arrived.
    :ivar extra_headers: headers that it adds to each response.
    :ivar brittleness: if set, it runs no more requests at once than it has slots, and
        falls over if it has to reject too many.
    :ivar capacity: if set, an engine runs and queues no more requests than this, and
        prefills the prompt tokens of Token-Count.
    :ivar part_defect: part of prompts that crashes it; None for none.
    :ivar silent_until: elapsed time until which it accepts requests and sends nothing.
    :ivar paused_until: elapsed time until which its process doesn't run: connections
        stay open and new ones are accepted, but it sends nothing, health checks
        included, and then goes on where it was.
    :ivar event_time: time between two events of a stream.
    :ivar names_version: whether each event tells the version that wrote it.
    :ivar backoff: if set, it refuses all requests and asks for back-off of this length.
    :ivar endless: if set, all its responses are endless, of this kind.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        store: KvStore,
        clock: Clock,
        *,
        streams: bool,
        crash_marker: bytes = b"",
        proxy: Callable[[Address], Address] = lambda own: own,
        version: str = "v1",
        defect: Defect | None = None,
    ) -> None:
        self._version = version
        self._defect = defect
        self._rng = Random(name)
        self._started_at = clock.elapsed()
        self._crash_marker = crash_marker
        self._through = proxy
        self._connections: set[ServerConnection] = set()
        self._is_down = False
        self._state = "ready"
        self._name = name
        self._service = service
        self._zone = zone
        self._store = store
        self._clock = clock
        self._streams = streams
        self._cached: set[str] = set()
        self._server: HttpServer | None = None
        self.runs: list[Run] = []
        self.crashed_at: list[timedelta] = []
        self.events = 8
        self.event_time = EVENT_TIME
        self.names_version = False
        self.arrivals: list[timedelta] = []
        self.extra_headers: tuple[tuple[str, str], ...] = ()
        self.silent_until = timedelta()
        self.paused_until = timedelta()
        self.backoff: timedelta | None = None
        self.endless: Endless | None = None
        self.brittleness: Brittleness | None = None
        self.capacity: EngineCapacity | None = None
        self.part_defect: PartDefect | None = None
        self._running = 0
        self._accepted = 0

    @property
    def name(self) -> str:
        """Name of the endpoint at the platform."""
        return self._name

    @property
    def address(self) -> Address:
        """Address at which it listens."""
        return self._address

    @property
    def _slots(self) -> int:
        if self.capacity is not None:
            return self.capacity.slots
        return 64 if self._streams else 6

    @property
    def _down_time(self) -> timedelta:
        if self.brittleness is not None:
            return self.brittleness.down_time
        if self.part_defect is not None:
            return self.part_defect.down_time
        return RESTART_DELAY

    @property
    def request_ids(self) -> list[str]:
        """Ids of the requests that it has begun to process."""
        return [run.request_id for run in self.runs]

    def start(self) -> Address:
        """Listen, and register the endpoint as ready."""
        listener = listen(Address("127.0.0.1", 0))
        host, port = listener.getsockname()
        self._address = Address(host, port)
        self._registered_address = self._through(self._address)
        self._serve(listener)
        return self._address

    def _serve(self, listener: socket.socket) -> None:
        self._server = HttpServer(listener, self._answer, self._clock)
        self._started_ms = int(self._clock.now().timestamp() * 1000)
        self._is_down = False
        spawn(self._server.serve)
        self.register("ready")

    def crash(self) -> None:
        """Stop at once, like a killed process, and restart later.

        The registration stays in the store meanwhile.
        """
        if self._is_down:
            return
        self.crashed_at.append(self._clock.elapsed())
        self._shut_down()
        spawn(self._restart)

    def crash_into(self, version: str) -> None:
        """Crash, and restart under the same name at another version."""
        self._version = version
        self.crash()

    def end(self) -> None:
        """Stop at once for good, and remove the registration."""
        self._shut_down()
        self._store.remove(f"servers/{self._name}")

    def _shut_down(self) -> None:
        self._is_down = True
        self._server.close()
        connections, self._connections = self._connections, set()
        for connection in connections:
            connection.abort()
        # A crash ends idle connections, too.
        self._server.close_idle()

    def _restart(self) -> None:
        sleep(self._down_time)
        self._running = self._accepted = 0
        self._cached.clear()
        self._serve(listen(self._address))

    def register(self, state: str) -> None:
        """Write the registration with the given state."""
        self._state = state
        registration = {
            "service": self._service,
            "addr": str(self._registered_address),
            "zone": self._zone,
            "version": self._version,
            "slots": self._slots,
            "state": state,
            "coldLeftMs": 0,
            "born": self._started_ms,
        }
        self._store.put(f"servers/{self._name}", registration)

    def register_again(self) -> None:
        """Write the registration again, if the endpoint runs."""
        if not self._is_down:
            self.register(self._state)

    def pause(self, duration: timedelta) -> None:
        """Pause the process for a time."""
        self.paused_until = self._clock.elapsed() + duration

    def _answer(self, connection: ServerConnection, request: Request) -> None:
        self._wait_while_paused()
        if request.header("expect-replica") != self._name:
            connection.answer(421, [("replica-id", self._name)])
            return
        self.arrivals.append(self._clock.elapsed())
        if self.backoff is not None:
            self._refuse(connection, request, self.backoff)
            return
        if self.brittleness is not None:
            self._answer_in_slot(connection, request, self.brittleness)
            return
        if self.capacity is not None:
            self._answer_at_capacity(connection, request, self.capacity)
            return
        self._run(connection, request)

    def _answer_at_capacity(
        self, connection: ServerConnection, request: Request, capacity: EngineCapacity
    ) -> None:
        if capacity.is_full:
            self._answer_not_run(connection, request)
            return
        visit = Visit(connection, request, self._clock)
        tokens = int(request.header("token-count").partition(",")[0])
        self._connections.add(connection)
        try:
            with capacity.prefilled(
                visit,
                TOKEN_TIME * tokens,
                lambda: self.runs.append(self._new_run(request)),
            ):
                headers = self._run_headers(request)
                self._write_stream(connection, request, headers, self._version)
        except CallerDisconnected:
            connection.abort()
        finally:
            self._connections.discard(connection)

    def _answer_in_slot(
        self,
        connection: ServerConnection,
        request: Request,
        brittleness: Brittleness,
    ) -> None:
        if self._accepted >= self._slots + brittleness.waiting:
            self._reject(connection, request, brittleness)
            return
        started_ms = self._started_ms
        self._accepted += 1
        try:
            while self._running >= self._slots and self._started_ms == started_ms:
                sleep(timedelta(milliseconds=2))
            self._running += 1
            try:
                self._run(connection, request)
            finally:
                self._running -= self._started_ms == started_ms
        finally:
            self._accepted -= self._started_ms == started_ms

    def _reject(
        self,
        connection: ServerConnection,
        request: Request,
        brittleness: Brittleness,
    ) -> None:
        now = self._clock.elapsed()
        brittleness.rejected_at.append(now)
        since = now - timedelta(seconds=1)
        recent = [at for at in brittleness.rejected_at if at > since]
        if len(recent) > brittleness.rejections:
            brittleness.rejected_at.clear()
            self.crash()
            return
        self._answer_not_run(connection, request)

    def _answer_not_run(self, connection: ServerConnection, request: Request) -> None:
        headers = [
            ("request-id", request.header("request-id")),
            ("not-run", "1"),
            *self._signals(),
        ]
        with suppress(CallerDisconnected):
            connection.answer(503, headers)

    def _run_headers(self, request: Request) -> list[tuple[str, str]]:
        return [
            ("request-id", request.header("request-id")),
            ("replica-stamp", f"{self._name}.stamp"),
            *self._signals(),
        ]

    def _signals(self) -> list[tuple[str, str]]:
        signals = list(self.extra_headers)
        if self.brittleness is not None:
            signals.append(("server-brittle", str(self.brittleness.rejections)))
        return signals

    def _run(self, connection: ServerConnection, request: Request) -> None:
        self._connections.add(connection)
        run = self._new_run(request)
        self.runs.append(run)
        slowdown = self._defect.slowdown if run.faulty else 1.0
        if self._crash_marker and self._crash_marker in request.body:
            sleep(CRASH_DELAY)
            self.crash()
            return
        headers = self._run_headers(request)
        if self.part_defect is not None and self.part_defect.affects(request):
            self._crash_on(self.part_defect, connection, request, headers)
            return
        self._keep_silent()
        try:
            if self.endless is not None:
                self._send_endlessly(connection, *self.endless.bytes_for(headers))
            elif not slowdown:
                connection.answer(500, headers, b"failed")
            elif self._streams:
                self._stream(connection, request, headers, slowdown)
            else:
                sleep(self._plain_time() * slowdown)
                self._wait_while_paused()
                record = {"target": request.target, "by": self._name}
                connection.answer(200, headers, json.dumps(record).encode())
        except CallerDisconnected:
            return
        finally:
            self._connections.discard(connection)

    def _send_endlessly(
        self, connection: ServerConnection, first: bytes, part: bytes
    ) -> None:
        """Send bytes until the connection is closed."""
        # The codec of the connection sends only valid responses.
        sock = connection._sock
        with suppress(OSError, EOFError):
            sock.sendall(first)
            while not connection.is_disconnected:
                sock.sendall(part)
                sleep(ENDLESS_INTERVAL)
        connection.abort()

    def _crash_on(
        self,
        defect: PartDefect,
        connection: ServerConnection,
        request: Request,
        headers: list,
    ) -> None:
        sleep(TOKEN_TIME * self._prefill_tokens(request) + CRASH_DELAY)
        with suppress(CallerDisconnected):
            if defect.events is not None:
                connection.begin(200, [*headers, ("content-type", "text/event-stream")])
                connection.flush()
            for number in range(1, (defect.events or 0) + 1):
                self._write_event(connection, request, number, self._version)
        self.crash()

    def _refuse(
        self, connection: ServerConnection, request: Request, backoff: timedelta
    ) -> None:
        headers = [
            ("request-id", request.header("request-id")),
            ("not-run", "1"),
            ("retry-after", f"{backoff.total_seconds():g}"),
            *self.extra_headers,
        ]
        with suppress(CallerDisconnected):
            connection.answer(503, headers)

    def _plain_time(self) -> timedelta:
        return PLAIN_TIME if self.brittleness is None else self.brittleness.plain_time

    def _is_faulty(self, request: Request) -> bool:
        defect = self._defect
        if defect is None or not request.target.startswith(defect.target_prefix):
            return False
        if self._clock.elapsed() - self._started_at < defect.after:
            return False
        busy = len(self._connections)
        return busy >= defect.min_load and self._rng.random() < defect.share

    def _new_run(self, request: Request) -> Run:
        return Run(
            request.header("request-id"),
            request.target,
            request.header("tenant"),
            bool(request.header("api-key")),
            self._clock.elapsed(),
            self._is_faulty(request),
        )

    def _stream(
        self,
        connection: ServerConnection,
        request: Request,
        headers: list,
        slowdown: float,
    ) -> None:
        version = self._version
        sleep(TOKEN_TIME * self._prefill_tokens(request) * slowdown)
        self._write_stream(connection, request, headers, version)

    def _write_stream(
        self,
        connection: ServerConnection,
        request: Request,
        headers: list,
        version: str,
    ) -> None:
        connection.begin(200, [*headers, ("content-type", "text/event-stream")])
        first = int(request.header("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            self._keep_silent()
            self._write_event(connection, request, number, version)
        connection.end()

    def _write_event(
        self, connection: ServerConnection, request: Request, number: int, version: str
    ) -> None:
        token = f"token {number} of {request.target}"
        if self.names_version:
            token += f" by {version}"
        connection.write(f"id: {number}\ndata: {token}\n\n".encode())
        sleep(self.event_time / (self.capacity.speed if self.capacity else 1.0))

    def _keep_silent(self) -> None:
        while self._clock.elapsed() < self.silent_until:
            sleep(timedelta(milliseconds=10))
        self._wait_while_paused()

    def _wait_while_paused(self) -> None:
        while self._clock.elapsed() < self.paused_until:
            sleep(timedelta(milliseconds=5))

    def _prefill_tokens(self, request: Request) -> int:
        uncached = 0
        for part in filter(None, request.header("prompt-prefix").split(",")):
            name, _, tokens = part.partition(":")
            if name not in self._cached:
                uncached += int(tokens)
            self._cached.add(name)
        return uncached
