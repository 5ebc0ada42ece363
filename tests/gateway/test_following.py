"""Following the store through outages, lost history and peers."""

from datetime import timedelta
from random import Random

import pytest
from logbook import TestHandler as LogRecorder

from sassafrasdale.clock import ManualClock, SystemClock
from sassafrasdale.coordination.exceptions import StoreHistoryLost, StoreNotReached
from sassafrasdale.coordination.stores import StoredValue
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.gateway.following import MAX_DELETED_KEYS, Follower
from sassafrasdale.green import sleep, spawn
from sassafrasdale.platform.store import Change, Changes, Snapshot
from standins.gateway_fleet import wait_for


class Store:
    """A store whose answers a test lines up."""

    def __init__(self):
        self.snapshots = []
        self.changes = []

    def snapshot(self, prefix):
        return self.snapshots.pop(0)

    def follow(self, prefix, after, limit):
        answer = self.changes.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def item(key: str, value: bytes, revision: int) -> StoredValue:
    return StoredValue(key, value, revision, revision)


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def seen():
    return []


@pytest.fixture
def follower(store, seen):
    clock = ManualClock()
    return Follower(
        "p/", store, seen.append, Dependency("store", clock), clock, Random(1)
    )


def test_a_listing_then_changes(store, follower, seen):
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


def test_a_departure_in_a_lost_history_is_found(store, follower, seen):
    """Requests would go on to an endpoint that has left.

    The entry goes while the watch is cut and the history is dropped.
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


def test_what_a_peer_knows_later_is_taken(store, follower, seen):
    store.snapshots = [Snapshot((item("p/a", b"1", 3),), 10)]
    follower.step()
    follower.replace_all({"p/a": b"2"}, 15, 14)
    assert follower.values == {"p/a": b"2"}
    assert follower.changed_revision == 14


def test_it_never_goes_back(store, follower, seen):
    """A configuration that was in force would be replaced by an older one.

    A peer that was cut off for a while still has the older values, and a watch
    that waited through it brings changes that are known by now.
    """
    store.snapshots = [Snapshot((item("p/a", b"1", 3),), 10)]
    store.changes = [Changes((Change("p/a", 12, b"2"),), 12)]
    follower.step()
    follower.replace_all({"p/a": b"3"}, 20, 19)
    follower.replace_all({"p/a": b"1"}, 11, 3)
    follower.step()
    assert follower.values == {"p/a": b"3"}
    assert len(seen) == 2


def test_a_first_listing_is_no_news_to_peers(store, follower):
    """All gateways would fetch everything from each one that starts.

    The store has moved on since the last change below the prefix; a gateway that
    lists now knows no more than those that watched.
    """
    store.snapshots = [Snapshot((item("p/a", b"1", 3),), 500)]
    follower.step()
    assert follower.changed_revision == 3


def test_a_failing_store_is_not_asked_in_a_rush(store, follower):
    store.snapshots = [Snapshot((), 10)]
    store.changes = [StoreNotReached("down")]
    follower.step()
    with pytest.raises(StoreNotReached):
        follower.step()


def listed(store, follower, *items, revision=10):
    """Read a listing of the store."""
    store.snapshots = [Snapshot(tuple(items), revision)]
    follower.step()


def another(seen):
    clock = ManualClock()
    return Follower(
        "p/", None, seen.append, Dependency("store", clock), clock, Random(1)
    )


def test_a_peer_gets_only_what_has_changed(store, follower):
    """Each change of the list would send the whole of it to forty gateways."""
    listed(store, follower, item("p/a", b"1", 3), item("p/b", b"2", 4))
    store.changes = [Changes((Change("p/b", 12, b"3"), Change("p/a", 13, None)), 14)]
    follower.step()
    told = follower.changes_since(10)
    assert not told.is_whole
    assert (told.values, told.deleted) == ({"p/b": b"3"}, {"p/a": 13})
    assert follower.changes_since(13).values == {}


def test_a_peer_that_is_far_behind_gets_everything(store, follower):
    """What was deleted before this gateway's listing isn't known by its key."""
    listed(store, follower, item("p/a", b"1", 3))
    told = follower.changes_since(2)
    assert told.is_whole
    assert told.values == {"p/a": b"1"}


def test_nothing_is_told_before_anything_is_known(follower):
    assert follower.changes_since(0) is None


def test_changes_of_a_peer_are_taken(store, follower):
    listed(store, follower, item("p/a", b"1", 3), item("p/b", b"2", 4))
    seen = []
    other = another(seen)
    other.apply_peer_values(follower.changes_since(0), 0)
    store.changes = [Changes((Change("p/c", 12, b"3"), Change("p/a", 13, None)), 14)]
    follower.step()
    since = other.changed_revision
    other.apply_peer_values(follower.changes_since(since), since)
    assert other.values == {"p/b": b"2", "p/c": b"3"}
    assert other.changed_revision == 13


def test_an_answer_that_was_overtaken_changes_nothing(store, follower):
    """A gateway would go back to an endpoint that has left.

    Two peers are asked, and the answer of the one that has followed less far comes
    last.
    """
    listed(store, follower, item("p/a", b"1", 3))
    early = follower.changes_since(0)
    store.changes = [Changes((Change("p/a", 13, None),), 14)]
    follower.step()
    other = another([])
    other.apply_peer_values(follower.changes_since(0), 0)
    other.apply_peer_values(early, 0)
    assert other.values == {}


def test_changes_go_on_from_one_peer_to_the_next(store, follower):
    """A gateway that took changes from a peer tells them to others in turn."""
    listed(store, follower, item("p/a", b"1", 3))
    middle, last = another([]), another([])
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
    told = middle.changes_since(12)
    assert (told.is_whole, told.deleted) == (False, {"p/a": 13})


def test_deleted_keys_are_not_kept_for_good(store, follower):
    """A gateway would grow with each endpoint that ever was."""
    listed(store, follower, item("p/a", b"1", 3))
    for number in range(MAX_DELETED_KEYS + 10):
        change = Change(f"p/{number}", 20 + number, None)
        store.changes = [Changes((change,), 20 + number)]
        follower.step()
    assert len(follower.changes_since(100).deleted) <= MAX_DELETED_KEYS
    assert follower.changes_since(15).is_whole


def test_a_gateway_that_need_not_watch_asks_the_store_once(store):
    """Each change would cost a call of each of two hundred gateways."""
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


def test_a_loss_and_its_end_are_told_once(store):
    """An engineer sees the store regained while one prefix still waits for an answer.

    Other calls of the gateway are answered again; only the prefix's own lines tell
    that its values may be outdated, and for how long.
    """
    clock = SystemClock()
    follower = Follower("p/", store, print, Dependency("s", clock), clock, Random(1))
    store.snapshots = [Snapshot((), 10)]
    answers = [Changes((), 11)] * 50
    store.changes = [StoreNotReached("down"), StoreNotReached("down"), *answers]
    logs = LogRecorder()
    with logs.applicationbound():
        task = spawn(follower.run)
        wait_for(lambda: follower.revision == 11, "not followed again")
        sleep(timedelta(milliseconds=300))
        task.kill()
    told = [rec.message for rec in logs.records if rec.channel == "following"]
    assert told == ["store not followed", "store followed again"]
