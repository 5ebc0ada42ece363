"""Revisioned key-value state with leases and watches, modelled on etcd v3."""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.green import Queue

MAX_VALUE_BYTES = 1024 * 1024
FROM_KEY = b"\0"
"""``end`` of a range without an upper bound."""


class ValueTooLargeError(ValueError):
    """A value exceeds the store's size limit."""


class DuplicateKeyError(ValueError):
    """A transaction writes the same key twice."""


class LeaseNotFoundError(KeyError):
    """The lease has expired or was never granted."""


@dataclass(frozen=True, slots=True)
class StoredKey:
    """One key at one revision; ``version`` 0 marks a deletion."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@dataclass(slots=True)
class Lease:
    """A lease with the keys attached to it."""

    lease_id: int
    ttl: timedelta
    expires_at: timedelta
    keys: set[bytes]


@dataclass(frozen=True, slots=True)
class KeyRange:
    """Keys from ``start`` to ``end``, exclusive; just ``start`` if ``end`` is empty."""

    start: bytes
    end: bytes = b""

    def __contains__(self, key: bytes) -> bool:
        """Return whether ``key`` lies in the range."""
        if not self.end:
            return key == self.start
        return key >= self.start and (self.end == FROM_KEY or key < self.end)


class Store:
    """The state of the stand-in's store.

    :param clock: determines when leases expire.
    :param max_value_bytes: size limit of a value.
    """

    def __init__(self, clock: Clock, max_value_bytes: int = MAX_VALUE_BYTES) -> None:
        self._clock = clock
        self._max_value_bytes = max_value_bytes
        self._revision = 1
        self._keys: dict[bytes, StoredKey] = {}
        self._order: list[bytes] = []
        self._history: list[StoredKey] = []
        self._leases: dict[int, Lease] = {}
        self._next_lease = 1
        self._watchers: dict[int, tuple[KeyRange, Queue]] = {}
        self._next_watcher = 1

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return self._revision

    @property
    def watchers(self) -> int:
        """Number of open watches."""
        return len(self._watchers)

    def range(self, keys: KeyRange) -> list[StoredKey]:
        """Return the keys in the range, in order."""
        if not keys.end:
            found = self._keys.get(keys.start)
            return [found] if found else []
        first = bisect_left(self._order, keys.start)
        last = len(self._order)
        if keys.end != FROM_KEY:
            last = bisect_left(self._order, keys.end)
        return [self._keys[key] for key in self._order[first:last]]

    def transact(self, change: Callable[["Transaction"], None]) -> None:
        """Run ``change`` as a transaction; all its writes get one new revision."""
        transaction = Transaction(self, self._revision + 1)
        change(transaction)
        self._commit(transaction.changes)

    def grant(self, ttl: timedelta, lease_id: int = 0) -> Lease:
        """Grant a lease.

        :param lease_id: 0 for a new id.
        :raises ValueError: if there is a lease with the id.
        """
        if not lease_id:
            lease_id = self._next_lease
            self._next_lease += 1
        if lease_id in self._leases:
            raise ValueError("lease already exists")
        lease = Lease(lease_id, ttl, self._clock.elapsed() + ttl, set())
        self._leases[lease_id] = lease
        return lease

    def keep_alive(self, lease_id: int) -> Lease:
        """Renew a lease for its TTL.

        :raises LeaseNotFoundError: if it has expired.
        """
        lease = self.lease(lease_id)
        lease.expires_at = self._clock.elapsed() + lease.ttl
        return lease

    def lease(self, lease_id: int) -> Lease:
        """Return a lease that has not expired.

        :raises LeaseNotFoundError: if it has expired.
        """
        self.expire_leases()
        if lease_id not in self._leases:
            raise LeaseNotFoundError(lease_id)
        return self._leases[lease_id]

    def revoke(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys.

        :raises LeaseNotFoundError: if it has expired.
        """
        if lease_id not in self._leases:
            raise LeaseNotFoundError(lease_id)
        lease = self._leases.pop(lease_id)
        self.transact(lambda txn: _delete_all(txn, sorted(lease.keys)))

    def expire_leases(self) -> None:
        """Revoke all leases that have expired."""
        now = self._clock.elapsed()
        for lease in list(self._leases.values()):
            if lease.expires_at <= now:
                self.revoke(lease.lease_id)

    def watch(self, keys: KeyRange, start_revision: int) -> "Watch":
        """Open a watch that first replays the history from ``start_revision``.

        :param start_revision: 0 for later changes only.
        """
        inbox: Queue = Queue()
        if start_revision:
            past = [
                change
                for change in self._history
                if change.mod_revision >= start_revision and change.key in keys
            ]
            for batch in _by_revision(past):
                inbox.put(batch)
        watcher = self._next_watcher
        self._next_watcher += 1
        self._watchers[watcher] = (keys, inbox)
        return Watch(inbox, lambda: self._watchers.pop(watcher, None))

    def _commit(self, changes: list[StoredKey]) -> None:
        if not changes:
            return
        self._revision += 1
        for change in changes:
            self._apply(change)
        self._history.extend(changes)
        for keys, inbox in list(self._watchers.values()):
            seen = [change for change in changes if change.key in keys]
            if seen:
                inbox.put(seen)

    def _apply(self, change: StoredKey) -> None:
        before = self._keys.get(change.key)
        if before is not None and before.lease in self._leases:
            self._leases[before.lease].keys.discard(change.key)
        if not change.version:
            self._remove(change.key)
            return
        if before is None:
            insort(self._order, change.key)
        self._keys[change.key] = change
        if change.lease:
            self._leases[change.lease].keys.add(change.key)

    def _remove(self, key: bytes) -> None:
        if self._keys.pop(key, None) is not None:
            del self._order[bisect_left(self._order, key)]


class Watch:
    """An open watch.

    :param inbox: queue of batches of changes, one batch for each revision.
    :param close: closes the watch.
    """

    def __init__(self, inbox: Queue, close: Callable[[], None]) -> None:
        self.inbox = inbox
        self.close = close


class Transaction:
    """Reads and writes that take effect at once.

    :param revision: revision of the writes.
    """

    def __init__(self, store: Store, revision: int) -> None:
        self._store = store
        self._revision = revision
        self.changes: list[StoredKey] = []

    def range(self, keys: KeyRange) -> list[StoredKey]:
        """Return the keys in the range, including this transaction's own writes."""
        found = {stored.key: stored for stored in self._store.range(keys)}
        for change in self.changes:
            if change.key in keys:
                found[change.key] = change
        return [found[key] for key in sorted(found) if found[key].version]

    def put(self, key: bytes, value: bytes, lease: int = 0) -> StoredKey | None:
        """Write a key and return its previous state, None if there was none.

        :raises ValueTooLargeError: if the value exceeds the limit.
        :raises LeaseNotFoundError: if the lease has expired.
        :raises DuplicateKeyError: if the transaction already writes the key.
        """
        if len(value) > self._store._max_value_bytes:
            raise ValueTooLargeError("request is too large")
        if lease:
            self._store.lease(lease)
        if any(change.key == key for change in self.changes):
            raise DuplicateKeyError("duplicate key given in txn request")
        before = next(iter(self.range(KeyRange(key))), None)
        if before is None:
            after = StoredKey(key, value, self._revision, self._revision, 1, lease)
        else:
            after = replace(
                before,
                value=value,
                mod_revision=self._revision,
                version=before.version + 1,
                lease=lease,
            )
        self.changes.append(after)
        return before

    def delete(self, keys: KeyRange) -> list[StoredKey]:
        """Delete the keys in the range and return them."""
        found = self.range(keys)
        self.changes.extend(
            StoredKey(stored.key, b"", 0, self._revision, 0) for stored in found
        )
        return found


def _delete_all(transaction: Transaction, keys: list[bytes]) -> None:
    for key in keys:
        transaction.delete(KeyRange(key))


def _by_revision(changes: list[StoredKey]) -> Iterator[list[StoredKey]]:
    batch: list[StoredKey] = []
    for change in changes:
        if batch and batch[0].mod_revision != change.mod_revision:
            yield batch
            batch = []
        batch.append(change)
    if batch:
        yield batch
