"""Following the store through outages, lost history and peers."""

from random import Random

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.coordination.exceptions import StoreHistoryLost, StoreNotReached
from sassafrasdale.coordination.stores import StoredValue
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.gateway.following import Follower
from sassafrasdale.platform.store import Change, Changes, Snapshot


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
    follower._must_list = True
    follower.step()
    assert seen[-1].deleted == {"p/a"}


def test_what_a_peer_knows_later_is_taken(store, follower, seen):
    store.snapshots = [Snapshot((item("p/a", b"1", 3),), 10)]
    follower.step()
    follower.adopt({"p/a": b"2"}, 15, 14)
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
    follower.adopt({"p/a": b"3"}, 20, 19)
    follower.adopt({"p/a": b"1"}, 11, 3)
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
