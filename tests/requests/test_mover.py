"""Tests of moving the streams of a leaving endpoint."""

from datetime import timedelta
from types import SimpleNamespace

from sassafrasdale.clock import ManualClock
from sassafrasdale.endpoints.directory import Directory
from sassafrasdale.green import sleep
from sassafrasdale.requests.mover import Mover
from sassafrasdale.requests.placement import Progress
from sassafrasdale.requests.registry import Registry
from sassafrasdale.structures import (
    Address,
    Instance,
    InstanceState,
    Notice,
    Role,
)
from tests.requests.fakes import Choices, FakeAdapter, endpoint, generation, token

LEAVING = Instance("one", Role.ENDPOINT, "zone-a", Address("127.0.0.1", 1))


def _mover(clock, registry):
    target = endpoint("two", FakeAdapter([]))
    selector = SimpleNamespace(
        query_for=lambda *arguments, **options: None, choose=lambda query, avoid: target
    )
    return Mover(registry, selector, clock)


def test_a_stream_received_after_the_notice_is_moved():
    """A stream that changed entries is interrupted when its engine is reclaimed.

    The engine's streams are planned at its notice; a stopping entry hands over
    another stream on that engine only afterwards.
    """
    clock = ManualClock()
    registry = Registry(clock)
    mover = _mover(clock, registry)
    engine = FakeAdapter([], {"export": {"kv_handle": "kv-1"}})
    leaving = endpoint("one", engine)
    leaving.leave(clock.now() + timedelta(seconds=2))
    mover.drain(leaving)
    progress = Progress([token("a")], leaving, None, sent=True)
    registry.add(generation(Choices(), progress=progress, clock=clock))
    mover.update_plans()
    sleep()
    assert engine.asked == ["/v1/streams/id-1/export"]


def test_an_offered_stream_is_not_moved():
    clock = ManualClock()
    registry = Registry(clock)
    mover = _mover(clock, registry)
    engine = FakeAdapter([], {"export": {"kv_handle": "kv-1"}})
    leaving = endpoint("one", engine)
    leaving.leave(clock.now() + timedelta(seconds=2))
    progress = Progress([token("a")], leaving, None, sent=True)
    made = generation(Choices(), progress=progress, clock=clock)
    registry.add(made)
    made.begin_offer()
    mover.drain(leaving)
    sleep()
    assert engine.asked == []


def test_a_notice_after_the_list_sets_the_time():
    """A leaving engine's streams are not moved.

    The instance list marks the engine as leaving before the notice with the time
    arrives.
    """
    directory = Directory(ManualClock())
    listed = Instance(
        "one",
        Role.ENDPOINT,
        "zone-a",
        Address("127.0.0.1", 1),
        state=InstanceState.LEAVING,
    )
    directory.replace([listed])
    leaves_at = ManualClock().now() + timedelta(seconds=5)
    assert directory.apply_notice(Notice(1, "one", leaves_at)) is directory.get("one")
    assert directory.get("one").leaves_at == leaves_at
