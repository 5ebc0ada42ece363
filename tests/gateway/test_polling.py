"""Changes that the store confirms around its outages, in virtual time.

The worst case for a promise of two seconds: no peer tells anything, calls that are sent
into a silence are never answered, and watches that waited as it began are lost too.
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
from sassafrasdale.decisions.turns import Turn
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.gateway.following import BATCH_DELAY, Follower
from sassafrasdale.gateway.polling import SLOTS_PER_DELAY, Poller
from sassafrasdale.gateway.usage import TrueTime
from sassafrasdale.green import sleep, spawn
from sassafrasdale.platform.store import (
    CALL_LIMIT,
    WATCH_MARGIN,
    Change,
    Changes,
    Snapshot,
)
from tests.gateway.virtual_time import run_in_virtual_time

# What the deployment promises.
DELAY = timedelta(seconds=2)
STEP = timedelta(milliseconds=10)
ALONE = Turn(0, 1)


class Store:
    """A store that falls silent: what it then has or gets is never answered.

    :ivar error: what calls end with now; none while they are answered.
    """

    def __init__(self):
        self.changes = [Change("p/a", 1, b"1")]
        self.error = None
        self.silences = 0
        self.kept_from = 0

    def fall_silent(self, error=StoreAnswerLost):
        """Answer nothing, or refuse all calls at once with another error."""
        self.error = error
        self.silences += 1

    def be_silent_for(self, length, error=StoreAnswerLost):
        """Answer nothing for a while, or refuse all calls with another error."""
        self.fall_silent(error)
        sleep(length)
        self.error = None

    def confirm(self):
        """Take a change, and return its revision."""
        revision = len(self.changes) + 1
        self.changes.append(Change("p/a", revision, b"%d" % revision))
        return revision


class Client:
    """One gateway's client of the store."""

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
        silences, drops = store.silences, self._drops
        swallowed = store.error is StoreAnswerLost
        until = self._clock.elapsed() + limit
        while self._clock.elapsed() < until + WATCH_MARGIN:
            if self._drops != drops:
                raise StoreWatchDropped("dropped")
            if store.error not in (None, StoreAnswerLost):
                raise store.error("refused")
            if store.silences == silences and not swallowed:
                changes = self._since(after)
                if changes.events or self._clock.elapsed() >= until:
                    return changes
            sleep(STEP)
        raise StoreAnswerLost("no answer in time")

    def _since(self, after):
        changes = self._store.changes
        if after < self._store.kept_from:
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
    """What one gateway has for following the store."""

    def __init__(self, store, clock, seed, turn=ALONE):
        rng = Random(seed)
        self.client = Client(store, clock)
        dependency = Dependency("store", clock, self.client.drop_watches)
        self.follower = Follower(
            "p/", self.client, lambda revised: None, dependency, clock, rng
        )
        self.polling = Poller(
            [self.follower], self.client, lambda: turn, TrueTime(clock), DELAY
        )
        self.tasks = [spawn(self.follower.run), spawn(self.polling.run)]

    def take_from(self, other):
        """Take what another gateway knows later, as reports between gateways do."""
        since = self.follower.changed_revision
        if other.follower.changed_revision > since:
            self.follower.apply_peer_values(other.follower.changes_since(since), since)

    def close(self):
        for task in self.tasks:
            task.kill()


def in_force_after(store, clock, *gateways):
    """Have the store take a change, and return how long until all know it."""
    revision = store.confirm()
    confirmed_at = clock.elapsed()
    while any(one.follower.changed_revision < revision for one in gateways):
        sleep(STEP)
    return clock.elapsed() - confirmed_at


def play(length, before=timedelta(seconds=1), error=StoreAnswerLost, seed=1):
    """Return how long a change takes that is confirmed just after a silence.

    :param before: time from the last change to the silence.
    """

    def scenario(clock):
        store = Store()
        gateway = Gateway(store, clock, seed)
        sleep(timedelta(seconds=1))
        in_force_after(store, clock, gateway)
        sleep(before)
        store.be_silent_for(length, error)
        delay = in_force_after(store, clock, gateway)
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
def test_a_change_after_a_silence_is_in_force_in_time(length, before, refuses, seed):
    """A confirmed route is refused, or a leaving endpoint gets requests.

    Whenever the silence begins after the last change, and however long it is, one call
    or several were sent into it; the change is confirmed as soon as it ends.
    """
    error = StoreNotReached if refuses else StoreAnswerLost
    length, before = timedelta(seconds=length), timedelta(seconds=before)
    assert play(length, before, error, seed) <= DELAY


@pytest.mark.parametrize("error", [StoreAnswerLost, StoreNotReached])
@pytest.mark.parametrize("length_ms", [600, 1000, 1400, 6500])
def test_most_of_the_delay_is_left(length_ms, error):
    """Gateways that don't watch hear of it half a second after those that do."""
    length = timedelta(milliseconds=length_ms)
    for seed in range(10):
        assert play(length, error=error, seed=seed) <= DELAY / 2


def test_an_outage_is_not_pressed():
    """Two hundred gateways ask at once for as long as the store is out of reach."""

    def scenario(clock):
        store = Store()
        gateway = Gateway(store, clock, 1)
        sleep(timedelta(seconds=1))
        store.fall_silent()
        gateway.client.polls = 0
        sleep(timedelta(seconds=60))
        assert (
            100
            <= gateway.client.polls
            <= 60 / DELAY.total_seconds() * SLOTS_PER_DELAY + 1
        )
        gateway.close()

    run_in_virtual_time(scenario)


def test_a_moment_of_silence_swallows_no_change():
    """A confirmed route is refused for six seconds after a silence of a tenth of one.

    A change wakes all gateways' watches; they ask anew just as the store is silent for
    a moment. The next change is confirmed; no call fails, and the swallowed watches are
    waited for. Only a question whose answer is due at once shows the change.
    """
    before = BATCH_DELAY - timedelta(milliseconds=10)
    for seed in range(10):
        for length_ms in (20, 100, 300):
            length = timedelta(milliseconds=length_ms)
            assert play(length, before, seed=seed) <= DELAY


def test_after_an_outage_changes_come_at_once_again():
    """Each change would wait for somebody's turn until the watch ends by itself.

    Nothing has changed in the outage, so no question brings what the watch has missed;
    that one of them was not answered and a later one is tells of it.
    """

    def scenario(clock):
        store = Store()
        gateway = Gateway(store, clock, 1, turn=Turn(0, 8))
        sleep(timedelta(seconds=2.5))
        store.be_silent_for(timedelta(seconds=2.5))
        sleep(timedelta(seconds=4))
        delay = in_force_after(store, clock, gateway)
        gateway.close()
        return delay

    assert run_in_virtual_time(scenario) <= timedelta(milliseconds=200)


def test_after_a_swallowed_watch_changes_come_at_once_again():
    """Each change would wait for somebody's turn until the watch ends by itself."""

    def scenario(clock):
        store = Store()
        gateway = Gateway(store, clock, 1, turn=Turn(0, 8))
        sleep(timedelta(seconds=1))
        store.be_silent_for(timedelta(milliseconds=100))
        in_force_after(store, clock, gateway)
        sleep(timedelta(seconds=1))
        delay = in_force_after(store, clock, gateway)
        gateway.close()
        return delay

    assert run_in_virtual_time(scenario) <= timedelta(milliseconds=200)


def test_a_question_that_meets_a_lost_history_reads_everything_anew():
    """A departure would stay unknown until the swallowed watch ends by itself.

    A change comes in a silence that swallows the watch, and the history is dropped
    with it; a question by turns is the first to hear of that.
    """

    def scenario(clock):
        store = Store()
        gateway = Gateway(store, clock, 1)
        sleep(timedelta(seconds=1))
        store.be_silent_for(timedelta(milliseconds=100))
        store.kept_from = len(store.changes) + 1
        delay = in_force_after(store, clock, gateway)
        gateway.close()
        return delay

    assert run_in_virtual_time(scenario) <= DELAY


def test_by_turns_a_fleet_follows_through_any_silence():
    """Eight gateways' callers are refused until the first of them happens to ask.

    All watches are swallowed at once. One gateway's question finds the change; the
    others have it after three reports of 300 ms, by way of the one that sums up.
    """
    report_pause = timedelta(milliseconds=300)

    def scenario(clock):
        store = Store()
        fleet = [Gateway(store, clock, n, Turn(n, 8)) for n in range(8)]
        aggregator, *members = fleet

        def report():
            while True:
                for gateway in members:
                    aggregator.take_from(gateway)
                sleep(report_pause)
                for gateway in members:
                    gateway.take_from(aggregator)

        reports = spawn(report)
        sleep(timedelta(seconds=1))
        delays = []
        for tenths in range(1, 40, 3):
            store.confirm()
            sleep(BATCH_DELAY)
            store.be_silent_for(timedelta(milliseconds=100))
            delays.append(in_force_after(store, clock, *fleet))
            sleep(timedelta(seconds=tenths / 10))
        reports.kill()
        for gateway in fleet:
            gateway.close()
        return max(delays)

    assert run_in_virtual_time(scenario) <= DELAY
