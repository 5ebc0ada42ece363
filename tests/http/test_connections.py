"""Client connections against servers that misbehave."""

import socket
from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import sleep, spawn
from sassafrasdale.http.connections import ConnectionPool, HttpClient, HttpConnection
from sassafrasdale.http.exceptions import (
    AnswerTimeout,
    ConnectionLost,
    MalformedAnswer,
    NotConnected,
)
from sassafrasdale.http.messages import Request
from sassafrasdale.structures import Address
from tests.http.wires import LIMIT, read_request, serve_raw

CLOCK = SystemClock()


def soon() -> timedelta:
    return CLOCK.elapsed() + LIMIT


def answer(request_id: str, body: bytes = b"ok", extra: str = "") -> bytes:
    head = (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
        f"Content-Length: {len(body)}\r\n{extra}\r\n"
    )
    return head.encode() + body


def ask(request_id: str, body: bytes = b"") -> Request:
    return Request("POST", "/a/", (("host", "h"), ("request-id", request_id)), body)


def converse(connection: HttpConnection, request_id: str) -> bytes:
    connection.send(ask(request_id))
    connection.read_head(soon(), echoed=("request-id", request_id))
    return connection.read_body(soon())


def test_answer_with_a_length():
    def script(sock):
        read_request(sock)
        sock.sendall(answer("1", b"hello"))

    connection = HttpConnection.open(serve_raw(script), LIMIT, CLOCK)
    assert converse(connection, "1") == b"hello"
    assert connection.is_reusable


def test_a_late_answer_to_an_earlier_request_is_passed_over():
    """A caller would get another caller's answer.

    The server answers the first request, and once more when the second is due;
    only then comes the second's own answer.
    """

    def script(sock):
        read_request(sock)
        sock.sendall(answer("1", b"first"))
        read_request(sock)
        sock.sendall(answer("1", b"again") + answer("2", b"second"))

    connection = HttpConnection.open(serve_raw(script), LIMIT, CLOCK)
    assert converse(connection, "1") == b"first"
    assert converse(connection, "2") == b"second"


def test_bytes_after_an_answer_end_the_connections_use():
    """The next caller on the connection would get bytes that are not its own.

    The server sends a whole answer and more bytes right behind it.
    """

    def script(sock):
        read_request(sock)
        sock.sendall(answer("1") + answer("1"))
        sock.recv(10)

    pool = ConnectionPool(serve_raw(script), LIMIT, CLOCK)
    connection = pool.take()
    converse(connection, "1")
    assert not connection.is_reusable
    pool.give_back(connection)
    assert connection.is_closed


def test_bytes_on_an_idle_connection_end_its_use():
    """The same, but the bytes come while the connection is idle in the pool."""

    def script(sock):
        read_request(sock)
        sock.sendall(answer("1"))
        sleep(timedelta(milliseconds=20))
        sock.sendall(answer("1"))
        sock.recv(10)

    pool = ConnectionPool(serve_raw(script), LIMIT, CLOCK)
    connection = pool.take()
    converse(connection, "1")
    pool.give_back(connection)
    sleep(timedelta(milliseconds=60))
    assert pool.take() is not connection
    assert connection.is_closed


def test_a_connection_that_the_server_closed_is_not_used():
    def script(sock):
        read_request(sock)
        sock.sendall(answer("1"))
        sock.close()

    pool = ConnectionPool(serve_raw(script), LIMIT, CLOCK)
    connection = pool.take()
    converse(connection, "1")
    pool.give_back(connection)
    sleep(timedelta(milliseconds=40))
    assert pool.take() is not connection


def test_the_servers_idle_limit_is_kept():
    def script(sock):
        read_request(sock)
        sock.sendall(answer("1", extra="Keep-Alive: timeout=0\r\n"))
        sock.recv(10)

    pool = ConnectionPool(serve_raw(script), LIMIT, CLOCK)
    connection = pool.take()
    converse(connection, "1")
    pool.give_back(connection)
    assert pool.take() is not connection


def test_an_unframed_answer_ends_with_the_connection():
    def script(sock):
        read_request(sock)
        sock.sendall(b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nwhole")
        sock.shutdown(socket.SHUT_WR)
        sock.recv(10)

    connection = HttpConnection.open(serve_raw(script), LIMIT, CLOCK)
    assert converse(connection, "1") == b"whole"
    assert not connection.is_reusable


def test_an_unframed_answer_that_is_reset_is_lost():
    """A caller would take half an answer for a whole one.

    The answer has no length and the connection is reset in the middle of it.
    """

    def script(sock):
        read_request(sock)
        sock.sendall(b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nhalf")
        sleep(timedelta(milliseconds=30))
        sock.fd.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        sock.close()

    connection = HttpConnection.open(serve_raw(script), LIMIT, CLOCK)
    with pytest.raises(ConnectionLost):
        converse(connection, "1")


def test_a_truncated_answer_is_lost():
    def script(sock):
        read_request(sock)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
        sock.close()

    connection = HttpConnection.open(serve_raw(script), LIMIT, CLOCK)
    with pytest.raises((ConnectionLost, MalformedAnswer)):
        converse(connection, "1")


def test_bytes_that_are_no_answer():
    def script(sock):
        read_request(sock)
        sock.sendall(b"\x00\x01 what is this\r\n\r\n")
        sock.recv(10)

    connection = HttpConnection.open(serve_raw(script), LIMIT, CLOCK)
    with pytest.raises(MalformedAnswer):
        converse(connection, "1")


def test_no_answer_in_time():
    connection = HttpConnection.open(
        serve_raw(lambda sock: sock.recv(10) and sleep(LIMIT)), LIMIT, CLOCK
    )
    connection.send(ask("1"))
    with pytest.raises(AnswerTimeout):
        connection.read_head(CLOCK.elapsed() + timedelta(milliseconds=30))


def test_nobody_listens():
    listener = socket.create_server(("127.0.0.1", 0))
    address = Address(*listener.getsockname())
    listener.close()
    with pytest.raises(NotConnected):
        HttpConnection.open(address, LIMIT, CLOCK)


def test_closing_wakes_the_task_that_waits():
    """An endpoint would work on for a caller that has left.

    One task waits for the answer; the caller leaves and another task closes the
    connection, which must reach both the endpoint and the waiting task at once.
    """
    ended = []

    def script(sock):
        read_request(sock)
        ended.append(sock.recv(10))

    connection = HttpConnection.open(serve_raw(script), LIMIT, CLOCK)
    connection.send(ask("1"))
    outcome = []

    def wait():
        try:
            connection.read_head(soon())
        except ConnectionLost:
            outcome.append(CLOCK.elapsed())

    spawn(wait)
    sleep(timedelta(milliseconds=20))
    began = CLOCK.elapsed()
    connection.close()
    sleep(timedelta(milliseconds=20))
    assert ended == [b""]
    assert outcome[0] - began < timedelta(milliseconds=20)


def test_an_early_answer_to_a_long_body():
    """The next request would be read as the rest of a body that is still due.

    The server answers after the head and keeps the connection, before the body
    has gone out: the connection must not be used again.
    """

    def script(sock):
        sock.recv(1000)
        sock.sendall(answer("1", b"no"))
        sleep(LIMIT)

    pool = ConnectionPool(serve_raw(script), LIMIT, CLOCK)
    connection = pool.take()
    connection.send(ask("1", b"x" * 30_000_000))
    connection.read_head(soon(), echoed=("request-id", "1"))
    assert connection.read_body(soon()) == b"no"
    pool.give_back(connection)
    assert connection.is_closed


def test_a_client_never_repeats_a_call():
    calls = []

    def script(sock):
        calls.append(read_request(sock))
        sock.close()

    client = HttpClient(serve_raw(script), CLOCK)
    with pytest.raises(ConnectionLost):
        client.call(Request("POST", "/once"), LIMIT)
    assert len(calls) == 1
