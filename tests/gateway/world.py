"""A gateway's request path over real sockets, with scripted endpoints."""

import json
import socket
from collections.abc import Callable
from datetime import timedelta
from random import Random

from sassafrasdale.clock import SystemClock
from sassafrasdale.decisions.quarantine import StrikeLedger
from sassafrasdale.decisions.step_times import EngineStepTimes
from sassafrasdale.deployment import (
    Endpoint,
    EndpointState,
    GatewaySettings,
    Service,
)
from sassafrasdale.gateway.admission.attempt_queues import AttemptQueues
from sassafrasdale.gateway.admission.attempt_starter import AttemptStarter
from sassafrasdale.gateway.directory import Directory
from sassafrasdale.gateway.dispatcher_client import DispatcherClient
from sassafrasdale.gateway.fleet import Fleet
from sassafrasdale.gateway.forwarding.checks import LinkChecks
from sassafrasdale.gateway.forwarding.forwarders import Forwarders
from sassafrasdale.gateway.forwarding.links import LinkMonitor
from sassafrasdale.gateway.forwarding.paths import EndpointPaths
from sassafrasdale.gateway.frontend import Frontend
from sassafrasdale.gateway.placement import CacheEstimate, Placement
from sassafrasdale.gateway.quarantine.quarantine import RequestQuarantine
from sassafrasdale.gateway.quarantine.soundness import SoundParts
from sassafrasdale.gateway.quarantine.trials import Trials
from sassafrasdale.gateway.quotas import Quotas
from sassafrasdale.gateway.rollouts import Rollouts
from sassafrasdale.gateway.roster import Roster
from sassafrasdale.gateway.routing import RouteTable
from sassafrasdale.gateway.streams.continuations import StreamContinuations
from sassafrasdale.gateway.streams.lookup import StreamLookup
from sassafrasdale.gateway.streams.records import StreamRecords
from sassafrasdale.gateway.streams.replication import StreamReplicator
from sassafrasdale.gateway.usage import ClusterTime, UsageCounts
from sassafrasdale.green import listen, spawn
from sassafrasdale.http.server import HttpServer
from sassafrasdale.metrics import Metrics
from sassafrasdale.platform.configuration import decode_configuration
from sassafrasdale.platform.settings import decode_settings
from tests.coordination.fakes import FakeStore
from tests.gateway.fleets import contact, single_gate, single_peering
from tests.http.wires import LOOPBACK, RawCaller, bound_address, read_request, serve_raw
from tests.platform.documents import configuration, settings

CLOCK = SystemClock()

Script = Callable[[socket.socket, bytes], None]


def header(request: bytes, name: str) -> str:
    """Return a header of a raw request."""
    for line in request.decode("latin-1").split("\r\n"):
        key, _, value = line.partition(":")
        if key.lower() == name:
            return value.strip()
    return ""


def respond_with(
    body: bytes = b"done", status: str = "200 OK", extra: str = ""
) -> Script:
    """Return a script that responds to each request with a complete body."""

    def script(sock: socket.socket, request: bytes) -> None:
        head = (
            f"HTTP/1.1 {status}\r\nRequest-Id: {header(request, 'request-id')}\r\n"
            f"Replica-Stamp: stamp\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
        )
        sock.sendall(head.encode() + body)

    return script


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def stream_head(request: bytes) -> bytes:
    """Return the response headers of a stream."""
    return (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"Request-Id: {header(request, 'request-id')}\r\n"
        "Replica-Stamp: stamp\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()


def streamed(*numbers: int, ends: bool = True, tail: bytes = b"") -> Script:
    """Return a script that sends some events, and then the end or a reset.

    :param tail: bytes that follow the events.
    """

    def script(sock: socket.socket, request: bytes) -> None:
        sock.sendall(stream_head(request))
        for number in numbers:
            sock.sendall(chunk(event(number)))
        if tail:
            sock.sendall(chunk(tail))
        if ends:
            sock.sendall(b"0\r\n\r\n")
        else:
            sock.close()

    return script


class ScriptedEndpoint:
    """An endpoint that handles each request by the next script.

    :param scripts: handlers for successive requests; the last one is repeated.
    """

    def __init__(self, *scripts: Script) -> None:
        self.requests: list[bytes] = []
        self.ended = 0
        self._scripts = list(scripts)
        self.address = serve_raw(self._serve)

    def _serve(self, sock: socket.socket) -> None:
        try:
            while request := read_request(sock):
                self.requests.append(request)
                last = len(self._scripts) == 1
                script = self._scripts[0] if last else self._scripts.pop(0)
                script(sock, request)
        except OSError:
            pass
        finally:
            self.ended += 1
            sock.close()


class CrashingEndpoint:
    """An endpoint that crashes during a request, and then refuses connections.

    :param crashes: returns for each request whether to crash; else it gets a response.
    :param events: events that each run sends before, numbered on from the last one that
        the caller has.
    :param framed: whether the response is sent in chunks; else only the end of the
        connection ends it, and its head is always sent.
    """

    def __init__(
        self,
        crashes: Callable[[], bool] = lambda: True,
        events: int = 0,
        *,
        framed: bool = True,
    ) -> None:
        self.requests: list[bytes] = []
        self._framed = framed
        self._crashes = crashes
        self._events = events
        self._listener = listen(LOOPBACK)
        self.address = bound_address(self._listener)
        spawn(self._accept)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        request = read_request(sock)
        if not request:
            sock.close()
            return
        self.requests.append(request)
        crashes = self._crashes()
        if self._events or not crashes or not self._framed:
            sock.sendall(self._head(request))
        first = int(header(request, "last-event-id") or 0) + 1
        for number in range(first, first + self._events):
            sock.sendall(chunk(event(number)) if self._framed else event(number))
        if crashes:
            self._listener.close()
        elif self._framed:
            sock.sendall(b"0\r\n\r\n")
        sock.close()

    def _head(self, request: bytes) -> bytes:
        head = stream_head(request)
        framing = b"Transfer-Encoding: chunked\r\n"
        return head if self._framed else head.replace(framing, b"")


class PowerLossEndpoint:
    """An endpoint whose instance loses power after it has read its first request.

    Its connections stay open without data, and new ones are not accepted, since the
    backlog of the listening socket is full.
    """

    def __init__(self) -> None:
        self.requests: list[bytes] = []
        self._listener = listen(LOOPBACK, backlog=0)
        self.address = bound_address(self._listener)
        self._open: list[socket.socket] = []
        spawn(self._serve)

    def _serve(self) -> None:
        sock, _ = self._listener.accept()
        self._open.append(sock)
        self.requests.append(read_request(sock))
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.address.host, self.address.port))
            self._open.append(filler)

    def close(self) -> None:
        """Close all sockets."""
        for sock in (*self._open, self._listener):
            sock.close()


def own_dispatcher_client() -> DispatcherClient:
    """Return the client of a gateway that is its own dispatcher."""
    return DispatcherClient(
        contact("front-a-1"),
        lambda: None,
        lambda *_: None,
        lambda *_: True,
        CLOCK,
    )


class World:
    """The request path of one gateway.

    :param last_end: elapsed time by which new requests must end.
    :param queues_requests: whether requests may wait here for an endpoint.
    :param changed: fields of the configuration.
    """

    def __init__(
        self,
        last_end: Callable[[], timedelta | None] = lambda: None,
        queues_requests: bool = False,
        **changed: object,
    ) -> None:
        self.settings: GatewaySettings = decode_settings(settings())
        self.rng = Random(1)
        self.metrics = Metrics("front-a-1", "a")
        value = json.dumps(configuration(**changed)).encode()
        self.routes: RouteTable | None = RouteTable(decode_configuration(value))
        self.gate = single_gate(CLOCK, self.metrics.count)
        self.limits = self.gate.limits
        self.directory = Directory(
            CLOCK,
            self.rng,
            self.settings.bounds.endpoint_drain,
            on_restart=lambda name: self.quarantine.record_crash(name),
            on_expiry=lambda record: self.quarantine.handle_expiry(record),
            says_leaving=self.gate.departures.is_leaving,
            on_registration=self.gate.record_registration,
        )
        self.usage = UsageCounts(timedelta(seconds=5), ClusterTime(CLOCK))
        self.rollouts = Rollouts(
            self.settings.bounds.canary_share,
            self.directory.of_service,
            ClusterTime(CLOCK),
            CLOCK,
            self.rng,
            self.settings.bounds.lease,
        )
        peering = single_peering(CLOCK, self.rng, self.gate)
        cache = CacheEstimate()
        step_times = EngineStepTimes()
        self.fleet = Fleet(
            self.directory,
            Placement("a", cache, step_times, self.rng),
            cache,
            step_times,
            peering,
            self.usage,
            lambda: self.routes.configuration,
            self.settings.bounds,
            CLOCK,
            self.rollouts,
            self.gate,
        )
        self.queues = AttemptQueues(self.fleet, lambda name: 1.0, CLOCK, self.rng)
        client = own_dispatcher_client() if queues_requests else None
        self.starter = AttemptStarter(self.fleet, self.queues, CLOCK, client)
        self.quotas = Quotas(self.settings.bounds, lambda: 1, CLOCK)
        self.strikes = StrikeLedger()
        time = ClusterTime(CLOCK)
        self.quarantine = RequestQuarantine(
            "front-a-1",
            self.strikes,
            SoundParts(CLOCK),
            Trials(FakeStore(CLOCK), time, CLOCK),
            time,
            CLOCK,
            self.metrics.count,
        )
        self.roster = Roster(contact("front-a-1"), CLOCK)
        self.forwarders = Forwarders(self.roster, CLOCK, self.rng)

        def service(name: str) -> Service:
            return self.routes.configuration.service(name)

        checks = LinkChecks(
            self.directory, service, self.gate.brittle.is_brittle, CLOCK, self.rng
        )
        self.links = LinkMonitor(
            self.directory, self.forwarders, checks, service, CLOCK, self.rng
        )
        self.paths = EndpointPaths(self.links, self.forwarders, lambda: 0.0, CLOCK)
        self.stream_records = StreamRecords(CLOCK)
        self.streams = StreamReplicator("front-a-1", 1, self.stream_records, CLOCK)
        self.only_version = "v1"
        continuations = StreamContinuations(
            self.streams,
            StreamLookup(
                self.stream_records,
                self.streams,
                lambda: [],
                lambda contact, query: None,
            ),
            lambda service: self.only_version,
            CLOCK,
            self.metrics.count,
        )
        self.frontend = Frontend(
            lambda: self.routes,
            self.fleet,
            self.starter,
            self.quotas,
            self.quarantine,
            self.paths,
            continuations,
            self.metrics,
            CLOCK,
            self.rng,
            may_serve=lambda: True,
            last_end=last_end,
        )
        listener = listen(LOOPBACK)
        self.server = HttpServer(listener, self.frontend.handle, CLOCK)
        spawn(self.server.serve)
        self.address = bound_address(listener)

    def add(
        self,
        name: str,
        service: str,
        endpoint: ScriptedEndpoint | CrashingEndpoint,
        version: str = "v1",
    ) -> None:
        """Register an endpoint."""
        self.directory.put(
            Endpoint(
                name,
                service,
                endpoint.address,
                "a",
                EndpointState.READY,
                6,
                version=version,
            )
        )

    def caller(self) -> RawCaller:
        """Return a new caller connection."""
        return RawCaller(self.address)

    def ask(self, data: bytes) -> bytes:
        """Return the response to one request that closes its connection."""
        caller = self.caller()
        caller.send(data)
        return caller.read()


def request(
    path: str, request_id: str = "r-1", *, method: str = "POST", **headers: str
) -> bytes:
    """Return a raw request of the customer lab-a that closes its connection."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: labs.example",
        f"Request-Id: {request_id}",
        "Api-Key: key-1",
        "Connection: close",
        "Content-Length: 0",
        *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
