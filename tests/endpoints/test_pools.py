"""Tests of when connections to an endpoint are considered unresponsive together."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.endpoints.pools import UNRESPONSIVE_INTERVAL, ReplaceablePool
from sassafrasdale.structures import Address


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def pools(clock):
    return ReplaceablePool(Address("127.0.0.1", 1), timedelta(seconds=1), clock)


def test_all_calls_of_a_pool_with_responses_are_retried(pools):
    used = pools.current
    used.has_responded = True
    assert [pools.record_lost_response(used) for _ in range(3)] == [True, True, True]


def test_a_late_loss_keeps_the_fresh_connections(pools):
    used = pools.current
    pools.record_lost_response(used)
    fresh = pools.current
    pools.record_lost_response(used)
    assert pools.current is fresh


def test_an_endpoint_without_responses_is_not_retried(pools):
    assert not pools.record_lost_response(pools.current)


def test_an_overloaded_endpoint_does_not_get_every_call_twice(pools, clock):
    """Calls accumulate on a slow endpoint, each sent twice.

    It responds to some calls in time and not to others, so each of its pools has had a
    response before it is replaced.
    """
    retried = []
    for _ in range(6):
        clock.advance(UNRESPONSIVE_INTERVAL / 5)
        pools.current.has_responded = True
        retried.append(pools.record_lost_response(pools.current))
    assert retried == [True, False, False, False, False, True]
