"""Model of followers of one prefix: any order of changes, faults and peer updates."""

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sassafrasdale.clock import ManualClock
from sassafrasdale.coordination.exceptions import StoreHistoryLost, StoreNotReached
from sassafrasdale.coordination.stores import StoredValue
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.gateway.follower import Follower
from sassafrasdale.platform.store import Change, Changes, Snapshot

FOLLOWERS = 3
NUMBERS = st.integers(0, FOLLOWERS - 1)
KEYS = st.sampled_from(["p/a", "p/b", "p/c"])


class Store:
    """A store that keeps all revisions, and may respond late, stale or not at all."""

    def __init__(self):
        self.states = [{}]
        self.written = [{}]
        self.changes = []
        self.oldest_revision = 0
        self.behind = 0
        self.fails = False
        self.during_watch = lambda: None

    @property
    def revision(self):
        return len(self.states) - 1

    def change(self, key, value):
        state, written = dict(self.states[-1]), dict(self.written[-1])
        state.pop(key, None)
        written.pop(key, None)
        if value is not None:
            state[key], written[key] = value, self.revision + 1
        self.states.append(state)
        self.written.append(written)
        self.changes.append(Change(key, self.revision, value))

    def snapshot(self, prefix):
        self._respond()
        revision = max(self.revision - self.behind, self.oldest_revision)
        written = self.written[revision]
        values = tuple(
            StoredValue(key, value, written[key], written[key])
            for key, value in self.states[revision].items()
        )
        return Snapshot(values, revision)

    def follow(self, prefix, after, limit):
        self._respond()
        if after < self.oldest_revision:
            raise StoreHistoryLost("dropped")
        changes = Changes(tuple(self.changes[after:]), self.revision)
        self.during_watch()
        return changes

    def _respond(self):
        if self.fails:
            raise StoreNotReached("down")


class Following(RuleBasedStateMachine):
    """Followers of one store that also apply each other's values."""

    def __init__(self):
        super().__init__()
        clock = ManualClock()
        self.store = Store()
        self.store.change("p/a", b"0")
        self.fleet = [
            Follower(
                "p/",
                self.store,
                lambda revised: None,
                Dependency("store", clock),
                clock,
                Random(number),
            )
            for number in range(FOLLOWERS)
        ]
        self.last_revisions = [0] * FOLLOWERS
        self.copies = []

    @rule(key=KEYS, value=st.binary(min_size=1, max_size=1))
    def write(self, key, value):
        self.store.change(key, value)

    @rule(key=KEYS)
    def delete(self, key):
        if key in self.store.states[-1]:
            self.store.change(key, None)

    @rule()
    def drop_history(self):
        self.store.oldest_revision = self.store.revision

    @rule(behind=st.integers(0, 3), fails=st.booleans())
    def set_faults(self, behind, fails):
        self.store.behind, self.store.fails = behind, fails

    @rule(number=NUMBERS)
    def step(self, number):
        follower = self.fleet[number]
        try:
            follower.step()
        except StoreHistoryLost:
            follower._needs_listing = True
        except StoreNotReached:
            pass

    @rule(number=NUMBERS, peer=NUMBERS, key=KEYS, value=st.binary(max_size=1))
    def step_while_a_peer_sends_a_change(self, number, peer, key, value):
        # The watch's response is slow, and a peer sends a later change meanwhile.

        def change_and_send():
            self.store.during_watch = lambda: None
            self.store.change(key, value)
            self.step(peer)
            self.apply_peer_values(number, peer)

        self.store.during_watch = change_and_send
        self.step(number)
        self.store.during_watch = lambda: None

    @rule(number=NUMBERS, peer=NUMBERS)
    def apply_peer_values(self, number, peer):
        source = self.fleet[peer]
        if number != peer and source.revision:
            self.fleet[number].replace_all(
                dict(source.values), source.revision, source.changed_revision
            )

    @rule(peer=NUMBERS)
    def copy(self, peer):
        """Begin a response to a peer that takes long to arrive."""
        source = self.fleet[peer]
        copied = (dict(source.values), source.revision, source.changed_revision)
        self.copies.append(copied)

    @rule(number=NUMBERS)
    def apply_an_old_copy(self, number):
        if self.copies:
            self.fleet[number].replace_all(*self.copies.pop(0))

    @invariant()
    def each_holds_a_past_state_of_the_store(self):
        for number, follower in enumerate(self.fleet):
            assert follower.values == self.store.states[follower.revision]
            assert follower.changed_revision <= follower.revision
            assert follower.revision >= self.last_revisions[number]
            self.last_revisions[number] = follower.revision

    def teardown(self):
        """After the faults, all followers converge on the store's values."""
        self.store.behind, self.store.fails = 0, False
        for number, follower in enumerate(self.fleet):
            for _ in range(3):
                self.step(number)
            assert follower.values == self.store.states[-1]


TestFollowing = Following.TestCase
TestFollowing.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
)
