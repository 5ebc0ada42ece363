"""Rate at which a queue drains while it is never empty."""

from datetime import timedelta

import pytest

from sassafrasdale.decisions.drain_rates import (
    MIN_BACKLOG_TIME,
    STANDING_MEMORY,
    WINDOW,
    DrainRate,
)

MS = timedelta(milliseconds=1)
COST = 20 * MS


def drain(rate: DrainRate, start: timedelta, time: timedelta, every: timedelta) -> None:
    """Start requests at an interval."""
    now = start
    while now < start + time:
        now += every
        rate.record_start(COST, now)


def test_there_is_no_rate_without_a_lasting_backlog() -> None:
    """Guards against a capacity that is measured while endpoints have nothing to do."""
    rate = DrainRate()
    drain(rate, timedelta(), WINDOW, 10 * MS)
    assert rate.rate(WINDOW) is None
    rate.set_backlogged(True, WINDOW)
    assert rate.rate(WINDOW + MIN_BACKLOG_TIME - MS) is None


@pytest.mark.parametrize("backlog", [MIN_BACKLOG_TIME, WINDOW, 3 * WINDOW])
def test_the_rate_is_the_cost_started_per_second(backlog: timedelta) -> None:
    rate = DrainRate()
    rate.set_backlogged(True, timedelta())
    drain(rate, timedelta(), backlog, 10 * MS)
    assert rate.rate(backlog) == pytest.approx(2.0, rel=0.05)


def test_the_rate_follows_a_loss_of_endpoints_within_the_window() -> None:
    """Guards against waits that are estimated with endpoints that are gone."""
    rate = DrainRate()
    rate.set_backlogged(True, timedelta())
    drain(rate, timedelta(), 2 * WINDOW, 10 * MS)
    drain(rate, 2 * WINDOW, 1.1 * WINDOW, 40 * MS)
    assert rate.rate(3.1 * WINDOW) == pytest.approx(0.5, rel=0.1)


def test_an_empty_queue_ends_the_measurement() -> None:
    rate = DrainRate()
    rate.set_backlogged(True, timedelta())
    drain(rate, timedelta(), WINDOW, 10 * MS)
    rate.set_backlogged(False, WINDOW)
    assert rate.backlog_time(WINDOW) == timedelta()
    rate.set_backlogged(True, WINDOW)
    assert rate.rate(WINDOW + MIN_BACKLOG_TIME) == 0.0


def test_a_backlog_lasts_from_its_begin() -> None:
    rate = DrainRate()
    for now in (10 * MS, 50 * MS):
        rate.set_backlogged(True, now)
    assert rate.backlog_time(60 * MS) == 50 * MS


def test_a_queue_that_stood_counts_as_standing_for_a_while() -> None:
    """Guards against a queue that chance empties, and that seems to have room."""
    rate = DrainRate()
    assert not rate.has_stood(timedelta())
    rate.set_backlogged(True, timedelta())
    assert not rate.has_stood(MIN_BACKLOG_TIME - MS)
    assert rate.has_stood(MIN_BACKLOG_TIME)
    rate.set_backlogged(False, MIN_BACKLOG_TIME)
    assert rate.has_stood(MIN_BACKLOG_TIME + STANDING_MEMORY)
    assert not rate.has_stood(MIN_BACKLOG_TIME + STANDING_MEMORY + MS)
