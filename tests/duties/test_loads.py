"""Tests of the load history."""

from datetime import timedelta

from sassafrasdale.duties.loads import Load, LoadHistory

STEP = timedelta(seconds=2)


def _history(loads):
    history = LoadHistory()
    for number, load in enumerate(loads):
        history.add("reports", load, STEP * number)
    return history.of_service("reports")


def test_load_without_samples_is_zero():
    assert LoadHistory().of_service("reports") == Load(0.0, 0.0)
    assert _history([4]) == Load(4.0, 0.0)


def test_steady_load_does_not_grow():
    assert _history([8] * 40) == Load(8.0, 0.0)


def test_growth_is_per_second():
    load = _history(range(40))
    assert abs(load.growth - 0.5) < 0.05


def test_samples_older_than_the_window_do_not_count():
    assert _history([100] * 10 + [2] * 40) == Load(2.0, 0.0)
