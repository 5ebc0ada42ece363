"""Checks whether endpoints respond to this gateway."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.gateway.forwarding.checks import ANSWER_TTL
from sassafrasdale.green import listen, sleep
from sassafrasdale.http.connections import ProbeResult
from standins.gateway_fleet import wait_for
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


def test_kept_connections_that_have_died_are_dropped():
    """Guards against hedges that are sent on connections that stopped responding."""
    world = World()
    answers = [respond_with(), _silent, respond_with()]
    world.add("i-0", "records", ScriptedEndpoint(*answers))
    record = world.directory.records["i-0"]
    checks = world.links._checks
    assert checks.check(record, is_new=False) is ProbeResult.OPEN
    kept = record.pool.acquire_idle(None)
    record.pool.release(kept)
    sleep(ANSWER_TTL)
    checks.begin([record])
    wait_for(lambda: kept.is_closed, "the connection is kept")
    wait_for(lambda: checks._in_background == 0, "still being checked")
    assert record.pool.acquire_idle(None) is None
    assert checks.check(record, is_new=True) is ProbeResult.OPEN


def test_an_endpoint_that_stalls_keeps_its_connections():
    """Guards against new connections to all endpoints after each stall."""
    world = World()
    endpoint = ScriptedEndpoint(respond_with(), _silent)
    world.add("i-0", "records", endpoint)
    record = world.directory.records["i-0"]
    checks = world.links._checks
    first = record.pool.acquire()
    assert checks.check(record, is_new=True) is ProbeResult.OPEN
    record.pool.release(first)
    sleep(ANSWER_TTL)
    checks.begin([record])
    wait_for(lambda: checks._in_background == 0, "still being checked")
    assert record.pool.acquire_idle(None) is not None


def _silent(sock, _request):
    sock.recv(100)
