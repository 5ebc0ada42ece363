"""Tests of hand-overs, between entries in memory."""

import json
from dataclasses import replace
from datetime import timedelta
from types import SimpleNamespace

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.endpoints.directory import Directory
from sassafrasdale.endpoints.engines import FromCache
from sassafrasdale.green import sleep
from sassafrasdale.peers.structures import HandOver
from sassafrasdale.requests.exceptions import MalformedHandOver
from sassafrasdale.requests.generation import Generation
from sassafrasdale.requests.handovers import decode, encode
from sassafrasdale.requests.placement import Progress
from sassafrasdale.requests.registry import UNREAD_TIMEOUT, Registry
from sassafrasdale.requests.transfers import MAX_DELIVERED_OFFERS, Transfers
from sassafrasdale.structures import Address
from tests.requests.fakes import WHOLE, Choices, generation, model_call, token

CACHE = FromCache(0, "", Address("127.0.0.1", 9), "kv-1")


def _transfers(entry, peers) -> Transfers:
    """Return the hand-overs of an entry in memory."""
    return Transfers(
        type(entry).__name__.lower(),
        dispatcher=entry,
        directory=Directory(entry.clock),
        peers=peers,
        metrics=SimpleNamespace(handover_ended=lambda result: None),
        clock=entry.clock,
    )


class Receiver:
    """An entry that accepts hand-overs and does not run them."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.registry = Registry(self.clock)
        self.replies: list[bool] = []
        self.transfers = _transfers(self, peers=None)

    def take_over(self, call, progress):
        self.registry.add(generation(Choices(), call, progress=progress))

    def offer(self, call, *, stays: bool = True) -> bool:
        progress = Progress([token("a")], None, None, sent=True)
        data = encode(call, progress, self.clock)
        handover = HandOver(call.call.request_id, "giver", data)
        self.transfers.accept(handover, self.replies.append, stays=stays)
        return self.replies[-1]


class Sender:
    """An entry that leaves, whose one peer accepts everything."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.registry = Registry(self.clock)
        self.offered: list[str] = []
        self.transfers = _transfers(self, peers=self)

    def receivers(self, request_id: str) -> tuple[SimpleNamespace, ...]:
        return (SimpleNamespace(name="receiver"),)

    def hand_over(self, name: str, handover: HandOver, limit: timedelta) -> bool:
        self.offered.append(handover.request_id)
        return True

    def deliver(self, request_id: str) -> Generation:
        """Add a complete response that was just sent to its caller."""
        call = model_call()
        call = replace(call, call=replace(call.call, request_id=request_id))
        progress = Progress(WHOLE, None, None, sent=True)
        delivered = generation(
            Choices(),
            call,
            clock=self.clock,
            progress=progress,
            on_end=self.registry.end,
        )
        self.registry.add(delivered)
        delivered.run()
        delivered.mark_delivered()
        return delivered


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


def test_encoding_preserves_when_a_response_was_delivered():
    clock = ManualClock()
    call = model_call(model="reports", messages=[])
    ago = timedelta(seconds=3)
    progress = Progress([token("a")], None, None, sent=True, delivered_ago=ago)
    assert decode(encode(call, progress, clock), clock).delivered_ago == ago


def test_a_message_of_an_earlier_version_is_not_delivered_yet():
    clock = ManualClock()
    call = model_call(model="reports", messages=[])
    progress = Progress([token("a")], None, None, sent=True)
    message = json.loads(encode(call, progress, clock))
    del message["delivered_ago_ms"]
    assert decode(json.dumps(message).encode(), clock).delivered_ago is None


def test_a_delivered_response_is_offered_once_and_only_for_a_while():
    """Guards against a stop that hands the same old responses over again and again."""
    sender = Sender()
    sender.deliver("old")
    sender.clock.advance(UNREAD_TIMEOUT + timedelta(seconds=1))
    sender.deliver("new")
    assert sender.transfers.has_delivered
    for _ in range(2):
        sender.transfers.hand_over_delivered()
        sleep(timedelta())
    assert sender.offered == ["new"]
    assert not sender.transfers.has_delivered
    assert not sender.registry.holds("new")
    assert sender.registry.holds("old")


def test_many_delivered_responses_are_offered_newest_first():
    """Guards against a stop that lists all responses again for each one it offers."""
    sender = Sender()
    names = [f"r-{number}" for number in range(4 * MAX_DELIVERED_OFFERS)]
    for name in names:
        sender.deliver(name)
    listings = []
    listed = sender.transfers._pending_delivered
    sender.transfers._pending_delivered = lambda: listings.append(1) or listed()
    sender.transfers.hand_over_delivered()
    sleep(timedelta())
    assert sender.offered == names[::-1]
    assert len(listings) == 1


def test_a_received_response_keeps_the_time_of_its_delivery():
    """Guards against a rolling stop that carries all old responses along."""
    receiver = Receiver()
    progress = Progress(WHOLE, None, None, sent=True, delivered_ago=UNREAD_TIMEOUT / 2)
    data = encode(model_call(), progress, receiver.clock)
    receiver.transfers.accept(
        HandOver("id-1", "giver", data), receiver.replies.append, stays=True
    )
    held = receiver.registry.find("id-1", "labs")
    assert held.delivered_at == receiver.clock.elapsed() - UNREAD_TIMEOUT / 2


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
