"""Conditional writes of many tasks, gathered into few transactions.

The store counts each call, so the writes of requests that come together travel
together. Each write keeps its own condition and its own answer; safety rests on
the store's comparison alone, as without gathering.
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
FIRST_INTERVAL = timedelta(milliseconds=2)
LONGEST_INTERVAL = timedelta(milliseconds=64)
INTERVAL_DECAY = 0.95
OVERLOADS_BORNE = 6


class _PendingWrite:
    """A write that waits for its answer."""

    def __init__(self, write: ConditionalWrite) -> None:
        self.write = write
        self.overloads = 0
        self._answered = Event()

    def answer(self, swap: Swap) -> None:
        self._answered.send(swap)

    def fail(self, error: StoreError) -> None:
        self._answered.send_exception(error)

    def wait(self) -> Swap:
        return self._answered.wait()


class GatheringStore(BaseStore):
    """Store that gathers conditional writes; all else passes through.

    A write on its own is sent at once. Those that come within an interval after
    it are sent together. The interval grows while the store refuses calls over its
    rate, so that the same writes fit into fewer calls.

    :param store: the store to write to.
    """

    def __init__(self, store: BaseStore) -> None:
        self._store = store
        self._waiting: deque[_PendingWrite] = deque()
        self._interval = FIRST_INTERVAL
        self._running = False

    @property
    def interval(self) -> timedelta:
        """Time between two transactions."""
        return self._interval

    def get(self, key: str) -> StoredValue | None:
        """Return what ``key`` holds."""
        return self._store.get(key)

    def revision_of(self, key: str) -> int:
        """Return the ``mod_revision`` of ``key``."""
        return self._store.revision_of(key)

    def list(
        self, prefix: str, *, limit: int = 0, newest_first: bool = False
    ) -> tuple[StoredValue, ...]:
        """Return the keys that begin with ``prefix``, in the order of their names."""
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
        """Return a new lease that lasts ``ttl`` unless it is kept alive."""
        return self._store.grant_lease(ttl)

    def keep_alive(self, lease: Lease) -> None:
        """Extend ``lease`` to its whole time to live from now."""
        self._store.keep_alive(lease)

    def revoke(self, lease: Lease) -> None:
        """End ``lease`` and delete the keys attached to it."""
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
            # Each transaction has a task of its own: an answer that is slow or
            # lost must not hold up the writes that come after it.
            spawn(self._send, self._take())
            sleep(self._interval)
        self._running = False

    def _take(self) -> Sequence[_PendingWrite]:
        """Take the next writes, with no key twice, as the store requires."""
        taken: deque[_PendingWrite] = deque()
        keys: set[str] = set()
        size = 0
        while self._waiting and len(taken) < MAX_WRITES:
            write = self._waiting[0].write
            if write.key in keys or (taken and size + len(write.value) > MAX_BYTES):
                break
            taken.append(self._waiting.popleft())
            keys.add(write.key)
            size += len(write.value)
        return taken

    def _send(self, batch: Sequence[_PendingWrite]) -> None:
        writes = tuple(pending.write for pending in batch)
        try:
            swaps = self._store.swap_all(writes)
        except StoreOverloaded as error:
            self._heed_overload(batch, error)
        except StoreError as error:
            for pending in batch:
                pending.fail(error)
        else:
            shorter = self._interval * INTERVAL_DECAY
            self._interval = max(FIRST_INTERVAL, shorter)
            self._answer(batch, swaps)

    def _answer(self, batch: Sequence[_PendingWrite], swaps: tuple[Swap, ...]) -> None:
        for pending, swap in zip(batch, swaps, strict=True):
            if swap or _revision(swap.current) != pending.write.mod_revision:
                pending.answer(swap)
            else:
                # Its condition held; another's of the same transaction did not.
                self._waiting.append(pending)
        if self._waiting:
            self._start()

    def _heed_overload(
        self, batch: Sequence[_PendingWrite], error: StoreOverloaded
    ) -> None:
        """Wait longer between transactions and send the refused writes again.

        A refusal over the rate had no effect, so that sending again is safe.
        """
        self._interval = min(self._interval * 2, LONGEST_INTERVAL)
        for pending in batch:
            pending.overloads += 1
            if pending.overloads > OVERLOADS_BORNE:
                pending.fail(error)
            else:
                self._waiting.append(pending)
        if self._waiting:
            self._start()


def _revision(current: StoredValue | None) -> int:
    return current.mod_revision if current else ABSENT
