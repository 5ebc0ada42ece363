"""A gateway's use of the values in the store."""

import json
from datetime import timedelta
from random import Random

import pytest
from logbook import TestHandler as LogRecorder

from sassafrasdale.clock import ManualClock
from sassafrasdale.coordination.stores import ordered_revision
from sassafrasdale.deployment import PromptPart
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.gateway.directory import Directory
from sassafrasdale.gateway.follower import PrefixChanges
from sassafrasdale.gateway.placement import CacheEstimate
from sassafrasdale.gateway.store_view import StoreView
from sassafrasdale.green import Event, sleep
from tests.gateway.fleets import no_rollouts

REGISTRATION = {
    "service": "models",
    "addr": "10.1.0.4:80",
    "zone": "a",
    "state": "ready",
}
PARTS = (PromptPart("p", 900),)


class SilentStore:
    """A store that answers no call.

    A task that the test leaves behind waits there, and neither fails nor logs.
    """

    def __getattr__(self, name):
        return lambda *args, **kwargs: Event().wait()


class World:
    """A gateway's store view, whose changes are made by the test."""

    def __init__(self):
        clock = ManualClock()
        self.directory = Directory(clock, Random(1), timedelta(seconds=2))
        self.cache = CacheEstimate()
        self.rollouts = no_rollouts(clock)
        self.store_view = StoreView(
            SilentStore(),
            Dependency("store", clock),
            self.directory,
            self.rollouts,
            self.cache.forget,
            lambda peer, prefix: None,
            clock,
            Random(1),
            ("a", "b"),
        )

    def write(self, name, value, *, is_restored=False):
        changes = PrefixChanges({f"servers/{name}": value}, frozenset(), is_restored)
        self.store_view._apply_endpoint_changes(changes)

    def register(self, name, *, is_restored=False, **changed):
        value = json.dumps(REGISTRATION | changed).encode()
        self.write(name, value, is_restored=is_restored)

    def names(self):
        return sorted(rec.name for rec in self.directory.of_service("models"))


@pytest.fixture
def world():
    world = World()
    world.register("i-1")
    world.register("i-2")
    return world


@pytest.mark.parametrize(
    "value", [b"\xff", b"{}", json.dumps(REGISTRATION | {"zone": "nowhere"}).encode()]
)
def test_an_overwritten_registration_lists_no_endpoint(world, value):
    """Requests would go to an endpoint that is no longer listed.

    Another program overwrites an endpoint's registration. The other endpoints stay
    listed, and the endpoint returns as soon as it registers again.
    """
    world.write("i-1", value)
    assert world.names() == ["i-2"]
    world.register("i-1")
    assert world.names() == ["i-1", "i-2"]


def test_rollout_orders_are_distinguished_from_the_configuration(world):
    """An order must not be decoded as a configuration, nor prevent its use."""
    order = {"service": "models", "target": "v2", "overS": 12}
    written = {
        "op/rollout/models": json.dumps(order).encode(),
        "op/rollout/records": b"{}",
        "op/note": b"x",
    }
    world.store_view._apply_operator_changes(PrefixChanges(written, frozenset()))
    assert [rollout.order.target for rollout in world.rollouts.open()] == ["v2"]
    assert world.store_view.configuration is None
    deleted = frozenset({"op/rollout/models"})
    world.store_view._apply_operator_changes(PrefixChanges({}, deleted))
    assert world.rollouts.open() == []


def test_a_malformed_registration_is_logged_once(world):
    for _ in range(3):
        world.write("i-1", b"{}")
    assert len(world.store_view._malformed) == 1


def test_the_cache_estimate_of_a_restarted_engine_is_empty(world):
    """Prompts would be sent to an engine for a KV cache that it lost in a crash."""
    world.register("i-1", born=1)
    world.cache.record_prompt("i-1", PARTS, 10_000)
    world.register("i-1", born=2)
    assert world.cache.cached_tokens("i-1", PARTS) == 0


def test_an_older_registration_in_a_restored_store_changes_nothing(world):
    """Guards against streams that go on at a version that the endpoint left."""
    world.register("i-1", born=2, version="v2")
    world.cache.record_prompt("i-1", PARTS, 10_000)
    cached = world.cache.cached_tokens("i-1", PARTS)
    record = world.directory.records["i-1"]
    world.register("i-1", born=1, version="v1", is_restored=True)
    assert world.directory.records["i-1"] is record
    assert record.known_version == "v2"
    assert world.cache.cached_tokens("i-1", PARTS) == cached > 0
    world.register("i-1", born=2, version="v2")
    assert world.directory.records["i-1"] is record


def test_the_view_of_a_silent_store_logs_nothing(world):
    """Guards against a task that outlives its test and logs into another one."""
    with LogRecorder().applicationbound() as handler:
        world.store_view._watch_rollouts()
        sleep(timedelta(milliseconds=200))
    assert not handler.formatted_records


def test_an_older_order_in_a_restored_store_ends_no_later_one(world):
    """Guards against a version that was rolled back and is rolled out once more.

    The restored store has the order before, until operators repeat the later one.
    """
    follower = world.store_view._followers["op/"]
    world.store_view._watches_rollouts = True

    def listed(target: str, configuration: int, revision: int) -> None:
        order = {"service": "models", "target": target, "overS": 12}
        values = {
            "op/rollout/models": json.dumps(order).encode(),
            "op/note": str(configuration).encode(),
        }
        follower.replace_all(
            values, revision, revision, dict.fromkeys(values, revision)
        )

    listed("v2", 1, 10)
    listed("v3", 2, 20)
    rollout = world.rollouts.get("models")
    rollout.fire("roll_back")
    listed("v2", 1, ordered_revision(1, 10))
    assert world.rollouts.get("models") is rollout
    # What isn't an order is taken at once.
    assert follower.values["op/note"] == b"1"
    listed("v3", 2, ordered_revision(1, 12))
    assert world.rollouts.get("models") is rollout
    assert rollout.state == "rolled_back"
    assert rollout.revision == ordered_revision(1, 12)
