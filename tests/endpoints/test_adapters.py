"""Tests of interrupted responses, on real sockets."""

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

import pytest

from sassafrasdale.endpoints.adapters import EndpointRequest, EventStream, HttpAdapter
from sassafrasdale.endpoints.exceptions import NotSent, Refused, ResponseLost
from sassafrasdale.structures import Address

ASK = EndpointRequest("GET", "/", (), b"")
LIMIT = timedelta(seconds=5)
HEAD = b"HTTP/1.1 200 OK\r\n"


@contextmanager
def endpoint(*responses: bytes) -> Iterator[Address]:
    """Send each response on a new connection, and close it after that."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        for response in responses:
            connection, _ = listener.accept()
            connection.recv(65_536)
            connection.sendall(response)
            connection.close()

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    yield Address(*listener.getsockname())
    thread.join(5)
    listener.close()


@pytest.mark.parametrize(
    "response",
    [
        HEAD + b"Content-Length: 10\r\n\r\nhalf",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n8\r\nhalf",
        HEAD + b"\r\nhalf",
        HEAD + b"Content-Le",
        b"",
    ],
    ids=["length", "no last chunk", "half a chunk", "no length", "head", "nothing"],
)
@pytest.mark.parametrize("fresh", [True, False])
def test_an_interrupted_response_is_never_complete(response, fresh):
    """A caller gets half a response.

    The service crashes while it responds. What was received looks complete unless its
    length, or the end of its chunks, is checked.
    """
    with endpoint(response) as address:
        adapter = HttpAdapter(address)
        sender = adapter.connect() if fresh else adapter
        with pytest.raises(ResponseLost):
            sender.send(ASK, LIMIT)


def test_events_of_an_interrupted_stream_are_complete():
    """A caller gets half an event, which can't be parsed."""
    body = b"14\r\ndata: 1\n\ndata: 2\n\nda\r\n"
    with endpoint(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + body) as address:
        got = []
        with pytest.raises(ResponseLost):
            _read_into(got, HttpAdapter(address).stream(ASK, LIMIT))
    assert got == [b"data: 1", b"data: 2"]


def _read_into(got: list[bytes], stream: EventStream) -> None:
    for events in stream:
        got.extend(events)


@pytest.mark.parametrize("status", [b"503 Busy", b"429 Busy"])
def test_only_a_marked_refusal_means_that_nothing_ran(status):
    head = b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n"
    marked = head + b"X-Refused: not-started\r\nRetry-After: 3\r\n\r\n"
    with endpoint(marked, head + b"\r\n") as address:
        with pytest.raises(Refused) as caught:
            HttpAdapter(address).send(ASK, LIMIT)
        assert caught.value.retry_after == timedelta(seconds=3)
        assert HttpAdapter(address).send(ASK, LIMIT).status == int(status[:3])


def test_a_request_to_an_unreachable_endpoint_was_not_sent():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = Address(*listener.getsockname())
    with pytest.raises(NotSent):
        HttpAdapter(address).send(ASK, LIMIT)


def test_an_endless_response_is_given_up(monkeypatch):
    """An entry runs out of memory, and every request on it is lost.

    A faulty service sends an endless body, and the entry buffers all of it to forward
    it complete.
    """
    monkeypatch.setattr("sassafrasdale.endpoints.adapters.MAX_RESPONSE_BYTES", 1000)
    monkeypatch.setattr("sassafrasdale.endpoints.adapters.READ_BYTES", 500)
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    body = b"3e8\r\n" + b"x" * 1000 + b"\r\n"
    with (
        endpoint(head + body * 2) as address,
        pytest.raises(ResponseLost, match="over 1000 bytes"),
    ):
        HttpAdapter(address).send(ASK, LIMIT)


def test_an_event_without_end_is_given_up():
    """Guards against partial events that take more and more memory and time."""
    part = b"x" * 65_536
    body = (b"10000\r\n" + part + b"\r\n") * 40
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    with (
        endpoint(head + body) as address,
        pytest.raises(ResponseLost, match="malformed"),
    ):
        _read_into([], HttpAdapter(address).stream(ASK, LIMIT))


def test_a_complete_stream_returns_its_connection():
    """Each stream opens a connection of its own, which costs more than the call."""
    listener = socket.create_server(("127.0.0.1", 0))
    accepted = []

    def serve() -> None:
        connection, _ = listener.accept()
        accepted.append(connection)
        for _ in range(2):
            connection.recv(65_536)
            connection.sendall(
                HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
                b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
            )

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    adapter = HttpAdapter(Address(*listener.getsockname()))
    for _ in range(2):
        stream = adapter.stream(ASK, LIMIT)
        for events in stream:
            assert events == [b"data: [DONE]"]
            stream.release()
            break
        stream.close()
    thread.join(5)
    assert not thread.is_alive()
    assert len(accepted) == 1
    accepted[0].close()
    listener.close()
