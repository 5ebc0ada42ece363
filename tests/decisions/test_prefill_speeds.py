"""Tests of the estimated prefill time per token."""

from datetime import timedelta

from sassafrasdale.decisions.prefill_speeds import (
    INITIAL_TOKEN_TIME,
    MIN_OBSERVATIONS,
    PrefillSpeed,
)

MICROSECOND = timedelta(microseconds=1)
OVERHEAD = timedelta(milliseconds=25)


def test_initial_estimate_without_observations():
    speed = PrefillSpeed()
    speed.observe(1000, timedelta(seconds=1))
    assert speed.token_time == INITIAL_TOKEN_TIME


def speed_of(*long: timedelta) -> PrefillSpeed:
    """Return the estimate after short prompts, and long ones with these times."""
    speed = PrefillSpeed()
    for _ in range(MIN_OBSERVATIONS):
        speed.observe(100, OVERHEAD)
    for took in long:
        speed.observe(3000, took)
    return speed


def test_requests_that_waited_for_others_do_not_raise_the_estimate():
    alone = OVERHEAD + 3000 * 10 * MICROSECOND
    speed = speed_of(*[alone, alone * 5] * 20)
    assert speed.token_time == 10 * MICROSECOND


def test_overhead_is_not_counted_as_prefill():
    """Guards against fast engines that seem slow, so that twice as many are ordered.

    A first event comes some steps after the prefill, whatever its length.
    """
    speed = speed_of(*[OVERHEAD + 3000 * 14 * MICROSECOND] * 20)
    assert speed.token_time == 14 * MICROSECOND


def test_queues_at_all_engines_do_not_look_like_slow_engines():
    """Guards against ordering ever more endpoints due to a feedback loop.

    All engines are overloaded, and every first token waits for seconds.
    """
    alone = OVERHEAD + 3000 * 10 * MICROSECOND
    speed = speed_of(*[alone] * 20, *[timedelta(seconds=9)] * 200)
    assert speed.token_time <= 12 * MICROSECOND
