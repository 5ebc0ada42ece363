"""The usage report: one count for each window, whoever sends it."""

import json

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.coordination.exceptions import LeaseNotHeld, StoreAnswerLost
from sassafrasdale.coordination.stores import StoredValue, Swap
from sassafrasdale.gateway.metering import USAGE_FORM, USAGE_RECORD, UsageReporter
from sassafrasdale.gateway.peer_states import UsageTotal
from sassafrasdale.gateway.records import DutyRecord
from sassafrasdale.gateway.usage import TrueTime
from sassafrasdale.platform.exceptions import DutyCallFailed
from tests.gateway.duties import SECOND, Lease

WINDOW = 5 * SECOND


class Store:
    """One key, whose writes may lose their answers."""

    def __init__(self):
        self.held = None
        self.revision = 0
        self.loses_answers = False

    def get(self, key):
        return self.held

    def compare_and_swap(self, key, value, mod_revision):
        assert key == USAGE_RECORD
        if mod_revision != (self.held.mod_revision if self.held else 0):
            return Swap(False, 0, self.held)
        self.revision += 1
        self.held = StoredValue(key, value, self.revision, 1)
        if self.loses_answers:
            raise StoreAnswerLost("lost")
        return Swap(True, self.revision)


class Platform:
    """Takes usage reports, and tells which were sent."""

    def __init__(self):
        self.reports = []
        self.losing = False

    def report_usage(self, window, counts, number):
        self.reports.append((window, dict(counts), number))
        if self.losing:
            raise DutyCallFailed("no answer")


class World:
    """Two gateways that may hold the duty, one after the other."""

    def __init__(self):
        self.clock = ManualClock()
        self.time = TrueTime(self.clock)
        self.store = Store()
        self.platform = Platform()
        self.leases = [Lease(3), Lease(0)]
        self.totals = [{"lab": 10}, {"lab": 7}]
        self.told_until = 0.0
        self.reporters = [self.reporter(number) for number in (0, 1)]

    def reporter(self, number):
        return UsageReporter(
            self.leases[number],
            self.platform,
            DutyRecord(self.store, USAGE_RECORD, USAGE_FORM),
            lambda window: UsageTotal(self.totals[number], self.told_until),
            self.time,
            self.clock,
            WINDOW,
            10 * SECOND,
        )


def test_a_window_is_reported_once_it_is_whole():
    world = World()
    world.reporters[0].step()
    assert world.platform.reports == []
    under_way = int(world.time.seconds // 5)
    world.clock.advance(7 * SECOND)
    for _ in range(10):
        world.reporters[0].step()
    windows = [window for window, _, _ in world.platform.reports]
    assert windows == sorted(set(windows))
    assert windows[-1] == under_way
    assert [counts for _, counts, _ in world.platform.reports][-1] == {"lab": 10}


def test_what_is_sent_was_written_down_first():
    world = World()
    world.clock.advance(7 * SECOND)
    world.reporters[0].step()
    (window, counts, _) = world.platform.reports[0]
    assert json.loads(world.store.held.value) == {str(window): counts}


def test_a_later_holder_sends_the_same_counts():
    """The platform would get two different counts for one window.

    The first holder writes its counts down, sends them, and gets no answer; then
    it loses the duty. The next one has heard of fewer requests.
    """
    world = World()
    world.platform.losing = True
    world.clock.advance(7 * SECOND)
    with pytest.raises(DutyCallFailed):
        world.reporters[0].step()
    world.platform.losing = False
    world.leases[0].number, world.leases[1].number = 0, 4
    world.reporters[1].step()
    first, second = world.platform.reports
    assert first[:2] == second[:2]
    assert second[2] == 4


def test_nothing_is_sent_if_the_write_has_no_answer():
    """The same, where the write's answer is lost: it may have landed or not."""
    world = World()
    world.store.loses_answers = True
    world.clock.advance(7 * SECOND)
    with pytest.raises(StoreAnswerLost):
        world.reporters[0].step()
    assert world.platform.reports == []


def test_a_holder_that_was_paused_does_not_overwrite_the_record():
    """A gateway freezes between reading the record and writing it.

    Another one reports the window meanwhile; the frozen one wakes and goes on.
    """
    world = World()
    world.clock.advance(7 * SECOND)
    world.reporters[0]._read_record()
    world.reporters[0]._fencing_number = 3
    world.leases[1].number = 4
    world.reporters[1].step()
    with pytest.raises(LeaseNotHeld):
        world.reporters[0].step()
    assert len(world.platform.reports) == 1


def test_a_holder_reports_what_ended_before_it_started():
    """A window would be missed at each restart of the holder.

    The holder restarts just after the end of a window, and the duty goes to a
    gateway that has started a moment ago; the others have told it their counts.
    """
    world = World()
    world.clock.advance(6 * SECOND)
    ended = int(world.time.seconds // 5) - 1
    young = world.reporter(0)
    young.step()
    assert world.platform.reports == []
    world.clock.advance(3 * SECOND)
    while ended not in [window for window, _, _ in world.platform.reports]:
        young.step()
    assert len(world.platform.reports) <= 3


def test_windows_that_are_overdue_are_passed_over_at_once():
    """Windows would be lost that could still be reported in time.

    A gateway gets the duty after a long outage, with many old windows behind.
    """
    world = World()
    world.clock.advance(62 * SECOND)
    world.reporters[0].step()
    window, _, _ = world.platform.reports[0]
    end = (window + 1) * 5
    assert end + 10 >= world.time.seconds


def test_a_window_is_reported_as_soon_as_all_have_told_their_counts():
    """A window's usage would be lost that had ended well before all were killed.

    All gateways are killed two seconds after a window's end. All counts were with the
    holder half a second after it.
    """
    world = World()
    world.clock.advance(11 * SECOND)
    world.reporters[0].step()
    reported = len(world.platform.reports)
    end = (world.time.seconds // 5 + 1) * 5
    while world.time.seconds < end + 0.5:
        world.clock.advance(SECOND / 4)
    world.reporters[0].step()
    before = len(world.platform.reports)
    world.told_until = end + 0.4
    world.reporters[0].step()
    assert len(world.platform.reports) == before + 1 > reported
