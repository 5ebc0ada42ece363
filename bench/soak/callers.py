"""Callers that reuse their connections until these fail."""

import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import h11

from bench.soak.deployment import HOST, Customer, RequestKind
from sassafrasdale.clock import Clock
from sassafrasdale.green import connect, receive, sleep
from sassafrasdale.structures import Address

CONNECT_TIMEOUT = timedelta(seconds=1)
# Time that a caller waits beyond its route's timeout before it gives up.
GIVE_UP_DELAY = timedelta(seconds=2)
READ_BYTES = 65_536
STREAM_HEADERS = [("Token-Count", "400,24"), ("Prompt-Prefix", "aa:300,bb:100")]


@dataclass(frozen=True, slots=True)
class Listener:
    """The address at which a gateway accepts callers.

    :param incarnation: number of starts of its process so far.
    """

    gateway: int
    incarnation: int
    address: Address


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """The request that a caller is to send.

    :param target: path; by default one that no request has had before.
    """

    kind: RequestKind
    customer: Customer
    key: str
    target: str = ""


@dataclass(slots=True)
class SentRequest:
    """One request of a caller and its response.

    :param status: of the response; 0 if none began.
    :param complete: whether the response ended as its framing says.
    """

    request_id: str
    spec: RequestSpec
    target: str
    listener: Listener
    sent_at: timedelta
    ended_at: timedelta
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False

    @property
    def served(self) -> bool:
        """Whether it got a complete, successful response."""
        return self.complete and 200 <= self.status < 300


class Caller:
    """A caller with one connection, that sends requests one after another.

    :param name: part of its requests' ids.
    :param pick_listener: returns a gateway that accepts callers.
    :param draw_spec: draws the next request.
    :param interval: mean time between two requests.
    """

    def __init__(
        self,
        name: str,
        pick_listener: Callable[[], Listener],
        draw_spec: Callable[[], RequestSpec],
        interval: timedelta,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._name = name
        self._pick_listener = pick_listener
        self._draw_spec = draw_spec
        self._interval = interval
        self._clock = clock
        self._rng = rng
        self._sock: socket.socket | None = None
        self._listener: Listener | None = None
        self._codec = h11.Connection(h11.CLIENT)
        self.requests: list[SentRequest] = []
        self.is_stopped = False

    def run(self) -> None:
        """Send requests until it is stopped."""
        while not self.is_stopped:
            sleep(self._interval * self._rng.expovariate(1))
            if self._sock is None and not self._open():
                continue
            self._send(self._draw_spec())
        self._close()

    def _open(self) -> bool:
        listener = self._pick_listener()
        try:
            self._sock = connect(listener.address, CONNECT_TIMEOUT)
        except OSError:
            return False
        self._listener = listener
        self._codec = h11.Connection(h11.CLIENT)
        return True

    def _close(self) -> None:
        if self._sock is not None:
            self._sock.close()
        self._sock = None

    def _send(self, spec: RequestSpec) -> None:
        number = len(self.requests) + 1
        request_id = f"{self._name}-{number}"
        now = self._clock.elapsed()
        target = spec.target or f"{spec.kind.prefix}{request_id}"
        request = SentRequest(request_id, spec, target, self._listener, now, now)
        self.requests.append(request)
        try:
            self._sock.sendall(self._encode(request))
            self._read(request, now + spec.kind.timeout + GIVE_UP_DELAY)
            self._codec.start_next_cycle()
        except (OSError, TimeoutError, h11.ProtocolError):
            self._close()
        request.ended_at = self._clock.elapsed()

    def _encode(self, request: SentRequest) -> bytes:
        spec = request.spec
        body = spec.kind.body
        headers = [
            ("Host", HOST),
            ("Request-Id", request.request_id),
            ("Api-Key", spec.key),
            ("Content-Length", str(len(body))),
            *(STREAM_HEADERS if spec.kind.stream else []),
        ]
        start = h11.Request(
            method=spec.kind.method, target=request.target, headers=headers
        )
        events = [start, h11.Data(body), h11.EndOfMessage()]
        return b"".join(self._codec.send(event) for event in events)

    def _read(self, request: SentRequest, deadline: timedelta) -> None:
        while True:
            match self._codec.next_event():
                case h11.Response() as response:
                    request.status = response.status_code
                    request.headers = {
                        name.decode(): value.decode()
                        for name, value in response.headers
                    }
                case h11.Data() as chunk:
                    request.body += bytes(chunk.data)
                case h11.EndOfMessage():
                    request.complete = True
                    return
                case h11.ConnectionClosed():
                    raise ConnectionError(
                        "connection closed before the response was complete"
                    )
                case h11.NEED_DATA:
                    remaining = max(deadline - self._clock.elapsed(), timedelta())
                    self._codec.receive_data(receive(self._sock, READ_BYTES, remaining))
