"""Tests of the green sockets."""

import socket

from sassafrasdale.green import listen
from sassafrasdale.structures import Address


def test_accepted_connections_send_small_writes_at_once():
    """Streams ended 40 ms late.

    A caller saw the last event of every short stream 40 ms after the engine had
    sent it: the accepted socket held the small write back until the caller's
    kernel acknowledged the one before.
    """
    listener = listen(Address("127.0.0.1", 0))
    caller = socket.create_connection(listener.getsockname())
    accepted, _ = listener.accept()
    with listener, caller, accepted:
        assert accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
