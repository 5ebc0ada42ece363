"""Tests of the counts for burn rates."""

from datetime import timedelta

import pytest

from sassafrasdale.burn import (
    BUCKET,
    WINDOWS,
    BurnCounter,
    BurnCounters,
    ServiceBurn,
    WindowCount,
    burns_to_json,
    sum_burns,
)

MINUTE = timedelta(minutes=1)
HOUR = timedelta(hours=1)


def totals(counter: BurnCounter, now: timedelta) -> list[int]:
    return [count.total for count in counter.snapshot(now)]


def test_each_window_counts_the_requests_within_it():
    counter = BurnCounter("reports", 0.95)
    for ago in (2 * MINUTE, 20 * MINUTE, 50 * MINUTE, 5 * HOUR):
        counter.record(10 * HOUR - ago, in_time=True)

    assert totals(counter, 10 * HOUR) == [1, 2, 3, 4]


def test_rate_is_one_if_the_budget_is_used_as_fast_as_allowed():
    counter = BurnCounter("reports", 0.95)
    for number in range(100):
        counter.record(HOUR, in_time=number >= 5)

    assert counter.snapshot(HOUR)[0].burn_rate(0.95) == pytest.approx(1.0)
    assert WindowCount(MINUTE, 0, 0).burn_rate(0.95) is None


def test_counts_older_than_the_longest_window_are_dropped():
    counter = BurnCounter("reports", 0.95)
    for step in range(3 * WINDOWS[-1] // BUCKET):
        counter.record(step * BUCKET, in_time=step % 2 == 0)

    end = 3 * WINDOWS[-1]
    longest = counter.snapshot(end - BUCKET)[-1]
    assert (longest.total, longest.in_time) == (720, 360)
    assert totals(counter, end + 7 * HOUR) == [0, 0, 0, 0]


def test_services_that_remain_keep_their_counts():
    counters = BurnCounters()
    counters.set_objectives({"reports": 0.95, "records": 0.99})
    counters.record("reports", MINUTE, in_time=False)
    counters.record("records", MINUTE, in_time=True)
    counters.set_objectives({"reports": 0.9, "answers": 0.9})
    counters.record("records", MINUTE, in_time=True)

    reports, answers = counters.snapshot(MINUTE)
    assert (reports.service, reports.objective) == ("reports", 0.9)
    assert reports.windows[0] == WindowCount(WINDOWS[0], 1, 0)
    assert answers.windows[0].total == 0


def test_counts_are_summed_with_the_strictest_objective():
    windows = tuple(WindowCount(window, 10, 9) for window in WINDOWS)
    parts = [
        ServiceBurn("reports", 0.95, windows),
        ServiceBurn("reports", 0.99, windows),
        ServiceBurn("records", 0.99, windows),
    ]

    records, reports = sum_burns(parts)

    assert reports.objective == 0.99
    assert reports.windows[-1] == WindowCount(WINDOWS[-1], 20, 18)
    assert burns_to_json([records])[0]["windows"][0] == {
        "seconds": 300,
        "total": 10,
        "in_time": 9,
    }
