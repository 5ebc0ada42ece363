"""Callers that reuse their connections until these fail."""

import re
import socket
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from random import Random

import h11

from bench.soak.deployment import HOST, STREAM_EVENTS, Customer, RequestKind
from sassafrasdale.clock import Clock
from sassafrasdale.green import connect, receive, sleep
from sassafrasdale.structures import Address

CONNECT_TIMEOUT = timedelta(seconds=1)
# Time that a caller waits beyond its route's timeout before it gives up.
GIVE_UP_DELAY = timedelta(seconds=2)
READ_BYTES = 65_536
# Share of the streams whose caller leaves after some events; streams that were broken
# off or left are taken up at most this often.
LEAVING_SHARE = 0.15
MAX_TAKE_UPS = 3
_EVENT_ID = re.compile(rb"id: (\d+)\ndata: [^\n]*\n\n")


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
    :param taken_up: the attempts at the stream that it takes up.
    """

    kind: RequestKind
    customer: Customer
    key: str
    target: str = ""
    taken_up: "tuple[SentRequest, ...]" = ()


@dataclass(slots=True)
class SentRequest:
    """One request of a caller and its response.

    :param status: of the response; 0 if none began.
    :param complete: whether the response ended as its framing says.
    :param leave_after: number of events after which its caller disconnects; 0 for
        never.
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
    leave_after: int = 0

    @property
    def events(self) -> list[int]:
        """Numbers of the complete events of a stream."""
        return [int(number) for number in _EVENT_ID.findall(self.body)]

    @property
    def has_left(self) -> bool:
        """Whether its caller has disconnected on its own."""
        return 0 < self.leave_after <= len(self.events)

    @property
    def attempts(self) -> "tuple[SentRequest, ...]":
        """All attempts at its stream so far, with this one."""
        return (*self.spec.taken_up, self)

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
            self._send(self._next_spec())
        self._close()

    def _next_spec(self) -> RequestSpec:
        """Return the next request: one that takes up the last stream if it is due."""
        last = self.requests[-1] if self.requests else None
        if last is None or not last.spec.kind.stream or last.complete:
            return self._draw_spec()
        attempts = last.attempts
        if len(attempts) > MAX_TAKE_UPS or not any(each.events for each in attempts):
            return self._draw_spec()
        return replace(last.spec, target=last.target, taken_up=attempts)

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
        if spec.kind.stream and self._rng.random() < LEAVING_SHARE:
            request.leave_after = self._rng.randint(1, STREAM_EVENTS - 1)
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
            *_prompt_headers(spec),
            *_take_up_headers(spec),
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
                    if request.has_left:
                        raise ConnectionError("caller leaves")
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


def _prompt_headers(spec: RequestSpec) -> list[tuple[str, str]]:
    if not spec.kind.stream:
        return []
    return [("Token-Count", "460,24"), ("Prompt-Prefix", spec.kind.prompt)]


def _take_up_headers(spec: RequestSpec) -> list[tuple[str, str]]:
    """Return the headers that name a stream and the last event that its caller has."""
    begun = [attempt for attempt in spec.taken_up if attempt.events]
    if not begun:
        return []
    last = max(attempt.events[-1] for attempt in begun)
    return [("Last-Event-Id", str(last)), ("Resumes", begun[0].request_id)]
