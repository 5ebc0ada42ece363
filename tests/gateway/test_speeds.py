"""The time that engines take for a prompt token."""

from datetime import timedelta

from sassafrasdale.gateway.speeds import FIRST_GUESS, ReadingSpeed

MICROSECOND = timedelta(microseconds=1)


def test_a_guess_until_something_is_known():
    speed = ReadingSpeed()
    speed.observe(1000, timedelta(seconds=1))
    assert speed.token_time == FIRST_GUESS


def test_requests_that_waited_for_others_count_little():
    speed = ReadingSpeed()
    for number in range(40):
        waited = 5 if number % 2 else 1
        speed.observe(3000, 30_000 * MICROSECOND * waited)
    assert speed.token_time == 10 * MICROSECOND


def test_a_queue_everywhere_is_not_taken_for_slow_engines():
    """Ever more endpoints would be ordered, for a load that is only an echo.

    All engines are overloaded and every first token waits for seconds.
    """
    speed = ReadingSpeed()
    for _ in range(20):
        speed.observe(3000, 30_000 * MICROSECOND)
    for _ in range(200):
        speed.observe(3000, timedelta(seconds=9))
    assert speed.token_time <= 15 * MICROSECOND
