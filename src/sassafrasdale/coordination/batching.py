"""Batches the conditional writes of many tasks into few transactions.

The store limits the rate of calls, so concurrent writes are sent in one call.
Each write keeps its own condition and its own result; safety depends only on the
store's comparison, as without batching.
"""

from collections import deque
from collections.abc import Mapping, Sequence
from datetime import timedelta

from sassafrasdale.coordination.exceptions import StoreError, StoreOverloaded
from sassafrasdale.coordination.stores import (
    ABSENT,
    BaseStore,
    ConditionalWrite,
    Lease,
    StoredValue,
    Swap,
)
from sassafrasdale.green import Event, sleep, spawn

MAX_WRITES = 100
MAX_BYTES = 512 * 1024
MIN_INTERVAL = timedelta(milliseconds=2)
MAX_INTERVAL = timedelta(milliseconds=64)
INTERVAL_DECAY = 0.95
MAX_OVERLOADS = 6


class _PendingWrite:
    """A write that waits for its result."""

    def __init__(self, write: ConditionalWrite) -> None:
        self.write = write
        self.overloads = 0
        self._done = Event()

    def resolve(self, swap: Swap) -> None:
        self._done.send(swap)

    def fail(self, error: StoreError) -> None:
        self._done.send_exception(error)

    def wait(self) -> Swap:
        return self._done.wait()


class BatchingStore(BaseStore):
    """Store that batches conditional writes and passes other calls through.

    The first write is sent immediately; writes that arrive within an interval
    after it are sent in one transaction. The interval grows while the store
    rate-limits calls, so that the same writes take fewer calls.

    :param store: the store to write to.
    """

    def __init__(self, store: BaseStore) -> None:
        self._store = store
        self._waiting: deque[_PendingWrite] = deque()
        self._interval = MIN_INTERVAL
        self._running = False

    @property
    def interval(self) -> timedelta:
        """Time between two transactions."""
        return self._interval

    def get(self, key: str) -> StoredValue | None:
        """Return the value of ``key``, None if it doesn't exist."""
        return self._store.get(key)

    def revision_of(self, key: str) -> int:
        """Return the ``mod_revision`` of ``key``."""
        return self._store.revision_of(key)

    def list(
        self, prefix: str, *, limit: int = 0, newest_first: bool = False
    ) -> tuple[StoredValue, ...]:
        """Return the keys that begin with ``prefix``, sorted by name."""
        return self._store.list(prefix, limit=limit, newest_first=newest_first)

    def compare_and_swap(
        self,
        key: str,
        value: bytes,
        mod_revision: int,
        *,
        also: Mapping[str, bytes] | None = None,
        lease: Lease | None = None,
    ) -> Swap:
        """Write ``key`` if it still has ``mod_revision``."""
        if also:
            return self._store.compare_and_swap(
                key, value, mod_revision, also=also, lease=lease
            )
        pending = _PendingWrite(ConditionalWrite(key, value, mod_revision, lease))
        self._waiting.append(pending)
        self._start()
        return pending.wait()

    def swap_all(self, writes: tuple[ConditionalWrite, ...]) -> tuple[Swap, ...]:
        """Apply all of ``writes``, or none if one of their conditions fails."""
        return self._store.swap_all(writes)

    def delete(self, key: str) -> None:
        """Delete ``key``."""
        self._store.delete(key)

    def grant_lease(self, ttl: timedelta) -> Lease:
        """Return a new lease that expires after ``ttl`` unless it is kept alive."""
        return self._store.grant_lease(ttl)

    def keep_alive(self, lease: Lease) -> None:
        """Extend ``lease`` to its full time to live from now."""
        self._store.keep_alive(lease)

    def revoke(self, lease: Lease) -> None:
        """Revoke ``lease`` and delete the keys attached to it."""
        self._store.revoke(lease)

    def watch(self, key: str, after: int, limit: timedelta) -> StoredValue | None:
        """Wait until ``key`` is written at a revision above ``after``."""
        return self._store.watch(key, after, limit)

    def _start(self) -> None:
        if self._running:
            return
        self._running = True
        spawn(self._run)

    def _run(self) -> None:
        while self._waiting:
            # Each transaction has its own task: a slow or lost response must not
            # delay later writes.
            spawn(self._send, self._next_batch())
            sleep(self._interval)
        self._running = False

    def _next_batch(self) -> Sequence[_PendingWrite]:
        """Remove and return the next writes, each of another key.

        The store rejects a transaction that writes a key twice.
        """
        batch: deque[_PendingWrite] = deque()
        keys: set[str] = set()
        size = 0
        while self._waiting and len(batch) < MAX_WRITES:
            write = self._waiting[0].write
            if write.key in keys or (batch and size + len(write.value) > MAX_BYTES):
                break
            batch.append(self._waiting.popleft())
            keys.add(write.key)
            size += len(write.value)
        return batch

    def _send(self, batch: Sequence[_PendingWrite]) -> None:
        writes = tuple(pending.write for pending in batch)
        try:
            swaps = self._store.swap_all(writes)
        except StoreOverloaded as error:
            self._handle_overload(batch, error)
        except StoreError as error:
            for pending in batch:
                pending.fail(error)
        else:
            shorter = self._interval * INTERVAL_DECAY
            self._interval = max(MIN_INTERVAL, shorter)
            self._resolve(batch, swaps)

    def _resolve(self, batch: Sequence[_PendingWrite], swaps: tuple[Swap, ...]) -> None:
        for pending, swap in zip(batch, swaps, strict=True):
            if swap or _revision(swap.current) != pending.write.mod_revision:
                pending.resolve(swap)
            else:
                # Its own condition held, but another of the same transaction failed.
                self._waiting.append(pending)
        if self._waiting:
            self._start()

    def _handle_overload(
        self, batch: Sequence[_PendingWrite], error: StoreOverloaded
    ) -> None:
        """Lengthen the interval and queue the rate-limited writes again.

        A rate-limited call had no effect, so retrying it is safe.
        """
        self._interval = min(self._interval * 2, MAX_INTERVAL)
        for pending in batch:
            pending.overloads += 1
            if pending.overloads > MAX_OVERLOADS:
                pending.fail(error)
            else:
                self._waiting.append(pending)
        if self._waiting:
            self._start()


def _revision(current: StoredValue | None) -> int:
    return current.mod_revision if current else ABSENT
