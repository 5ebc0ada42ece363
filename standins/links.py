"""A link between two processes that can fail: a proxy on the loopback interface."""

import socket
from datetime import timedelta
from enum import StrEnum

from sassafrasdale.green import connect, make_green, receive, sleep, spawn
from sassafrasdale.structures import Address

CHUNK = 65_536
BACKLOG = 1024
DELAY = timedelta(milliseconds=120)
CONNECT_TIMEOUT = timedelta(seconds=5)
# Time between two checks whether a fault is over.
POLL_INTERVAL = timedelta(milliseconds=20)


class LinkFault(StrEnum):
    """A fault of a link.

    New connections are accepted and closed at once (``RESETS``), or refused
    (``REFUSES``); both reset the open ones. With ``REFUSES_NEW`` those go on.
    """

    DELAYS = "delays"
    RESETS = "resets"
    SILENT = "silent"
    ANSWERS_LOST = "answers lost"
    REFUSES = "refuses"
    REFUSES_NEW = "refuses new"


_REFUSING = (LinkFault.REFUSES, LinkFault.REFUSES_NEW)


class Link:
    """Forwards connections to an address.

    Connections that were open when a link stopped forwarding never forward again, as
    behind a middlebox that has dropped its state; those opened since work once the
    fault is over.
    """

    def __init__(self, target: Address) -> None:
        self._target = target
        self._fault: LinkFault | None = None
        self._connections: set[_Connection] = set()
        # Holds the port while the link refuses connections: any process could get it.
        self._reservation = _bind(Address("127.0.0.1", 0))
        host, port = self._reservation.getsockname()
        self.address = Address(host, port)
        self._listen()

    @property
    def fault(self) -> LinkFault | None:
        """Its current fault."""
        return self._fault

    def inject(self, fault: LinkFault, duration: timedelta) -> None:
        """Apply a fault for a while."""
        self.begin(fault)
        sleep(duration)
        self.end()

    def begin(self, fault: LinkFault) -> None:
        """Apply a fault until it is ended."""
        self._fault = fault
        if fault in _REFUSING:
            self._listener.close()
        for connection in list(self._connections):
            connection.apply(fault)

    def end(self) -> None:
        """End the current fault."""
        if self._fault in _REFUSING:
            self._listen()
        self._fault = None

    def _listen(self) -> None:
        listener = _bind(self.address)
        listener.listen(BACKLOG)
        self._listener = make_green(listener)
        spawn(self._accept)

    def _accept(self) -> None:
        listener = self._listener
        while True:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            spawn(self._serve, client)

    def _serve(self, client: socket.socket) -> None:
        if self._fault is LinkFault.RESETS:
            client.close()
            return
        while self._fault is LinkFault.SILENT:
            sleep(POLL_INTERVAL)
        try:
            server = connect(self._target, CONNECT_TIMEOUT)
        except OSError:
            client.close()
            return
        connection = _Connection(self, client, server)
        self._connections.add(connection)
        connection.run()
        self._connections.discard(connection)


class _Connection:
    """The client's and the server's side of one forwarded connection."""

    def __init__(
        self, link: Link, client: socket.socket, server: socket.socket
    ) -> None:
        self._link = link
        self._client = client
        self._server = server
        self._is_unresponsive = False

    def run(self) -> None:
        """Forward until either side closes."""
        responses = spawn(self._forward, self._server, self._client, responses=True)
        self._forward(self._client, self._server, responses=False)
        responses.wait()

    def apply(self, fault: LinkFault) -> None:
        """Apply a fault to this open connection."""
        match fault:
            case LinkFault.RESETS | LinkFault.REFUSES:
                self._shut_down()
            case LinkFault.SILENT:
                self._is_unresponsive = True

    def _forward(
        self, source: socket.socket, sink: socket.socket, *, responses: bool
    ) -> None:
        try:
            while data := receive(source, CHUNK):
                fault = self._link.fault
                if fault is LinkFault.DELAYS:
                    sleep(DELAY)
                if self._is_unresponsive or (
                    responses and fault is LinkFault.ANSWERS_LOST
                ):
                    self._is_unresponsive = True
                    continue
                sink.sendall(data)
        except OSError:
            pass
        if not self._is_unresponsive:
            self._shut_down()

    def _shut_down(self) -> None:
        for sock in (self._client, self._server):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue


def _bind(address: Address) -> socket.socket:
    """Return a socket bound to an address that others of this module may share."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind((address.host, address.port))
    return sock
