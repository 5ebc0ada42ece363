"""A raw socket server and client for tests of the HTTP protocol."""

import socket
from collections.abc import Callable
from datetime import timedelta

from sassafrasdale.green import connect, listen, spawn
from sassafrasdale.structures import Address

LOOPBACK = Address("127.0.0.1", 0)
LIMIT = timedelta(seconds=2)


def bound_address(listener: socket.socket) -> Address:
    """Return the address to which a listener is bound."""
    host, port = listener.getsockname()
    return Address(host, port)


def serve_raw(script: Callable[[socket.socket], None]) -> Address:
    """Run ``script`` on each accepted connection, and return the address."""
    listener = listen(LOOPBACK)

    def accept() -> None:
        while True:
            sock, _ = listener.accept()
            spawn(script, sock)

    spawn(accept)
    return bound_address(listener)


def read_request(sock: socket.socket) -> bytes:
    """Return the bytes of one request with a Content-Length."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = sock.recv(65536)
        if not more:
            return data
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            while len(body) < int(line.split(b":")[1]):
                body += sock.recv(65536)
    return head + b"\r\n\r\n" + body


class RawCaller:
    """A caller that sends and reads raw bytes."""

    def __init__(self, address: Address) -> None:
        self._sock = connect(address, LIMIT)
        self._sock.settimeout(LIMIT.total_seconds())

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self._sock.sendall(data)

    def read(self, limit: timedelta = LIMIT) -> bytes:
        """Return all bytes until the peer closes.

        :param limit: maximum time without any.
        """
        self._sock.settimeout(limit.total_seconds())
        parts = []
        while data := self._sock.recv(65536):
            parts.append(data)
        return b"".join(parts)

    def read_some(self) -> bytes:
        """Return the next bytes."""
        return self._sock.recv(65536)

    def close(self) -> None:
        """Close the connection."""
        self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
