"""HTTP client connections against servers that send bytes without end."""

import socket
import tracemalloc
from collections.abc import Callable
from datetime import timedelta
from time import process_time

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import sleep, spawn
from sassafrasdale.http.body_budget import BodyBudget
from sassafrasdale.http.connections import HttpClient, HttpConnection
from sassafrasdale.http.exceptions import (
    BodyTooLarge,
    ConnectionLost,
    MalformedResponse,
    ResponseTimeout,
)
from sassafrasdale.http.messages import Request
from sassafrasdale.structures import Address
from tests.http.wires import LIMIT, read_request, serve_raw

CLOCK = SystemClock()
OK = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
UNFRAMED = OK + b"\r\n"
MIB = 1024 * 1024
FILLER = b"x" * 65_536
REQUEST = Request("POST", "/a/", (("host", "h"), ("request-id", "1")), b"")
# Chunks of one byte, and of one byte with an extension.
TINY = b"1\r\nx\r\n"
EXTENDED = b"1;" + b"e" * 8000 + b"\r\nx\r\n"


def endless(
    first: bytes, part: bytes, pause: timedelta = timedelta()
) -> Callable[[socket.socket], None]:
    """Return a server that sends a part again and again until it is closed."""

    def script(sock):
        read_request(sock)
        try:
            sock.sendall(first)
            while True:
                sock.sendall(part)
                sleep(pause)
        except OSError:
            sock.close()

    return script


def open_to(script, **options) -> HttpConnection:
    return HttpConnection.open(serve_raw(script), LIMIT, CLOCK, **options)


def exchange(connection: HttpConnection, limit: timedelta = 4 * LIMIT) -> bytes:
    deadline = CLOCK.elapsed() + limit
    connection.send(REQUEST)
    connection.read_head(deadline, echoed=("request-id", "1"))
    return connection.read_body(deadline)


@pytest.mark.parametrize(
    ("first", "part"),
    [
        (b"HTTP/1.1 200 ", b"O" * 5000),
        (OK, b"filler: x\r\n" * 500),
        (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 200),
        (b"", b"HTTP/1.1 100 Continue\r\nfiller: " + b"x" * 8000 + b"\r\n\r\n"),
        (OK.replace(b"1\r\n", b"9\r\n") + b"\r\n", FILLER),
        (CHUNKED + b"5;", b"e" * 5000),
        (CHUNKED + b"0\r\n", b"filler: x\r\n" * 500),
        (CHUNKED, b"10000\r\n" + FILLER + b"\r\n"),
        (CHUNKED, TINY * 1000),
        (CHUNKED, EXTENDED),
        (UNFRAMED, FILLER),
        (OK + b"Content-Length: 999999999999\r\n\r\n", FILLER),
    ],
    ids=[
        "status line",
        "head",
        "interim responses",
        "long interim responses",
        "stray response",
        "chunk extension",
        "trailers",
        "chunks",
        "tiny chunks",
        "tiny chunks with extensions",
        "unframed body",
        "long body",
    ],
)
def test_bytes_without_end_are_malformed(first, part):
    """Guards against responses that are read, and kept, until the deadline."""
    connection = open_to(endless(first, part))
    began_at, spent = CLOCK.elapsed(), process_time()
    tracemalloc.start()
    try:
        with pytest.raises(MalformedResponse):
            exchange(connection)
        assert tracemalloc.get_traced_memory()[1] < 30 * MIB
    finally:
        tracemalloc.stop()
        connection.close()
    assert CLOCK.elapsed() - began_at < LIMIT
    assert process_time() - spent < 2


@pytest.mark.parametrize(
    ("first", "part"),
    [(b"", b"H"), (OK + b"a: ", b"x"), (CHUNKED, TINY), (UNFRAMED, b"x")],
)
def test_a_byte_now_and_then_does_not_move_the_deadline(first, part):
    """Guards against limits that start anew with each byte."""
    pause = timedelta(milliseconds=20)
    connection = open_to(endless(first, part, pause))
    began_at = CLOCK.elapsed()
    with pytest.raises((ResponseTimeout, MalformedResponse)):
        exchange(connection, 10 * pause)
    assert CLOCK.elapsed() - began_at < 30 * pause
    connection.close()


@pytest.mark.parametrize("part", [FILLER, b"x" * 100])
def test_other_tasks_run_while_a_server_sends_as_fast_as_it_can(part):
    """Guards against one connection that is read for as long as it has bytes."""
    connection = open_to(endless(CHUNKED, b"%x\r\n%b\r\n" % (len(part), part) * 4))
    connection.send(REQUEST)
    deadline = CLOCK.elapsed() + LIMIT
    connection.read_head(deadline)
    longest = timedelta()
    running = True

    def run() -> None:
        nonlocal longest
        while running:
            began_at = CLOCK.elapsed()
            sleep(timedelta(milliseconds=1))
            longest = max(longest, CLOCK.elapsed() - began_at)

    task = spawn(run)
    sleep()
    until = CLOCK.elapsed() + timedelta(milliseconds=500)
    while CLOCK.elapsed() < until:
        connection.read_data(deadline)
    running = False
    task.wait()
    connection.close()
    assert longest < timedelta(milliseconds=200)


@pytest.mark.parametrize(
    "header",
    [b"Content-Length: " + b"9" * 5000, b"Content-Length: " + b"9" * 30],
)
def test_a_length_that_is_no_length_is_malformed(header):
    """Guards against a conversion that fails for very long numbers."""
    with pytest.raises(MalformedResponse):
        exchange(open_to(endless(OK + header + b"\r\n\r\n", b"x")))


@pytest.mark.parametrize("digits", [18, 5000])
def test_a_keep_alive_time_out_that_is_no_time_is_ignored(digits):
    """Guards against a conversion that fails for very long numbers."""

    def script(sock):
        read_request(sock)
        header = b"Keep-Alive: timeout=" + b"9" * digits
        sock.sendall(OK + header + b"\r\nContent-Length: 2\r\n\r\nok")

    assert exchange(open_to(script)) == b"ok"


def whole(size: int, pause: timedelta = timedelta()) -> Callable:
    """Return a server of a body of a size that comes in two halves."""

    def script(sock):
        read_request(sock)
        sock.sendall(OK + b"Content-Length: %d\r\n\r\n" % size)
        sock.sendall(b"x" * (size // 2))
        sleep(pause)
        sock.sendall(b"x" * (size - size // 2))

    return script


def test_all_bodies_together_are_bounded_and_the_largest_is_given_up():
    """Guards against endless bodies that take the room of all others."""
    budget = BodyBudget(4 * MIB)
    small = [
        open_to(whole(MIB // 2, timedelta(milliseconds=300)), budget=budget)
        for _ in range(4)
    ]
    large = [
        open_to(endless(UNFRAMED, FILLER), budget=budget, max_body_bytes=64 * MIB)
        for _ in range(3)
    ]
    failed = []

    def read_endless(connection) -> None:
        with pytest.raises(BodyTooLarge):
            exchange(connection)
        failed.append(connection)

    endless_tasks = [spawn(read_endless, connection) for connection in large]
    tasks = [spawn(exchange, connection) for connection in small]
    assert [len(task.wait()) for task in tasks] == [MIB // 2] * 4
    for task in endless_tasks:
        task.wait()
    assert len(failed) == 3
    assert budget.used == 4 * MIB // 2
    for connection in small:
        connection.close()
    assert budget.used == 0


def test_whole_bodies_are_not_given_up():
    """Guards against responses that are lost after they have come in whole."""
    budget = BodyBudget(MIB)
    kept = open_to(whole(MIB * 3 // 4), budget=budget)
    assert len(exchange(kept)) == MIB * 3 // 4
    with pytest.raises(BodyTooLarge):
        exchange(open_to(whole(MIB // 2), budget=budget))
    assert not kept.is_closed
    kept.release_body()
    assert len(exchange(open_to(whole(MIB // 2), budget=budget))) == MIB // 2


def test_the_room_of_a_response_that_fails_is_free_again():
    """Guards against a budget that is used up by failed responses."""
    budget = BodyBudget(2 * MIB)
    for _ in range(3):
        connection = open_to(
            endless(UNFRAMED, FILLER), budget=budget, max_body_bytes=MIB
        )
        with pytest.raises(BodyTooLarge):
            exchange(connection)
        connection.close()
    assert budget.used == 0


def call(address: Address) -> bytes:
    return HttpClient(address, CLOCK).call(Request("GET", "/a/"), 4 * LIMIT).body


def test_values_of_the_store_have_room():
    """Guards against a limit for endpoints that keeps long values from gateways."""
    assert len(call(serve_raw(whole(20 * MIB)))) == 20 * MIB


def test_a_refusal_with_a_body_without_end_is_read_no_further():
    """Guards against refusals whose bodies are waited for."""
    connection = open_to(endless(UNFRAMED, b"x", timedelta(milliseconds=5)))
    connection.send(REQUEST)
    began_at = CLOCK.elapsed()
    connection.read_head(CLOCK.elapsed() + LIMIT)
    connection.skip_body(CLOCK.elapsed() + LIMIT)
    assert CLOCK.elapsed() - began_at < LIMIT / 4
    assert connection.is_closed


def test_a_reader_whose_connection_is_closed_meanwhile_is_told():
    connection = open_to(endless(UNFRAMED, FILLER), max_body_bytes=1024 * MIB)
    spawn(lambda: (sleep(timedelta(milliseconds=50)), connection.close()))
    with pytest.raises(ConnectionLost):
        exchange(connection)
