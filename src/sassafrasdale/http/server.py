"""Server connections: strict requests in, answers out, and word of callers that leave.

Each connection has two tasks. One reads bytes, so that a caller that closes is
noticed while its request is being answered; the other parses requests and has them
answered one after the other.
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
from sassafrasdale.green import Empty, Queue, receive, sleep, spawn
from sassafrasdale.http.exceptions import CallerGone, MalformedRequest
from sassafrasdale.http.messages import (
    Headers,
    Request,
    decoded_headers,
    encoded_headers,
)

log = Logger("http")

READ_BYTES = 65_536
# Reads of a connection that may wait to be parsed; then its reader waits, too, and
# the caller is held by its own socket.
WAITING_READS = 4
# How long a closed connection is still read, so that the caller gets the last
# answer: a socket closed over unread bytes is reset.
LINGER = timedelta(seconds=1)
# Pause after a connection could not be accepted, most often for want of descriptors.
ACCEPT_PAUSE = timedelta(milliseconds=20)
# Longest time in which a caller must take some bytes of an answer.
WRITE_TIMEOUT = timedelta(seconds=10)


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Bounds on what a caller sends and how long it takes."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


class ServerConnection:
    """One caller's connection; handlers answer through it.

    :param sock: the accepted green socket.
    :param server: the server that it belongs to.
    """

    def __init__(self, sock: socket.socket, server: "HttpServer") -> None:
        self._sock = sock
        self._server = server
        self._codec = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits().header_bytes
        )
        self._reads: Queue = Queue(WAITING_READS)
        self._gone = False
        self._on_gone: Callable[[], None] | None = None
        self._busy = False
        self._head_sent = False
        self._ended = False
        self._takes_no_more = False
        self._held = b""

    @property
    def is_gone(self) -> bool:
        """Whether the caller has closed its connection."""
        return self._gone

    @property
    def is_busy(self) -> bool:
        """Whether a request has begun to come in or is being answered."""
        return self._busy

    @property
    def head_sent(self) -> bool:
        """Whether an answer has begun."""
        return self._head_sent

    def when_gone(self, callback: Callable[[], None] | None) -> None:
        """Have ``callback`` called once if the caller leaves; None for nothing."""
        self._on_gone = callback
        if self._gone and callback is not None:
            self._on_gone = None
            callback()

    def run(self) -> None:
        """Serve requests until the connection ends."""
        reader = spawn(self._read)
        try:
            while self._serve_one():
                pass
            self._linger()
        except CallerGone:
            pass
        finally:
            reader.kill()
            self.close()
            with suppress(OSError):
                self._sock.close()

    def answer(self, status: int, headers: Iterable = (), body: bytes = b"") -> None:
        """Send a whole answer.

        :raises CallerGone: if the caller has left.
        """
        self.begin(status, [*headers, ("content-length", str(len(body)))])
        if body:
            self.write(body)
        self.end()

    def begin(self, status: int, headers: Iterable[tuple[str, str]]) -> None:
        """Send an answer's status and headers.

        Without a length among them the body goes in chunks.

        :raises CallerGone: if the caller has left.
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
        self._held = self._codec.send(event) or b""

    def write(self, data: bytes) -> None:
        """Send a part of the body.

        :raises CallerGone: if the caller has left.
        """
        self._flush(self._codec.send(h11.Data(data=data)) or b"")

    def flush(self) -> None:
        """Send the head now, before any part of the body is there."""
        self._flush(b"")

    def end(self) -> None:
        """End the answer as complete.

        :raises CallerGone: if the caller has left.
        """
        self._flush(self._codec.send(h11.EndOfMessage()) or b"")

    def abort(self) -> None:
        """Break the answer off, so that it can't be taken for a whole one."""
        self._ended = True
        self.close()

    def close_if_idle(self) -> None:
        """End the connection unless a request is under way or has come in.

        A request whose bytes are there already must be answered; one that crosses
        the close must not be passed on, or it would run without an answer.
        """
        if self._busy or self._reads.qsize() or self._has_unread():
            return
        self._takes_no_more = True
        self.close()

    def _has_unread(self) -> bool:
        try:
            return bool(self._sock.fd.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def close(self) -> None:
        """End the connection; its tasks notice, and the socket is closed by them."""
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def _flush(self, data: bytes) -> None:
        data, self._held = self._held + data, b""
        if self._gone:
            raise CallerGone
        if not data:
            return
        try:
            self._sock.settimeout(WRITE_TIMEOUT.total_seconds())
            self._sock.sendall(data)
        except (OSError, EOFError) as error:
            self._note_gone()
            raise CallerGone from error

    def _read(self) -> None:
        """Read bytes for the parser, and notice the end of the connection."""
        while True:
            try:
                # The timeouts are the parser's; this task just waits.
                data = receive(self._sock, READ_BYTES)
            except OSError:
                data = b""
            if not data:
                self._note_gone()
                self._reads.put(b"")
                return
            self._reads.put(data)

    def _note_gone(self) -> None:
        if self._gone:
            return
        self._gone = True
        callback, self._on_gone = self._on_gone, None
        if callback is not None:
            callback()

    def _serve_one(self) -> bool:
        """Answer one request and return whether another may follow."""
        try:
            request = self._read_request()
        except MalformedRequest as error:
            self._refuse(error)
            return False
        if request is None or self._takes_no_more:
            return False
        self._head_sent = False
        try:
            self._server.handle(self, request)
        finally:
            self._busy = False
            self.when_gone(None)
        return not self._ended and self._may_go_on()

    def _may_go_on(self) -> bool:
        codec = self._codec
        if codec.our_state is not h11.DONE or codec.their_state is not h11.DONE:
            return False
        codec.start_next_cycle()
        return True

    def _read_request(self) -> Request | None:
        """Return the next request, or None if there is none.

        :raises MalformedRequest: if what comes is no request.
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
        wait = limits.idle_timeout
        while True:
            event = self._next_event()
            match event:
                case h11.Request():
                    self._busy = True
                    return event
                case h11.ConnectionClosed():
                    return None
            if event is not h11.NEED_DATA:
                raise MalformedRequest("no request begins here")
            # The first byte begins the time for the head.
            if self._codec.trailing_data[0]:
                self._busy = True
                wait = limits.header_timeout
            data = self._await_bytes(wait)
            if not data:
                return None
            self._codec.receive_data(data)

    def _read_body(self, limits: ServerLimits) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._next_event()
            match event:
                case h11.Data():
                    parts.append(bytes(event.data))
                    size += len(event.data)
                    if size > limits.body_bytes:
                        raise MalformedRequest("the body is too long", 413)
                case h11.EndOfMessage():
                    return b"".join(parts)
                case _:
                    data = self._await_bytes(limits.idle_timeout)
                    if not data:
                        raise CallerGone
                    self._codec.receive_data(data)

    def _check(self, head: h11.Request, headers: Headers) -> None:
        """Refuse what another reader of the same bytes might read otherwise.

        :raises MalformedRequest: if the request is ambiguous.
        """
        names = [name for name, _ in headers]
        if "transfer-encoding" in names and "content-length" in names:
            raise MalformedRequest("a body with a length and in chunks")
        if names.count("host") != 1:
            raise MalformedRequest("not one Host header")
        if not head.target.startswith(b"/"):
            raise MalformedRequest("the target is no path")
        length = dict(headers).get("content-length", "0")
        if int(length) > self._server.limits().body_bytes:
            raise MalformedRequest("the body is too long", 413)

    def _next_event(self) -> h11.Event:
        try:
            return self._codec.next_event()
        except h11.RemoteProtocolError as error:
            raise MalformedRequest(str(error), error.error_status_hint) from error

    def _await_bytes(self, limit: timedelta) -> bytes:
        try:
            return self._reads.get(timeout=limit.total_seconds())
        except Empty:
            return b""

    def _refuse(self, error: MalformedRequest) -> None:
        log.info("request refused as malformed", why=error.message, status=error.status)
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
        """Let the caller read the last answer before the connection ends."""
        if self._gone or self._ended:
            return
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
        until = self._server.clock.elapsed() + LINGER
        while not self._gone and self._server.clock.elapsed() < until:
            if not self._await_bytes(until - self._server.clock.elapsed()):
                return


class HttpServer:
    """Accepts connections and hands their requests to a handler.

    :param listener: a listening green socket.
    :param handle: answers one request through its connection.
    :param limits: bounds in force now.
    :param is_draining: whether answers end their connections.
    :param clock: source of elapsed time.
    """

    def __init__(
        self,
        listener: socket.socket,
        handle: Callable[[ServerConnection, Request], None],
        clock: Clock,
        *,
        limits: Callable[[], ServerLimits] = ServerLimits,
        is_draining: Callable[[], bool] = lambda: False,
    ) -> None:
        self._listener = listener
        self._handle = handle
        self._connections: set[ServerConnection] = set()
        self.clock = clock
        self.limits = limits
        self.is_draining = is_draining

    @property
    def busy_connections(self) -> int:
        """Connections with a request under way."""
        return sum(connection.is_busy for connection in self._connections)

    def serve(self) -> None:
        """Accept connections until the listening socket is closed."""
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError as error:
                if self._listener.fileno() < 0:
                    return
                # Out of descriptors, or the caller left while it was queued.
                log.warning("a connection was not accepted", why=str(error))
                sleep(ACCEPT_PAUSE)
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            spawn(self._run, ServerConnection(sock, self))

    def handle(self, connection: ServerConnection, request: Request) -> None:
        """Have a request answered."""
        self._handle(connection, request)

    def close_idle(self) -> None:
        """Close the connections on which no request is under way."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def close(self) -> None:
        """Accept no more connections."""
        self._listener.close()

    def _run(self, connection: ServerConnection) -> None:
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)


def _phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode("ascii")
    except ValueError:
        return b"Status"
