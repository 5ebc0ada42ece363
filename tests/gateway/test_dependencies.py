"""Health of a dependency, derived from failed and successful calls."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.gateway.dependencies import Dependency

SECOND = timedelta(seconds=1)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def recoveries():
    return []


@pytest.fixture
def store(clock, recoveries):
    dependency = Dependency("store", clock, lambda: recoveries.append(clock.elapsed()))
    dependency.succeeded(clock.elapsed())
    return dependency


def test_an_outage_and_its_end(clock, store, recoveries):
    clock.advance(SECOND)
    store.failed(OSError("no answer"), SECOND)
    assert not store.is_reachable
    assert recoveries == []
    clock.advance(SECOND)
    store.succeeded(2 * SECOND)
    assert store.is_reachable
    assert recoveries == [2 * SECOND]
    assert store.since_failure == SECOND


def test_a_call_from_before_the_recovery_is_no_second_outage(clock, store, recoveries):
    """Guards against peers that stop relying on a gateway that follows the store.

    A call is sent during an outage and times out seconds after the store has recovered
    and has responded to a call that was sent later.
    """
    clock.advance(SECOND)
    store.failed(OSError("no answer"), SECOND)
    store.succeeded(3 * SECOND)
    store.failed(OSError("no answer in time"), 2 * SECOND)
    assert store.is_reachable
    assert len(recoveries) == 1


def test_responses_without_an_outage_call_nothing(store, recoveries):
    store.succeeded(SECOND)
    assert recoveries == []
