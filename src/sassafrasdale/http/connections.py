"""HTTP client connections: one request at a time, with responses matched to requests.

h11 handles the protocol and this module the sockets. Unlike in urllib3, another task
can close a connection while its own task waits for a response, surplus bytes after a
response are detected, and a response can be read while the request body is still sent.
"""

import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum, auto

import h11
from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.green import (
    connect,
    receive,
    sleep,
    spawn,
    unread_bytes,
)
from sassafrasdale.http.body_budget import (
    CONTROL_BODIES,
    ENDPOINT_BODIES,
    MAX_BODY_BYTES,
    MAX_CONTROL_BODY_BYTES,
    BodyBudget,
    BodyLease,
)
from sassafrasdale.http.exceptions import (
    BodyTooLarge,
    ConnectionLost,
    ConnectionRefused,
    HttpError,
    MalformedResponse,
    NotConnected,
    ResponseTimeout,
)
from sassafrasdale.http.messages import (
    Headers,
    Request,
    Response,
    ResponseHead,
    decoded_headers,
    encoded_headers,
)
from sassafrasdale.http.parts import EVENTS_PER_TURN, are_tiny
from sassafrasdale.structures import Address

log = Logger("http")

READ_BYTES = 65_536
# A request up to this size fits into the socket's buffers, so sending it can't block on
# a server that responds before it has read everything.
MAX_INLINE_SEND_BYTES = 4096
# Responses to other requests that are skipped while waiting for the right one.
MAX_STRAY_RESPONSES = 4
# Interim responses before one response. Few servers send more than one.
MAX_INTERIM_RESPONSES = 16
# Maximum size of a head, of the trailers, and of a chunk's extensions.
MAX_HEAD_BYTES = 16_384
# Bytes between a body's data, such as the extensions of chunks, that may come beyond as
# many as the data has.
MAX_FRAMING_BYTES = 1024 * 1024
# Maximum size of a health check's body, and of the body of a refusal: what is beyond is
# not worth reading, and the connection is closed.
MAX_UNUSED_BODY_BYTES = 65_536
# Time for the body of a refusal, whose head says all.
UNUSED_BODY_TIME = timedelta(milliseconds=100)
# Digits of a number of seconds in the server's keep-alive header; more are ignored.
MAX_KEEP_ALIVE_DIGITS = 6
# Subtracted from the server's keep-alive timeout, so that no request is sent as the
# server closes the connection.
KEEP_ALIVE_MARGIN = timedelta(seconds=1)
# Time until the first call of the callback that runs while a task reads.
FIRST_CALLBACK_DELAY = timedelta(milliseconds=400)
# Statuses of responses without a body.
_BODILESS = frozenset({204, 304})


class ProbeResult(Enum):
    """Result of a connection probe."""

    OPEN = auto()
    REFUSED = auto()
    UNANSWERED = auto()
    # It accepts connections and does not respond.
    SILENT = auto()


@dataclass(slots=True)
class _LateBytes:
    """Bytes that had arrived when a passed deadline was noticed.

    :param deadline: the deadline; None if none has passed.
    :param left: how many of them are still to be read.
    """

    deadline: timedelta | None = None
    left: int = 0


class HttpConnection:
    """One connection to a server.

    Usage::

        connection = HttpConnection.open(address, timedelta(seconds=1), clock)
        connection.send(request)
        head = connection.read_head(deadline)
        while data := connection.read_data(deadline):
            ...

    :param sock: a connected green socket.
    :param clock: source of elapsed time.
    :param on_receive: called each time that bytes have arrived.
    :param budget: limit on all bodies that are read at the same time.
    :param max_body_bytes: maximum size of one body.
    """

    def __init__(
        self,
        sock: socket.socket,
        clock: Clock,
        on_receive: Callable[[], None] = lambda: None,
        budget: BodyBudget = ENDPOINT_BODIES,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self._budget = budget
        self._max_body_bytes = max_body_bytes
        self._lease: BodyLease | None = None
        self._gave_body_up = False
        self._events_read = 0
        self._parts = 0
        self._part_bytes = 0
        self._received_bytes = 0
        self._late = _LateBytes()
        self._sock = sock
        self._clock = clock
        self._on_receive = on_receive
        self._codec = _new_codec()
        self._head: ResponseHead | None = None
        self._events: list[h11.Request | h11.Data | h11.EndOfMessage] = []
        self._closed = False
        self._sending = False
        self._closed_by_peer = False
        self._reading = False
        self._reusable_until: timedelta | None = None
        self._while_reading: Callable[[], timedelta] | None = None
        self._callback_due = timedelta()
        self.used_at = clock.elapsed()
        self.sent_at: timedelta | None = None
        self.responses = 0
        self.trailers: Headers = ()

    @classmethod
    def open(
        cls,
        address: Address,
        limit: timedelta,
        clock: Clock,
        on_receive: Callable[[], None] = lambda: None,
        budget: BodyBudget = ENDPOINT_BODIES,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> "HttpConnection":
        """Return a new connection.

        :raises NotConnected: if there is none within ``limit``.
        """
        try:
            sock = connect(address, limit)
        except ConnectionRefusedError as error:
            raise ConnectionRefused(f"{address}: {error}") from error
        except OSError as error:
            raise NotConnected(f"{address}: {error}") from error
        return cls(sock, clock, on_receive, budget, max_body_bytes)

    @property
    def is_closed(self) -> bool:
        """Whether the connection was closed locally."""
        return self._closed

    @property
    def is_reusable(self) -> bool:
        """Whether the last exchange is complete, so that another request may follow."""
        codec = self._codec
        return (
            not self._closed
            and not self._sending
            and not self._closed_by_peer
            and codec.our_state is h11.IDLE
            and not codec.trailing_data[0]
        )

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection ends the response.

        It has neither a length nor chunks, so it may have been broken off.
        """
        head = self._head
        if head is None or head.status in _BODILESS:
            return False
        return not head.header("content-length") and not head.header(
            "transfer-encoding"
        )

    def is_idle_and_healthy(self) -> bool:
        """Return whether an idle connection can be used for a request now.

        Bytes on an idle connection belong to no request, and an end of file means
        that the server has closed it.
        """
        if not self.is_reusable:
            return False
        reusable_until = self._reusable_until
        if reusable_until is not None and self._clock.elapsed() >= reusable_until:
            return False
        # The `fd` of a green socket is the underlying non-blocking socket.
        try:
            self._sock.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def while_reading(self, callback: Callable[[], timedelta] | None) -> None:
        """Set a callback that runs now and then while a task reads; None for none.

        It runs in that task, whether bytes come or not, must not wait, and returns the
        time until it is to run again.
        """
        self._while_reading = callback
        self._callback_due = self._clock.elapsed() + FIRST_CALLBACK_DELAY

    def send(self, request: Request) -> None:
        """Send a request; a long body is sent in the background.

        :raises ConnectionLost: if the connection fails; the server may have read the
            request.
        """
        self._head = None
        self._events_read = 0
        self._late = _LateBytes()
        self.sent_at = self._clock.elapsed()
        framing = [("content-length", str(len(request.body)))]
        needs_length = request.body or request.method not in ("GET", "HEAD", "DELETE")
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=encoded_headers(
                [*request.headers, *(framing if needs_length else ())]
            ),
        )
        self._events = [head, h11.EndOfMessage()]
        if request.body:
            self._events.insert(1, h11.Data(data=request.body))
        data = b"".join(self._codec.send(event) or b"" for event in self._events)
        if len(data) <= MAX_INLINE_SEND_BYTES:
            self._send_bytes(data)
            return
        self._sending = True
        spawn(self._send_in_background, data)

    def read_head(
        self, deadline: timedelta, *, echoed: tuple[str, str] | None = None
    ) -> ResponseHead:
        """Return the response's status and headers.

        :param deadline: elapsed time until which to wait.
        :param echoed: header and value that the server echoes from the request. A
            response with another value is skipped: a server may send a late second
            response to an earlier request.
        :raises ConnectionLost: if the server closes first.
        :raises ResponseTimeout: if the deadline passes.
        :raises MalformedResponse: if the server sends no valid response.
        """
        for _ in range(MAX_STRAY_RESPONSES):
            head = self._next_head(deadline)
            if echoed is None or head.header(echoed[0]) in ("", echoed[1]):
                self._head = head
                return head
            self._skip_response(deadline)
        raise MalformedResponse("too many responses to other requests")

    def read_data(self, deadline: timedelta) -> bytes:
        """Return the next part of the body, or no bytes at its end.

        :raises ConnectionLost: if the server closes before the end.
        :raises ResponseTimeout: if the deadline passes.
        :raises MalformedResponse: if the server sends no valid body.
        """
        event = self._next_event(deadline)
        match event:
            case h11.Data():
                self._check_part(len(event.data))
                return bytes(event.data)
            case h11.EndOfMessage():
                self.trailers = decoded_headers(event.headers)
        self._finish_response()
        return b""

    def read_body(
        self, deadline: timedelta, idle_limit: timedelta | None = None
    ) -> bytes:
        """Return the whole body; it counts against the budget until `release_body`.

        :param idle_limit: maximum time without data; None for no such limit.
        :raises BodyTooLarge: if it is too long, or all bodies together are.
        """
        self._check_length()
        self.release_body()
        lease = self._lease = self._budget.lease(self._give_body_up)
        try:
            return self._read_leased(lease, deadline, idle_limit)
        except BaseException:
            self.release_body()
            raise

    def skip_body(self, deadline: timedelta) -> None:
        """Skip a body that is of no use; close the connection if it is long or late."""
        deadline = min(deadline, self._clock.elapsed() + UNUSED_BODY_TIME)
        size = 0
        try:
            while data := self.read_data(deadline):
                size += len(data)
                self._check_size(size, MAX_UNUSED_BODY_BYTES)
        except HttpError as error:
            log.info("unused body not read to its end", why=error.message)
            self.close()

    def release_body(self) -> None:
        """Give back what the last body took of the budget."""
        lease, self._lease = self._lease, None
        if lease is not None:
            lease.release()

    def next_deadline(
        self, deadline: timedelta, idle_limit: timedelta | None
    ) -> timedelta:
        """Return the elapsed time until which to wait for the next data."""
        if idle_limit is None:
            return deadline
        return min(deadline, self._clock.elapsed() + idle_limit)

    def close(self) -> None:
        """Close the connection, even while another task waits on it."""
        self.release_body()
        if self._closed:
            return
        self._closed = True
        # The shutdown wakes the reading task, which then closes the socket. Closing it
        # here would remove it from the event loop before the loop sees the shutdown,
        # and the task would wait until its deadline.
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        if not self._reading:
            self._close_socket()

    def _close_socket(self) -> None:
        with suppress(OSError):
            self._sock.close()

    def _read_leased(
        self, lease: BodyLease, deadline: timedelta, idle_limit: timedelta | None
    ) -> bytes:
        body = bytearray()
        while data := self.read_data(self.next_deadline(deadline, idle_limit)):
            self._check_open()
            lease.grow(len(data))
            body += data
            self._check_size(len(body), self._max_body_bytes)
        lease.complete()
        return bytes(body)

    def _give_body_up(self) -> None:
        """End the reading of a body in favour of others."""
        self._gave_body_up = True
        self.close()

    def _check_length(self) -> None:
        """Check the length that the head gives, before any of the body is read."""
        length = self._head.header("content-length") if self._head else ""
        if length.isdecimal():
            self._check_size(int(length), self._max_body_bytes)

    def _check_size(self, size: int, limit: int) -> None:
        if size > limit:
            raise BodyTooLarge(f"the body is over {limit} bytes")

    def _check_part(self, size: int) -> None:
        """Check that a body does not come in parts that are tiny on average."""
        self._parts += 1
        self._part_bytes += size
        if are_tiny(self._parts, self._part_bytes):
            raise MalformedResponse("the body comes in tiny parts")
        if self._received_bytes > MAX_FRAMING_BYTES + 2 * self._part_bytes:
            raise MalformedResponse("the body has more framing than data")

    def _finish_response(self) -> None:
        self.responses += 1
        self.used_at = self._clock.elapsed()
        self._read_keep_alive_timeout()
        codec = self._codec
        if codec.our_state is h11.DONE and codec.their_state is h11.DONE:
            codec.start_next_cycle()

    def _read_keep_alive_timeout(self) -> None:
        value = self._head.header("keep-alive") if self._head else ""
        for part in value.split(","):
            name, _, number = part.strip().partition("=")
            is_number = number.isdecimal() and len(number) <= MAX_KEEP_ALIVE_DIGITS
            if name.lower() == "timeout" and is_number:
                limit = timedelta(seconds=int(number))
                self._reusable_until = self.used_at + max(
                    limit - KEEP_ALIVE_MARGIN, limit / 2
                )

    def _next_head(self, deadline: timedelta) -> ResponseHead:
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = self._next_event(deadline)
            match event:
                case h11.InformationalResponse():
                    continue
                case h11.Response():
                    self._parts = self._part_bytes = self._received_bytes = 0
                    return ResponseHead(
                        event.status_code, decoded_headers(event.headers)
                    )
                case _:
                    raise MalformedResponse("expected the head of a response")
        raise MalformedResponse("too many interim responses")

    def _skip_response(self, deadline: timedelta) -> None:
        """Skip a response to another request, and restart the codec after it."""
        size = 0
        while isinstance(event := self._next_event(deadline), h11.Data):
            self._check_part(len(event.data))
            size += len(event.data)
            self._check_size(size, self._max_body_bytes)
        rest = self._codec.trailing_data[0]
        self._codec = _new_codec()
        for event in self._events:
            self._codec.send(event)
        if rest:
            self._codec.receive_data(rest)

    def _next_event(self, deadline: timedelta) -> h11.Event:
        while True:
            try:
                event = self._codec.next_event()
                if event is h11.NEED_DATA:
                    self._codec.receive_data(self._receive(deadline))
                    continue
            except h11.RemoteProtocolError as error:
                if self._closed_by_peer:
                    raise ConnectionLost(str(error)) from error
                raise MalformedResponse(str(error)) from error
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionLost("the connection was closed without a response")
            self._events_read += 1
            if self._events_read % EVENTS_PER_TURN == 0:
                sleep()
            return event

    def _receive(self, deadline: timedelta) -> bytes:
        while True:
            now = self._clock.elapsed()
            if now >= deadline:
                return self._receive_late(deadline)
            if self._while_reading is None:
                return self._receive_within(deadline - now)
            if now < self._callback_due:
                with suppress(ResponseTimeout):
                    return self._receive_within(min(deadline, self._callback_due) - now)
                continue
            self._callback_due = now + self._while_reading()

    def _receive_late(self, deadline: timedelta) -> bytes:
        """Return bytes that had arrived when a passed deadline was noticed.

        The process may have paused over the deadline. What comes later is not read, or
        a server that sends without a break could move the deadline.
        """
        self._check_open()
        late = self._late
        if late.deadline != deadline:
            late.deadline, late.left = deadline, unread_bytes(self._sock)
        # Without any left, the end of the connection may have come.
        if not late.left and unread_bytes(self._sock):
            raise ResponseTimeout("no answer in time")
        data = self._receive_within(timedelta(), min(max(late.left, 1), READ_BYTES))
        late.left -= min(len(data), late.left)
        return data

    def _receive_within(self, limit: timedelta, size: int = READ_BYTES) -> bytes:
        self._check_open()
        self._reading = True
        try:
            data = receive(self._sock, size, limit)
        except TimeoutError as error:
            raise ResponseTimeout("no answer in time") from error
        except OSError as error:
            self._check_open()
            raise ConnectionLost(str(error)) from error
        finally:
            self._reading = False
            if self._closed:
                self._close_socket()
        self._check_open()
        self._closed_by_peer = not data
        self._received_bytes += len(data)
        if data:
            self._on_receive()
        return data

    def _check_open(self) -> None:
        if self._gave_body_up:
            raise BodyTooLarge("given up, as all bodies together are too large")
        if self._closed:
            raise ConnectionLost("closed on this side")

    def _send_bytes(self, data: bytes) -> None:
        try:
            self._sock.settimeout(None)
            self._sock.sendall(data)
        except (OSError, EOFError) as error:
            raise ConnectionLost(str(error)) from error

    def _send_in_background(self, data: bytes) -> None:
        # The reading task sees a failure as an early response or a closed connection.
        try:
            self._sock.sendall(data)
            self._sending = False
        except (OSError, EOFError):
            self.close()


class ConnectionPool:
    """Pool of idle connections to one server.

    Connections in use belong to their tasks.

    :param address: the server's address.
    :param connect_limit: maximum time to connect.
    :param clock: source of elapsed time.
    :param opened: called for each connection that is opened.
    :param budget: limit on all bodies that are read at the same time.
    :param max_body_bytes: maximum size of one body.
    """

    def __init__(
        self,
        address: Address,
        connect_limit: timedelta,
        clock: Clock,
        opened: Callable[[], None] = lambda: None,
        budget: BodyBudget = ENDPOINT_BODIES,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self._budget = budget
        self._max_body_bytes = max_body_bytes
        self._address = address
        self._connect_limit = connect_limit
        self._clock = clock
        self._opened = opened
        self._idle: list[HttpConnection] = []
        self._received_at: timedelta | None = None

    @property
    def address(self) -> Address:
        """Address of the server."""
        return self._address

    @property
    def received_at(self) -> timedelta | None:
        """Elapsed time of the last bytes from the server; None if there were none."""
        return self._received_at

    def acquire(self, newest_use: timedelta | None = None) -> HttpConnection:
        """Return a usable connection, an idle one or a new one.

        :param newest_use: maximum idle time of a reused connection.
        :raises NotConnected: if none can be opened.
        """
        return self.acquire_idle(newest_use) or self._open()

    def acquire_idle(self, newest_use: timedelta | None) -> HttpConnection | None:
        """Return a usable idle connection; None if there is none.

        :param newest_use: maximum idle time of a reused connection.
        """
        while self._idle:
            connection = self._idle.pop()
            age = self._clock.elapsed() - connection.used_at
            fresh = newest_use is None or age <= newest_use
            if fresh and connection.is_idle_and_healthy():
                return connection
            connection.close()
        return None

    def _open(self) -> HttpConnection:
        self._opened()
        return HttpConnection.open(
            self._address,
            self._connect_limit,
            self._clock,
            self._record_receipt,
            self._budget,
            self._max_body_bytes,
        )

    def _record_receipt(self) -> None:
        self._received_at = self._clock.elapsed()

    def probe(self) -> ProbeResult:
        """Return the result of opening a new connection to the server.

        An open connection is kept in the pool.
        """
        try:
            connection = self._open()
        except ConnectionRefused:
            return ProbeResult.REFUSED
        except NotConnected:
            return ProbeResult.UNANSWERED
        self._idle.append(connection)
        return ProbeResult.OPEN

    def check(
        self, request: Request, limit: timedelta, *, is_new: bool = True
    ) -> ProbeResult:
        """Return whether the server responds to a request.

        :param limit: maximum time to wait for the response.
        :param is_new: whether the connection must be a new one.
        """
        try:
            connection = self._open() if is_new else self.acquire()
        except ConnectionRefused:
            return ProbeResult.REFUSED
        except NotConnected:
            return ProbeResult.UNANSWERED
        deadline = self._clock.elapsed() + limit
        try:
            connection.send(with_host(request, self._address))
            connection.read_head(deadline)
            connection.skip_body(deadline)
        except ResponseTimeout:
            connection.close()
            return ProbeResult.SILENT
        except HttpError:
            connection.close()
            return ProbeResult.REFUSED
        self.release(connection)
        return ProbeResult.OPEN

    def release(self, connection: HttpConnection) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        connection.release_body()
        if connection.is_reusable:
            self._idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()


class HttpClient:
    """Client for complete calls to one server over pooled connections, without retries.

    Usage::

        client = HttpClient(address, clock)
        answer = client.call(Request("GET", "/state"), timedelta(seconds=1))

    :param max_body_bytes: maximum size of a response's body.
    """

    def __init__(
        self,
        address: Address,
        clock: Clock,
        connect_limit: timedelta = timedelta(seconds=1),
        max_body_bytes: int = MAX_CONTROL_BODY_BYTES,
    ) -> None:
        self._address = address
        self._clock = clock
        self._pool = ConnectionPool(
            address,
            connect_limit,
            clock,
            budget=CONTROL_BODIES,
            max_body_bytes=max_body_bytes,
        )
        self._active: set[HttpConnection] = set()

    @property
    def address(self) -> Address:
        """Address of the server."""
        return self._address

    def call(
        self,
        request: Request,
        limit: timedelta,
        idle_limit: timedelta | None = None,
    ) -> Response:
        """Return the response to a request.

        :param limit: maximum time of the call.
        :param idle_limit: maximum time without data; None for no such limit.
        :raises NotConnected: if nothing was sent.
        :raises HttpError: if no complete response came; the server may have processed
            the request.
        """
        deadline = self._clock.elapsed() + limit
        connection = self._pool.acquire()
        self._active.add(connection)
        try:
            connection.send(with_host(request, self._address))
            head = connection.read_head(connection.next_deadline(deadline, idle_limit))
            body = connection.read_body(deadline, idle_limit)
        except BaseException:
            # A connection that lost a response is unusable, and the idle ones may have
            # stopped responding with it.
            connection.close()
            self._pool.close()
            raise
        finally:
            self._active.discard(connection)
        self._pool.release(connection)
        return Response(head.status, head.headers, body)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    def abort(self) -> None:
        """Close all connections; pending calls raise :class:`ConnectionLost`."""
        for connection in list(self._active):
            connection.close()
        self._pool.close()


def _new_codec() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def with_host(request: Request, address: Address) -> Request:
    """Return a request with the Host header of a server."""
    headers = (("host", str(address)), *request.headers)
    return Request(request.method, request.target, headers, request.body)
