"""Tests of hand-overs, between entries in memory."""

from datetime import timedelta
from types import SimpleNamespace

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.endpoints.directory import Directory
from sassafrasdale.endpoints.engines import FromCache
from sassafrasdale.peers.structures import HandOver
from sassafrasdale.requests.exceptions import MalformedHandOver
from sassafrasdale.requests.handovers import decode, encode
from sassafrasdale.requests.placement import Progress
from sassafrasdale.requests.registry import Registry
from sassafrasdale.requests.transfers import Transfers
from sassafrasdale.structures import Address
from tests.requests.fakes import Choices, generation, model_call, token

CACHE = FromCache(0, "", Address("127.0.0.1", 9), "kv-1")


class Receiver:
    """An entry that accepts hand-overs and does not run them."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.registry = Registry(self.clock)
        self.replies: list[bool] = []
        self.transfers = Transfers(
            "receiver",
            dispatcher=self,
            directory=Directory(self.clock),
            peers=None,
            metrics=SimpleNamespace(handover_ended=lambda result: None),
            clock=self.clock,
        )

    def take_over(self, call, progress):
        self.registry.add(generation(Choices(), call, progress=progress))

    def offer(self, call, *, stays: bool = True) -> bool:
        progress = Progress([token("a")], None, None, sent=True)
        data = encode(call, progress, self.clock)
        handover = HandOver(call.call.request_id, "giver", data)
        self.transfers.accept(handover, self.replies.append, stays=stays)
        return self.replies[-1]


def test_encoding_preserves_everything():
    clock = ManualClock()
    call = model_call(model="reports", messages=[])
    progress = Progress([token("a")], None, CACHE, sent=True)
    incoming = decode(encode(call, progress, clock), clock)
    assert (incoming.call, incoming.events, incoming.cache, incoming.sent) == (
        call,
        [token("a")],
        CACHE,
        True,
    )


@pytest.mark.parametrize("data", [b"", b"{}", b"[1]", b"\xff"])
def test_a_malformed_hand_over_is_rejected(data):
    with pytest.raises(MalformedHandOver):
        decode(data, ManualClock())


def test_a_repeated_offer_is_accepted_once():
    receiver = Receiver()
    assert receiver.offer(model_call())
    assert receiver.offer(model_call())
    assert len(receiver.registry.running) == 1


def test_another_customers_id_is_not_the_same_request():
    """After a reclaim no entry holds a caller's stream.

    Two customers use the same request id. The receiver holds one of the requests and
    accepts the other as a repeated offer, so its holder drops it.
    """
    receiver = Receiver()
    assert receiver.offer(model_call(customer="plants"))
    assert not receiver.offer(model_call(customer="labs"))


def test_a_stopping_entry_accepts_nothing():
    """A stream moves to an entry that stops a moment later."""
    assert not Receiver().offer(model_call(), stays=False)


def test_remaining_time_is_handed_over():
    receiver = Receiver()
    receiver.clock.advance(timedelta(seconds=10))
    receiver.offer(model_call(seconds=60))
    held = receiver.registry.find("id-1", "labs")
    assert held.call.call.deadline == timedelta(seconds=60)
