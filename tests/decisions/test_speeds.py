"""The time that engines take for a prompt token."""

from datetime import timedelta

from sassafrasdale.decisions.speeds import (
    FIRST_GUESS,
    LEAST_OBSERVATIONS,
    ReadingSpeed,
)

MICROSECOND = timedelta(microseconds=1)
BESIDES = timedelta(milliseconds=25)


def test_a_guess_until_something_is_known():
    speed = ReadingSpeed()
    speed.observe(1000, timedelta(seconds=1))
    assert speed.token_time == FIRST_GUESS


def speed_of(*long: timedelta) -> ReadingSpeed:
    """Return the estimate after short prompts, and long ones that took so long."""
    speed = ReadingSpeed()
    for _ in range(LEAST_OBSERVATIONS):
        speed.observe(100, BESIDES)
    for took in long:
        speed.observe(3000, took)
    return speed


def test_requests_that_waited_for_others_count_little():
    alone = BESIDES + 3000 * 10 * MICROSECOND
    speed = speed_of(*[alone, alone * 5] * 20)
    assert speed.token_time == 10 * MICROSECOND


def test_what_each_request_takes_besides_is_not_reading():
    """Fast engines would look slow, and twice as many of them be ordered.

    A first event comes some steps after the prompt is read, whatever its length.
    """
    speed = speed_of(*[BESIDES + 3000 * 14 * MICROSECOND] * 20)
    assert speed.token_time == 14 * MICROSECOND


def test_a_queue_everywhere_is_not_taken_for_slow_engines():
    """Ever more endpoints would be ordered, for a load that is only an echo.

    All engines are overloaded and every first token waits for seconds.
    """
    alone = BESIDES + 3000 * 10 * MICROSECOND
    speed = speed_of(*[alone] * 20, *[timedelta(seconds=9)] * 200)
    assert speed.token_time <= 12 * MICROSECOND
