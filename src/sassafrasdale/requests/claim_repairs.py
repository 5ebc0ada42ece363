"""Writes the outcome of a claim, and finishes in the background what was lost."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.exceptions import (
    LeaseNotFound,
    StoreAnswerLost,
    StoredValueMalformed,
    StoreError,
)
from sassafrasdale.coordination.stores import BaseStore
from sassafrasdale.green import sleep, spawn
from sassafrasdale.requests.claim_records import ClaimRecord
from sassafrasdale.requests.retention import RetentionLease

WRITE_ATTEMPTS = 3
MAX_PENDING = 2_000
MAX_PENDING_BYTES = 16 * 1024 * 1024
GIVE_UP_AFTER = timedelta(minutes=15)
FIRST_PAUSE = timedelta(milliseconds=250)
LONGEST_PAUSE = timedelta(seconds=5)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What the store should hold of an attempt that has ended.

    :param path: key of the claim in the store.
    :param record: what it should hold; its state is final for the attempt.
    :param expected: revision that the attempt's last write left, or was made over.
    """

    path: str
    record: ClaimRecord
    expected: int


@dataclass(frozen=True, slots=True)
class _Pending:
    outcome: Outcome
    size: int
    give_up_at: timedelta


class ClaimRepairer:
    """Task that writes outcomes, again and again while the store is out.

    The backlog is bounded by count, by bytes and by age. What falls out of it
    stays claimed in the store: retries are told "unknown", never run.

    :param store: the platform's store.
    :param clock: source of elapsed time.
    :param retention: gives the lease to attach outcomes to.
    :param start: starts a function as a task.
    """

    def __init__(
        self,
        store: BaseStore,
        clock: Clock,
        retention: RetentionLease,
        start: Callable[[Callable[[], None]], object] = spawn,
    ) -> None:
        self._store = store
        self._clock = clock
        self._retention = retention
        self._start_task = start
        self._pending: deque[_Pending] = deque()
        self._pending_bytes = 0
        self._dropped = 0
        self._running = False

    @property
    def pending(self) -> int:
        """Number of outcomes that the store has not confirmed."""
        return len(self._pending)

    @property
    def dropped(self) -> int:
        """Number of outcomes given up because the backlog was full or they aged."""
        return self._dropped

    def write_or_post(self, outcome: Outcome) -> bool:
        """Write ``outcome`` now, or leave it to the task if the store fails.

        :returns: whether it is written.
        """
        try:
            self.write(outcome)
        except StoreError:
            self.post(outcome)
            return False
        return True

    def post(self, outcome: Outcome) -> None:
        """Leave ``outcome`` to the task."""
        size = len(outcome.record.to_json())
        self._pending.append(
            _Pending(outcome, size, self._clock.elapsed() + GIVE_UP_AFTER)
        )
        self._pending_bytes += size
        while self._is_too_large():
            self._pop()
            self._dropped += 1
        self._start()

    def run_once(self) -> None:
        """Try the oldest outcome of the backlog.

        :raises StoreError: if the store fails; the outcome stays in the backlog.
        """
        if not self._pending:
            return
        oldest = self._pending[0]
        if self._clock.elapsed() >= oldest.give_up_at:
            self._pop()
            self._dropped += 1
            return
        self.write(oldest.outcome)
        if self._pending and self._pending[0] is oldest:
            self._pop()

    def write(self, outcome: Outcome) -> None:
        """Write ``outcome`` unless another attempt has claimed meanwhile.

        Lost answers, and writes of the attempt that land late, are met by writing
        over ``expected`` until the comparison fails: from then on the key has
        moved on, and no earlier write of the attempt can land any more. If the
        key then holds the attempt's own claim, that one is replaced.

        :raises StoreError: if the store does not confirm it.
        """
        expected = outcome.expected
        value = outcome.record.to_json()
        lost: StoreError | None = None
        for _ in range(WRITE_ATTEMPTS):
            lease = self._retention.current()
            try:
                swap = self._store.compare_and_swap(
                    outcome.path, value, expected, lease=lease
                )
            except StoreAnswerLost as error:
                lost = error
                continue
            except LeaseNotFound as error:
                self._retention.forget(lease)
                lost = error
                continue
            if swap or swap.current is None:
                return
            try:
                found = ClaimRecord.from_json(swap.current.value)
            except StoredValueMalformed:
                return
            if found.claim_id != outcome.record.claim_id:
                return
            if found.state is outcome.record.state:
                return
            expected = swap.current.mod_revision
        raise lost or StoreAnswerLost(f"{outcome.path} kept changing")

    def _run(self) -> None:
        pause = FIRST_PAUSE
        while self._pending:
            try:
                self.run_once()
            except StoreError as error:
                sleep(max(pause, error.retry_after or pause))
                pause = min(pause * 2, LONGEST_PAUSE)
            else:
                pause = FIRST_PAUSE
        self._running = False

    def _start(self) -> None:
        if self._running:
            return
        self._running = True
        self._start_task(self._run)

    def _is_too_large(self) -> bool:
        if len(self._pending) > MAX_PENDING:
            return True
        return self._pending_bytes > MAX_PENDING_BYTES and len(self._pending) > 1

    def _pop(self) -> None:
        self._pending_bytes -= self._pending.popleft().size
