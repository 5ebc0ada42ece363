"""When the connections to an endpoint are held to have fallen silent together."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.endpoints.pools import SILENCE_INTERVAL, PoolKeeper
from sassafrasdale.structures import Address


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def pools(clock):
    return PoolKeeper(Address("127.0.0.1", 1), timedelta(seconds=1), clock)


def test_all_calls_of_a_pool_that_answered_are_worth_repeating(pools):
    used = pools.current
    used.answered = True
    assert [pools.lose(used) for _ in range(3)] == [True, True, True]


def test_a_late_loss_leaves_the_fresh_connections_alone(pools):
    used = pools.current
    pools.lose(used)
    fresh = pools.current
    pools.lose(used)
    assert pools.current is fresh


def test_an_endpoint_that_never_answered_is_not_silent(pools):
    assert not pools.lose(pools.current)


def test_an_overloaded_endpoint_is_not_sent_everything_twice(pools, clock):
    """Calls pile up on a slow endpoint, each sent twice.

    It answers some calls in time and loses others, so that each of its pools
    answered before it was dropped.
    """
    worth = []
    for _ in range(6):
        clock.advance(SILENCE_INTERVAL / 5)
        pools.current.answered = True
        worth.append(pools.lose(pools.current))
    assert worth == [True, False, False, False, False, True]
