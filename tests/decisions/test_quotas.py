"""Tests of one gateway's view of a limit that several gateways enforce."""

from datetime import timedelta

import pytest

from sassafrasdale.decisions.aggregators import CONTACT_TIMEOUT, EXPIRY_TIMEOUT
from sassafrasdale.decisions.quotas import (
    CORRECTION_TIME,
    MIN_RETRY_AFTER,
    PROPAGATION_TIME,
    SharedLimit,
    UsageCounterId,
    admitted_fraction,
    fits_unreported,
    has_headroom,
    retry_after,
)

SECOND = timedelta(seconds=1)
ZERO = timedelta()


def counter(key, began_at=ZERO):
    return UsageCounterId("z", key, began_at)


def test_group_usage_is_subtracted_once():
    """Guards against refusing a customer whose usage is subtracted twice."""
    limit = SharedLimit(0.0, ZERO)
    limit.add_group_report(counter(("b", 1, 0)), 500, ZERO)
    limit.add_group_report(counter(("b", 1, 0)), 800, ZERO)
    limit.add_group_report(counter(("b", 1, 0)), 800, EXPIRY_TIMEOUT * 2)
    assert limit.used(EXPIRY_TIMEOUT * 4) == 300


def test_restarted_aggregator_counts_from_zero():
    limit = SharedLimit(0.0, ZERO)
    limit.add_group_report(counter(("b", 1, 0)), 5000, ZERO)
    limit.add_group_report(counter(("b", 2, 0), SECOND), 40, SECOND)
    assert limit.used(EXPIRY_TIMEOUT * 2) == 40


def test_group_rate_is_extrapolated_until_contact_is_lost():
    """Guards against gateways that all use what one has used since its report."""
    limit = SharedLimit(0.0, ZERO)
    limit.add_group_report(counter(("b", 1, 0)), 0, ZERO)
    limit.add_group_report(counter(("b", 1, 0)), 1000, SECOND)
    used = [
        limit.used(SECOND + age)
        for age in (ZERO, CONTACT_TIMEOUT / 2, CONTACT_TIMEOUT, CONTACT_TIMEOUT * 2)
    ]
    assert used[0] == 1000
    assert used[0] < used[1] < used[2] == used[3]
    assert limit.used(SECOND + EXPIRY_TIMEOUT * 2) == 1000


def test_limit_is_refilled_over_time():
    limit = SharedLimit(900.0, ZERO)
    limit.refill(100, ZERO)
    assert limit.used(4 * SECOND) == 500
    assert limit.used(60 * SECOND) == 0


def test_usage_is_unreported_for_the_propagation_time():
    limit = SharedLimit(0.0, ZERO)
    limit.record_admitted(300, ZERO)
    assert limit.unreported(PROPAGATION_TIME / 2) == 300
    assert limit.unreported(PROPAGATION_TIME * 2) == 0


def test_headroom_excludes_unreported_usage_of_others():
    assert has_headroom(remaining=10_000, demand=1000, share=0.25, unreported=0)
    assert not has_headroom(remaining=10_000, demand=50_000, share=0.25, unreported=0)
    assert not has_headroom(remaining=10_000, demand=1000, share=0.25, unreported=3000)
    assert not has_headroom(remaining=-5, demand=0, share=1, unreported=0)


def test_new_aggregator_of_a_zone_counts_from_zero():
    """Guards against usage that is lost while a zone's aggregator changes."""
    limit = SharedLimit(0.0, ZERO)
    limit.add_group_report(counter(("b", 1, 0)), 5000, ZERO)
    limit.add_group_report(counter(("c", 1, 0), SECOND), 70, 2 * SECOND)
    assert limit.used(EXPIRY_TIMEOUT * 2) == 70


def test_total_of_an_older_aggregator_is_not_new_usage():
    """Guards against refusing a customer far below its limit for seconds.

    Two gateways aggregate a zone after one of them was partitioned or restarted. A
    gateway gets reports of either; the second has counted for a minute already.
    """
    limit = SharedLimit(0.0, ZERO)
    limit.add_group_report(counter(("b", 1, 0)), 5000, 60 * SECOND)
    limit.add_group_report(counter(("c", 1, 0)), 190_000, 61 * SECOND)
    limit.add_group_report(counter(("c", 1, 0)), 190_070, 62 * SECOND)
    assert limit.used(70 * SECOND) == 70


def test_returned_tokens_are_returned_at_all_gateways():
    """Guards against a refused request's tokens missing from the limit elsewhere."""
    limit = SharedLimit(0.0, ZERO)
    limit.add_group_report(counter(("b", 1, 0)), 0, ZERO)
    limit.add_group_report(counter(("b", 1, 0)), 900, ZERO)
    limit.add_group_report(counter(("b", 1, 0)), 100, ZERO)
    assert limit.used(EXPIRY_TIMEOUT * 2) == 100


def test_near_the_limit_the_refill_is_admitted():
    assert admitted_fraction(remaining=0, rate=100, demand=400) == 0.25
    assert admitted_fraction(remaining=0, rate=100, demand=50) == 1
    assert admitted_fraction(remaining=-1000, rate=100, demand=50) == 0
    over = CORRECTION_TIME.total_seconds() * 100
    assert admitted_fraction(remaining=over, rate=100, demand=400) == 0.5


def test_retry_after_covers_overdraft_and_excess_demand():
    second = timedelta(seconds=1)
    assert retry_after(remaining=0, rate=100, demand=50) == MIN_RETRY_AFTER
    assert retry_after(remaining=-300, rate=100, demand=50) == 3 * second
    assert retry_after(remaining=0, rate=100, demand=300) == 2 * second
    assert retry_after(remaining=-1e9, rate=1, demand=0) == 10 * second


def test_surge_shows_before_the_average_does():
    """Guards against each gateway that a surge reaches admitting the whole rate."""
    limit = SharedLimit(0.0, ZERO)
    for step in range(4):
        limit.record_request(100, SECOND * step / 10)
    now = SECOND * 3 / 10
    assert limit.surge(now, PROPAGATION_TIME, 50.0) == pytest.approx(950.0)
    assert limit.surge(now + SECOND, PROPAGATION_TIME, 50.0) == 0.0


def test_exhausted_limit_admits_little_unreported_usage():
    """Guards against each gateway admitting the refill of all of them."""
    assert fits_unreported(amount=100, unreported=100, refill=250)
    assert not fits_unreported(amount=100, unreported=200, refill=250)
    assert fits_unreported(amount=9000, unreported=0, refill=250)
    assert not fits_unreported(amount=9000, unreported=1, refill=250)


def test_burst_is_averaged_over_a_minimum_duration():
    """Guards against refusing a customer at half its limit for a burst of three.

    Over its own duration of two milliseconds the burst would be a large surge.
    """
    limit = SharedLimit(0.0, ZERO)
    for step in range(3):
        limit.record_request(2000, SECOND * step / 1000)
    surge = limit.surge(SECOND / 500, SECOND / 2, 3000.0)
    assert surge == pytest.approx(21_000, rel=0.001)


def test_one_large_request_is_not_a_surge():
    limit = SharedLimit(0.0, ZERO)
    for size in (100, 50_000, 100):
        limit.record_request(size, SECOND / 10)
    now = SECOND / 10 + PROPAGATION_TIME / 2
    assert limit.surge(now, PROPAGATION_TIME, 25_000.0) == 0.0
