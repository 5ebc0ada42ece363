"""One gateway's view of a limit that several gateways enforce."""

from datetime import timedelta

import pytest

from sassafrasdale.decisions.aggregators import FRESH, LIFETIME
from sassafrasdale.decisions.quotas import (
    SHORTEST_RETURN,
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


def test_what_a_group_lets_in_is_taken_out_once():
    """A customer's limit would be counted down twice, and the customer refused."""
    limit = SharedLimit(0.0, ZERO)
    limit.hear(counter(("b", 1, 0)), 500, ZERO)
    limit.hear(counter(("b", 1, 0)), 800, ZERO)
    limit.hear(counter(("b", 1, 0)), 800, LIFETIME * 2)
    assert limit.used(LIFETIME * 4) == 300


def test_an_aggregator_that_started_anew_counts_from_nothing():
    limit = SharedLimit(0.0, ZERO)
    limit.hear(counter(("b", 1, 0)), 5000, ZERO)
    limit.hear(counter(("b", 2, 0), SECOND), 40, SECOND)
    assert limit.used(LIFETIME * 2) == 40


def test_a_group_is_expected_to_go_on_until_it_is_silent():
    """All gateways would spend what one has spent since its last report."""
    limit = SharedLimit(0.0, ZERO)
    limit.hear(counter(("b", 1, 0)), 0, ZERO)
    limit.hear(counter(("b", 1, 0)), 1000, SECOND)
    used = [limit.used(SECOND + age) for age in (ZERO, FRESH / 2, FRESH, FRESH * 2)]
    assert used[0] == 1000
    assert used[0] < used[1] < used[2] == used[3]
    assert limit.used(SECOND + LIFETIME * 2) == 1000


def test_a_limit_fills_up_with_time():
    limit = SharedLimit(900.0, ZERO)
    limit.refill(100, ZERO)
    assert limit.used(4 * SECOND) == 500
    assert limit.used(60 * SECOND) == 0


def test_what_was_let_in_is_unseen_for_as_long_as_news_takes():
    limit = SharedLimit(0.0, ZERO)
    limit.spend(300, ZERO)
    assert limit.unseen(UNSEEN_TIME / 2) == 300
    assert limit.unseen(UNSEEN_TIME * 2) == 0


def test_room_is_what_others_may_not_have_spent_meanwhile():
    assert has_room(left=10_000, demand=1000, share=0.25, unseen=0)
    assert not has_room(left=10_000, demand=50_000, share=0.25, unseen=0)
    assert not has_room(left=10_000, demand=1000, share=0.25, unseen=3000)
    assert not has_room(left=-5, demand=0, share=1, unseen=0)


def test_another_aggregator_of_a_zone_counts_from_nothing():
    """What a zone spends while its aggregator changes would be a customer's twice."""
    limit = SharedLimit(0.0, ZERO)
    limit.hear(counter(("b", 1, 0)), 5000, ZERO)
    limit.hear(counter(("c", 1, 0), SECOND), 70, 2 * SECOND)
    assert limit.used(LIFETIME * 2) == 70


def test_an_aggregator_that_has_counted_for_long_is_no_news():
    """A customer far within its limit would be refused for seconds.

    Two gateways sum up a zone, as one of them was cut off or restarted. A gateway hears
    now one, now the other; the second has counted for a minute.
    """
    limit = SharedLimit(0.0, ZERO)
    limit.hear(counter(("b", 1, 0)), 5000, 60 * SECOND)
    limit.hear(counter(("c", 1, 0)), 190_000, 61 * SECOND)
    limit.hear(counter(("c", 1, 0)), 190_070, 62 * SECOND)
    assert limit.used(70 * SECOND) == 70


def test_what_was_given_back_is_given_back_everywhere():
    """A refused request's tokens would be missing from a limit at all others."""
    limit = SharedLimit(0.0, ZERO)
    limit.hear(counter(("b", 1, 0)), 0, ZERO)
    limit.hear(counter(("b", 1, 0)), 900, ZERO)
    limit.hear(counter(("b", 1, 0)), 100, ZERO)
    assert limit.used(LIFETIME * 2) == 100


def test_near_a_limit_as_much_is_let_in_as_fills_up():
    assert passing_part(left=0, rate=100, demand=400) == 0.25
    assert passing_part(left=0, rate=100, demand=50) == 1
    assert passing_part(left=-1000, rate=100, demand=50) == 0
    over = SPREAD.total_seconds() * 100
    assert passing_part(left=over, rate=100, demand=400) == 0.5


@pytest.mark.parametrize("part", [0.0, 0.1, 0.37, 1.0])
def test_a_part_of_the_requests_is_let_in_evenly(part):
    """Two hundred gateways that each let their first request in let in too many."""
    gateways = [Thinning(number / 100 + 0.005) for number in range(100)]
    first = sum(thinning.lets_in(part) for thinning in gateways)
    later = sum(thinning.lets_in(part) for thinning in gateways for _ in range(99))
    assert abs(first - 100 * part) <= 1
    assert abs(first + later - 10_000 * part) <= 100


def test_refused_callers_come_back_when_it_may_help():
    second = timedelta(seconds=1)
    assert time_to_return(left=0, rate=100, demand=50) == SHORTEST_RETURN
    assert time_to_return(left=-300, rate=100, demand=50) == 3 * second
    assert time_to_return(left=0, rate=100, demand=300) == 2 * second
    assert time_to_return(left=-1e9, rate=1, demand=0) == 10 * second


def test_a_rise_shows_before_the_average_does():
    """Each gateway that a rise comes to would let in the whole rate by itself."""
    limit = SharedLimit(0.0, ZERO)
    for step in range(4):
        limit.ask(100, SECOND * step / 10)
    now = SECOND * 3 / 10
    assert limit.unseen_rise(now, UNSEEN_TIME, 50.0) == pytest.approx(950.0)
    assert limit.unseen_rise(now + SECOND, UNSEEN_TIME, 50.0) == 0.0


def test_while_a_limit_is_used_up_little_is_let_in_unseen():
    """Each of many gateways would let in as much as fills up for all of them."""
    assert fits_unseen(amount=100, unseen=100, filling=250)
    assert not fits_unseen(amount=100, unseen=200, filling=250)
    assert fits_unseen(amount=9000, unseen=0, filling=250)
    assert not fits_unseen(amount=9000, unseen=1, filling=250)


def test_a_clump_is_no_rise():
    """A customer at half of its limit would be refused for three prompts at once."""
    limit = SharedLimit(0.0, ZERO)
    for step in range(3):
        limit.ask(2000, SECOND * step / 1000)
    rise = limit.unseen_rise(SECOND / 500, SECOND / 2, 3000.0)
    assert rise == pytest.approx(21_000, rel=0.001)


def test_one_large_request_is_no_rise():
    limit = SharedLimit(0.0, ZERO)
    for size in (100, 50_000, 100):
        limit.ask(size, SECOND / 10)
    now = SECOND / 10 + UNSEEN_TIME / 2
    assert limit.unseen_rise(now, UNSEEN_TIME, 25_000.0) == 0.0
