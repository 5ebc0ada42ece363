"""HTTP client connections against misbehaving servers."""

import socket
import time
from contextlib import suppress
from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import sleep, spawn
from sassafrasdale.http.connections import (
    READ_BYTES,
    ConnectionPool,
    HttpClient,
    HttpConnection,
)
from sassafrasdale.http.exceptions import (
    ConnectionLost,
    MalformedResponse,
    NotConnected,
    ResponseTimeout,
)
from sassafrasdale.http.messages import Request
from sassafrasdale.structures import Address
from tests.http.wires import LIMIT, read_request, serve_raw

CLOCK = SystemClock()
# Limit of a response that is read late.
LATE_LIMIT = timedelta(milliseconds=200)
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def deadline() -> timedelta:
    return CLOCK.elapsed() + LIMIT


def pause_process(pause: timedelta) -> None:
    """Block the event loop, as a pause of the process does."""
    time.sleep(pause.total_seconds())


def response(request_id: str, body: bytes = b"ok", extra: str = "") -> bytes:
    head = (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
        f"Content-Length: {len(body)}\r\n{extra}\r\n"
    )
    return head.encode() + body


def make_request(request_id: str, body: bytes = b"") -> Request:
    return Request("POST", "/a/", (("host", "h"), ("request-id", request_id)), body)


def exchange(connection: HttpConnection, request_id: str) -> bytes:
    connection.send(make_request(request_id))
    connection.read_head(deadline(), echoed=("request-id", request_id))
    return connection.read_body(deadline())


def test_response_with_a_length():
    def script(sock):
        read_request(sock)
        sock.sendall(response("1", b"hello"))

    connection = HttpConnection.open(serve_raw(script), LIMIT, CLOCK)
    assert exchange(connection, "1") == b"hello"
    assert connection.is_reusable


def test_a_late_response_to_an_earlier_request_is_skipped():
    """Guards against a caller that gets another caller's response.

    The server answers the first request again when the second arrives, before it
    answers the second.
    """

    def script(sock):
        read_request(sock)
        sock.sendall(response("1", b"first"))
        read_request(sock)
        sock.sendall(response("1", b"again") + response("2", b"second"))

    connection = HttpConnection.open(serve_raw(script), LIMIT, CLOCK)
    assert exchange(connection, "1") == b"first"
    assert exchange(connection, "2") == b"second"


def test_bytes_after_a_response_prevent_reuse():
    """Guards against a caller that gets bytes of another caller's response.

    The server sends a complete response and more bytes right after it.
    """

    def script(sock):
        read_request(sock)
        sock.sendall(response("1") + response("1"))
        sock.recv(10)

    pool = ConnectionPool(serve_raw(script), LIMIT, CLOCK)
    connection = pool.acquire()
    exchange(connection, "1")
    assert not connection.is_reusable
    pool.release(connection)
    assert connection.is_closed


def test_bytes_on_an_idle_connection_prevent_reuse():
    """Like above, but the bytes arrive while the connection is idle in the pool."""

    def script(sock):
        read_request(sock)
        sock.sendall(response("1"))
        sleep(timedelta(milliseconds=20))
        sock.sendall(response("1"))
        sock.recv(10)

    pool = ConnectionPool(serve_raw(script), LIMIT, CLOCK)
    connection = pool.acquire()
    exchange(connection, "1")
    pool.release(connection)
    sleep(timedelta(milliseconds=60))
    assert pool.acquire() is not connection
    assert connection.is_closed


def test_a_connection_closed_by_the_server_is_not_reused():
    def script(sock):
        read_request(sock)
        sock.sendall(response("1"))
        sock.close()

    pool = ConnectionPool(serve_raw(script), LIMIT, CLOCK)
    connection = pool.acquire()
    exchange(connection, "1")
    pool.release(connection)
    sleep(timedelta(milliseconds=40))
    assert pool.acquire() is not connection


def test_the_keep_alive_timeout_of_the_server_is_respected():
    def script(sock):
        read_request(sock)
        sock.sendall(response("1", extra="Keep-Alive: timeout=0\r\n"))
        sock.recv(10)

    pool = ConnectionPool(serve_raw(script), LIMIT, CLOCK)
    connection = pool.acquire()
    exchange(connection, "1")
    pool.release(connection)
    assert pool.acquire() is not connection


def test_an_unframed_response_ends_with_the_connection():
    def script(sock):
        read_request(sock)
        sock.sendall(b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nwhole")
        sock.shutdown(socket.SHUT_WR)
        sock.recv(10)

    connection = HttpConnection.open(serve_raw(script), LIMIT, CLOCK)
    assert exchange(connection, "1") == b"whole"
    assert not connection.is_reusable


def test_an_unframed_response_that_is_reset_is_lost():
    """Guards against a partial response that is taken for a complete one.

    The response has no length, and the connection is reset in the middle of it.
    """

    def script(sock):
        read_request(sock)
        sock.sendall(b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nhalf")
        sleep(timedelta(milliseconds=30))
        sock.fd.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        sock.close()

    connection = HttpConnection.open(serve_raw(script), LIMIT, CLOCK)
    with pytest.raises(ConnectionLost):
        exchange(connection, "1")


def test_a_truncated_response_is_lost():
    def script(sock):
        read_request(sock)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
        sock.close()

    connection = HttpConnection.open(serve_raw(script), LIMIT, CLOCK)
    with pytest.raises((ConnectionLost, MalformedResponse)):
        exchange(connection, "1")


def test_an_invalid_response():
    def script(sock):
        read_request(sock)
        sock.sendall(b"\x00\x01 what is this\r\n\r\n")
        sock.recv(10)

    connection = HttpConnection.open(serve_raw(script), LIMIT, CLOCK)
    with pytest.raises(MalformedResponse):
        exchange(connection, "1")


def test_response_timeout():
    connection = HttpConnection.open(
        serve_raw(lambda sock: sock.recv(10) and sleep(LIMIT)), LIMIT, CLOCK
    )
    connection.send(make_request("1"))
    with pytest.raises(ResponseTimeout):
        connection.read_head(CLOCK.elapsed() + timedelta(milliseconds=30))


def test_connection_refused():
    listener = socket.create_server(("127.0.0.1", 0))
    address = Address(*listener.getsockname())
    listener.close()
    with pytest.raises(NotConnected):
        HttpConnection.open(address, LIMIT, CLOCK)


def test_close_wakes_the_waiting_task():
    """Guards against an endpoint that continues to work for a disconnected caller.

    One task waits for the response; the caller disconnects and another task closes the
    connection. Both the endpoint and the waiting task must notice at once.
    """
    ended = []

    def script(sock):
        read_request(sock)
        ended.append(sock.recv(10))

    connection = HttpConnection.open(serve_raw(script), LIMIT, CLOCK)
    connection.send(make_request("1"))
    outcome = []

    def wait():
        try:
            connection.read_head(deadline())
        except ConnectionLost:
            outcome.append(CLOCK.elapsed())

    spawn(wait)
    sleep(timedelta(milliseconds=20))
    began = CLOCK.elapsed()
    connection.close()
    sleep(timedelta(milliseconds=20))
    assert ended == [b""]
    assert outcome[0] - began < timedelta(milliseconds=20)


def test_an_early_response_to_a_long_body_prevents_reuse():
    """Guards against a request that the server reads as the rest of the last body.

    The server responds after the head, before the body has been sent, and keeps the
    connection open.
    """

    def script(sock):
        sock.recv(1000)
        sock.sendall(response("1", b"no"))
        sleep(LIMIT)

    pool = ConnectionPool(serve_raw(script), LIMIT, CLOCK)
    connection = pool.acquire()
    connection.send(make_request("1", b"x" * 30_000_000))
    connection.read_head(deadline(), echoed=("request-id", "1"))
    assert connection.read_body(deadline()) == b"no"
    pool.release(connection)
    assert connection.is_closed


def test_a_client_never_retries_a_call():
    calls = []

    def script(sock):
        calls.append(read_request(sock))
        sock.close()

    client = HttpClient(serve_raw(script), CLOCK)
    with pytest.raises(ConnectionLost):
        client.call(Request("POST", "/once"), LIMIT)
    assert len(calls) == 1


def serve_slowly(parts: int, pause: timedelta) -> Address:
    """Serve a response whose body comes in parts, each after a pause."""

    def script(sock):
        read_request(sock)
        sock.sendall(response("1", b"x" * parts)[:-parts])
        for _ in range(parts):
            sleep(pause)
            sock.sendall(b"x")

    return serve_raw(script)


def test_a_long_response_is_read_while_data_arrives():
    """Guards against a long response that is dropped halfway and sent again."""
    client = HttpClient(serve_slowly(6, LIMIT / 40), CLOCK)
    answer = client.call(Request("GET", "/"), LIMIT, idle_limit=LIMIT / 10)
    assert answer.body == b"x" * 6


def test_a_response_that_stops_is_dropped_early():
    client = HttpClient(serve_slowly(6, LIMIT / 4), CLOCK)
    began = CLOCK.elapsed()
    with pytest.raises(ResponseTimeout):
        client.call(Request("GET", "/"), LIMIT, idle_limit=LIMIT / 10)
    assert CLOCK.elapsed() - began < LIMIT / 2


def test_a_response_that_never_ends_is_dropped_in_time():
    client = HttpClient(serve_slowly(40, LIMIT / 40), CLOCK)
    began = CLOCK.elapsed()
    with pytest.raises(ResponseTimeout):
        client.call(Request("GET", "/"), LIMIT / 4, idle_limit=LIMIT / 10)
    assert CLOCK.elapsed() - began < LIMIT / 2


def test_a_response_that_came_before_a_pause_is_read_after_its_deadline():
    """Guards against whole responses that a pause of this process turns into 504."""
    body = b"x" * (READ_BYTES + 20_000)

    def script(sock):
        read_request(sock)
        sock.sendall(response("1", body))
        pause_process(2 * LATE_LIMIT)

    connection = HttpConnection.open(serve_raw(script), LIMIT, CLOCK)
    late = CLOCK.elapsed() + LATE_LIMIT
    connection.send(make_request("1"))
    connection.read_head(late, echoed=("request-id", "1"))
    assert connection.read_body(late) == body
    assert CLOCK.elapsed() > late
    assert connection.is_reusable


def test_an_unframed_response_that_came_before_a_pause_is_read_to_its_end():
    """Guards against a pause that hides the end of the connection."""
    body = b"x" * (READ_BYTES + 20_000)

    def script(sock):
        read_request(sock)
        sock.sendall(b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n" + body)
        sock.close()
        pause_process(2 * LATE_LIMIT)

    connection = HttpConnection.open(serve_raw(script), LIMIT, CLOCK)
    late = CLOCK.elapsed() + LATE_LIMIT
    connection.send(make_request("1"))
    connection.read_head(late, echoed=("request-id", "1"))
    assert connection.read_body(late) == body
    assert CLOCK.elapsed() > late


def read_until(connection: HttpConnection, end: timedelta) -> None:
    """Read data with a deadline, and go on for a while after it if there are more."""
    while CLOCK.elapsed() < end + LIMIT:
        connection.read_data(end)


def test_what_comes_after_the_deadline_is_not_read():
    """Guards against deadlines that a server moves by sending without a break."""
    part = b"%x\r\n%b\r\n" % (READ_BYTES, b"x" * READ_BYTES)

    def script(sock):
        read_request(sock)
        with suppress(OSError):
            sock.sendall(CHUNKED_HEAD)
            while True:
                sock.sendall(part)
                sleep()

    connection = HttpConnection.open(serve_raw(script), LIMIT, CLOCK)
    late = CLOCK.elapsed() + LATE_LIMIT
    connection.send(make_request("1"))
    connection.read_head(late)
    with pytest.raises(ResponseTimeout):
        read_until(connection, late)
    assert CLOCK.elapsed() < late + LIMIT
    connection.close()
