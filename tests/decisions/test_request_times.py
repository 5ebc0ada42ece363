"""Tests of the mean endpoint time of requests."""

from datetime import timedelta

import pytest

from sassafrasdale.decisions.request_times import (
    AVERAGING_TIME,
    MIN_REQUESTS,
    RequestTimes,
)

SECOND = timedelta(seconds=1)


def test_mean_of_few_requests_is_unknown():
    """Guards against orders that depend on one long request."""
    times = RequestTimes()
    assert times.mean("models", SECOND) is None
    times.observe("models", SECOND, SECOND)
    assert times.mean("models", SECOND) is None


def test_mean_time():
    """Guards against a mean of one service that includes another's requests."""
    times = RequestTimes()
    for _ in range(MIN_REQUESTS):
        times.observe("models", SECOND / 10, SECOND)
        times.observe("models", SECOND / 2, SECOND)
        times.observe("records", 5 * SECOND, SECOND)
    mean = times.mean("models", SECOND)
    assert mean / SECOND == pytest.approx(0.3)


def test_requests_of_long_ago_are_not_used():
    """Guards against the mean of a former mix of requests."""
    times = RequestTimes()
    for _ in range(2 * MIN_REQUESTS):
        times.observe("models", SECOND, SECOND)
    assert times.mean("models", SECOND + 2 * AVERAGING_TIME) is None
