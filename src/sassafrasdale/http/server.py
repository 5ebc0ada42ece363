"""HTTP server with strict parsing that detects disconnects during a request.

Each connection has two tasks. One reads bytes, which detects a caller's disconnect
while its request is being handled; the other parses requests and handles them in turn.
"""

import socket
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus

import h11
from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.green import (
    Empty,
    Queue,
    close_listener,
    make_green,
    receive,
    sleep,
    spawn,
)
from sassafrasdale.http.body_budget import REQUEST_BODIES, BodyBudget, BodyLease
from sassafrasdale.http.exceptions import (
    BodyTooLarge,
    CallerDisconnected,
    MalformedRequest,
)
from sassafrasdale.http.messages import (
    Headers,
    Request,
    decoded_headers,
    encoded_headers,
)
from sassafrasdale.http.parts import EVENTS_PER_TURN, are_tiny

log = Logger("http")

READ_BYTES = 65_536
# Reads of a connection that are queued for the parser. If the queue is full, the reader
# waits too, and TCP flow control slows the caller down.
MAX_QUEUED_READS = 4
# Time for which a connection is still read after its last response. Closing a socket
# with unread bytes resets it, and the caller could lose that response.
LINGER = timedelta(seconds=1)
# Delay after a failed accept, usually for lack of file descriptors.
ACCEPT_RETRY_DELAY = timedelta(milliseconds=20)
# Least average rate of a request's body, in bytes per second, after the idle timeout.
MIN_BODY_RATE = 1024
# Time within which a caller must read some bytes of a response.
WRITE_TIMEOUT = timedelta(seconds=10)


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on the size and duration of a caller's requests."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


class ServerConnection:
    """One caller's connection, through which handlers send responses.

    :param sock: the accepted green socket.
    :param server: the server that accepted it.
    """

    def __init__(self, sock: socket.socket, server: "HttpServer") -> None:
        self._sock = sock
        self._server = server
        self._codec = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits().header_bytes
        )
        self._reads: Queue = Queue(MAX_QUEUED_READS)
        self._disconnected = False
        self._on_disconnect: Callable[[], None] | None = None
        self._busy = False
        self._head_sent = False
        self._aborted = False
        self._closed_while_idle = False
        self._unsent_head = b""
        self._lease: BodyLease | None = None

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has closed its connection."""
        return self._disconnected

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received or handled, or bytes have arrived."""
        return self._busy or self._reads.qsize() > 0 or self._has_unread()

    @property
    def response_started(self) -> bool:
        """Whether a response has started."""
        return self._head_sent

    def on_disconnect(self, callback: Callable[[], None] | None) -> None:
        """Set a callback for the caller's disconnect; None removes it."""
        self._on_disconnect = callback
        if self._disconnected and callback is not None:
            self._on_disconnect = None
            callback()

    def run(self) -> None:
        """Handle requests until the connection ends."""
        reader = spawn(self._read)
        try:
            while self._serve_one():
                pass
            self._linger()
        except CallerDisconnected:
            pass
        finally:
            self._release_body()
            reader.kill()
            self.close()
            with suppress(OSError):
                self._sock.close()

    def answer(self, status: int, headers: Iterable = (), body: bytes = b"") -> None:
        """Send a complete response.

        :raises CallerDisconnected: if the caller has disconnected.
        """
        self.begin(status, [*headers, ("content-length", str(len(body)))])
        if body:
            self.write(body)
        self.end()

    def begin(self, status: int, headers: Iterable[tuple[str, str]]) -> None:
        """Start a response with its status and headers.

        Without a Content-Length, the body is sent in chunks.

        :raises CallerDisconnected: if the caller has disconnected.
        """
        headers = list(headers)
        if self._server.is_draining():
            headers.append(("connection", "close"))
        self._head_sent = True
        event = h11.Response(
            status_code=status,
            headers=encoded_headers(headers),
            reason=_phrase(status),
        )
        self._unsent_head = self._codec.send(event) or b""

    def write(self, data: bytes) -> None:
        """Send a part of the body.

        :raises CallerDisconnected: if the caller has disconnected.
        """
        self._flush(self._codec.send(h11.Data(data=data)) or b"")

    def flush(self) -> None:
        """Send the head now, before the first part of the body."""
        self._flush(b"")

    def end(self, trailers: Iterable[tuple[str, str]] = ()) -> None:
        """Complete the response.

        :param trailers: headers that follow a body sent in chunks.
        :raises CallerDisconnected: if the caller has disconnected.
        """
        event = h11.EndOfMessage(headers=encoded_headers(trailers))
        self._flush(self._codec.send(event) or b"")

    def abort(self) -> None:
        """Abort the response, so that the caller can't take it for complete."""
        self._aborted = True
        self.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress or has arrived.

        A request whose bytes have arrived must be answered. One that arrives after the
        close must not be handled, or it would run without a response.
        """
        if self.is_busy:
            return
        self._closed_while_idle = True
        self.close()

    def _has_unread(self) -> bool:
        try:
            return bool(self._sock.fd.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def close(self) -> None:
        """Shut the connection down; its tasks end and close the socket."""
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def _flush(self, data: bytes) -> None:
        data, self._unsent_head = self._unsent_head + data, b""
        if self._disconnected:
            raise CallerDisconnected
        if not data:
            return
        try:
            self._sock.settimeout(WRITE_TIMEOUT.total_seconds())
            self._sock.sendall(data)
        except (OSError, EOFError) as error:
            self._handle_disconnect()
            raise CallerDisconnected from error

    def _read(self) -> None:
        """Read bytes for the parser, and detect the end of the connection."""
        while True:
            try:
                # No timeout here: the parser applies the timeouts.
                data = receive(self._sock, READ_BYTES)
            except OSError:
                data = b""
            if not data:
                self._handle_disconnect()
                self._reads.put(b"")
                return
            self._reads.put(data)

    def _handle_disconnect(self) -> None:
        if self._disconnected:
            return
        self._disconnected = True
        callback, self._on_disconnect = self._on_disconnect, None
        if callback is not None:
            callback()

    def _serve_one(self) -> bool:
        """Handle one request and return whether another may follow."""
        try:
            request = self._read_request()
        except MalformedRequest as error:
            self._reject(error)
            return False
        if request is None or self._closed_while_idle:
            return False
        self._head_sent = False
        try:
            self._server.handle(self, request)
        finally:
            self._busy = False
            self._release_body()
            self.on_disconnect(None)
        return not self._aborted and self._start_next_cycle()

    def _start_next_cycle(self) -> bool:
        codec = self._codec
        if codec.our_state is not h11.DONE or codec.their_state is not h11.DONE:
            return False
        codec.start_next_cycle()
        return True

    def _read_request(self) -> Request | None:
        """Return the next request, or None at the end of the connection.

        :raises MalformedRequest: if the caller sends no valid request.
        """
        limits = self._server.limits()
        head = self._read_head(limits)
        if head is None:
            return None
        headers = decoded_headers(head.headers)
        self._check(head, headers)
        if self._codec.they_are_waiting_for_100_continue:
            waiting = h11.InformationalResponse(status_code=100, headers=[])
            self._flush(self._codec.send(waiting) or b"")
        body = self._read_body(limits)
        return Request(
            head.method.decode("ascii"), head.target.decode("latin-1"), headers, body
        )

    def _read_head(self, limits: ServerLimits) -> h11.Request | None:
        deadline = self._server.clock.elapsed() + limits.idle_timeout
        while True:
            event = self._next_event()
            match event:
                case h11.Request():
                    self._busy = True
                    return event
                case h11.ConnectionClosed():
                    return None
            if event is not h11.NEED_DATA:
                raise MalformedRequest("expected the head of a request")
            # The header timeout starts with the first byte.
            if self._codec.trailing_data[0] and not self._busy:
                self._busy = True
                deadline = self._server.clock.elapsed() + limits.header_timeout
            data = self._wait_for_bytes(deadline - self._server.clock.elapsed())
            if not data:
                return None
            self._codec.receive_data(data)

    def _read_body(self, limits: ServerLimits) -> bytes:
        body = bytearray()
        lease = self._lease = self._server.budget.lease(self.close)
        began_at = self._server.clock.elapsed()
        events = 0
        while True:
            event = self._next_event()
            events += 1
            if events % EVENTS_PER_TURN == 0:
                sleep()
            match event:
                case h11.Data():
                    self._take(lease, len(event.data))
                    body += event.data
                    if len(body) > limits.body_bytes:
                        raise MalformedRequest("the body is too long", 413)
                    if are_tiny(events, len(body)):
                        raise MalformedRequest("the body comes in tiny parts")
                case h11.EndOfMessage():
                    lease.complete()
                    return bytes(body)
                case _:
                    self._receive_body(limits, began_at, len(body))

    def _receive_body(
        self, limits: ServerLimits, began_at: timedelta, size: int
    ) -> None:
        """Receive more bytes of a body.

        :param size: size of the body so far.
        :raises CallerDisconnected: if none come in time, or too few came so far.
        """
        allowed = limits.idle_timeout + timedelta(seconds=size / MIN_BODY_RATE)
        left = began_at + allowed - self._server.clock.elapsed()
        data = self._wait_for_bytes(min(left, limits.idle_timeout))
        if not data:
            raise CallerDisconnected
        self._codec.receive_data(data)

    def _take(self, lease: BodyLease, size: int) -> None:
        """Take bytes of a body from the budget.

        :raises MalformedRequest: if there is no room.
        """
        try:
            lease.grow(size)
        except BodyTooLarge as error:
            # The request has not run.
            raise MalformedRequest(error.message, 503) from error

    def _release_body(self) -> None:
        """Give back what the last request's body took of the budget."""
        lease, self._lease = self._lease, None
        if lease is not None:
            lease.release()

    def _check(self, head: h11.Request, headers: Headers) -> None:
        """Reject requests that another HTTP parser might interpret differently.

        :raises MalformedRequest: if the request is ambiguous.
        """
        names = [name for name, _ in headers]
        if "transfer-encoding" in names and "content-length" in names:
            raise MalformedRequest(
                "both Content-Length and Transfer-Encoding are present"
            )
        if names.count("host") != 1:
            raise MalformedRequest("expected exactly one Host header")
        if not head.target.startswith(b"/"):
            raise MalformedRequest("the target is not a path")
        length = dict(headers).get("content-length", "0")
        if int(length) > self._server.limits().body_bytes:
            raise MalformedRequest("the body is too long", 413)

    def _next_event(self) -> h11.Event:
        try:
            return self._codec.next_event()
        except h11.RemoteProtocolError as error:
            raise MalformedRequest(str(error), error.error_status_hint) from error

    def _wait_for_bytes(self, limit: timedelta) -> bytes:
        try:
            return self._reads.get(timeout=max(limit.total_seconds(), 0))
        except Empty:
            # After a stall of the process, timers are due before bytes are read.
            return self._reads.get() if self._has_unread() else b""

    def _reject(self, error: MalformedRequest) -> None:
        log.info("malformed request rejected", why=error.message, status=error.status)
        headers = [("connection", "close"), ("content-length", "0")]
        if self._codec.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        event = h11.Response(
            status_code=error.status, headers=headers, reason=_phrase(error.status)
        )
        self._flush(
            (self._codec.send(event) or b"")
            + (self._codec.send(h11.EndOfMessage()) or b"")
        )

    def _linger(self) -> None:
        """Let the caller read the last response before the socket is closed."""
        if self._disconnected or self._aborted:
            return
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
        deadline = self._server.clock.elapsed() + LINGER
        while not self._disconnected and self._server.clock.elapsed() < deadline:
            if not self._wait_for_bytes(deadline - self._server.clock.elapsed()):
                return


class HttpServer:
    """Accepts connections and passes their requests to a handler.

    :param listener: a listening green socket.
    :param handle: handler that responds to one request through its connection.
    :param limits: returns the limits in force.
    :param is_draining: whether responses close their connections.
    :param clock: source of elapsed time.
    :param budget: limit on all requests' bodies together.
    """

    def __init__(
        self,
        listener: socket.socket,
        handle: Callable[[ServerConnection, Request], None],
        clock: Clock,
        *,
        limits: Callable[[], ServerLimits] = ServerLimits,
        is_draining: Callable[[], bool] = lambda: False,
        budget: BodyBudget = REQUEST_BODIES,
    ) -> None:
        self.budget = budget
        self._listener = listener
        self._handle = handle
        self._connections: set[ServerConnection] = set()
        self.clock = clock
        self.limits = limits
        self.is_draining = is_draining

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request in progress."""
        return sum(connection.is_busy for connection in self._connections)

    def serve(self) -> None:
        """Accept connections until the listening socket is closed."""
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError as error:
                if self._listener.fileno() < 0:
                    return
                # Out of file descriptors, or the caller left the backlog.
                log.warning("accepting a connection failed", why=str(error))
                sleep(ACCEPT_RETRY_DELAY)
                continue
            self._start(sock)

    def handle(self, connection: ServerConnection, request: Request) -> None:
        """Pass a request to the handler."""
        self._handle(connection, request)

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def close(self) -> None:
        """Stop accepting connections, after those that are established.

        Closing the listener resets them, and their callers may have sent requests.
        """
        try:
            while True:
                sock, _ = self._listener.fd.accept()
                self._start(make_green(sock))
        except BlockingIOError:
            pass
        except OSError as error:
            log.warning("accepting a connection failed", why=str(error))
        close_listener(self._listener)

    def _start(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ServerConnection(sock, self)
        self._connections.add(connection)
        spawn(self._run, connection)

    def _run(self, connection: ServerConnection) -> None:
        try:
            connection.run()
        finally:
            self._connections.discard(connection)


def _phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode("ascii")
    except ValueError:
        return b"Status"
