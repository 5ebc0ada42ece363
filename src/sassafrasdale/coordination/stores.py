"""Interface of the platform's key-value store."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

ABSENT = 0
"""The ``mod_revision`` of a key that does not exist."""


# Revisions are ordered across restores of the store: the upper bits count the restores,
# the lower ones are the store's own revision, which restores set back.
_REVISION_BITS = 32


def ordered_revision(epoch: int, revision: int) -> int:
    """Return a revision of the store that is later than all of earlier epochs."""
    return epoch << _REVISION_BITS | revision


def epoch_of(revision: int) -> int:
    """Return the epoch of a revision."""
    return revision >> _REVISION_BITS


def stored_revision(revision: int) -> int:
    """Return the store's own number of a revision."""
    return revision & ((1 << _REVISION_BITS) - 1)


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

    @property
    def epoch(self) -> int:
        """Number of the store's restores, as far as known."""
        return 0

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
