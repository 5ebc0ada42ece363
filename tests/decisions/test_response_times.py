"""Endpoints that turn slow for a moment are noticed by their latest responses."""

from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.decisions.response_times import (
    MIN_RESPONSES,
    MIN_SLOWNESS,
    RECENT_TIME,
    RETENTION_TIME,
    ResponseTimes,
)

MS = timedelta(milliseconds=1)
NAMES = ("i-1", "i-2", "i-3")


@pytest.fixture
def times() -> ResponseTimes:
    """Return the times of three endpoints that took 20 to 40 ms so far."""
    rng = Random(1)
    times = ResponseTimes()
    for number in range(60):
        times.observe(NAMES[number % 3], rng.uniform(20, 40) * MS, timedelta())
    return times


def respond(times: ResponseTimes, name: str, count: int, took: float, at: timedelta):
    for _ in range(count):
        times.observe(name, took * MS, at)


def test_a_slow_spell_is_seen_after_a_few_responses(times: ResponseTimes) -> None:
    """Guards against requests that go on to an endpoint in a slow spell."""
    respond(times, "i-1", 4, 75, 50 * MS)
    assert times.slowness(NAMES, 60 * MS)["i-1"] >= 2
    assert set(times.slowness(NAMES, 60 * MS)) == {"i-1"}


def test_the_end_of_a_spell_is_seen(times: ResponseTimes) -> None:
    """Guards against an endpoint that is avoided after its slow spell."""
    respond(times, "i-1", 4, 75, 50 * MS)
    respond(times, "i-1", 3, 30, 200 * MS)
    assert not times.slowness(NAMES, 210 * MS)


def test_an_endpoint_without_responses_is_tried_again(times: ResponseTimes) -> None:
    """Guards against an endpoint that is avoided for good."""
    respond(times, "i-1", 4, 75, 50 * MS)
    assert not times.slowness(NAMES, 51 * MS + RECENT_TIME)


def test_one_long_request_marks_no_endpoint(times: ResponseTimes) -> None:
    """Guards against an endpoint that is avoided for what it was asked."""
    respond(times, "i-1", 1, 400, 50 * MS)
    assert not times.slowness(NAMES, 60 * MS)


def test_usual_variation_marks_no_endpoint(times: ResponseTimes) -> None:
    """Guards against choices that follow the sizes of requests."""
    rng = Random(2)
    for number in range(300):
        at = number * 10 * MS
        times.observe(NAMES[number % 3], rng.uniform(20, 40) * MS, at)
        assert not times.slowness(NAMES, at)


def test_new_endpoints_have_no_usual_time() -> None:
    """Guards against a first response that all others are measured by."""
    times = ResponseTimes()
    respond(times, "i-1", MIN_RESPONSES, 10 * MIN_SLOWNESS, timedelta())
    assert times.usual_time() is None
    assert not times.slowness(NAMES, timedelta())


def test_an_endpoint_that_is_gone_is_forgotten(times: ResponseTimes) -> None:
    """Guards against a name that keeps the times of an earlier endpoint."""
    respond(times, "i-1", 4, 75, 50 * MS)
    times.forget("i-1")
    assert not times.slowness(NAMES, 60 * MS)


def test_an_overload_that_is_over_leaves_no_high_time(times: ResponseTimes) -> None:
    """Guards against requests that are all rejected for what earlier ones took.

    Without requests there are no responses that could correct the estimate.
    """
    respond(times, "i-1", 100, 590, 50 * MS)
    assert times.high_time(60 * MS) == 590 * MS
    later = 700 * MS + RECENT_TIME
    assert times.high_time(later) <= 40 * MS


def test_a_few_responses_after_an_overload_correct_the_high_time(
    times: ResponseTimes,
) -> None:
    """Guards against an estimate that takes a hundred responses to fall."""
    respond(times, "i-1", 100, 590, 50 * MS)
    later = 700 * MS + RECENT_TIME
    respond(times, "i-1", 4, 30, later)
    assert times.high_time(later) == 30 * MS


def test_a_service_that_only_ever_overran_is_tried_again() -> None:
    """Guards against a service that never recovers from a slow start."""
    times = ResponseTimes()
    respond(times, "i-1", 200, 590, timedelta())
    assert times.high_time(MS) == 590 * MS
    assert times.high_time(591 * MS + RETENTION_TIME) is None
