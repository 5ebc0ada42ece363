"""The endpoints that a gateway knows."""

from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.deployment import Endpoint, EndpointState
from sassafrasdale.gateway.directory import Directory
from sassafrasdale.structures import Address

DRAIN = timedelta(seconds=2)


def endpoint(name: str, port: int = 1, **changed) -> Endpoint:
    fields = {"state": EndpointState.READY, **changed}
    return Endpoint(name, "records", Address("127.0.0.1", port), "a", **fields)


class World:
    """A directory and the time since the store last failed."""

    def __init__(self):
        self.clock = ManualClock()
        self.since_outage = None
        self.directory = Directory(
            self.clock, Random(1), DRAIN, lambda: self.since_outage
        )

    def names(self):
        return sorted(rec.name for rec in self.directory.of_service("records"))


@pytest.fixture
def world():
    world = World()
    for name in ("i-1", "i-2"):
        world.directory.put(endpoint(name))
    return world


def test_ready_endpoints_take_requests(world):
    assert world.names() == ["i-1", "i-2"]


def test_draining_ones_do_not(world):
    world.directory.put(endpoint("i-1", state=EndpointState.DRAINING))
    assert world.names() == ["i-2"]
    assert len(world.directory.all_of_service("records")) == 2


def test_removed_ones_do_not_while_there_are_others(world):
    world.directory.remove("i-1")
    assert world.names() == ["i-2"]


def test_the_last_entry_lapses_in_an_outage(world):
    """All requests would be refused though all endpoints serve.

    The store is out, entries lapse meanwhile, and they are back two seconds after
    its return.
    """
    world.since_outage = timedelta(seconds=1)
    for name in ("i-1", "i-2"):
        world.directory.remove(name)
    world.clock.advance(timedelta(seconds=2))
    assert world.names() == ["i-1", "i-2"]
    world.clock.advance(timedelta(seconds=1))
    assert world.names() == []


def test_an_entry_that_goes_in_calm_weather_is_left_in_time(world):
    """A leaving endpoint would get requests after its time to drain.

    Some endpoints never say that they are draining: their entry just goes.
    """
    for name in ("i-1", "i-2"):
        world.directory.remove(name)
    world.clock.advance(DRAIN * 0.6)
    assert world.names() == []


def test_an_address_that_another_endpoint_has_now(world):
    before = world.directory.records["i-1"]
    world.directory.put(endpoint("i-1", port=2))
    assert world.directory.records["i-1"].pool is not before.pool


def test_a_change_of_state_keeps_what_is_under_way(world):
    world.directory.records["i-1"].in_flight = 3
    world.directory.put(endpoint("i-1", state=EndpointState.DRAINING))
    assert world.directory.records["i-1"].in_flight == 3


def test_an_endpoint_that_started_anew_is_taken_for_another(world):
    """Requests would wait on dead connections behind a load that no longer exists.

    An endpoint crashes with requests under way and starts again under its name and
    address, before its entry lapses. Only the time of its start has changed.
    """
    world.directory.put(endpoint("i-1", born=1))
    before = world.directory.records["i-1"]
    before.in_flight = 3
    assert world.directory.put(endpoint("i-1", born=2))
    after = world.directory.records["i-1"]
    assert after is not before
    assert after.in_flight == 0


def test_failures_of_before_a_restart_are_forgotten(world):
    health = world.directory.health_of("records")
    world.directory.put(endpoint("i-1", born=1))
    for _ in range(6):
        health.observe("i-1", ok=False, now=world.clock.elapsed())
    assert health.weights(world.clock.elapsed())["i-1"] == 0
    world.directory.put(endpoint("i-1", born=2))
    assert health.weights(world.clock.elapsed())["i-1"] == 1


def test_an_entry_written_again_is_the_same_endpoint(world):
    world.directory.put(endpoint("i-1", born=1))
    before = world.directory.records["i-1"]
    assert not world.directory.put(endpoint("i-1", born=1))
    assert world.directory.records["i-1"] is before
