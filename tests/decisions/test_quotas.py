"""Tests of one gateway's view of a limit that several gateways enforce."""

from datetime import timedelta

import pytest

from sassafrasdale.decisions.aggregators import FRESH, LIFETIME
from sassafrasdale.decisions.quotas import (
    MIN_RETRY_AFTER,
    SPREAD,
    UNSEEN_TIME,
    SharedLimit,
    SpendingCounter,
    Thinning,
    fits_unseen,
    has_room,
    passing_part,
    time_to_return,
)

SECOND = timedelta(seconds=1)
ZERO = timedelta()


def counter(key, began_at=ZERO):
    return SpendingCounter("z", key, began_at)


def test_group_usage_is_subtracted_once():
    """Guards against refusing a customer whose usage is subtracted twice."""
    limit = SharedLimit(0.0, ZERO)
    limit.hear(counter(("b", 1, 0)), 500, ZERO)
    limit.hear(counter(("b", 1, 0)), 800, ZERO)
    limit.hear(counter(("b", 1, 0)), 800, LIFETIME * 2)
    assert limit.used(LIFETIME * 4) == 300


def test_restarted_aggregator_counts_from_zero():
    limit = SharedLimit(0.0, ZERO)
    limit.hear(counter(("b", 1, 0)), 5000, ZERO)
    limit.hear(counter(("b", 2, 0), SECOND), 40, SECOND)
    assert limit.used(LIFETIME * 2) == 40


def test_group_rate_is_extrapolated_until_contact_is_lost():
    """Guards against gateways that all use what one has used since its report."""
    limit = SharedLimit(0.0, ZERO)
    limit.hear(counter(("b", 1, 0)), 0, ZERO)
    limit.hear(counter(("b", 1, 0)), 1000, SECOND)
    used = [limit.used(SECOND + age) for age in (ZERO, FRESH / 2, FRESH, FRESH * 2)]
    assert used[0] == 1000
    assert used[0] < used[1] < used[2] == used[3]
    assert limit.used(SECOND + LIFETIME * 2) == 1000


def test_limit_is_refilled_over_time():
    limit = SharedLimit(900.0, ZERO)
    limit.refill(100, ZERO)
    assert limit.used(4 * SECOND) == 500
    assert limit.used(60 * SECOND) == 0


def test_usage_is_unreported_for_the_propagation_time():
    limit = SharedLimit(0.0, ZERO)
    limit.spend(300, ZERO)
    assert limit.unseen(UNSEEN_TIME / 2) == 300
    assert limit.unseen(UNSEEN_TIME * 2) == 0


def test_headroom_excludes_unreported_usage_of_others():
    assert has_room(remaining=10_000, demand=1000, share=0.25, unreported=0)
    assert not has_room(remaining=10_000, demand=50_000, share=0.25, unreported=0)
    assert not has_room(remaining=10_000, demand=1000, share=0.25, unreported=3000)
    assert not has_room(remaining=-5, demand=0, share=1, unreported=0)


def test_new_aggregator_of_a_zone_counts_from_zero():
    """Guards against usage that is lost while a zone's aggregator changes."""
    limit = SharedLimit(0.0, ZERO)
    limit.hear(counter(("b", 1, 0)), 5000, ZERO)
    limit.hear(counter(("c", 1, 0), SECOND), 70, 2 * SECOND)
    assert limit.used(LIFETIME * 2) == 70


def test_total_of_an_older_aggregator_is_not_new_usage():
    """Guards against refusing a customer far below its limit for seconds.

    Two gateways aggregate a zone after one of them was partitioned or restarted. A
    gateway gets reports of either; the second has counted for a minute already.
    """
    limit = SharedLimit(0.0, ZERO)
    limit.hear(counter(("b", 1, 0)), 5000, 60 * SECOND)
    limit.hear(counter(("c", 1, 0)), 190_000, 61 * SECOND)
    limit.hear(counter(("c", 1, 0)), 190_070, 62 * SECOND)
    assert limit.used(70 * SECOND) == 70


def test_returned_tokens_are_returned_at_all_gateways():
    """Guards against a refused request's tokens missing from the limit elsewhere."""
    limit = SharedLimit(0.0, ZERO)
    limit.hear(counter(("b", 1, 0)), 0, ZERO)
    limit.hear(counter(("b", 1, 0)), 900, ZERO)
    limit.hear(counter(("b", 1, 0)), 100, ZERO)
    assert limit.used(LIFETIME * 2) == 100


def test_near_the_limit_the_refill_is_admitted():
    assert passing_part(remaining=0, rate=100, demand=400) == 0.25
    assert passing_part(remaining=0, rate=100, demand=50) == 1
    assert passing_part(remaining=-1000, rate=100, demand=50) == 0
    over = SPREAD.total_seconds() * 100
    assert passing_part(remaining=over, rate=100, demand=400) == 0.5


@pytest.mark.parametrize("fraction", [0.0, 0.1, 0.37, 1.0])
def test_admitted_fraction_is_evenly_distributed(fraction):
    """Guards against two hundred gateways that each admit their first request."""
    gateways = [Thinning(number / 100 + 0.005) for number in range(100)]
    first = sum(thinner.lets_in(fraction) for thinner in gateways)
    later = sum(thinner.lets_in(fraction) for thinner in gateways for _ in range(99))
    assert abs(first - 100 * fraction) <= 1
    assert abs(first + later - 10_000 * fraction) <= 100


def test_retry_after_covers_overdraft_and_excess_demand():
    second = timedelta(seconds=1)
    assert time_to_return(remaining=0, rate=100, demand=50) == MIN_RETRY_AFTER
    assert time_to_return(remaining=-300, rate=100, demand=50) == 3 * second
    assert time_to_return(remaining=0, rate=100, demand=300) == 2 * second
    assert time_to_return(remaining=-1e9, rate=1, demand=0) == 10 * second


def test_surge_shows_before_the_average_does():
    """Guards against each gateway that a surge reaches admitting the whole rate."""
    limit = SharedLimit(0.0, ZERO)
    for step in range(4):
        limit.ask(100, SECOND * step / 10)
    now = SECOND * 3 / 10
    assert limit.unseen_rise(now, UNSEEN_TIME, 50.0) == pytest.approx(950.0)
    assert limit.unseen_rise(now + SECOND, UNSEEN_TIME, 50.0) == 0.0


def test_exhausted_limit_admits_little_unreported_usage():
    """Guards against each gateway admitting the refill of all of them."""
    assert fits_unseen(amount=100, unreported=100, refill=250)
    assert not fits_unseen(amount=100, unreported=200, refill=250)
    assert fits_unseen(amount=9000, unreported=0, refill=250)
    assert not fits_unseen(amount=9000, unreported=1, refill=250)


def test_burst_is_not_a_surge():
    """Guards against refusing a customer at half its limit for a burst of three."""
    limit = SharedLimit(0.0, ZERO)
    for step in range(3):
        limit.ask(2000, SECOND * step / 1000)
    rise = limit.unseen_rise(SECOND / 500, SECOND / 2, 3000.0)
    assert rise == pytest.approx(21_000, rel=0.001)


def test_one_large_request_is_not_a_surge():
    limit = SharedLimit(0.0, ZERO)
    for size in (100, 50_000, 100):
        limit.ask(size, SECOND / 10)
    now = SECOND / 10 + UNSEEN_TIME / 2
    assert limit.unseen_rise(now, UNSEEN_TIME, 25_000.0) == 0.0
