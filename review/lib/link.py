"""The link to one replica: a proxy, which holds what is sent while the link is cut."""

import socket
from contextlib import suppress

import eventlet
from eventlet.green import socket as green_socket

BACKLOG = 512
# Connections that fill the queue of a listener, so that it drops further ones.
MAX_FILLING = 8
FILLING_TIME = 0.1


class Link:
    """Passes connections on to a replica, and holds their bytes and ends while cut.

    What is held goes on as the cut heals. New connections hang meanwhile. A connection
    that the replica resets is reset.

    :param target: port of the replica at 127.0.0.1.
    """

    def __init__(self, target: int) -> None:
        self._target = target
        self._healed = eventlet.event.Event()
        self._healed.send(None)
        self._listener = eventlet.listen(("127.0.0.1", 0), backlog=BACKLOG)
        self.port = self._listener.getsockname()[1]
        self._acceptor = eventlet.spawn(self._accept)
        self._filling: list[socket.socket] = []

    def cut(self) -> None:
        """Hold everything from now on."""
        self._healed = eventlet.event.Event()
        self._acceptor.kill()
        # The kernel drops opening packets for a listener whose queue is full.
        self._listener.fd.listen(0)
        for _ in range(MAX_FILLING):
            sock = socket.socket()
            sock.settimeout(FILLING_TIME)
            self._filling.append(sock)
            try:
                sock.connect(("127.0.0.1", self.port))
            except TimeoutError:
                return
        raise RuntimeError("new connections don't hang")

    def heal(self) -> None:
        """Let everything pass again, what was held first."""
        for sock in self._filling:
            sock.close()
        self._filling.clear()
        self._listener.fd.listen(BACKLOG)
        self._acceptor = eventlet.spawn(self._accept)
        self._healed.send(None)

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            eventlet.spawn(self._connect, sock)

    def _connect(self, near) -> None:
        far = green_socket.socket()
        far.settimeout(1.0)
        try:
            far.connect(("127.0.0.1", self._target))
        except OSError:
            far.close()
            _reset(near)
            return
        far.settimeout(None)
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        both = [
            eventlet.spawn(self._pass, near, far),
            eventlet.spawn(self._pass, far, near),
        ]
        for task in both:
            task.wait()
        near.close()
        far.close()

    def _pass(self, source, sink) -> None:
        """Pass on one direction, its end included."""
        try:
            while True:
                data = _receive(source)
                self._healed.wait()
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            self._healed.wait()
            _reset(sink)
            _reset(source)


def _receive(sock) -> bytes:
    """Return bytes of a connection, or none at its end.

    :raises OSError: if it was reset, which `recv` of a green socket hides.
    """
    while True:
        try:
            return sock.fd.recv(65536)
        except BlockingIOError:
            eventlet.hubs.trampoline(sock.fd, read=True)


def _reset(sock) -> None:
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        sock.shutdown(socket.SHUT_RD)
    sock.close()
