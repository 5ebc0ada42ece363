"""Tests of the concurrency limit and the token bucket."""

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


def test_never_exceeds_the_maximum():
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


def test_slow_responses_revert_only_growth_beyond_the_share():
    """Guards against queues in endpoints that never refuse.

    Every entry grew its limit while responses arrived, and the queues moved into the
    endpoints, where priorities don't apply. Long requests alone must not reduce the
    equal share, though.
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


def test_bucket_keeps_its_rate_and_returns_the_wait():
    bucket = TokenBucket(2.0, burst=SECOND)
    assert [bucket.try_take(SECOND) for _ in range(3)] == [True, True, False]
    assert bucket.wait(SECOND) == SECOND / 2
    assert bucket.try_take(SECOND + bucket.wait(SECOND))
