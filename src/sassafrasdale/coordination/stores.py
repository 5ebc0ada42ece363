"""The contract of the platform's key-value store."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

ABSENT = 0
"""The ``mod_revision`` of a key that does not exist."""


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A key with its value and revisions."""

    key: str
    value: bytes
    mod_revision: int
    create_revision: int


@dataclass(frozen=True, slots=True)
class Swap:
    """Result of a conditional write; true if it was applied.

    :param succeeded: whether the condition held and the write was applied.
    :param revision: revision of the store after the call.
    :param current: what the key holds instead, if the condition did not hold.
    """

    succeeded: bool
    revision: int
    current: StoredValue | None = None

    def __bool__(self) -> bool:
        return self.succeeded


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease of the store; keys attached to it vanish when it expires."""

    id: int
    ttl: timedelta


@dataclass(frozen=True, slots=True)
class ConditionalWrite:
    """A write of ``key`` on condition that it still has ``mod_revision``."""

    key: str
    value: bytes
    mod_revision: int
    lease: Lease | None = None


class BaseStore(ABC):
    """What the package needs of a key-value store.

    Every method raises ``StoreNotReached`` or ``StoreOverloaded`` if the call
    certainly had no effect, and ``StoreAnswerLost`` if that is not known.
    """

    @abstractmethod
    def get(self, key: str) -> StoredValue | None:
        """Return what ``key`` holds."""

    @abstractmethod
    def revision_of(self, key: str) -> int:
        """Return the ``mod_revision`` of ``key``, ``ABSENT`` if it doesn't exist."""

    @abstractmethod
    def list(
        self, prefix: str, *, limit: int = 0, newest_first: bool = False
    ) -> tuple[StoredValue, ...]:
        """Return the keys that begin with ``prefix``, in the order of their names.

        :param limit: the most keys to return; 0 for all.
        :param newest_first: whether to go through the names backwards.
        """

    @abstractmethod
    def compare_and_swap(
        self,
        key: str,
        value: bytes,
        mod_revision: int,
        *,
        also: Mapping[str, bytes] | None = None,
        lease: Lease | None = None,
    ) -> Swap:
        """Write ``key`` if it still has ``mod_revision``.

        :param also: further keys to write in the same transaction.
        :param lease: lease to attach ``key`` to; without one it is detached.
        :raises LeaseNotFound: if ``lease`` has expired.
        """

    @abstractmethod
    def swap_all(self, writes: tuple[ConditionalWrite, ...]) -> tuple[Swap, ...]:
        """Apply all of ``writes``, or none if one of their conditions fails.

        :param writes: writes of different keys.
        :returns: one swap for each write; all succeeded or none did.
        :raises LeaseNotFound: if a lease has expired.
        """

    @abstractmethod
    def delete(self, key: str) -> None:
        """Delete ``key``."""

    @abstractmethod
    def grant_lease(self, ttl: timedelta) -> Lease:
        """Return a new lease that lasts ``ttl`` unless it is kept alive."""

    @abstractmethod
    def keep_alive(self, lease: Lease) -> None:
        """Extend ``lease`` to its whole time to live from now.

        :raises LeaseNotFound: if it has expired.
        """

    @abstractmethod
    def revoke(self, lease: Lease) -> None:
        """End ``lease`` and delete the keys attached to it."""

    @abstractmethod
    def watch(self, key: str, after: int, limit: timedelta) -> StoredValue | None:
        """Wait until ``key`` is written at a revision above ``after``.

        :param limit: how long to wait; None is returned when it has passed.
        """

    def create(self, key: str, value: bytes, *, lease: Lease | None = None) -> Swap:
        """Write ``key`` if it does not exist."""
        return self.compare_and_swap(key, value, ABSENT, lease=lease)
