"""Time that requests have to be allowed for at engines' own queues."""

from datetime import timedelta

from sassafrasdale.decisions.endpoint_delays import (
    MAX_GAP,
    MIN_OBSERVATIONS,
    EndpointDelays,
)

MS = timedelta(milliseconds=1)
LEAST = 200 * MS
OBJECTIVE = 800 * MS
NOW = 100 * MS


def observed(delay: timedelta, number: int = MIN_OBSERVATIONS) -> EndpointDelays:
    """Return what is known after some requests of priority 1 with the same delay."""
    delays = EndpointDelays()
    for _ in range(number):
        delays.observe(1, delay, timedelta())
    return delays


def test_a_longer_delay_of_a_priority_is_allowed_for() -> None:
    """Guards against late requests behind urgent ones at their engines."""
    delays = observed(300 * MS)
    assert delays.expected(1, LEAST, OBJECTIVE, NOW) == 300 * MS
    assert delays.expected(0, LEAST, OBJECTIVE, NOW) == LEAST


def test_too_few_observations_change_nothing() -> None:
    """Guards against a few slow requests that make many others late."""
    delays = observed(300 * MS, MIN_OBSERVATIONS - 1)
    assert delays.expected(1, LEAST, OBJECTIVE, NOW) == LEAST


def test_some_time_is_left_at_slow_engines() -> None:
    """Guards against requests that all count as late while engines are slow."""
    assert observed(5000 * MS).expected(1, LEAST, OBJECTIVE, NOW) == OBJECTIVE / 2


def test_delays_of_an_earlier_load_are_void() -> None:
    """Guards against a rare priority that keeps the delays of a burst."""
    delays = observed(300 * MS)
    later = MAX_GAP + 1 * MS
    assert delays.expected(1, LEAST, OBJECTIVE, later) == LEAST
    delays.observe(1, 300 * MS, later)
    assert delays.expected(1, LEAST, OBJECTIVE, later) == LEAST
