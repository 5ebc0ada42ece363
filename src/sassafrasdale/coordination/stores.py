"""Interface of the platform's key-value store."""

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
    """Result of a conditional write; truthy if it was applied.

    :param succeeded: whether the condition held and the write was applied.
    :param revision: revision of the store after the call.
    :param current: the key's current value, if the condition did not hold.
    """

    succeeded: bool
    revision: int
    current: StoredValue | None = None

    def __bool__(self) -> bool:
        return self.succeeded


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease of the store; keys attached to it are deleted when it expires."""

    id: int
    ttl: timedelta


@dataclass(frozen=True, slots=True)
class ConditionalWrite:
    """A write of ``key`` that applies only if it still has ``mod_revision``."""

    key: str
    value: bytes
    mod_revision: int
    lease: Lease | None = None


class BaseStore(ABC):
    """Key-value store with revisions, transactions, leases and watches.

    Every method raises ``StoreNotReached`` or ``StoreOverloaded`` if the call had
    no effect, and ``StoreAnswerLost`` if it is unknown whether it had one.
    """

    @abstractmethod
    def get(self, key: str) -> StoredValue | None:
        """Return the value of ``key``, None if it doesn't exist."""

    @abstractmethod
    def revision_of(self, key: str) -> int:
        """Return the ``mod_revision`` of ``key``, ``ABSENT`` if it doesn't exist."""

    @abstractmethod
    def list(
        self, prefix: str, *, limit: int = 0, newest_first: bool = False
    ) -> tuple[StoredValue, ...]:
        """Return the keys that begin with ``prefix``, sorted by name.

        :param limit: maximum number of keys to return; 0 for all.
        :param newest_first: whether to sort in descending order.
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

        :param also: other keys to write in the same transaction.
        :param lease: lease to attach ``key`` to; None detaches it.
        :raises LeaseNotFound: if ``lease`` has expired.
        """

    @abstractmethod
    def swap_all(self, writes: tuple[ConditionalWrite, ...]) -> tuple[Swap, ...]:
        """Apply all of ``writes``, or none if one of their conditions fails.

        :param writes: writes of different keys.
        :returns: one result per write; all succeeded or none did.
        :raises LeaseNotFound: if a lease has expired.
        """

    @abstractmethod
    def delete(self, key: str) -> None:
        """Delete ``key``."""

    @abstractmethod
    def grant_lease(self, ttl: timedelta) -> Lease:
        """Return a new lease that expires after ``ttl`` unless it is kept alive."""

    @abstractmethod
    def keep_alive(self, lease: Lease) -> None:
        """Extend ``lease`` to its full time to live from now.

        :raises LeaseNotFound: if it has expired.
        """

    @abstractmethod
    def revoke(self, lease: Lease) -> None:
        """Revoke ``lease`` and delete the keys attached to it."""

    @abstractmethod
    def watch(self, key: str, after: int, limit: timedelta) -> StoredValue | None:
        """Wait until ``key`` is written at a revision above ``after``.

        :param limit: how long to wait; None is returned if nothing was written.
        """

    def create(self, key: str, value: bytes, *, lease: Lease | None = None) -> Swap:
        """Write ``key`` if it does not exist."""
        return self.compare_and_swap(key, value, ABSENT, lease=lease)
