"""Prefill times per token, measured here and reported by others."""

from datetime import timedelta

import pytest

from sassafrasdale.decisions.prefill_speeds import (
    INITIAL_TOKEN_TIME,
    MIN_OBSERVATIONS,
    MIN_TOKEN_TIME,
)
from sassafrasdale.gateway.prefill_times import PrefillTimes

MILLISECOND = timedelta(milliseconds=1)


def measured(reported=()):
    times = PrefillTimes(lambda service: list(reported))
    for _ in range(MIN_OBSERVATIONS):
        times.observe("models", 100, 10 * MILLISECOND)
        times.observe("models", 5000, 110 * MILLISECOND)
    return times


def test_without_measurements_it_is_an_estimate():
    times = PrefillTimes(lambda service: [])
    assert times.token_time("models") == INITIAL_TOKEN_TIME
    assert times.measured() == {}


def test_a_new_gateway_uses_reported_times():
    """Guards against ordering two engines instead of three on a guess.

    A gateway has no measurement of its own until it has seen eight long prompts.
    """
    times = PrefillTimes(lambda service: [2e-5, 3e-5])
    assert times.token_time("models") == timedelta(seconds=2.5e-5)


def test_own_measurements_count_with_reported_ones():
    assert measured().measured()["models"] == pytest.approx(2e-5)
    assert measured([4e-5]).token_time("models") == timedelta(seconds=3e-5)


def test_a_time_of_zero_is_rejected():
    """Guards against a prefill time of zero, by which queue lengths are divided.

    All streams of a site would end with an internal error, for good. Engines respond to
    long prompts with errors within a millisecond, or a gateway reports a time of zero.
    """
    assert PrefillTimes(lambda service: [0.0]).token_time("models") == MIN_TOKEN_TIME
    times = PrefillTimes(lambda service: [])
    for _ in range(MIN_OBSERVATIONS):
        times.observe("models", 100, timedelta())
        times.observe("models", 5000, timedelta())
    assert times.token_time("models") >= MIN_TOKEN_TIME
