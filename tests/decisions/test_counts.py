"""Tests of the in-flight count with history."""

from datetime import timedelta

from sassafrasdale.decisions.counts import HISTORY, InFlightCount


def test_returns_the_count_of_an_earlier_time():
    count = InFlightCount()
    for second in (1, 2, 4):
        count.change(timedelta(seconds=second), 1)
    assert count.now == 3
    assert count.at(timedelta(seconds=3)) == 2
    assert count.at(timedelta(seconds=0)) == 0


def test_history_is_bounded():
    count = InFlightCount()
    for second in range(1000):
        count.change(timedelta(seconds=second), 1)
    assert count.at(timedelta(seconds=999) - HISTORY) == 1000 - 15
    assert len(count._times) < 40
