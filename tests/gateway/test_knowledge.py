"""What a gateway makes of the values that the store holds."""

import json
from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.deployment import PromptPart
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.gateway.directory import Directory
from sassafrasdale.gateway.following import PrefixChanges
from sassafrasdale.gateway.knowledge import StoreView
from sassafrasdale.gateway.placement import CacheBelief
from tests.gateway.fleets import no_rollouts

ENTRY = {"service": "models", "addr": "10.1.0.4:80", "zone": "a", "state": "ready"}
PARTS = (PromptPart("p", 900),)


class World:
    """A gateway's knowledge, with changes of the store brought by hand."""

    def __init__(self):
        clock = ManualClock()
        self.directory = Directory(clock, Random(1), timedelta(seconds=2))
        self.cache = CacheBelief()
        self.rollouts = no_rollouts(clock)
        self.knowledge = StoreView(
            None,
            Dependency("store", clock),
            self.directory,
            self.rollouts,
            self.cache.forget,
            lambda peer, prefix: None,
            clock,
            Random(1),
            ("a", "b"),
        )

    def write(self, name, value):
        written = {f"servers/{name}": value}
        self.knowledge._apply_endpoint_changes(PrefixChanges(written, frozenset()))

    def list(self, name, **changed):
        self.write(name, json.dumps(ENTRY | changed).encode())

    def names(self):
        return sorted(rec.name for rec in self.directory.of_service("models"))


@pytest.fixture
def world():
    world = World()
    world.list("i-1")
    world.list("i-2")
    return world


@pytest.mark.parametrize(
    "value", [b"\xff", b"{}", json.dumps(ENTRY | {"zone": "nowhere"}).encode()]
)
def test_an_entry_that_was_overwritten_names_no_endpoint(world, value):
    """Callers would be sent to an endpoint that the list no longer names.

    Another program writes over an endpoint's entry. The other endpoints hold, and the
    endpoint is back as soon as it writes its entry again.
    """
    world.write("i-1", value)
    assert world.names() == ["i-2"]
    world.list("i-1")
    assert world.names() == ["i-1", "i-2"]


def test_orders_of_roll_outs_are_told_from_the_configuration(world):
    """Guards against an order that is read as a configuration, or stops one."""
    order = {"service": "models", "target": "v2", "overS": 12}
    written = {
        "op/rollout/models": json.dumps(order).encode(),
        "op/rollout/records": b"{}",
        "op/note": b"x",
    }
    world.knowledge._apply_operator_changes(PrefixChanges(written, frozenset()))
    assert [rollout.order.target for rollout in world.rollouts.open()] == ["v2"]
    assert world.knowledge.configuration is None
    gone = frozenset({"op/rollout/models"})
    world.knowledge._apply_operator_changes(PrefixChanges({}, gone))
    assert world.rollouts.open() == []


def test_a_malformed_entry_is_told_once(world):
    for _ in range(3):
        world.write("i-1", b"{}")
    assert len(world.knowledge._malformed) == 1


def test_the_memory_of_an_engine_that_started_anew_is_empty(world):
    """Prompts would be sent to an engine for a cache that it lost in its crash."""
    world.list("i-1", born=1)
    world.cache.sent("i-1", PARTS, 10_000)
    world.list("i-1", born=2)
    assert world.cache.cached_tokens("i-1", PARTS) == 0
