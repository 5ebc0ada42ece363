"""Time that requests have to be allowed for at engines' own queues."""

from datetime import timedelta

from sassafrasdale.decisions.endpoint_delays import MIN_OBSERVATIONS, EndpointDelays

MS = timedelta(milliseconds=1)
LEAST = 200 * MS
OBJECTIVE = 800 * MS


def observed(delay: timedelta, number: int = MIN_OBSERVATIONS) -> EndpointDelays:
    """Return what is known after some requests of priority 1 with the same delay."""
    delays = EndpointDelays()
    for _ in range(number):
        delays.observe(1, delay)
    return delays


def test_a_longer_delay_of_a_priority_is_allowed_for() -> None:
    """Guards against late requests behind urgent ones at their engines."""
    delays = observed(300 * MS)
    assert delays.expected(1, LEAST, OBJECTIVE) == 300 * MS
    assert delays.expected(0, LEAST, OBJECTIVE) == LEAST


def test_one_slow_response_changes_nothing() -> None:
    delays = observed(300 * MS, MIN_OBSERVATIONS - 1)
    assert delays.expected(1, LEAST, OBJECTIVE) == LEAST


def test_some_time_is_left_at_slow_engines() -> None:
    """Guards against requests that all count as late while engines are slow."""
    assert observed(5000 * MS).expected(1, LEAST, OBJECTIVE) == OBJECTIVE / 2
