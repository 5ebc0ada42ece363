"""The operators' text as the store keeps it: read, edit, watch."""

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
WRITE_LIMIT = timedelta(seconds=4)
WRITE_PAUSE = timedelta(milliseconds=100)
WATCH_LIMIT = timedelta(seconds=2.5)
WATCH_JITTER = 0.2
FIRST_PAUSE = timedelta(milliseconds=200)
LONGEST_PAUSE = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class TextRecord:
    """An accepted edit of the operators' text.

    :param revision: number of the edit, counted from 1.
    :param edit_id: id that the editor gave it.
    :param author: who made it.
    :param accepted_at: when an entry wrote it.
    :param text: the whole text.
    """

    revision: int
    edit_id: str
    author: str
    accepted_at: datetime
    text: str

    def to_json(self) -> bytes:
        """Return the record as the store keeps it."""
        fields = asdict(self) | {"accepted_at": self.accepted_at.isoformat()}
        return json.dumps(fields).encode()

    @classmethod
    def from_json(cls, value: bytes) -> "TextRecord":
        """Return the record that ``value`` holds.

        :raises StoredValueMalformed: if it holds something else.
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
    """An accepted edit as the store may hold it; fields to come are ignored."""

    revision: int
    edit_id: str
    author: str
    accepted_at: datetime
    text: str


@dataclass(frozen=True, slots=True)
class TextAccepted:
    """Message: the store holds a text that the watcher had not seen."""

    record: TextRecord


class TextRegister:
    """Reads and edits the operators' text.

    Usage::

        record = register.put(text, 3, edit_id, "ana@example.org")

    :param store: the platform's store.
    :param clock: source of the time of acceptance.
    :param pause: waits between two tries of a write.
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
        """The store that holds the text."""
        return self._store

    def read(self) -> TextRecord | None:
        """Return the text in force.

        :raises StoreError: if the store cannot be read.
        """
        stored = self._store.get(TEXT_KEY)
        return TextRecord.from_json(stored.value) if stored else None

    def history(self, limit: int = HISTORY_LIMIT) -> tuple[TextRecord, ...]:
        """Return the latest ``limit`` accepted edits, newest first.

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

        An edit may be repeated with the same ``edit_id``: if an earlier try was
        accepted, its record is returned.

        :raises TextConflict: if another edit was accepted first.
        :raises TextOutcomeUnknown: if the edit may or may not be accepted.
        :raises StoreError: if the edit was certainly not accepted.
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

        A lost answer leaves open whether the write took effect, or still will.
        Writing it again is safe: the store applies at most one write over a
        given ``mod_revision``. Whichever edit won is found in the history under
        this revision, also when later edits stand on top of it. So the write is
        repeated until an answer tells, within a limit: an author who is told
        "unknown" of an edit that is in force may undo it by a second one.
        """
        until = self._clock.elapsed() + WRITE_LIMIT
        in_doubt = False
        for _ in range(WRITE_ATTEMPTS):
            try:
                if self._swap(record, mod_revision):
                    return record
                return self._accepted_or_conflict(
                    record.text, record.revision - 1, record.edit_id
                )
            except StoreError as error:
                in_doubt = in_doubt or isinstance(error, StoreAnswerLost)
                if not in_doubt:
                    raise
                last = error
            if self._clock.elapsed() >= until:
                break
            self._pause(WRITE_PAUSE)
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
    """Task that posts each new text to ``inbox`` as ``TextAccepted``.

    A watch can go deaf: the connection stays open and no event comes. So it is
    re-armed after a bound. Each time the text's revision is read, and the text
    itself only if that has changed: it may be long, and every entry asks.

    :param register: where the text is.
    :param inbox: queue of the task that puts texts in force.
    :param rng: source of jitter, so that a fleet's reads spread out.
    """

    def __init__(
        self, register: TextRegister, inbox: Queue, rng: Random | None = None
    ) -> None:
        self._register = register
        self._inbox = inbox
        self._rng = rng or Random()
        self._revision = 0
        self._seen = ABSENT
        self._pause = FIRST_PAUSE

    def run(self) -> None:
        """Watch until the task is killed."""
        while True:
            try:
                self.step()
            except StoreError as error:
                sleep(self._next_pause(error))
            else:
                self._pause = FIRST_PAUSE

    def step(self) -> None:
        """Read the text, then wait for the next one within the bound.

        :raises StoreError: if the store cannot be read or watched.
        """
        store = self._register.store
        if store.revision_of(TEXT_KEY) != self._seen:
            self._offer(store.get(TEXT_KEY))
        limit = WATCH_LIMIT * self._rng.uniform(1 - WATCH_JITTER, 1 + WATCH_JITTER)
        self._offer(store.watch(TEXT_KEY, self._seen, limit))

    def _offer(self, stored: StoredValue | None) -> None:
        if stored is None:
            return
        self._seen = stored.mod_revision
        record = TextRecord.from_json(stored.value)
        # A slow answer may carry an older text than one already posted.
        if record.revision <= self._revision:
            return
        self._revision = record.revision
        self._inbox.put(TextAccepted(record))

    def _next_pause(self, error: StoreError) -> timedelta:
        pause = max(self._pause, error.retry_after or FIRST_PAUSE)
        self._pause = min(self._pause * 2, LONGEST_PAUSE)
        return pause * self._rng.uniform(1 - WATCH_JITTER, 1 + WATCH_JITTER)


def _history_key(revision: int) -> str:
    return f"{HISTORY_PREFIX}{revision:08d}"


def _revision(stored: StoredValue | None) -> int:
    return TextRecord.from_json(stored.value).revision if stored else 0


def _outcome_unknown(error: StoreError) -> TextOutcomeUnknown:
    return TextOutcomeUnknown(
        f"the edit may or may not be accepted: {error.message}",
        retry_after=error.retry_after,
    )
