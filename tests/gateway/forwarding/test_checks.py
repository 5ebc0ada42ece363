"""Checks whether endpoints respond to this gateway."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import listen
from tests.gateway.world import ScriptedEndpoint, World, respond_with
from tests.http.wires import LOOPBACK, bound_address

CLOCK = SystemClock()


class CrashedEndpoint:
    """An endpoint whose address refuses connections."""

    def __init__(self) -> None:
        listener = listen(LOOPBACK)
        self.address = bound_address(listener)
        listener.close()


@pytest.fixture
def world():
    """Return a gateway whose endpoints i-0 to i-4 have crashed."""
    world = World()
    for number in range(5):
        world.add(f"i-{number}", "records", CrashedEndpoint())
    # Endpoints are checked in the order of their names.
    world.rng.sample = lambda population, count: list(population)[:count]
    return world


def reaches_others(world: World) -> bool:
    checks = world.links._checks
    return checks.reaches_others(world.directory.records["i-0"], CLOCK.elapsed())


def test_other_endpoints_that_have_crashed_do_not_hide_a_crash(world):
    """Guards against strikes that are lost while several endpoints are down."""
    world.add("i-5", "records", ScriptedEndpoint(respond_with()))
    assert reaches_others(world)


def test_a_gateway_that_reaches_no_endpoint_knows_soon(world):
    began_at = CLOCK.elapsed()
    assert not reaches_others(world)
    assert CLOCK.elapsed() - began_at < timedelta(seconds=0.5)
