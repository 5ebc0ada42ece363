"""The endpoints that a gateway knows."""

from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.gateway.directory import Directory
from sassafrasdale.gateway.models import Endpoint, EndpointState
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
