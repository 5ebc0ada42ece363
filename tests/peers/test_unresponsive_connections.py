"""Tests of unresponsive connections between peers, while new ones work."""

import time
from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import Queue, sleep, spawn
from sassafrasdale.peers.node import PeerNode
from sassafrasdale.peers.structures import (
    HandOver,
    HandOverOffered,
    MembersChanged,
    MemberState,
)
from tests.peers.nodes import FAST, Settings, instance_of, wait_until
from tests.peers.proxies import Proxy


class ProxiedNode(PeerNode):
    """Node that its peers reach through a proxy, and whose loop can be stalled."""

    def block_loop(self, seconds: float) -> None:
        """Block the node's loop for ``seconds``."""
        self._thread.loop.call_soon_threadsafe(time.sleep, seconds)

    def _listen(self):
        sock = super()._listen()
        self.proxy = Proxy(self._peer_address)
        self._peer_address = self.proxy.address
        return sock


@pytest.fixture
def pair():
    inbox, far_inbox = Queue(), Queue()
    node = ProxiedNode(
        Settings("near", "zone-a"), SystemClock(), Random(0), inbox, FAST
    )
    far = ProxiedNode(
        Settings("far", "zone-z"), SystemClock(), Random(1), far_inbox, FAST
    )
    node.start()
    far.start()
    node.set_candidates([instance_of("far", "zone-z", far.peer_address)])
    wait_until(lambda: [each.is_usable for each in node.members()] == [True])
    yield node, inbox, far, far_inbox
    node.stop()
    far.stop()
    node.proxy.close()
    far.proxy.close()


def reported_states(inbox: Queue) -> set[MemberState]:
    return {
        member.state
        for message in inbox.queue
        if isinstance(message, MembersChanged)
        for member in message.members
    }


def test_unresponsive_connection_does_not_make_a_suspect(pair):
    """Guards against a healthy peer that is considered dead.

    The open connection between two entries becomes unresponsive while new
    connections work. The next probe times out; its retry on a new connection gets
    a reply, so the peer isn't suspected.
    """
    node, inbox, far, _ = pair
    before = far.proxy.accepted
    while not inbox.empty():
        inbox.get()
    far.proxy.silence()
    wait_until(lambda: far.proxy.accepted > before)
    sleep(timedelta(seconds=1))
    assert reported_states(inbox) <= {MemberState.ALIVE}


@pytest.mark.parametrize("stall", [0.3, 0.45])
def test_stalled_process_does_not_make_a_suspect(pair, stall):
    """Guards against a stalled process that blames its peer for its own stalls."""
    node, inbox, far, _ = pair
    while not inbox.empty():
        inbox.get()
    far.proxy.silence()
    for _ in range(round(1.5 / stall)):
        node.block_loop(stall)
        sleep(timedelta(seconds=stall * 1.2))
    sleep(timedelta(seconds=1))
    assert reported_states(inbox) <= {MemberState.ALIVE}


def test_hand_over_survives_an_unresponsive_connection(pair):
    """Guards against a request that is lost with its reclaimed entry.

    The entry hands the request over on an unresponsive connection. The call times
    out and is retried on a new connection; accepting it twice is safe, as resuming
    is idempotent.
    """
    node, _, far, far_inbox = pair

    def accept():
        while True:
            message = far_inbox.get()
            if isinstance(message, HandOverOffered):
                message.reply(True)

    accepting = spawn(accept)
    far.proxy.silence()
    assert node.hand_over("far", HandOver("r-1", "near", b"request"))
    accepting.kill()
