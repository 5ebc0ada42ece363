"""Counts the traffic of this process's grpclib connections.

The benchmark wraps three methods of the library's protocol class; the package itself
is measured unchanged.
"""

import socket
import struct
from dataclasses import dataclass

from grpclib.protocol import H2Protocol

# struct tcp_info of Linux: offset of the count of segments sent.
SEGMENTS_OUT = 136
HEADERS_OF_SEGMENT = 20 + 20 + 12  # IPv4, TCP, timestamps


@dataclass(slots=True)
class Traffic:
    """Counts since the start.

    :param received: bytes of HTTP/2 that arrived.
    :param connections: connections opened or accepted.
    :param segments: TCP segments sent on the connections that have ended.
    """

    received: int = 0
    connections: int = 0
    segments: int = 0

    @property
    def open_protocols(self) -> int:
        """Number of open connections of either direction."""
        return len(_open)


_open: set[H2Protocol] = set()


def segments_sent(sock: socket.socket) -> int:
    """Return the number of TCP segments that ``sock`` has sent."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 256)
    return struct.unpack_from("I", info, SEGMENTS_OUT)[0]


def total_segments(traffic: Traffic) -> int:
    """Return the segments sent, including those of open connections."""
    return traffic.segments + sum(_segments(each) for each in _open.copy())


def count_traffic() -> Traffic:
    """Start counting and return the counts, which are updated in place."""
    traffic = Traffic()
    original_made, original_received, original_lost = (
        H2Protocol.connection_made,
        H2Protocol.data_received,
        H2Protocol.connection_lost,
    )

    def connection_made(self, transport):
        traffic.connections += 1
        self.counted_transport = transport
        _open.add(self)
        original_made(self, transport)

    def data_received(self, data):
        traffic.received += len(data)
        original_received(self, data)

    def connection_lost(self, exc):
        traffic.segments += _segments(self)
        _open.discard(self)
        original_lost(self, exc)

    H2Protocol.connection_made = connection_made
    H2Protocol.data_received = data_received
    H2Protocol.connection_lost = connection_lost
    return traffic


def _segments(protocol: H2Protocol) -> int:
    sock = protocol.counted_transport.get_extra_info("socket")
    try:
        return segments_sent(sock)
    except (OSError, AttributeError):
        return 0
