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
    LeaseNotFound,
    StoreAnswerLost,
    StoreNotReached,
    StoreWatchDropped,
)
from sassafrasdale.coordination.stores import Lease, StoredValue
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.gateway.following import COLLECTING, Follower
from sassafrasdale.gateway.heartbeat import Heartbeat
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
# Longest silence that may fall between two heartbeats unseen.
UNSEEN = DELAY / 4 * 1.1
STEP = timedelta(milliseconds=10)
LEASE = Lease(1, timedelta(seconds=15))


class Store:
    """A store that falls silent: what it then has or gets is never answered."""

    def __init__(self, clock):
        self._clock = clock
        self._changes = [Change("p/a", 1, b"1")]
        self.answers = None
        self.has_lease = True
        self._silences = 0
        self._drops = 0
        self.renewals = 0

    def fall_silent(self, error=StoreAnswerLost):
        """Answer nothing, or refuse all calls at once with another error."""
        self.answers = error
        self._silences += 1

    def come_back(self):
        self.answers = None

    def confirm(self):
        """Take a change, and return its revision."""
        revision = len(self._changes) + 1
        self._changes.append(Change("p/a", revision, b"%d" % revision))
        return revision

    def drop_watches(self):
        self._drops += 1

    def keep_alive(self, lease):
        self.renewals += 1
        self._call()
        if not self.has_lease:
            raise LeaseNotFound("ended")

    def snapshot(self, prefix):
        self._call()
        last = self._changes[-1]
        item = StoredValue("p/a", last.value, last.revision, 1)
        return Snapshot((item,), last.revision)

    def follow(self, prefix, after, limit):
        silences, drops = self._silences, self._drops
        swallowed = self.answers is StoreAnswerLost
        until = self._clock.elapsed() + limit
        while self._clock.elapsed() < until + WATCH_MARGIN:
            if self._drops != drops:
                raise StoreWatchDropped("dropped")
            if self.answers not in (None, StoreAnswerLost):
                raise self.answers("refused")
            if self._silences == silences and not swallowed:
                news = tuple(self._changes[after:])
                if news or self._clock.elapsed() >= until:
                    return Changes(news, len(self._changes))
            sleep(STEP)
        raise StoreAnswerLost("no answer in time")

    def _call(self):
        if self.answers is StoreAnswerLost:
            sleep(CALL_LIMIT)
        if self.answers is not None:
            raise self.answers("no answer")
        sleep(STEP)


class Gateway:
    """What one gateway has for following the store."""

    def __init__(self, store, clock, seed):
        rng = Random(seed)
        self.dependency = Dependency("store", clock, store.drop_watches)
        self.follower = Follower("p/", store, print, self.dependency, clock, rng)
        self.heartbeat = Heartbeat(
            lambda: LEASE, store, self.dependency, lambda: True, DELAY, clock, rng
        )
        self.tasks = [spawn(self.follower.run), spawn(self.heartbeat.run)]

    def close(self):
        for task in self.tasks:
            task.kill()


def in_force_after(store, clock, gateway):
    """Have the store take a change, and return how long until it is in force."""
    revision = store.confirm()
    confirmed_at = clock.elapsed()
    while gateway.follower.changed_revision < revision:
        sleep(STEP)
    return clock.elapsed() - confirmed_at


def play(length, before=timedelta(seconds=1), error=StoreAnswerLost, seed=1):
    """Return how long a change takes that is confirmed just after a silence.

    :param before: time from the last change to the silence.
    """
    delays = []

    def scenario(clock):
        store = Store(clock)
        gateway = Gateway(store, clock, seed)
        sleep(timedelta(seconds=1))
        in_force_after(store, clock, gateway)
        sleep(before)
        store.fall_silent(error)
        sleep(length)
        store.come_back()
        delays.append(in_force_after(store, clock, gateway))
        gateway.close()

    run_in_virtual_time(scenario)
    return delays[0]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    length=st.floats(UNSEEN.total_seconds(), 40),
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


def test_a_lease_that_ended_in_the_outage_is_an_answer():
    """The store is back and says that the gateway's own entry has run out."""

    def scenario(clock):
        store = Store(clock)
        gateway = Gateway(store, clock, 1)
        sleep(timedelta(seconds=1))
        store.fall_silent()
        sleep(timedelta(seconds=20))
        store.has_lease = False
        store.come_back()
        assert in_force_after(store, clock, gateway) <= DELAY
        assert gateway.dependency.is_reached
        gateway.close()

    run_in_virtual_time(scenario)


def test_an_outage_is_not_pressed():
    """Two hundred gateways ask at once for as long as the store is out of reach."""

    def scenario(clock):
        store = Store(clock)
        store.fall_silent()
        gateway = Gateway(store, clock, 1)
        sleep(timedelta(seconds=60))
        assert store.renewals <= 60 / (DELAY.total_seconds() / 4 * 0.9) + 1
        gateway.close()

    run_in_virtual_time(scenario)


def test_a_moment_of_silence_swallows_no_change():
    """A confirmed route is refused for six seconds after a silence of a tenth of one.

    A change wakes all gateways' watches; they ask anew just as the store is silent for
    a moment, and no heartbeat falls into that. The next change is confirmed; nothing
    fails, and the swallowed watches are waited for.
    """
    before = COLLECTING - timedelta(milliseconds=10)
    for seed in range(10):
        for length_ms in (20, 100, 300):
            length = timedelta(milliseconds=length_ms)
            assert play(length, before, seed=seed) <= DELAY
