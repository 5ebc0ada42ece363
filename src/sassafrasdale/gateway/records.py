"""Records that a leader keeps in the store for its successor."""

from typing import Any

from logbook import Logger
from pydantic import TypeAdapter, ValidationError

from sassafrasdale.coordination.exceptions import LeaseNotHeld, StoreError
from sassafrasdale.coordination.stores import BaseStore

log = Logger("records")


class DutyRecord:
    """A stored document that the leader reads once and then writes.

    A write succeeds only over the revision that this gateway has read. So a former
    leader that was paused can't overwrite its successor's document.

    :param store: the platform's store.
    :param key: key of the document.
    :param schema: schema of the document.
    """

    def __init__(self, store: BaseStore, key: str, schema: TypeAdapter) -> None:
        self._store = store
        self._key = key
        self._schema = schema
        self._revision: int | None = None
        self._epoch = 0

    @property
    def is_known(self) -> bool:
        """Whether the stored revision is known, so that the document can be written."""
        return self._revision is not None

    @property
    def is_current(self) -> bool:
        """Whether the store has not been restored since the last read or write."""
        return self.is_known and self._epoch == self._store.epoch

    @property
    def store_epoch(self) -> int:
        """Number of the store's restores, as far as known."""
        return self._store.epoch

    def read(self) -> Any:
        """Return the document, or None if it is missing or malformed.

        :raises StoreError: if the store does not respond.
        """
        stored = self._store.get(self._key)
        self._revision = 0 if stored is None else stored.mod_revision
        self._epoch = self._store.epoch
        if stored is None:
            return None
        try:
            return self._schema.validate_json(stored.value)
        except ValidationError as error:
            log.error(
                "record malformed; starting with an empty one",
                key=self._key,
                why=str(error),
            )
            return None

    def write(self, document: Any) -> None:
        """Write the document over the one that was read.

        :raises LeaseNotHeld: if another leader has written since.
        :raises StoreError: if the store does not respond; the write may have been
            applied, so the document must be read before the next write.
        """
        value = self._schema.dump_json(document)
        try:
            swap = self._store.compare_and_swap(self._key, value, self._revision)
        except StoreError:
            self._revision = None
            raise
        if not swap:
            self._revision = None
            raise LeaseNotHeld(f"another leader has written {self._key}")
        self._revision = swap.revision
        self._epoch = self._store.epoch
