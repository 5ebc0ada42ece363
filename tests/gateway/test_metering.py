"""The usage report: the same counts for each window, whichever gateway sends it."""

import json
from contextlib import suppress

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.coordination.exceptions import LeaseNotHeld, StoreAnswerLost
from sassafrasdale.coordination.stores import StoredValue, Swap
from sassafrasdale.gateway.metering import USAGE_ADAPTER, USAGE_RECORD, UsageReporter
from sassafrasdale.gateway.peer_states import UsageTotal
from sassafrasdale.gateway.records import DutyRecord
from sassafrasdale.gateway.usage import ClusterTime
from sassafrasdale.platform.exceptions import DutyCallFailed
from tests.gateway.duties import SECOND, Lease

WINDOW = 5 * SECOND


class Store:
    """A store of one key, whose responses to writes may be lost."""

    def __init__(self):
        self.stored = None
        self.revision = 0
        self.epoch = 0
        self.loses_responses = False

    def get(self, key):
        return self.stored

    def compare_and_swap(self, key, value, mod_revision):
        assert key == USAGE_RECORD
        if mod_revision != (self.stored.mod_revision if self.stored else 0):
            return Swap(False, 0, self.stored)
        self.revision += 1
        self.stored = StoredValue(key, value, self.revision, 1)
        if self.loses_responses:
            raise StoreAnswerLost("lost")
        return Swap(True, self.revision)


class Platform:
    """Records the usage reports that were sent."""

    def __init__(self):
        self.reports = []
        self.loses_responses = False

    def report_usage(self, window, counts, number):
        self.reports.append((window, dict(counts), number))
        if self.loses_responses:
            raise DutyCallFailed("no answer")


class World:
    """Two gateways that are leaders one after the other."""

    def __init__(self):
        self.clock = ManualClock()
        self.time = ClusterTime(self.clock)
        self.store = Store()
        self.platform = Platform()
        self.leases = [Lease(3), Lease(0)]
        self.totals = [{"lab": 10}, {"lab": 7}]
        self.complete_since = 0.0
        self.reporters = [self.reporter(number) for number in (0, 1)]

    def reporter(self, number):
        return UsageReporter(
            self.leases[number],
            self.platform,
            DutyRecord(self.store, USAGE_RECORD, USAGE_ADAPTER),
            lambda window: UsageTotal(self.totals[number], self.complete_since),
            self.time,
            self.clock,
            WINDOW,
            10 * SECOND,
        )


def test_a_window_is_reported_once_it_is_complete():
    world = World()
    world.reporters[0].step()
    assert world.platform.reports == []
    current = int(world.time.seconds // 5)
    world.clock.advance(7 * SECOND)
    for _ in range(10):
        world.reporters[0].step()
    windows = [window for window, _, _ in world.platform.reports]
    assert windows == sorted(set(windows))
    assert windows[-1] == current
    assert [counts for _, counts, _ in world.platform.reports][-1] == {"lab": 10}


def test_counts_are_recorded_before_they_are_sent():
    world = World()
    world.clock.advance(7 * SECOND)
    world.reporters[0].step()
    (window, counts, _) = world.platform.reports[0]
    assert json.loads(world.store.stored.value) == {str(window): counts}


def test_a_later_leader_sends_the_same_counts():
    """The platform would get two different counts for one window.

    The first leader records its counts, sends them, and gets no response; then it loses
    the lease. The next leader knows of fewer requests.
    """
    world = World()
    world.platform.loses_responses = True
    world.clock.advance(7 * SECOND)
    with pytest.raises(DutyCallFailed):
        world.reporters[0].step()
    world.platform.loses_responses = False
    world.leases[0].number, world.leases[1].number = 0, 4
    world.reporters[1].step()
    first, second = world.platform.reports
    assert first[:2] == second[:2]
    assert second[2] == 4


def test_nothing_is_sent_if_the_write_has_no_response():
    """Without a response, it is unknown whether the write has succeeded."""
    world = World()
    world.store.loses_responses = True
    world.clock.advance(7 * SECOND)
    with pytest.raises(StoreAnswerLost):
        world.reporters[0].step()
    assert world.platform.reports == []


def test_a_paused_leader_does_not_overwrite_the_record():
    """The platform would get two different counts for one window.

    A leader is paused between reading the record and writing it. Another one reports
    the window meanwhile, and the first one resumes.
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


def test_a_leader_reports_windows_that_ended_before_it_started():
    """A window would be missed at each restart of the leader.

    The leader restarts just after the end of a window, and a gateway that has just
    started becomes the leader; the others have reported their counts to it.
    """
    world = World()
    world.clock.advance(6 * SECOND)
    ended = int(world.time.seconds // 5) - 1
    new_reporter = world.reporter(0)
    new_reporter.step()
    assert world.platform.reports == []
    world.clock.advance(3 * SECOND)
    while ended not in [window for window, _, _ in world.platform.reports]:
        new_reporter.step()
    assert len(world.platform.reports) <= 3


def test_overdue_windows_are_skipped_at_once():
    """Windows would be lost that could still be reported in time.

    A gateway becomes the leader after a long outage, with many overdue windows.
    """
    world = World()
    world.clock.advance(62 * SECOND)
    world.reporters[0].step()
    window, _, _ = world.platform.reports[0]
    end = (window + 1) * 5
    assert end + 10 >= world.time.seconds


def test_a_window_is_reported_as_soon_as_all_have_reported_their_counts():
    """The usage of a window would be lost that ended well before all were killed.

    All gateways are killed two seconds after a window's end. The leader had all counts
    half a second after it.
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
    world.complete_since = end + 0.4
    world.reporters[0].step()
    assert len(world.platform.reports) == before + 1 > reported


def restore(world, stored):
    """Restore the store from a copy."""
    world.store.stored = stored
    world.store.epoch += 1


def test_a_window_whose_record_a_restore_has_lost_is_not_sent_again():
    """Guards against two counts for a window after the store lost the first ones."""
    world = World()
    copy = world.store.stored
    world.clock.advance(7 * SECOND)
    world.reporters[0].step()
    sent = {window for window, _, _ in world.platform.reports}
    restore(world, copy)
    world.leases[0].number, world.leases[1].number = 0, 4
    for _ in range(80):
        world.clock.advance(SECOND / 4)
        world.reporters[1].step()
    later = {window for window, _, _ in world.platform.reports[len(sent) :]}
    assert later
    assert not sent & later
    assert min(later) == int(world.reporters[1]._restored_at // 5)


def test_a_leader_goes_on_after_a_restore_with_what_it_has_sent():
    """Guards against windows left out, or sent anew, by the leader that sent them."""
    world = World()
    copy = world.store.stored
    world.clock.advance(7 * SECOND)
    for _ in range(3):
        world.reporters[0].step()
    restore(world, copy)
    for _ in range(80):
        world.clock.advance(SECOND / 4)
        with suppress(LeaseNotHeld):
            world.reporters[0].step()
    windows = [window for window, _, _ in world.platform.reports]
    assert windows == list(range(windows[0], windows[-1] + 1))
