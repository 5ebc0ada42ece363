"""Times for a prompt token, seen here and told by others."""

from datetime import timedelta

import pytest

from sassafrasdale.decisions.speeds import (
    FASTEST,
    FIRST_GUESS,
    LEAST_OBSERVATIONS,
)
from sassafrasdale.gateway.reading import ReadingTimes

MILLISECOND = timedelta(milliseconds=1)


def seen(told=()):
    reading = ReadingTimes(lambda service: list(told))
    for _ in range(LEAST_OBSERVATIONS):
        reading.observe("models", 100, 10 * MILLISECOND)
        reading.observe("models", 5000, 110 * MILLISECOND)
    return reading


def test_without_any_sight_it_is_a_guess():
    reading = ReadingTimes(lambda service: [])
    assert reading.token_time("models") == FIRST_GUESS
    assert reading.seen() == {}


def test_a_gateway_that_has_just_started_goes_by_what_others_have_seen():
    """It would order two engines for three, until it has seen eight long prompts."""
    reading = ReadingTimes(lambda service: [2e-5, 3e-5])
    assert reading.token_time("models") == timedelta(seconds=2.5e-5)


def test_what_was_seen_here_counts_with_the_others():
    assert seen().seen()["models"] == pytest.approx(2e-5)
    assert seen([4e-5]).token_time("models") == timedelta(seconds=3e-5)


def test_a_time_of_nothing_is_not_believed():
    """All streams of a site would end with an internal error, for good.

    Engines answer long prompts with failures of their own within a millisecond, or a
    gateway tells a time of nothing. What is queued is divided by that time.
    """
    assert ReadingTimes(lambda service: [0.0]).token_time("models") == FASTEST
    reading = ReadingTimes(lambda service: [])
    for _ in range(LEAST_OBSERVATIONS):
        reading.observe("models", 100, timedelta())
        reading.observe("models", 5000, timedelta())
    assert reading.token_time("models") >= FASTEST
