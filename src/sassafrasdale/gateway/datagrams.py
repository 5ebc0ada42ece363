"""Attempt reports as datagrams.

Each request causes two of them, one as its endpoint begins to respond and one at its
end. As calls over HTTP they took a quarter of the processor time of a request. A lost
one is made up for by the next load report, which lists the open attempts.
"""

import socket
from collections.abc import Callable

from logbook import Logger
from msgspec import MsgspecError

from sassafrasdale.gateway.dispatcher_messages import ATTEMPT_REPORT, AttemptReport
from sassafrasdale.gateway.peer_states import Contact, encode
from sassafrasdale.green import datagram_socket
from sassafrasdale.structures import Address

log = Logger("datagrams")

# Largest payload sent as one datagram; below the usual path MTU, so that it isn't
# fragmented.
MAX_DATAGRAM_BYTES = 1200
# Longest datagram that is received.
READ_BYTES = 65_536


class ReportDatagrams:
    """Sends attempt reports to dispatchers, and receives those of other gateways.

    :param address: address on which to receive.
    :param receive: called with each report that arrives.
    """

    def __init__(
        self, address: Address, receive: Callable[[AttemptReport], None]
    ) -> None:
        self._address = address
        self._receive = receive
        self._socket: socket.socket | None = None

    def open(self) -> bool:
        """Bind the socket; return False if that fails.

        Without a socket, reports are sent and received as calls.
        """
        try:
            self._socket = datagram_socket(self._address)
        except OSError as error:
            log.warning(
                "datagram port not bound", address=str(self._address), why=str(error)
            )
        return self._socket is not None

    def run(self) -> None:
        """Receive reports until the task is killed; the socket must be open."""
        while True:
            data, sender = self._socket.recvfrom(READ_BYTES)
            try:
                report = ATTEMPT_REPORT.decode(data)
            except MsgspecError as error:
                log.warning("malformed datagram", sender=sender[0], why=str(error))
                continue
            self._receive(report)

    def send(self, contact: Contact, report: AttemptReport) -> bool:
        """Send a report; return False if it must be sent in another way."""
        if self._socket is None or not contact.takes_datagrams:
            return False
        data = encode(report)
        if len(data) > MAX_DATAGRAM_BYTES:
            return False
        try:
            self._socket.sendto(data, (contact.host, contact.port))
        except OSError as error:
            log.debug("datagram not sent", peer=contact.name, why=str(error))
            return False
        return True
