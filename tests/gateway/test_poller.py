"""Changes that the store confirms around its outages, in virtual time.

The worst case for the promised two seconds: peers send nothing, calls made while the
store is unresponsive never get a response, and watches that were waiting when it became
unresponsive are lost too.
"""

from datetime import timedelta
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrasdale.coordination.exceptions import (
    StoreAnswerLost,
    StoreHistoryLost,
    StoreNotReached,
    StoreWatchDropped,
)
from sassafrasdale.coordination.stores import StoredValue
from sassafrasdale.decisions.poll_slots import PollSlot
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.gateway.follower import BATCH_DELAY, Follower
from sassafrasdale.gateway.poller import SLOTS_PER_DELAY, Poller
from sassafrasdale.gateway.usage import ClusterTime
from sassafrasdale.green import sleep, spawn
from sassafrasdale.platform.store import (
    CALL_LIMIT,
    WATCH_MARGIN,
    Change,
    Changes,
    Snapshot,
)
from tests.gateway.virtual_time import run_in_virtual_time

# Promised time within which a change takes effect.
DELAY = timedelta(seconds=2)
STEP = timedelta(milliseconds=10)
ALONE = PollSlot(0, 1)


class Store:
    """A store that may become unresponsive: it then loses pending and new calls.

    :ivar error: error that calls raise now; None while they get responses.
    """

    def __init__(self):
        self.changes = [Change("p/a", 1, b"1")]
        self.error = None
        self.outages = 0
        self.oldest_revision = 0

    def become_unresponsive(self, error=StoreAnswerLost):
        """Send no responses, or with another error, refuse all calls at once."""
        self.error = error
        self.outages += 1

    def be_unresponsive_for(self, length, error=StoreAnswerLost):
        """Send no responses for a while, or with another error, refuse all calls."""
        self.become_unresponsive(error)
        sleep(length)
        self.error = None

    def confirm(self):
        """Confirm a change, and return its revision."""
        revision = len(self.changes) + 1
        self.changes.append(Change("p/a", revision, b"%d" % revision))
        return revision


class Client:
    """One gateway's client for the store."""

    def __init__(self, store, clock):
        self._store = store
        self._clock = clock
        self._drops = 0
        self.polls = 0

    def drop_watches(self):
        self._drops += 1

    def changes(self, prefix, after):
        self.polls += 1
        self._call()
        return self._since(after)

    def snapshot(self, prefix):
        self._call()
        last = self._store.changes[-1]
        item = StoredValue("p/a", last.value, last.revision, 1)
        return Snapshot((item,), last.revision)

    def follow(self, prefix, after, limit):
        store = self._store
        outages, drops = store.outages, self._drops
        lost = store.error is StoreAnswerLost
        until = self._clock.elapsed() + limit
        while self._clock.elapsed() < until + WATCH_MARGIN:
            if self._drops != drops:
                raise StoreWatchDropped("dropped")
            if store.error not in (None, StoreAnswerLost):
                raise store.error("refused")
            if store.outages == outages and not lost:
                changes = self._since(after)
                if changes.events or self._clock.elapsed() >= until:
                    return changes
            sleep(STEP)
        raise StoreAnswerLost("no answer in time")

    def _since(self, after):
        changes = self._store.changes
        if after < self._store.oldest_revision:
            raise StoreHistoryLost("dropped")
        return Changes(tuple(changes[after:]), len(changes))

    def _call(self):
        error = self._store.error
        if error is StoreAnswerLost:
            sleep(CALL_LIMIT)
        if error is not None:
            raise error("no answer")
        sleep(STEP)


class Gateway:
    """The components of one gateway that follow the store."""

    def __init__(self, store, clock, seed, slot=ALONE):
        rng = Random(seed)
        self.client = Client(store, clock)
        dependency = Dependency("store", clock, self.client.drop_watches)
        self.follower = Follower(
            "p/", self.client, lambda revised: None, dependency, clock, rng
        )
        self.poller = Poller(
            [self.follower], self.client, lambda: slot, ClusterTime(clock), DELAY
        )
        self.tasks = [spawn(self.follower.run), spawn(self.poller.run)]

    def fetch_from(self, other):
        """Apply newer changes that another gateway knows, as reports do."""
        since = self.follower.changed_revision
        if other.follower.changed_revision > since:
            self.follower.apply_peer_values(other.follower.changes_since(since), since)

    def close(self):
        for task in self.tasks:
            task.kill()


def delay_of_change(store, clock, *gateways):
    """Have the store confirm a change, and return the time until all know it."""
    revision = store.confirm()
    confirmed_at = clock.elapsed()
    while any(gateway.follower.changed_revision < revision for gateway in gateways):
        sleep(STEP)
    return clock.elapsed() - confirmed_at


def delay_after_outage(
    length, before=timedelta(seconds=1), error=StoreAnswerLost, seed=1
):
    """Return the delay of a change that is confirmed just after an outage.

    :param before: time from the last change to the outage.
    """

    def scenario(clock):
        store = Store()
        gateway = Gateway(store, clock, seed)
        sleep(timedelta(seconds=1))
        delay_of_change(store, clock, gateway)
        sleep(before)
        store.be_unresponsive_for(length, error)
        delay = delay_of_change(store, clock, gateway)
        gateway.close()
        return delay

    return run_in_virtual_time(scenario)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    length=st.floats(0.01, 40),
    before=st.floats(0, 8),
    refuses=st.booleans(),
    seed=st.integers(0, 99),
)
def test_a_change_after_an_outage_takes_effect_in_time(length, before, refuses, seed):
    """A confirmed route would be refused, or a leaving endpoint would get requests.

    The outage begins any time after the last change and has any length, so that one or
    more calls are lost in it. The change is confirmed as soon as it ends.
    """
    error = StoreNotReached if refuses else StoreAnswerLost
    length, before = timedelta(seconds=length), timedelta(seconds=before)
    assert delay_after_outage(length, before, error, seed) <= DELAY


@pytest.mark.parametrize("error", [StoreAnswerLost, StoreNotReached])
@pytest.mark.parametrize("length_ms", [600, 1000, 1400, 6500])
def test_most_of_the_delay_is_left(length_ms, error):
    """Gateways that do not watch get the change half a second after those that do."""
    length = timedelta(milliseconds=length_ms)
    for seed in range(10):
        assert delay_after_outage(length, error=error, seed=seed) <= DELAY / 2


def test_polls_are_limited_in_an_outage():
    """Two hundred gateways would poll at once while the store is unreachable."""

    def scenario(clock):
        store = Store()
        gateway = Gateway(store, clock, 1)
        sleep(timedelta(seconds=1))
        store.become_unresponsive()
        gateway.client.polls = 0
        sleep(timedelta(seconds=60))
        assert (
            100
            <= gateway.client.polls
            <= 60 / DELAY.total_seconds() * SLOTS_PER_DELAY + 1
        )
        gateway.close()

    run_in_virtual_time(scenario)


def test_no_change_is_missed_after_a_short_outage():
    """A confirmed route was refused for six seconds after an outage of 0.1 s.

    A change ends the watches of all gateways, and the store is unresponsive just when
    they send new ones. The next change is confirmed. No call fails, and the gateways
    wait for the lost watches. Only a poll, whose response is due at once, shows it.
    """
    before = BATCH_DELAY - timedelta(milliseconds=10)
    for seed in range(10):
        for length_ms in (20, 100, 300):
            length = timedelta(milliseconds=length_ms)
            assert delay_after_outage(length, before, seed=seed) <= DELAY


def test_after_an_outage_changes_arrive_at_once_again():
    """Each change would wait for a poll slot until the watch times out.

    Nothing changed during the outage, so no poll shows that the watch is lost. A poll
    without a response, followed by one with a response, does.
    """

    def scenario(clock):
        store = Store()
        gateway = Gateway(store, clock, 1, slot=PollSlot(0, 8))
        sleep(timedelta(seconds=2.5))
        store.be_unresponsive_for(timedelta(seconds=2.5))
        sleep(timedelta(seconds=4))
        delay = delay_of_change(store, clock, gateway)
        gateway.close()
        return delay

    assert run_in_virtual_time(scenario) <= timedelta(milliseconds=200)


def test_after_a_lost_watch_changes_arrive_at_once_again():
    """Each change would wait for a poll slot until the watch times out."""

    def scenario(clock):
        store = Store()
        gateway = Gateway(store, clock, 1, slot=PollSlot(0, 8))
        sleep(timedelta(seconds=1))
        store.be_unresponsive_for(timedelta(milliseconds=100))
        delay_of_change(store, clock, gateway)
        sleep(timedelta(seconds=1))
        delay = delay_of_change(store, clock, gateway)
        gateway.close()
        return delay

    assert run_in_virtual_time(scenario) <= timedelta(milliseconds=200)


def test_a_poll_that_finds_a_lost_history_causes_a_new_listing():
    """A deletion would stay unknown until the lost watch times out.

    A change is made during an outage in which the watch is lost, and the history is
    dropped with it. A poll is the first call to get that error.
    """

    def scenario(clock):
        store = Store()
        gateway = Gateway(store, clock, 1)
        sleep(timedelta(seconds=1))
        store.be_unresponsive_for(timedelta(milliseconds=100))
        store.oldest_revision = len(store.changes) + 1
        delay = delay_of_change(store, clock, gateway)
        gateway.close()
        return delay

    assert run_in_virtual_time(scenario) <= DELAY


def test_a_fleet_with_poll_slots_gets_changes_after_any_outage():
    """Eight gateways' callers would be refused until one of them happens to poll.

    All watches are lost at once. One gateway's poll finds the change, and the others
    get it within three reports of 300 ms, through the aggregator.
    """
    report_interval = timedelta(milliseconds=300)

    def scenario(clock):
        store = Store()
        fleet = [Gateway(store, clock, n, PollSlot(n, 8)) for n in range(8)]
        aggregator, *members = fleet

        def report():
            while True:
                for gateway in members:
                    aggregator.fetch_from(gateway)
                sleep(report_interval)
                for gateway in members:
                    gateway.fetch_from(aggregator)

        reports = spawn(report)
        sleep(timedelta(seconds=1))
        delays = []
        for tenths in range(1, 40, 3):
            store.confirm()
            sleep(BATCH_DELAY)
            store.be_unresponsive_for(timedelta(milliseconds=100))
            delays.append(delay_of_change(store, clock, *fleet))
            sleep(timedelta(seconds=tenths / 10))
        reports.kill()
        for gateway in fleet:
            gateway.close()
        return max(delays)

    assert run_in_virtual_time(scenario) <= DELAY
