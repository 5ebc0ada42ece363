"""Usage metering and cluster time across restarts of gateways."""

from datetime import UTC, datetime, timedelta

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.gateway.usage import (
    RETAINED_WINDOWS,
    ClockReading,
    ClusterTime,
    UsageCounts,
    UsageLedger,
)

WINDOW = timedelta(seconds=5)


class SteppedClock(ManualClock):
    """A clock whose wall time a test can step."""

    def __init__(self):
        super().__init__(datetime(2026, 1, 1, tzinfo=UTC))
        self.step = timedelta()

    def now(self):
        return super().now() + self.step


def test_requests_count_in_the_window_of_their_start():
    clock = SteppedClock()
    counts = UsageCounts(WINDOW, ClusterTime(clock))
    first = counts.current_window()
    counts.add("lab")
    clock.advance(WINDOW)
    counts.add("lab")
    counts.add("lab")
    assert counts.report() == {first: {"lab": 1}, first + 1: {"lab": 2}}


class Fleet:
    """Cluster time of gateways that exchange readings each second."""

    def __init__(self, count):
        self.clocks = [SteppedClock() for _ in range(count)]
        self.times = [ClusterTime(clock) for clock in self.clocks]

    def restart(self, number):
        self.times[number] = ClusterTime(self.clocks[number])

    def pass_time(self, span):
        for _ in range(int(span / timedelta(seconds=1))):
            for clock in self.clocks:
                clock.advance(timedelta(seconds=1))
            readings = [time.reading() for time in self.times]
            names = range(len(self.times))
            for number, time in enumerate(self.times):
                for peer in names:
                    if peer != number:
                        time.add_reading(str(peer), readings[peer])
                time.update()

    def errors(self):
        """Return the error of each cluster time, in seconds."""
        true = self.clocks[0].now() - self.clocks[0].step
        return [time.seconds - true.timestamp() for time in self.times]


def is_correct(fleet):
    return all(abs(error) < 0.1 for error in fleet.errors())


@pytest.mark.parametrize("stepped", [1, 3, 5])
@pytest.mark.parametrize("seconds", [2, -2])
def test_clock_steps_do_not_move_the_cluster_time(stepped, seconds):
    """Guards against requests that are billed in the wrong window.

    The wall clocks of some or most machines are stepped by two seconds and stepped
    back a while later.
    """
    fleet = Fleet(5)
    fleet.pass_time(timedelta(seconds=10))
    for clock in fleet.clocks[:stepped]:
        clock.step = timedelta(seconds=seconds)
    for _ in range(8):
        fleet.pass_time(timedelta(seconds=1))
        assert is_correct(fleet)
    for clock in fleet.clocks:
        clock.step = timedelta()
    fleet.pass_time(timedelta(seconds=5))
    assert is_correct(fleet)


def test_a_restart_while_most_clocks_are_wrong():
    """A gateway restarts while its clock and most others are stepped."""
    fleet = Fleet(5)
    fleet.pass_time(timedelta(seconds=10))
    for clock in fleet.clocks[1:]:
        clock.step = timedelta(seconds=2)
    fleet.restart(2)
    fleet.pass_time(timedelta(seconds=1))
    assert is_correct(fleet)


def test_one_wrong_clock_at_the_start_of_all_gateways():
    fleet = Fleet(5)
    fleet.clocks[1].step = timedelta(seconds=30)
    fleet.restart(1)
    fleet.pass_time(timedelta(seconds=1))
    assert is_correct(fleet)


def test_a_wrong_time_from_the_start_is_corrected():
    """All gateways start while most clocks are stepped, so none has the right time."""
    fleet = Fleet(5)
    for number in range(5):
        fleet.clocks[number].step = timedelta(seconds=2 * (number > 0))
        fleet.restart(number)
    fleet.pass_time(timedelta(seconds=5))
    for clock in fleet.clocks:
        clock.step = timedelta()
    fleet.pass_time(timedelta(seconds=40))
    assert is_correct(fleet)


def test_counts_from_before_a_restart_are_kept():
    """Guards against a usage report that is too low after each planned restart.

    A gateway counts requests, stops, and starts again with zero counts before the
    window is reported.
    """
    ledger = UsageLedger()
    ledger.merge("a", 1, 7, {"lab": 5})
    ledger.merge("a", 2, 7, {"lab": 1})
    ledger.merge("b", 1, 7, {"lab": 2, "ward": 1})
    assert ledger.total(7) == {"lab": 8, "ward": 1}


def test_old_windows_are_dropped():
    ledger = UsageLedger()
    ledger.merge("a", 1, 7, {"lab": 5})
    ledger.merge("a", 1, 7 + RETAINED_WINDOWS, {"lab": 1})
    assert ledger.total(7) == {}
    ledger.merge("a", 1, 7, {"lab": 9})
    assert ledger.total(7) == {}


def test_counts_that_arrive_twice_late_or_by_two_routes_count_once():
    """Guards against double billing when two gateways forward the same counts."""
    ledger = UsageLedger()
    ledger.merge("a", 1, 7, {"lab": 5, "ward": 1})
    ledger.merge("a", 1, 7, {"lab": 3})
    ledger.merge("a", 1, 7, {"lab": 5, "ward": 2})
    assert ledger.total(7) == {"lab": 5, "ward": 2}


def test_only_changed_rows_are_returned():
    ledger = UsageLedger()
    ledger.merge("a", 1, 7, {"lab": 5})
    seen = ledger.version
    ledger.merge("a", 1, 7, {"lab": 5})
    assert ledger.rows(seen) == []
    ledger.merge("b", 1, 7, {"lab": 2})
    ledger.merge("c", 1, 7, {"lab": 3})
    assert ledger.rows(seen, {"b"}) == [("b", 1, 7, {"lab": 2})]
    assert len(ledger.rows(0)) == 3


def test_the_clock_of_a_stopped_gateway_is_not_forwarded():
    """Guards against a last reading that gateways forward to each other for ever."""
    clock = SteppedClock()
    time = ClusterTime(clock)
    time.add_reading("b", ClockReading(5.0, 6.0, 2.0))
    clock.advance(timedelta(milliseconds=500))
    assert time.peer_readings(9) == {"b": ClockReading(5.5, 6.5, 2.5)}
    clock.advance(timedelta(seconds=1))
    assert time.peer_readings(9) == {}
