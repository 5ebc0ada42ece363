"""All engines of an entry program stall at once, and go on."""

import time

import pytest

from standins.callers import (
    MODEL,
    Balancer,
    CallerPool,
    recomputed_tokens,
    start_fleet,
)

STREAMS = 24


@pytest.mark.parametrize("seconds", [2.5, 6.0])
def test_generations_outlast_a_stall_of_all_engines(seconds):
    """Guards against generations broken off, or computed anew, in a common stall."""
    with start_fleet(step_ms=40) as fleet, CallerPool(Balancer(fleet.entries)) as crowd:
        crowd.stream(STREAMS, tokens=120)
        crowd.wait_until_running()
        engines = fleet.endpoints_of(MODEL)
        for engine in engines:
            engine.freeze()
        time.sleep(seconds)
        for engine in engines:
            engine.thaw()
        assert crowd.faults() == []
        assert recomputed_tokens(fleet) == 0


@pytest.mark.parametrize("seconds", [2.5, 6.0])
def test_generations_that_begin_in_a_stall_of_all_engines(seconds):
    """Guards against new generations broken off, or sent from engine to engine."""
    with start_fleet(step_ms=40) as fleet, CallerPool(Balancer(fleet.entries)) as crowd:
        engines = fleet.endpoints_of(MODEL)
        for engine in engines:
            engine.freeze()
        crowd.stream(STREAMS, tokens=40)
        time.sleep(seconds)
        for engine in engines:
            engine.thaw()
        assert crowd.faults() == []
        assert recomputed_tokens(fleet) == 0
