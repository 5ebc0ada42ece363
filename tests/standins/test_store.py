"""Tests of the store's state."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import ManualClock
from standins.store import (
    FROM_KEY,
    KeyRange,
    LeaseNotFoundError,
    Store,
    ValueTooLargeError,
)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def store(clock: ManualClock) -> Store:
    return Store(clock, max_value_bytes=8)


def put(store: Store, key: bytes, value: bytes = b"v", lease: int = 0) -> None:
    store.transact(lambda txn: txn.put(key, value, lease))


def test_a_key_keeps_its_create_revision_and_counts_versions(store):
    put(store, b"a")
    put(store, b"a")
    found = store.range(KeyRange(b"a"))[0]
    assert (found.create_revision, found.mod_revision, found.version) == (2, 3, 2)


def test_a_recreated_key_gets_new_revisions_and_versions(store):
    put(store, b"a")
    store.transact(lambda txn: txn.delete(KeyRange(b"a")))
    put(store, b"a")
    found = store.range(KeyRange(b"a"))[0]
    assert (found.create_revision, found.version) == (4, 1)


@pytest.mark.parametrize(
    ("end", "found"),
    [(b"", [b"b"]), (b"c", [b"b", b"bb"]), (FROM_KEY, [b"b", b"bb", b"c"])],
)
def test_a_range_excludes_its_end(store, end, found):
    for key in (b"c", b"bb", b"b", b"a"):
        put(store, key)
    assert [stored.key for stored in store.range(KeyRange(b"b", end))] == found


def test_writes_of_one_transaction_share_a_revision(store):
    store.transact(lambda txn: (txn.put(b"a", b"1"), txn.put(b"b", b"2")))
    revisions = {stored.mod_revision for stored in store.range(KeyRange(b"a", b"z"))}
    assert revisions == {2}


def test_a_failed_transaction_changes_nothing(store):
    with pytest.raises(ValueTooLargeError):
        store.transact(lambda txn: (txn.put(b"a", b"1"), txn.put(b"b", b"x" * 9)))
    assert store.revision == 1
    assert not store.range(KeyRange(b"a"))


def test_an_expired_lease_deletes_its_keys(store, clock):
    lease = store.grant(timedelta(seconds=5))
    put(store, b"a", lease=lease.lease_id)
    clock.advance(timedelta(seconds=4))
    store.keep_alive(lease.lease_id)
    clock.advance(timedelta(seconds=4))
    store.expire_leases()
    assert store.range(KeyRange(b"a"))
    clock.advance(timedelta(seconds=1))
    store.expire_leases()
    assert not store.range(KeyRange(b"a"))
    with pytest.raises(LeaseNotFoundError):
        store.keep_alive(lease.lease_id)


def test_a_key_rewritten_without_its_lease_outlives_the_lease(store):
    lease = store.grant(timedelta(seconds=5))
    put(store, b"a", lease=lease.lease_id)
    put(store, b"a")
    store.revoke(lease.lease_id)
    assert store.range(KeyRange(b"a"))


def test_a_watch_replays_history_then_delivers_changes(store):
    put(store, b"a", b"1")
    put(store, b"b", b"2")
    watch = store.watch(KeyRange(b"a"), start_revision=2)
    store.transact(lambda txn: txn.delete(KeyRange(b"a")))
    assert [watch.inbox.get()[0].version for _ in range(2)] == [1, 0]
    watch.close()
    put(store, b"a")
    assert watch.inbox.empty()
