"""What a duty's holder writes to the store for the holder after it."""

from typing import Any

from logbook import Logger
from pydantic import TypeAdapter, ValidationError

from sassafrasdale.coordination.exceptions import LeaseNotHeld, StoreError
from sassafrasdale.coordination.stores import BaseStore

log = Logger("records")


class DutyRecord:
    """A document in the store that one holder at a time reads and then writes.

    A write succeeds only over the revision that this holder has read. So a former
    holder that was paused can't overwrite what its successor has written.

    :param store: the platform's store.
    :param key: where the document is kept.
    :param form: form of the document.
    """

    def __init__(self, store: BaseStore, key: str, form: TypeAdapter) -> None:
        self._store = store
        self._key = key
        self._form = form
        self._revision: int | None = None

    @property
    def is_known(self) -> bool:
        """Whether the document was read and nothing made that doubtful since."""
        return self._revision is not None

    def read(self) -> Any:
        """Return the document, or None if there is none that can be read.

        :raises StoreError: if the store gives no answer.
        """
        held = self._store.get(self._key)
        self._revision = 0 if held is None else held.mod_revision
        if held is None:
            return None
        try:
            return self._form.validate_json(held.value)
        except ValidationError as error:
            log.error("record malformed, begun anew", key=self._key, why=str(error))
            return None

    def write(self, document: Any) -> None:
        """Write the document over the one that was read.

        :raises LeaseNotHeld: if another holder has written since.
        :raises StoreError: if the store gives no answer; the write may have landed,
            and the document has to be read before it is written again.
        """
        value = self._form.dump_json(document)
        try:
            swap = self._store.compare_and_swap(self._key, value, self._revision)
        except StoreError:
            self._revision = None
            raise
        if not swap:
            self._revision = None
            raise LeaseNotHeld(f"another holder has written {self._key}")
        self._revision = swap.revision
