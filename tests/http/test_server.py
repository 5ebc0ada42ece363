"""The HTTP server against malformed requests, slow callers and disconnects."""

import socket
from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import listen, receive, sleep, spawn
from sassafrasdale.http.server import HttpServer, ServerLimits
from standins.gateway_fleet import wait_for
from tests.http.wires import LOOPBACK, RawCaller, bound_address
from tests.stalls import green_pair, hold_up

CLOCK = SystemClock()


class RecordingServer:
    """A server whose handler records requests and sends the same response to all."""

    def __init__(self, handle=None, **options):
        self.requests = []
        self.draining = False
        listener = listen(LOOPBACK)
        self.server = HttpServer(
            listener,
            handle or self.handle,
            CLOCK,
            is_draining=lambda: self.draining,
            **options,
        )
        spawn(self.server.serve)
        self.address = bound_address(listener)

    def handle(self, connection, request):
        self.requests.append(request)
        connection.answer(200, [("request-id", request.header("request-id"))], b"ok")


def exchange(service: RecordingServer, data: bytes) -> bytes:
    caller = RawCaller(service.address)
    caller.send(data)
    return caller.read()


def test_two_requests_on_one_connection():
    service = RecordingServer()
    caller = RawCaller(service.address)
    for number in (1, 2):
        caller.send(b"GET /a/%d HTTP/1.1\r\nHost: h\r\n\r\n" % number)
        assert caller.read_some().startswith(b"HTTP/1.1 200 OK")
    assert [request.target for request in service.requests] == ["/a/1", "/a/2"]


def test_a_chunked_body():
    service = RecordingServer()
    caller = RawCaller(service.address)
    caller.send(
        b"POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    caller.read_some()
    assert service.requests[0].body == b"abcde"


@pytest.mark.parametrize(
    "head",
    [
        b"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        b"Content-Length: 4\r\n\r\nabc",
        b"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
        b"POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n",
        b"POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n",
        b"GET /a/ HTTP/1.1\r\nHost: h\r\nHost: other\r\n\r\n",
        b"GET /a/ HTTP/1.1\r\n\r\n",
        b"GET http://other/a/ HTTP/1.1\r\nHost: h\r\n\r\n",
        b"GET /a b/ HTTP/1.1\r\nHost: h\r\n\r\n",
        b"nonsense\r\n\r\n",
    ],
)
def test_ambiguous_requests_are_rejected(head):
    """Guards against request smuggling.

    Two parsers in a row could interpret each of these in two ways, so none is
    handled: the caller gets an error response and the connection is closed.
    """
    service = RecordingServer()
    smuggled = b"GET /smuggled/ HTTP/1.1\r\nHost: h\r\n\r\n"
    response = exchange(service, head + smuggled)
    assert response.startswith((b"HTTP/1.1 400", b"HTTP/1.1 501"))
    assert response.count(b"HTTP/1.1") == 1
    assert service.requests == []


def test_a_body_over_the_limit_is_rejected():
    service = RecordingServer(limits=lambda: ServerLimits(body_bytes=10))
    response = exchange(
        service, b"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n"
    )
    assert response.startswith(b"HTTP/1.1 413")


def test_headers_over_the_limit_are_rejected():
    service = RecordingServer(limits=lambda: ServerLimits(header_bytes=500))
    response = exchange(service, b"GET /a/ HTTP/1.1\r\nHost: h\r\nLong: " + b"x" * 2000)
    assert response.startswith(b"HTTP/1.1 431")


def test_a_slow_head_closes_the_connection():
    limits = ServerLimits(header_timeout=timedelta(milliseconds=30))
    service = RecordingServer(limits=lambda: limits)
    assert exchange(service, b"GET /a/ HT") == b""


def test_a_disconnect_is_detected_while_the_request_runs():
    """Guards against an endpoint that continues to work for a disconnected caller.

    The caller sends a request and closes before the response; the waiting handler must
    be notified as soon as any task of the process sees that a connection has ended.
    """
    disconnects = []
    references = []
    requests = []
    here, there = green_pair()

    def read_reference():
        receive(here, 1)
        references.append(CLOCK.elapsed())

    def handle(connection, request):
        connection.on_disconnect(lambda: disconnects.append(CLOCK.elapsed()))
        requests.append(request)
        while not (disconnects and references):
            sleep(timedelta(milliseconds=5))

    service = RecordingServer(handle)
    spawn(read_reference)
    caller = RawCaller(service.address)
    caller.send(b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
    wait_for(lambda: requests, "the request does not run")
    caller.close()
    there.close()
    wait_for(lambda: disconnects and references, "no notice")
    assert disconnects[0] - references[0] < timedelta(milliseconds=25)


def test_an_aborted_response_does_not_look_complete():
    def handle(connection, request):
        connection.begin(200, [])
        connection.write(b"half")
        connection.abort()

    service = RecordingServer(handle)
    response = exchange(service, b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
    assert b"half" in response
    assert not response.endswith(b"0\r\n\r\n")


def test_responses_close_their_connections_while_draining():
    service = RecordingServer()
    service.draining = True
    response = exchange(service, b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
    assert b"connection: close" in response.lower()


def test_only_idle_connections_are_closed():
    def handle(connection, request):
        sleep(timedelta(milliseconds=60))
        connection.answer(200)

    service = RecordingServer(handle)
    idle = RawCaller(service.address)
    busy = RawCaller(service.address)
    busy.send(b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
    sleep(timedelta(milliseconds=20))
    service.server.close_idle()
    assert idle.read_some() == b""
    assert busy.read_some().startswith(b"HTTP/1.1 200")


def test_a_request_that_has_arrived_is_not_dropped_by_close_idle():
    """Guards against a request that runs without a response to its caller.

    The bytes of the request have arrived but are not parsed yet when the server closes
    idle connections; a moment later it would be parsed and handled.
    """
    service = RecordingServer()
    caller = RawCaller(service.address)
    sleep(timedelta(milliseconds=20))
    caller.send(b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
    service.server.close_idle()
    answered = caller.read_some().startswith(b"HTTP/1.1 200")
    assert answered == bool(service.requests)
    assert answered


def test_a_request_after_the_close_is_not_handled():
    service = RecordingServer()
    caller = RawCaller(service.address)
    sleep(timedelta(milliseconds=20))
    service.server.close_idle()
    caller.send(b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
    sleep(timedelta(milliseconds=20))
    assert service.requests == []


def stall_over(limit: timedelta, send) -> None:
    """Block the process for longer than a limit; the caller's bytes come meanwhile."""
    hold_up(2 * limit, send)


@pytest.mark.parametrize(
    ("before", "during"),
    [
        (b"", b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n"),
        (b"GET /a/ HTTP/1.1\r\n", b"Host: h\r\n\r\n"),
        (
            b"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n",
            b"ab",
        ),
    ],
    ids=["no byte yet", "half a head", "a head without its body"],
)
def test_a_request_that_arrives_as_the_server_stalls_is_answered(before, during):
    """Guards against closing connections whose requests came in a pause of the process.

    After the pause its timers are due before it has read what has arrived.
    """
    limit = timedelta(milliseconds=150)
    limits = ServerLimits(header_timeout=limit, idle_timeout=limit)
    service = RecordingServer(limits=lambda: limits)
    caller = RawCaller(service.address)
    if before:
        caller.send(before)
    sleep(timedelta(milliseconds=20))
    stall_over(limit, lambda: caller.send(during))
    assert caller.read_some().startswith(b"HTTP/1.1 200")


def test_a_stalled_request_still_times_out_after_a_pause():
    """Guards against connections that stay open as the process has stalled."""
    limit = timedelta(milliseconds=150)
    limits = ServerLimits(header_timeout=limit, idle_timeout=limit)
    service = RecordingServer(limits=lambda: limits)
    caller = RawCaller(service.address)
    caller.send(b"GET /a/ HT")
    sleep(timedelta(milliseconds=20))
    stall_over(limit, lambda: None)
    assert caller.read(timedelta(seconds=1)) == b""


@pytest.mark.parametrize("begun", [b"", b"GET /a/ HT"])
def test_a_shorter_timeout_ends_no_wait_that_has_begun(begun):
    """Guards against a configuration that closes connections under their callers."""
    limits = ServerLimits(
        header_timeout=timedelta(seconds=5), idle_timeout=timedelta(seconds=5)
    )
    service = RecordingServer(limits=lambda: limits)
    caller = RawCaller(service.address)
    if begun:
        caller.send(begun)
    sleep(timedelta(milliseconds=20))
    short = timedelta(milliseconds=50)
    limits = ServerLimits(header_timeout=short, idle_timeout=short)
    sleep(timedelta(milliseconds=150))
    caller.send(b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n"[len(begun) :])
    assert caller.read_some().startswith(b"HTTP/1.1 200")


def test_a_connection_in_the_backlog_is_served_as_the_server_closes():
    """Guards against a reset of callers that connected before the listener closed."""
    service = RecordingServer()
    sleep()
    callers = []

    def connect_and_send():
        for _ in range(3):
            caller = socket.create_connection(
                (service.address.host, service.address.port)
            )
            caller.sendall(b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
            callers.append(caller)
        # The process stalled; the timer that closes the listener is due first.
        service.server.close()
        service.server.close_idle()
        assert service.server.busy_connections == 3

    spawn(connect_and_send).wait()
    for caller in callers:
        sleep(timedelta(milliseconds=50))
        caller.settimeout(2)
        assert caller.recv(65536).startswith(b"HTTP/1.1 200")
        caller.close()
