"""Tests of the limits."""

from datetime import timedelta

from sassafrasdale.decisions.limits import ConcurrencyLimit, LimitSettings, TokenBucket

SECOND = timedelta(seconds=1)


def succeed(limit: ConcurrencyLimit, count: int, latency: timedelta = SECOND) -> None:
    for _ in range(count):
        limit.on_success(limit.value - 1, latency)


def test_starts_at_the_even_share():
    assert ConcurrencyLimit(48, 6).value == 8


def test_grows_only_while_in_use():
    limit = ConcurrencyLimit(48, 6)
    for _ in range(50):
        limit.on_success(1, SECOND)
    assert limit.value == 8
    succeed(limit, 50)
    assert limit.value > 8


def test_never_exceeds_what_may_be_borrowed():
    limit = ConcurrencyLimit(48, 6, LimitSettings(borrow=2.0))
    succeed(limit, 1000)
    assert limit.value == 16


def test_refusals_within_the_cooldown_count_once():
    limit = ConcurrencyLimit(48, 6)
    limit.on_refusal(SECOND)
    limit.on_refusal(SECOND)
    once = limit.value
    limit.on_refusal(2 * SECOND)
    assert limit.value < once < 8


def test_slow_answers_take_back_only_what_was_borrowed():
    """Requests wait at endpoints that never refuse, past the reach of priorities.

    Every entry grew its limit while answers came; the queues moved into the
    endpoints. Long work alone must not cut into the even share, though.
    """
    limit = ConcurrencyLimit(48, 6)
    succeed(limit, 200)
    grown = limit.value
    for _ in range(400):
        limit.on_success(0, 3 * SECOND)
    assert grown > limit.value >= 8


def test_new_share_keeps_the_learned_ratio():
    limit = ConcurrencyLimit(48, 6)
    succeed(limit, 1000)
    limit.set_share(24, 6)
    assert limit.value == 16


def test_bucket_gives_its_rate_and_says_when():
    bucket = TokenBucket(2.0, burst=SECOND)
    assert [bucket.try_take(SECOND) for _ in range(3)] == [True, True, False]
    assert bucket.wait(SECOND) == SECOND / 2
    assert bucket.try_take(SECOND + bucket.wait(SECOND))
