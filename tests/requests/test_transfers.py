"""Hand-overs between two entries in memory."""

from datetime import timedelta
from types import SimpleNamespace

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.endpoints.directory import Directory
from sassafrasdale.endpoints.engines import FromCache
from sassafrasdale.peers.structures import HandOver
from sassafrasdale.requests.exceptions import MalformedHandOver
from sassafrasdale.requests.handovers import pack, unpack
from sassafrasdale.requests.placement import Progress
from sassafrasdale.requests.registry import Registry
from sassafrasdale.requests.transfers import Transfers
from sassafrasdale.structures import Address
from tests.requests.fakes import Choices, generation, model_call, token

CACHE = FromCache(0, "", Address("127.0.0.1", 9), "kv-1")


class Receiver:
    """An entry that takes hand-overs and runs nothing."""

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
        parcel = pack(call, progress, self.clock)
        handover = HandOver(call.call.request_id, "giver", parcel)
        self.transfers.take(handover, self.replies.append, stays=stays)
        return self.replies[-1]


def test_a_parcel_brings_everything():
    clock = ManualClock()
    call = model_call(model="reports", messages=[])
    progress = Progress([token("a")], None, CACHE, sent=True)
    parcel = unpack(pack(call, progress, clock), clock)
    assert (parcel.call, parcel.events, parcel.cache, parcel.sent) == (
        call,
        [token("a")],
        CACHE,
        True,
    )


@pytest.mark.parametrize("data", [b"", b"{}", b"[1]", b"\xff"])
def test_an_unreadable_parcel_is_refused(data):
    with pytest.raises(MalformedHandOver):
        unpack(data, ManualClock())


def test_the_same_offer_twice_is_taken_once():
    receiver = Receiver()
    assert receiver.offer(model_call())
    assert receiver.offer(model_call())
    assert len(receiver.registry.running) == 1


def test_another_customers_id_is_not_the_same_request():
    """A caller's stream is gone after a reclaim: nobody holds it.

    Two customers chose one request id. The receiver holds the one and says yes
    to the other, whose holder then drops it.
    """
    receiver = Receiver()
    assert receiver.offer(model_call(customer="plants"))
    assert not receiver.offer(model_call(customer="labs"))


def test_an_entry_that_leaves_takes_nothing():
    """A caller's stream moves to an entry that is stopped a moment later."""
    assert not Receiver().offer(model_call(), stays=False)


def test_time_to_the_deadline_goes_along():
    receiver = Receiver()
    receiver.clock.advance(timedelta(seconds=10))
    receiver.offer(model_call(seconds=60))
    held = receiver.registry.find("id-1", "labs")
    assert held.call.call.deadline == timedelta(seconds=60)
