"""One gateway's view of a limit that several gateways enforce."""

from datetime import timedelta

from sassafrasdale.decisions.quotas import (
    EXPECTED_TIME,
    STOPPED_TIME,
    UNSEEN_TIME,
    PartOfLimit,
    SharedLimit,
    has_room,
)

SECOND = timedelta(seconds=1)
ZERO = timedelta()


def test_what_a_peer_lets_in_is_taken_out_once():
    """A customer's limit would be counted down twice, and the customer refused."""
    limit = SharedLimit(0.0, ZERO)
    limit.hear("b", 1, 500, ZERO)
    limit.hear("b", 1, 800, ZERO)
    limit.hear("b", 1, 800, STOPPED_TIME * 2)
    assert limit.used(STOPPED_TIME * 4) == 300


def test_a_peer_that_started_anew_counts_from_nothing():
    limit = SharedLimit(0.0, ZERO)
    limit.hear("b", 1, 5000, ZERO)
    limit.hear("b", 2, 40, ZERO)
    assert limit.used(STOPPED_TIME * 2) == 40


def test_a_peer_is_expected_to_go_on_until_it_is_silent():
    """All gateways would spend what one has spent since its last report."""
    limit = SharedLimit(0.0, ZERO)
    limit.hear("b", 1, 0, ZERO)
    limit.hear("b", 1, 1000, SECOND)
    used = [
        limit.used(SECOND + age)
        for age in (ZERO, EXPECTED_TIME / 2, EXPECTED_TIME, EXPECTED_TIME * 2)
    ]
    assert used[0] == 1000
    assert used[0] < used[1] < used[2] == used[3]
    assert limit.used(SECOND + STOPPED_TIME * 2) == 1000


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


def test_a_part_takes_one_request_that_is_larger_than_it():
    part = PartOfLimit(100, ZERO)
    assert part.try_spend(5000)
    assert not part.try_spend(1)
    part.refill(1000, 100, 6 * SECOND)
    assert part.try_spend(1)


def test_what_the_whole_limit_had_room_for_leaves_no_debt_in_a_part():
    part = PartOfLimit(100, ZERO)
    part.drain(5000)
    part.refill(100, 100, ZERO)
    part.refill(100, 100, SECOND)
    assert part.try_spend(1)
