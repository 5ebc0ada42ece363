"""Attempt reports as datagrams.

Each request causes two of them, one as its endpoint begins to respond and one at its
end. As calls over HTTP they took a quarter of the processor time of a request. A lost
one is made up for by the next load report, which lists the open attempts.
"""

import socket
from collections.abc import Callable
from itertools import count

from logbook import Logger
from msgspec import MsgspecError

from sassafrasdale.gateway.dispatcher_messages import ATTEMPT_REPORT, AttemptReport
from sassafrasdale.gateway.peer_states import Contact, encode
from sassafrasdale.green import datagram_socket, sleep
from sassafrasdale.structures import Address

log = Logger("datagrams")

# Largest payload sent as one datagram; below the usual path MTU, so that it isn't
# fragmented.
MAX_DATAGRAM_BYTES = 1200
# Longest datagram that is received; more of a longer one is cut off.
READ_BYTES = 65_536
# Datagrams in a row after which other tasks run; receiving waits for none of them while
# more have arrived.
DATAGRAMS_PER_TURN = 32
# Malformed datagrams per line of the log.
MALFORMED_PER_LINE = 1000


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
        self._malformed = 0

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
        for number in count(1):
            data, sender = self._socket.recvfrom(READ_BYTES)
            if number % DATAGRAMS_PER_TURN == 0:
                sleep()
            try:
                report = ATTEMPT_REPORT.decode(data)
            except MsgspecError as error:
                self._note_malformed(sender[0], error)
                continue
            self._receive(report)

    def _note_malformed(self, sender: str, error: MsgspecError) -> None:
        """Log the first malformed datagram, and then one of many."""
        if self._malformed % MALFORMED_PER_LINE == 0:
            log.warning(
                "malformed datagram",
                sender=sender,
                why=str(error),
                earlier=self._malformed,
            )
        self._malformed += 1

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
