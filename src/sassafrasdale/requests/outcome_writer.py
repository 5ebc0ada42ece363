"""Writes outcomes of claims to the store, retrying failures in the background."""

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

MAX_WRITES = 3
MAX_PENDING = 2_000
MAX_PENDING_BYTES = 16 * 1024 * 1024
MAX_PENDING_AGE = timedelta(minutes=15)
INITIAL_BACKOFF = timedelta(milliseconds=250)
MAX_BACKOFF = timedelta(seconds=5)


@dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """Final record of an attempt, to be written to the store.

    :param path: key of the claim in the store.
    :param record: the record to write; its state is final for the attempt.
    :param expected: revision of the attempt's last write, or the revision which
        that write expected.
    """

    path: str
    record: ClaimRecord
    expected: int


@dataclass(frozen=True, slots=True)
class _Pending:
    outcome: ClaimOutcome
    size: int
    expires_at: timedelta


class OutcomeWriter:
    """Background task that writes outcomes and retries them during a store outage.

    The backlog is bounded by count, bytes and age. An outcome dropped from it stays
    claimed in the store: retries get the outcome "unknown" and never run.

    :param store: the platform's store.
    :param clock: source of elapsed time.
    :param retention: provides the lease to attach outcomes to.
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
        """Number of outcomes dropped because the backlog was full or they expired."""
        return self._dropped

    def write_or_queue(self, outcome: ClaimOutcome) -> bool:
        """Write ``outcome`` now, or queue it for the task if the store fails.

        :returns: whether it was written.
        """
        try:
            self.write(outcome)
        except StoreError:
            self.queue(outcome)
            return False
        return True

    def queue(self, outcome: ClaimOutcome) -> None:
        """Queue ``outcome`` for the background task."""
        size = len(outcome.record.to_json())
        self._pending.append(
            _Pending(outcome, size, self._clock.elapsed() + MAX_PENDING_AGE)
        )
        self._pending_bytes += size
        while self._is_over_limit():
            self._drop_oldest()
            self._dropped += 1
        self._start()

    def run_once(self) -> None:
        """Write the oldest outcome of the backlog.

        :raises StoreError: if the store fails; the outcome stays in the backlog.
        """
        if not self._pending:
            return
        oldest = self._pending[0]
        if self._clock.elapsed() >= oldest.expires_at:
            self._drop_oldest()
            self._dropped += 1
            return
        self.write(oldest.outcome)
        if self._pending and self._pending[0] is oldest:
            self._drop_oldest()

    def write(self, outcome: ClaimOutcome) -> None:
        """Write ``outcome`` unless another attempt has claimed in the meantime.

        A store response may be lost and an earlier write of the attempt may be
        applied late. So the compare-and-swap against ``expected`` is repeated until
        the comparison fails: the key's revision has then changed, and no earlier
        write of the attempt can be applied any more. If the key holds the attempt's
        own claim by then, that claim is replaced.

        :raises StoreError: if the store does not confirm the write.
        """
        expected = outcome.expected
        value = outcome.record.to_json()
        last_error: StoreError | None = None
        for _ in range(MAX_WRITES):
            lease = self._retention.current()
            try:
                swapped = self._store.compare_and_swap(
                    outcome.path, value, expected, lease=lease
                )
            except StoreAnswerLost as error:
                last_error = error
                continue
            except LeaseNotFound as error:
                self._retention.forget(lease)
                last_error = error
                continue
            if swapped or swapped.current is None:
                return
            try:
                found = ClaimRecord.from_json(swapped.current.value)
            except StoredValueMalformed:
                return
            if found.claim_id != outcome.record.claim_id:
                return
            if found.state is outcome.record.state:
                return
            expected = swapped.current.mod_revision
        raise last_error or StoreAnswerLost(f"{outcome.path} kept changing")

    def _run(self) -> None:
        backoff = INITIAL_BACKOFF
        while self._pending:
            try:
                self.run_once()
            except StoreError as error:
                sleep(max(backoff, error.retry_after or backoff))
                backoff = min(backoff * 2, MAX_BACKOFF)
            else:
                backoff = INITIAL_BACKOFF
        self._running = False

    def _start(self) -> None:
        if self._running:
            return
        self._running = True
        self._start_task(self._run)

    def _is_over_limit(self) -> bool:
        if len(self._pending) > MAX_PENDING:
            return True
        return self._pending_bytes > MAX_PENDING_BYTES and len(self._pending) > 1

    def _drop_oldest(self) -> None:
        self._pending_bytes -= self._pending.popleft().size
