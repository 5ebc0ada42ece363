"""Health of a dependency, derived from failed and answered calls."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.gateway.dependencies import Dependency

SECOND = timedelta(seconds=1)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def regained():
    return []


@pytest.fixture
def store(clock, regained):
    dependency = Dependency("store", clock, lambda: regained.append(clock.elapsed()))
    dependency.succeeded(clock.elapsed())
    return dependency


def test_an_outage_and_its_end(clock, store, regained):
    clock.advance(SECOND)
    store.failed(OSError("no answer"), SECOND)
    assert not store.is_reached
    assert regained == []
    clock.advance(SECOND)
    store.succeeded(2 * SECOND)
    assert store.is_reached
    assert regained == [2 * SECOND]
    assert store.since_failure == SECOND


def test_a_call_from_before_the_recovery_is_no_second_outage(clock, store, regained):
    """Guards against peers that stop relying on a gateway that follows the store.

    A call is sent during an outage and times out seconds after the store has recovered
    and has answered a call that was sent later.
    """
    clock.advance(SECOND)
    store.failed(OSError("no answer"), SECOND)
    store.succeeded(3 * SECOND)
    store.failed(OSError("no answer in time"), 2 * SECOND)
    assert store.is_reached
    assert len(regained) == 1


def test_answers_without_an_outage_call_nothing(store, regained):
    store.succeeded(SECOND)
    assert regained == []
