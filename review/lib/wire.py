"""A client's connection and a replica's connection, in plain HTTP/1.1."""

import socket
from datetime import timedelta

from eventlet.green import socket as green_socket

from sassafrasdale.green import receive


def read_head(sock: socket.socket, buffered: bytes = b"") -> tuple[bytes, bytes]:
    """Return a message's head and what came after it; no head at the end."""
    data = buffered
    while b"\r\n\r\n" not in data:
        part = sock.recv(65536)
        if not part:
            return b"", b""
        data += part
    head, _, rest = data.partition(b"\r\n\r\n")
    return head, rest


def header(head: bytes, name: str) -> str:
    """Return a header of a head; empty if it has none."""
    for line in head.decode("latin-1").split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.strip().lower() == name:
            return value.strip()
    return ""


def read_exactly(sock: socket.socket, size: int, buffered: bytes) -> bytes:
    """Return a body of a known size.

    :raises OSError: if the connection ends before.
    """
    data = bytearray(buffered)
    while len(data) < size:
        part = sock.recv(65536)
        if not part:
            raise OSError("the connection ended within a body")
        data += part
    return bytes(data)


def read_chunks(sock: socket.socket, buffered: bytes) -> bytes:
    """Return a body in chunks.

    :raises OSError: if the connection ends before its last chunk.
    """
    data, body = bytearray(buffered), bytearray()
    while True:
        while b"\r\n" not in data:
            _receive(sock, data)
        line, _, rest = bytes(data).partition(b"\r\n")
        size = int(line.split(b";")[0], 16)
        data = bytearray(rest)
        while len(data) < size + 2:
            _receive(sock, data)
        if not size:
            return bytes(body)
        body += data[:size]
        del data[: size + 2]


def _receive(sock: socket.socket, data: bytearray) -> None:
    part = sock.recv(65536)
    if not part:
        raise OSError("the connection ended within a body")
    data += part


def _read_to_end(sock: socket.socket) -> bytes:
    """Return what comes until the connection ends; a reset is no end."""
    data = b""
    limit = timedelta(seconds=sock.gettimeout() or 0)
    while part := receive(sock, 65536, limit):
        data += part
    return data


class Client:
    """A client that keeps its connection for many requests.

    :ivar has_begun: whether bytes of the last request's answer have come.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._sock: socket.socket | None = None
        self.has_begun = False

    @property
    def is_connected(self) -> bool:
        """Whether a connection is kept."""
        return self._sock is not None

    def request(
        self, head: bytes, body: bytes = b"", limit: float = 3.0
    ) -> tuple[int, bytes]:
        """Return the status and the body of the answer.

        :raises OSError: if there is no whole answer; then nothing is kept.
        """
        self.has_begun = False
        try:
            if self._sock is None:
                self._sock = green_socket.socket()
                # Clients allow a new connection one second to be established.
                self._sock.settimeout(1.0)
                self._sock.connect(self._address)
            self._sock.settimeout(limit)
            self._sock.sendall(head + body)
            first = self._sock.recv(65536)
            self.has_begun = bool(first)
            answer, rest = read_head(self._sock, first) if first else (b"", b"")
            if not answer:
                raise OSError("the connection was closed without an answer")
            status = int(answer[9:12])
            if header(answer, "transfer-encoding") == "chunked":
                data = read_chunks(self._sock, rest)
            elif length := header(answer, "content-length"):
                data = read_exactly(self._sock, int(length), rest)
            else:
                data = rest + _read_to_end(self._sock)
                self.close()
        except OSError:
            self.close()
            raise
        if header(answer, "connection").lower() == "close":
            self.close()
        return status, data

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None
