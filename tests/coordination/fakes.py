"""In-memory store that can lose responses and apply writes late."""

from collections.abc import Callable, Mapping
from datetime import timedelta

from sassafrasdale.clock import Clock, ManualClock
from sassafrasdale.coordination.exceptions import (
    LeaseNotFound,
    StoreAnswerLost,
    StoreNotReached,
    StoreOverloaded,
)
from sassafrasdale.coordination.stores import (
    BaseStore,
    ConditionalWrite,
    Lease,
    StoredValue,
    Swap,
)

RETRY_AFTER = timedelta(milliseconds=100)


class FakeStore(BaseStore):
    """Store in memory.

    :ivar faults: faults of the next calls, one per call: None for no fault;
        ``lost_after``: the call takes effect and its response is lost; ``late``:
        its response is lost and it takes effect when ``apply_late`` is called;
        ``lost_before``: its response is lost and it never takes effect;
        ``unreached`` and ``overloaded``: it fails without effect.
    :ivar late: writes that have not taken effect yet.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock = clock or ManualClock()
        self.revision = 1
        self.keys: dict[str, StoredValue] = {}
        self.attached: dict[str, int] = {}
        self.leases: dict[int, timedelta] = {}
        self.faults: list[str | None] = []
        self.late: list[Callable[[], object]] = []
        self.calls = 0
        self.writes = 0

    def apply_late(self, index: int = 0) -> None:
        """Apply a late write."""
        self.late.pop(index)()

    def get(self, key: str) -> StoredValue | None:
        return self._call(lambda: self.keys.get(key), write=False)

    def revision_of(self, key: str) -> int:
        stored = self.get(key)
        return stored.mod_revision if stored else 0

    def list(
        self, prefix: str, *, limit: int = 0, newest_first: bool = False
    ) -> tuple[StoredValue, ...]:
        def find() -> tuple[StoredValue, ...]:
            names = sorted(self.keys, reverse=newest_first)
            found = [self.keys[name] for name in names if name.startswith(prefix)]
            return tuple(found[:limit] if limit else found)

        return self._call(find, write=False)

    def compare_and_swap(
        self,
        key: str,
        value: bytes,
        mod_revision: int,
        *,
        also: Mapping[str, bytes] | None = None,
        lease: Lease | None = None,
    ) -> Swap:
        def swap() -> Swap:
            self._expire()
            current = self.keys.get(key)
            if (current.mod_revision if current else 0) != mod_revision:
                return Swap(False, self.revision, current)
            if lease is not None and lease.id not in self.leases:
                raise LeaseNotFound("requested lease not found")
            self.revision += 1
            self._put(key, value)
            self.attached[key] = lease.id if lease else 0
            for name, other in (also or {}).items():
                self._put(name, other)
            return Swap(True, self.revision)

        return self._call(swap)

    def swap_all(self, writes: tuple[ConditionalWrite, ...]) -> tuple[Swap, ...]:
        def swap() -> tuple[Swap, ...]:
            found = [self.keys.get(write.key) for write in writes]
            if any(
                (current.mod_revision if current else 0) != write.mod_revision
                for current, write in zip(found, writes, strict=True)
            ):
                return tuple(Swap(False, self.revision, item) for item in found)
            self.revision += 1
            for write in writes:
                self._put(write.key, write.value)
                self.attached[write.key] = write.lease.id if write.lease else 0
            return (Swap(True, self.revision),) * len(writes)

        return self._call(swap)

    def delete(self, key: str) -> None:
        self._call(lambda: self.keys.pop(key, None))

    def grant_lease(self, ttl: timedelta) -> Lease:
        def grant() -> Lease:
            lease = Lease(len(self.leases) + 1, ttl)
            self.leases[lease.id] = self.clock.elapsed() + ttl
            return lease

        return self._call(grant)

    def keep_alive(self, lease: Lease) -> None:
        def extend() -> None:
            self._expire()
            if lease.id not in self.leases:
                raise LeaseNotFound("requested lease not found")
            self.leases[lease.id] = self.clock.elapsed() + lease.ttl

        self._call(extend, write=False)

    def revoke(self, lease: Lease) -> None:
        def expire() -> None:
            self.leases[lease.id] = self.clock.elapsed()
            self._expire()

        self._call(expire)

    def watch(self, key: str, after: int, limit: timedelta) -> StoredValue | None:
        current = self.keys.get(key)
        return current if current and current.mod_revision > after else None

    def _put(self, key: str, value: bytes) -> None:
        before = self.keys.get(key)
        created = before.create_revision if before else self.revision
        self.keys[key] = StoredValue(key, value, self.revision, created)

    def _expire(self) -> None:
        now = self.clock.elapsed()
        expired = [lease for lease, expiry in self.leases.items() if expiry <= now]
        for lease in expired:
            del self.leases[lease]
        for key, lease in list(self.attached.items()):
            if lease in expired:
                del self.attached[key]
                self.keys.pop(key, None)

    def _call(self, effect: Callable, *, write: bool = True):
        self.calls += 1
        self.writes += write
        self._expire()
        match self.faults.pop(0) if self.faults else None:
            case None:
                return effect()
            case "lost_after":
                effect()
                raise StoreAnswerLost("response lost", retry_after=RETRY_AFTER)
            case "late":
                if write:
                    self.late.append(effect)
                raise StoreAnswerLost("write delayed", retry_after=RETRY_AFTER)
            case "lost_before":
                raise StoreAnswerLost("request lost", retry_after=RETRY_AFTER)
            case "unreached":
                raise StoreNotReached("store is out", retry_after=RETRY_AFTER)
            case "overloaded":
                raise StoreOverloaded("rate-limited", retry_after=RETRY_AFTER)
            case other:
                raise ValueError(other)
