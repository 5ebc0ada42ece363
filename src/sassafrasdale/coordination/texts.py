"""The configuration (the operators' text) in the store: reads, edits and watches."""

import json
from collections.abc import Callable
from dataclasses import asdict, dataclass
from datetime import datetime, timedelta
from random import Random

from pydantic import BaseModel, ValidationError

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.exceptions import (
    StoreAnswerLost,
    StoredValueMalformed,
    StoreError,
    TextError,
    TextOutcomeUnknown,
)
from sassafrasdale.coordination.stores import ABSENT, BaseStore, StoredValue, Swap
from sassafrasdale.green import Queue, sleep

TEXT_KEY = "sassafrasdale/text"
HISTORY_PREFIX = "sassafrasdale/history/"
HISTORY_LIMIT = 100
WRITE_ATTEMPTS = 40
WRITE_TIMEOUT = timedelta(seconds=4)
WRITE_DELAY = timedelta(milliseconds=100)
WATCH_TIMEOUT = timedelta(seconds=2.5)
WATCH_JITTER = 0.2
INITIAL_DELAY = timedelta(milliseconds=200)
MAX_DELAY = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class TextRecord:
    """An accepted edit of the configuration.

    :param revision: number of the edit, counted from 1.
    :param edit_id: id of the edit, chosen by the client.
    :param author: author of the edit.
    :param accepted_at: time at which an entry accepted it.
    :param text: the whole configuration, as YAML.
    """

    revision: int
    edit_id: str
    author: str
    accepted_at: datetime
    text: str

    def to_json(self) -> bytes:
        """Return the record as it is stored."""
        fields = asdict(self) | {"accepted_at": self.accepted_at.isoformat()}
        return json.dumps(fields).encode()

    @classmethod
    def from_json(cls, value: bytes) -> "TextRecord":
        """Return the record stored as ``value``.

        :raises StoredValueMalformed: if ``value`` is no valid record.
        """
        try:
            model = _StoredText.model_validate_json(value)
        except ValidationError as error:
            raise StoredValueMalformed(f"not an accepted text: {error}") from error
        return cls(**model.model_dump())


class TextConflict(TextError):
    """Another edit was accepted first.

    :param current: the record in force, or None if there is none.
    """

    def __init__(self, current: TextRecord | None) -> None:
        revision = current.revision if current else 0
        super().__init__(f"the text in force has revision {revision}")
        self.current = current


class _StoredText(BaseModel):
    """Stored form of an accepted edit; ignores fields of later versions."""

    revision: int
    edit_id: str
    author: str
    accepted_at: datetime
    text: str


@dataclass(frozen=True, slots=True)
class TextAccepted:
    """Message: the watcher read a newer configuration from the store."""

    record: TextRecord


class TextRegister:
    """Reads and edits the configuration.

    Usage::

        record = register.put(text, 3, edit_id, "ana@example.org")

    :param store: the platform's store.
    :param clock: source of the time of acceptance.
    :param pause: function that waits between two attempts of a write.
    """

    def __init__(
        self,
        store: BaseStore,
        clock: Clock,
        pause: Callable[[timedelta], None] = sleep,
    ) -> None:
        self._store = store
        self._clock = clock
        self._pause = pause

    @property
    def store(self) -> BaseStore:
        """The store that holds the configuration."""
        return self._store

    def read(self) -> TextRecord | None:
        """Return the current configuration.

        :raises StoreError: if the store cannot be read.
        """
        stored = self._store.get(TEXT_KEY)
        return TextRecord.from_json(stored.value) if stored else None

    def history(self, limit: int = HISTORY_LIMIT) -> tuple[TextRecord, ...]:
        """Return up to ``limit`` of the latest accepted edits, newest first.

        :raises StoreError: if the store cannot be read.
        """
        values = self._store.list(HISTORY_PREFIX, limit=limit, newest_first=True)
        return tuple(TextRecord.from_json(stored.value) for stored in values)

    def revision(self, number: int) -> TextRecord | None:
        """Return the accepted edit with revision ``number``.

        :raises StoreError: if the store cannot be read.
        """
        stored = self._store.get(_history_key(number))
        return TextRecord.from_json(stored.value) if stored else None

    def put(
        self, text: str, expected_revision: int, edit_id: str, author: str
    ) -> TextRecord:
        """Replace revision ``expected_revision`` by ``text``.

        An edit may be retried with the same ``edit_id``: if an earlier attempt was
        accepted, its record is returned.

        :raises TextConflict: if another edit was accepted first.
        :raises TextOutcomeUnknown: if it is unknown whether the edit was accepted.
        :raises StoreError: if the edit was not accepted.
        """
        current = self._store.get(TEXT_KEY)
        if _revision(current) != expected_revision:
            return self._accepted_or_conflict(text, expected_revision, edit_id)
        record = TextRecord(
            expected_revision + 1, edit_id, author, self._clock.now(), text
        )
        return self._write(record, current.mod_revision if current else ABSENT)

    def _write(self, record: TextRecord, mod_revision: int) -> TextRecord:
        """Write ``record`` over the value with ``mod_revision``.

        After a lost response it is unknown whether the write took effect, or still
        will. Retrying is safe: the store applies at most one write over a given
        ``mod_revision``. The history shows under this revision which edit was
        accepted, also after later edits. So the write is retried until the outcome
        is known, up to a timeout: an author who gets "unknown" for an accepted edit
        may revert it by a second one.
        """
        deadline = self._clock.elapsed() + WRITE_TIMEOUT
        outcome_unknown = False
        for _ in range(WRITE_ATTEMPTS):
            try:
                if self._swap(record, mod_revision):
                    return record
                return self._accepted_or_conflict(
                    record.text, record.revision - 1, record.edit_id
                )
            except StoreError as error:
                outcome_unknown = outcome_unknown or isinstance(error, StoreAnswerLost)
                if not outcome_unknown:
                    raise
                last = error
            if self._clock.elapsed() >= deadline:
                break
            self._pause(WRITE_DELAY)
        raise _outcome_unknown(last) from last

    def _swap(self, record: TextRecord, mod_revision: int) -> Swap:
        value = record.to_json()
        also = {_history_key(record.revision): value}
        return self._store.compare_and_swap(TEXT_KEY, value, mod_revision, also=also)

    def _accepted_or_conflict(
        self, text: str, expected_revision: int, edit_id: str
    ) -> TextRecord:
        accepted = self.revision(expected_revision + 1)
        if accepted and accepted.edit_id == edit_id and accepted.text == text:
            return accepted
        raise TextConflict(self.read())


class TextWatcher:
    """Task that posts each new configuration to ``inbox`` as ``TextAccepted``.

    A watch can stall: the connection stays open but delivers no events. So each
    watch ends after a timeout and is created again. Before each watch the key's
    revision is read, and its value only if the revision has changed: the value
    may be long, and every entry reads it.

    :param register: source of the configuration.
    :param inbox: queue of the task that applies configurations.
    :param rng: source of jitter, so that entries don't read at the same time.
    """

    def __init__(
        self, register: TextRegister, inbox: Queue, rng: Random | None = None
    ) -> None:
        self._register = register
        self._inbox = inbox
        self._rng = rng or Random()
        self._revision = 0
        self._mod_revision = ABSENT
        self._delay = INITIAL_DELAY

    def run(self) -> None:
        """Watch until the task is killed."""
        while True:
            try:
                self.step()
            except StoreError as error:
                sleep(self._next_delay(error))
            else:
                self._delay = INITIAL_DELAY

    def step(self) -> None:
        """Read the configuration if it has changed, then watch for the next one.

        :raises StoreError: if the store cannot be read or watched.
        """
        store = self._register.store
        if store.revision_of(TEXT_KEY) != self._mod_revision:
            self._post_if_newer(store.get(TEXT_KEY))
        wait = WATCH_TIMEOUT * self._rng.uniform(1 - WATCH_JITTER, 1 + WATCH_JITTER)
        self._post_if_newer(store.watch(TEXT_KEY, self._mod_revision, wait))

    def _post_if_newer(self, stored: StoredValue | None) -> None:
        if stored is None:
            return
        self._mod_revision = stored.mod_revision
        record = TextRecord.from_json(stored.value)
        # A delayed response may contain an older revision than the last one posted.
        if record.revision <= self._revision:
            return
        self._revision = record.revision
        self._inbox.put(TextAccepted(record))

    def _next_delay(self, error: StoreError) -> timedelta:
        delay = max(self._delay, error.retry_after or INITIAL_DELAY)
        self._delay = min(self._delay * 2, MAX_DELAY)
        return delay * self._rng.uniform(1 - WATCH_JITTER, 1 + WATCH_JITTER)


def _history_key(revision: int) -> str:
    return f"{HISTORY_PREFIX}{revision:08d}"


def _revision(stored: StoredValue | None) -> int:
    return TextRecord.from_json(stored.value).revision if stored else 0


def _outcome_unknown(error: StoreError) -> TextOutcomeUnknown:
    return TextOutcomeUnknown(
        f"the edit may or may not be accepted: {error.message}",
        retry_after=error.retry_after,
    )
