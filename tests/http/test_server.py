"""The server against callers that are malformed, slow, or leave."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import listen, sleep, spawn
from sassafrasdale.http.server import HttpServer, ServerLimits
from tests.http.wires import LOOPBACK, RawCaller, bound

CLOCK = SystemClock()


class Service:
    """A server whose handler keeps the requests and answers them all alike."""

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
        self.address = bound(listener)

    def handle(self, connection, request):
        self.requests.append(request)
        connection.answer(200, [("request-id", request.header("request-id"))], b"ok")


def exchange(service: Service, data: bytes) -> bytes:
    caller = RawCaller(service.address)
    caller.send(data)
    return caller.read()


def test_two_requests_on_one_connection():
    service = Service()
    caller = RawCaller(service.address)
    for number in (1, 2):
        caller.send(b"GET /a/%d HTTP/1.1\r\nHost: h\r\n\r\n" % number)
        assert caller.read_some().startswith(b"HTTP/1.1 200 OK")
    assert [request.target for request in service.requests] == ["/a/1", "/a/2"]


def test_a_chunked_body_is_put_together():
    service = Service()
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
def test_ambiguous_requests_are_refused(head):
    """A request smuggled inside another would run in its place.

    Each of these can be read in two ways by two readers in a row, so none is
    passed on: the caller gets a refusal and the connection ends.
    """
    service = Service()
    smuggled = b"GET /smuggled/ HTTP/1.1\r\nHost: h\r\n\r\n"
    answer = exchange(service, head + smuggled)
    assert answer.startswith((b"HTTP/1.1 400", b"HTTP/1.1 501"))
    assert answer.count(b"HTTP/1.1") == 1
    assert service.requests == []


def test_a_body_over_the_limit_is_refused():
    service = Service(limits=lambda: ServerLimits(body_bytes=10))
    answer = exchange(
        service, b"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n"
    )
    assert answer.startswith(b"HTTP/1.1 413")


def test_headers_over_the_limit_are_refused():
    service = Service(limits=lambda: ServerLimits(header_bytes=500))
    answer = exchange(service, b"GET /a/ HTTP/1.1\r\nHost: h\r\nLong: " + b"x" * 2000)
    assert answer.startswith(b"HTTP/1.1 431")


def test_a_slow_head_ends_the_connection():
    limits = ServerLimits(header_timeout=timedelta(milliseconds=30))
    service = Service(limits=lambda: limits)
    assert exchange(service, b"GET /a/ HT") == b""


def test_a_caller_that_leaves_is_noticed_while_its_request_runs():
    """An endpoint would work on for nobody.

    The caller sends a request and closes before the answer; the handler waits
    meanwhile and must be told at once.
    """
    told = []

    def handle(connection, request):
        connection.when_gone(lambda: told.append(CLOCK.elapsed()))
        sleep(timedelta(milliseconds=100))

    service = Service(handle)
    caller = RawCaller(service.address)
    caller.send(b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
    sleep(timedelta(milliseconds=30))
    left = CLOCK.elapsed()
    caller.close()
    sleep(timedelta(milliseconds=30))
    assert told
    assert told[0] - left < timedelta(milliseconds=25)


def test_an_aborted_answer_does_not_look_complete():
    def handle(connection, request):
        connection.begin(200, [])
        connection.write(b"half")
        connection.abort()

    service = Service(handle)
    answer = exchange(service, b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
    assert b"half" in answer
    assert not answer.endswith(b"0\r\n\r\n")


def test_answers_end_their_connections_while_draining():
    service = Service()
    service.draining = True
    answer = exchange(service, b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
    assert b"connection: close" in answer.lower()


def test_only_idle_connections_are_closed():
    def handle(connection, request):
        sleep(timedelta(milliseconds=60))
        connection.answer(200)

    service = Service(handle)
    idle = RawCaller(service.address)
    busy = RawCaller(service.address)
    busy.send(b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
    sleep(timedelta(milliseconds=20))
    service.server.close_idle()
    assert idle.read_some() == b""
    assert busy.read_some().startswith(b"HTTP/1.1 200")


def test_a_request_that_has_come_in_is_not_closed_upon():
    """A caller would lose a request that its endpoint runs.

    The request's bytes are there, but nobody has looked at them, when the server
    closes what is idle; a moment later it would be read and passed on.
    """
    service = Service()
    caller = RawCaller(service.address)
    sleep(timedelta(milliseconds=20))
    caller.send(b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
    service.server.close_idle()
    answered = caller.read_some().startswith(b"HTTP/1.1 200")
    assert answered == bool(service.requests)
    assert answered


def test_a_request_that_crosses_the_close_is_not_passed_on():
    service = Service()
    caller = RawCaller(service.address)
    sleep(timedelta(milliseconds=20))
    service.server.close_idle()
    caller.send(b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
    sleep(timedelta(milliseconds=20))
    assert service.requests == []
