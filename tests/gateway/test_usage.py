"""Usage by customer and window, over gateways that come and go."""

from datetime import UTC, datetime, timedelta

from sassafrasdale.clock import ManualClock
from sassafrasdale.gateway.usage import TrueTime, UsageCounts, UsageLedger

WINDOW = timedelta(seconds=5)


class SteppedClock(ManualClock):
    """A clock whose time of day a test sets off."""

    def __init__(self):
        super().__init__(datetime(2026, 1, 1, tzinfo=UTC))
        self.off = timedelta()

    def now(self):
        return super().now() + self.off


def test_counts_go_to_the_window_in_which_requests_begin():
    clock = SteppedClock()
    counts = UsageCounts(WINDOW, TrueTime(clock))
    first = counts.current_window()
    counts.add("lab")
    clock.advance(WINDOW)
    counts.add("lab")
    counts.add("lab")
    assert counts.report() == {first: {"lab": 1}, first + 1: {"lab": 2}}


def test_a_stepped_clock_moves_no_window():
    """Requests would be billed in windows of another time.

    The time of day of one machine jumps ahead by two seconds and back again, while
    its peers' clocks go on.
    """
    clock = SteppedClock()
    time = TrueTime(clock)
    before = time.seconds
    clock.off = timedelta(seconds=2)
    for peer in ("b", "c"):
        time.hear(peer, before)
    time.keep(["b", "c"])
    assert abs(time.seconds - before) < 0.1


def test_a_clock_that_was_wrong_from_the_start_is_set_by_the_peers():
    clock = SteppedClock()
    clock.off = timedelta(seconds=30)
    time = TrueTime(clock)
    true = time.seconds - 30
    for peer in ("b", "c"):
        time.hear(peer, true)
    time.keep(["b", "c"])
    assert abs(time.seconds - true) < 0.1


def test_what_a_gateway_counted_before_it_started_again_still_counts():
    """A customer's usage would be reported too low after each planned stop.

    A gateway counts requests, stops, and starts again with nothing counted, before
    the window is reported.
    """
    ledger = UsageLedger()
    ledger.hear("a", 1, {7: {"lab": 5}})
    ledger.hear("a", 2, {7: {"lab": 1}})
    ledger.hear("b", 1, {7: {"lab": 2, "ward": 1}})
    assert ledger.total(7) == {"lab": 8, "ward": 1}


def test_old_windows_are_forgotten():
    ledger = UsageLedger()
    ledger.hear("a", 1, {7: {"lab": 5}})
    ledger.forget_before(9)
    assert ledger.total(7) == {}
