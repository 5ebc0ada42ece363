"""Endpoints that ask a gateway for rest."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.gateway.rests import MAX_REST, Rests
from tests.gateway.fleets import count_nothing

SECOND = timedelta(seconds=1)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def rests(clock: ManualClock) -> Rests:
    return Rests(clock, count_nothing)


def test_a_rest_ends_by_itself(rests, clock):
    rests.begin("i-1", 3 * SECOND)
    clock.advance(2 * SECOND)
    assert rests.is_resting("i-1")
    assert rests.time_left("i-1") == SECOND
    clock.advance(SECOND)
    assert not rests.is_resting("i-1")


def test_a_shorter_rest_does_not_end_a_longer_one(rests, clock):
    rests.begin("i-1", 3 * SECOND)
    clock.advance(SECOND)
    rests.begin("i-1", SECOND)
    assert rests.time_left("i-1") == 2 * SECOND


def test_a_rest_of_a_year_is_cut_short(rests):
    """Guards against one bad value that ends a service for good."""
    rests.begin("i-1", timedelta(days=365))
    assert rests.time_left("i-1") == MAX_REST


def test_a_restarted_endpoint_does_not_rest(rests):
    rests.begin("i-1", 3 * SECOND)
    rests.end("i-1")
    assert not rests.is_resting("i-1")


def test_ended_rests_are_forgotten(rests, clock):
    rests.begin("i-1", SECOND)
    clock.advance(2 * SECOND)
    rests.remove_ended()
    assert rests.time_left("i-1") == timedelta()
