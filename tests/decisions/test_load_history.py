"""Tests of the observed variation of a load."""

from datetime import timedelta
from math import inf, nan, pi, sin

import pytest

from sassafrasdale.decisions.load_history import (
    HISTORY_TIME,
    MAX_GROWTH,
    MIN_HISTORY_TIME,
    LoadHistory,
)

SECOND = timedelta(seconds=1)
START_TIME = 4 * SECOND
STEP = SECOND / 4


def observed(load, duration):
    """Return the history of a load, a function of seconds, and its variation."""
    history = LoadHistory()
    now = timedelta()
    while now < duration:
        now += STEP
        history.observe(load(now / SECOND), now)
    return history.variation(START_TIME, now)


def test_variation_is_unknown_at_first():
    """Guards against endpoints released before the load has shown its variation."""
    assert LoadHistory().variation(START_TIME, SECOND) is None
    assert observed(lambda t: 1.0, MIN_HISTORY_TIME - SECOND) is None
    assert observed(lambda t: 1.0, MIN_HISTORY_TIME + SECOND) is not None


def test_steady_load_has_no_variation():
    """Guards against orders for a variation that doesn't exist."""
    variation = observed(lambda t: 2.0, HISTORY_TIME)
    assert variation.mean == variation.maximum == 2.0
    assert variation.deviation == variation.rise == 0.0


def test_waves_show_their_deviation_and_maximum():
    """Guards against a plan for the trough of a wave of 40 s."""
    variation = observed(lambda t: 2 + 0.6 * sin(2 * pi * t / 40), 80 * SECOND)
    assert variation.maximum == pytest.approx(2.6, abs=0.01)
    assert variation.deviation == pytest.approx(0.42, abs=0.05)


def test_rise_is_extrapolated_over_the_start_time():
    """Guards against endpoints that are ordered for the load of a start time ago."""
    variation = observed(lambda t: 2.0 if t < 30 else 2.0 + 0.1 * (t - 30), 36 * SECOND)
    assert variation.rise == pytest.approx(0.4)


def test_fall_is_not_extrapolated():
    """Guards against endpoints released before the load has fallen."""
    assert observed(lambda t: max(8 - 0.1 * t, 1), 40 * SECOND).rise == 0.0


def test_rise_is_bounded():
    """Guards against orders at a multiple of the load as late reports arrive."""
    variation = observed(lambda t: 0.5 if t < 39 else 6.0, 40 * SECOND)
    assert variation.rise <= 6.0 * MAX_GROWTH


def test_peaks_are_forgotten_after_a_minute():
    """Guards against endpoints that are kept for a burst that is long over."""
    variation = observed(lambda t: 9.0 if t < 6 else 1.0, HISTORY_TIME + 8 * SECOND)
    assert variation.maximum == 1.0


@pytest.mark.parametrize("invalid", [nan, inf, -1.0])
def test_invalid_loads_are_ignored(invalid):
    """Guards against one invalid report that makes the variation unusable."""
    variation = observed(lambda t: invalid if t == 5 else 2.0, HISTORY_TIME)
    assert variation.mean == variation.maximum == 2.0


def test_repeated_observations_at_one_time_show_no_trend():
    """Guards against a division by zero after a pause of the process."""
    history = LoadHistory()
    for number in range(40):
        history.observe(1.0, number * SECOND)
    for _ in range(40):
        history.observe(2.0, 90 * SECOND)
    assert history.variation(START_TIME, 90 * SECOND).rise == 0.0
