"""Followers of the store during outages, after lost history, and with peers."""

from datetime import timedelta
from random import Random

import pytest
from logbook import TestHandler as LogRecorder

from sassafrasdale.clock import ManualClock, SystemClock
from sassafrasdale.coordination.exceptions import StoreHistoryLost, StoreNotReached
from sassafrasdale.coordination.stores import StoredValue, ordered_revision
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.gateway.follower import (
    MAX_DELETED_KEYS,
    Follower,
    RestoreTimes,
)
from sassafrasdale.gateway.peer_states import StoreValues
from sassafrasdale.green import sleep, spawn
from sassafrasdale.platform.store import Change, Changes, Snapshot
from standins.gateway_fleet import wait_for


class Store:
    """A store with responses that the test prepares."""

    def __init__(self):
        self.snapshots = []
        self.changes = []

    def snapshot(self, prefix):
        return self.snapshots.pop(0)

    def follow(self, prefix, after, limit):
        response = self.changes.pop(0)
        if isinstance(response, Exception):
            raise response
        return response


def item(key: str, value: bytes, revision: int) -> StoredValue:
    return StoredValue(key, value, revision, revision)


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def seen():
    return []


TIMES = RestoreTimes(timedelta(milliseconds=30), timedelta(milliseconds=120))
# Until a follower has settled after a restore.
SETTLED = timedelta(milliseconds=200)


def new_follower(store, on_change, seed: int = 1, **options) -> Follower:
    clock = ManualClock()
    return Follower(
        "p/",
        store,
        on_change,
        Dependency("store", clock),
        clock,
        Random(seed),
        restore_times=TIMES,
        **options,
    )


@pytest.fixture
def follower(store, seen):
    return new_follower(store, seen.append)


def test_a_listing_is_followed_by_changes(store, follower, seen):
    store.snapshots = [Snapshot((item("p/a", b"1", 3),), 10)]
    store.changes = [
        Changes((Change("p/b", 12, b"2"), Change("p/a", 13, None)), 14),
        Changes((), 20),
    ]
    follower.step()
    follower.step()
    assert follower.values == {"p/b": b"2"}
    assert seen[1].deleted == {"p/a"}
    follower.step()
    assert follower.revision == 20
    assert follower.changed_revision == 13
    assert len(seen) == 2


def test_a_deletion_in_a_lost_history_is_found(store, follower, seen):
    """Requests would still go to an endpoint that has left.

    Its registration is deleted while the watch is down, and the history is compacted.
    """
    store.snapshots = [
        Snapshot((item("p/a", b"1", 3), item("p/b", b"1", 4)), 10),
        Snapshot((item("p/b", b"1", 4),), 30),
    ]
    store.changes = [StoreHistoryLost("gone")]
    follower.step()
    with pytest.raises(StoreHistoryLost):
        follower.step()
    follower._needs_listing = True
    follower.step()
    assert seen[-1].deleted == {"p/a"}


def test_later_values_of_a_peer_are_applied(store, follower, seen):
    store.snapshots = [Snapshot((item("p/a", b"1", 3),), 10)]
    follower.step()
    follower.replace_all({"p/a": b"2"}, 15, 14)
    assert follower.values == {"p/a": b"2"}
    assert follower.changed_revision == 14


def test_older_values_are_never_applied(store, follower, seen):
    """The current configuration would be replaced by an older one.

    A peer that was partitioned still has older values, and a watch that waited
    meanwhile returns changes that are already known.
    """
    store.snapshots = [Snapshot((item("p/a", b"1", 3),), 10)]
    store.changes = [Changes((Change("p/a", 12, b"2"),), 12)]
    follower.step()
    follower.replace_all({"p/a": b"3"}, 20, 19)
    follower.replace_all({"p/a": b"1"}, 11, 3)
    follower.step()
    assert follower.values == {"p/a": b"3"}
    assert len(seen) == 2


def test_a_first_listing_is_no_change_for_peers(store, follower):
    """All gateways would fetch all values from each gateway that starts.

    The store's revision has risen since the last change below the prefix. A gateway
    that lists now knows no more than those that watched.
    """
    store.snapshots = [Snapshot((item("p/a", b"1", 3),), 500)]
    follower.step()
    assert follower.changed_revision == 3


def test_a_failed_watch_raises(store, follower):
    store.snapshots = [Snapshot((), 10)]
    store.changes = [StoreNotReached("down")]
    follower.step()
    with pytest.raises(StoreNotReached):
        follower.step()


def list_values(store, follower, *items, revision=10):
    """Have the follower list values of the store."""
    store.snapshots = [Snapshot(tuple(items), revision)]
    follower.step()


def test_a_peer_gets_only_the_changes(store, follower):
    """Each change would send the whole list to forty gateways."""
    list_values(store, follower, item("p/a", b"1", 3), item("p/b", b"2", 4))
    store.changes = [Changes((Change("p/b", 12, b"3"), Change("p/a", 13, None)), 14)]
    follower.step()
    sent = follower.changes_since(10)
    assert not sent.is_complete
    assert (sent.values, sent.deleted) == ({"p/b": b"3"}, {"p/a": 13})
    assert follower.changes_since(13).values == {}


def test_a_peer_that_is_far_behind_gets_all_values(store, follower):
    """Keys that were deleted before this gateway's listing are unknown to it."""
    list_values(store, follower, item("p/a", b"1", 3))
    sent = follower.changes_since(2)
    assert sent.is_complete
    assert sent.values == {"p/a": b"1"}


def test_a_peer_gets_nothing_before_the_first_listing(follower):
    assert follower.changes_since(0) is None


def test_changes_from_a_peer_are_applied(store, follower):
    list_values(store, follower, item("p/a", b"1", 3), item("p/b", b"2", 4))
    seen = []
    other = new_follower(None, seen.append)
    other.apply_peer_values(follower.changes_since(0), 0)
    store.changes = [Changes((Change("p/c", 12, b"3"), Change("p/a", 13, None)), 14)]
    follower.step()
    since = other.changed_revision
    other.apply_peer_values(follower.changes_since(since), since)
    assert other.values == {"p/b": b"2", "p/c": b"3"}
    assert other.changed_revision == 13


def test_an_outdated_response_changes_nothing(store, follower):
    """A gateway would list an endpoint again that has left.

    Two peers respond, the one with the older revision last.
    """
    list_values(store, follower, item("p/a", b"1", 3))
    early = follower.changes_since(0)
    store.changes = [Changes((Change("p/a", 13, None),), 14)]
    follower.step()
    other = new_follower(None, [].append)
    other.apply_peer_values(follower.changes_since(0), 0)
    other.apply_peer_values(early, 0)
    assert other.values == {}


def test_changes_are_passed_on_from_peer_to_peer(store, follower):
    """A gateway that applied changes from a peer can send them to other peers."""
    list_values(store, follower, item("p/a", b"1", 3))
    middle, last = new_follower(None, [].append), new_follower(None, [].append)
    middle.apply_peer_values(follower.changes_since(0), 0)
    last.apply_peer_values(middle.changes_since(0), 0)
    for revision, change in (
        (12, Change("p/b", 12, b"2")),
        (13, Change("p/a", 13, None)),
    ):
        store.changes = [Changes((change,), revision)]
        follower.step()
        since = middle.changed_revision
        middle.apply_peer_values(follower.changes_since(since), since)
    since = last.changed_revision
    last.apply_peer_values(middle.changes_since(since), since)
    assert last.values == middle.values == {"p/b": b"2"}
    sent = middle.changes_since(12)
    assert (sent.is_complete, sent.deleted) == (False, {"p/a": 13})


def test_deleted_keys_are_not_kept_forever(store, follower):
    """A gateway's memory would grow with each endpoint that ever existed."""
    list_values(store, follower, item("p/a", b"1", 3))
    for number in range(MAX_DELETED_KEYS + 10):
        change = Change(f"p/{number}", 20 + number, None)
        store.changes = [Changes((change,), 20 + number)]
        follower.step()
    assert len(follower.changes_since(100).deleted) <= MAX_DELETED_KEYS
    assert follower.changes_since(15).is_complete


def test_a_gateway_that_need_not_watch_only_lists(store):
    """Each change would cost a call by each of two hundred gateways."""
    clock = ManualClock()
    follower = Follower(
        "p/",
        store,
        print,
        Dependency("store", clock),
        clock,
        Random(1),
        should_watch=lambda: False,
    )
    store.snapshots = [Snapshot((item("p/a", b"1", 3),), 10)]
    task = spawn(follower.run)
    sleep(timedelta(milliseconds=300))
    task.kill()
    assert follower.revision == 10


def test_a_loss_and_its_end_are_logged_once(store):
    """The logs would say that the store responds while one prefix is still outdated.

    The gateway's other calls get responses again. Only the prefix's own log lines say
    that its values may be outdated, and for how long.
    """
    clock = SystemClock()
    follower = Follower("p/", store, print, Dependency("s", clock), clock, Random(1))
    store.snapshots = [Snapshot((), 10)]
    responses = [Changes((), 11)] * 50
    store.changes = [StoreNotReached("down"), StoreNotReached("down"), *responses]
    logs = LogRecorder()
    with logs.applicationbound():
        task = spawn(follower.run)
        wait_for(lambda: follower.revision == 11, "not followed again")
        sleep(timedelta(milliseconds=300))
        task.kill()
    messages = [rec.message for rec in logs.records if rec.channel == "following"]
    assert messages == ["store not followed", "store followed again"]


def in_epoch(revision: int, epoch: int = 1) -> int:
    return ordered_revision(epoch, revision)


def test_a_restored_store_replaces_what_has_a_greater_revision(store, follower, seen):
    """Guards against changes under revisions that were seen before the restore."""
    store.snapshots = [
        Snapshot((item("p/a", b"1", 40),), 50),
        Snapshot((item("p/a", b"2", in_epoch(20)),), in_epoch(21)),
    ]
    follower.step()
    follower._needs_listing = True
    follower.step()
    assert follower.values == {"p/a": b"2"}
    assert seen[-1].is_restored
    store.changes = [Changes((Change("p/a", in_epoch(22), b"3"),), in_epoch(22))]
    follower.step()
    assert follower.values == {"p/a": b"3"}
    assert not seen[-1].is_restored
    sleep(SETTLED)


@pytest.mark.parametrize("epoch", [0, 1])
def test_a_first_listing_tells_whether_its_store_was_restored(
    store, follower, seen, epoch
):
    """Guards against trust in a copy's older values at a gateway that starts."""
    revision = in_epoch(20, epoch)
    store.snapshots = [Snapshot((item("p/a", b"1", revision),), revision)]
    follower.step()
    assert seen[0].is_restored == bool(epoch)


@pytest.fixture
def restored(store):
    """Return a follower of a store that was restored."""
    follower = new_follower(store, lambda changes: None)
    store.snapshots = [
        Snapshot((item("p/a", b"1", 3), item("p/gone", b"1", 4)), 10),
        Snapshot((item("p/gone", b"1", in_epoch(4)),), in_epoch(5)),
    ]
    store.changes = [Changes((Change("p/gone", 11, None),), 11)]
    follower.step()
    follower.step()
    follower._needs_listing = True
    follower.step()
    yield follower
    # Its task must not outlive the test.
    sleep(SETTLED)


def test_what_a_restored_store_lacks_is_kept_for_a_while(restored):
    """Guards against endpoints dropped as their registrations were lost."""
    assert restored.values == {"p/a": b"1"}
    sleep(timedelta(milliseconds=60))
    assert restored.values == {}


def test_what_is_written_again_after_a_restore_stays(store, restored):
    store.changes = [
        Changes(
            (Change("p/a", in_epoch(6), b"1"), Change("p/gone", in_epoch(7), b"2")),
            in_epoch(7),
        )
    ]
    restored.step()
    sleep(timedelta(milliseconds=60))
    assert restored.values == {"p/a": b"1", "p/gone": b"2"}


def test_what_a_restored_store_has_again_is_left_out_for_a_while(restored):
    """Guards against endpoints used again after their registration was removed."""
    assert "p/gone" not in restored.values
    sleep(timedelta(milliseconds=60))
    assert "p/gone" not in restored.values
    sleep(SETTLED)
    assert restored.values == {"p/gone": b"1"}


def test_an_earlier_value_that_is_left_out_after_a_restore_is_taken_in_the_end(store):
    """Guards against gateways that disagree for good if no writer repeats a value."""
    follower = new_follower(
        store, lambda changes: None, is_left_out=lambda key: key == "p/order"
    )
    for value, revision in ((b"new", 10), (b"old", in_epoch(5))):
        held = item("p/order", value, revision)
        other = item("p/other", value, revision)
        store.snapshots = [Snapshot((held, other), revision)]
        follower._needs_listing = True
        follower.step()
    assert follower.values == {"p/order": b"new", "p/other": b"old"}
    sleep(SETTLED)
    assert follower.values == {"p/order": b"old", "p/other": b"old"}
    assert follower.revision_of("p/order") == in_epoch(5)


def test_a_peer_that_still_holds_the_old_epoch_changes_nothing(restored, store):
    """Guards against gateways that were partitioned from the store in a restore."""
    before = dict(restored.values)
    restored.replace_all({"p/old": b"1"}, 500, 499)
    restored.apply_peer_values(
        StoreValues(600, 600, {"p/old": b"1"}, is_complete=False), since=11
    )
    assert restored.values == before


def test_a_follower_of_the_old_epoch_learns_of_the_restore_from_a_peer(store, restored):
    """Guards against a gateway that keeps what was known before, for good."""
    other = new_follower(store, lambda changes: None, seed=2)
    store.snapshots = [Snapshot((item("p/a", b"1", 3), item("p/b", b"1", 4)), 90)]
    other.step()
    store.changes = [
        Changes((Change("p/b", in_epoch(6), b"2"),), in_epoch(6)),
    ]
    restored.step()
    values = restored.changes_since(other.changed_revision)
    assert values.is_complete
    other.apply_peer_values(values, other.changed_revision)
    assert other.values["p/b"] == b"2"
    assert other.revision == restored.revision


def test_two_restores_in_a_row_leave_the_last(store, restored):
    store.snapshots = [
        Snapshot((item("p/a", b"9", in_epoch(3, 2)),), in_epoch(4, 2)),
    ]
    restored._needs_listing = True
    restored.step()
    assert restored.values["p/a"] == b"9"
    sleep(timedelta(milliseconds=80))
    assert restored.values == {"p/a": b"9"}
