"""At-most-once execution of non-idempotent requests, by claims in the store.

docs/AT-MOST-ONCE.md explains the design and which outcome a caller gets in each case.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.exceptions import (
    LeaseNotFound,
    StoreAnswerLost,
    StoredValueMalformed,
    StoreError,
)
from sassafrasdale.coordination.stores import ABSENT, BaseStore, StoredValue, Swap
from sassafrasdale.green import spawn
from sassafrasdale.requests.claim_records import (
    Claim,
    ClaimKey,
    ClaimRecord,
    ClaimState,
    StoredResponse,
)
from sassafrasdale.requests.exceptions import ClaimRefused
from sassafrasdale.requests.outcome_writer import ClaimOutcome, OutcomeWriter
from sassafrasdale.requests.recent_claims import RecentClaims
from sassafrasdale.requests.retention import RetentionLease

MAX_WRITES = 4
MAX_LOST_RESPONSES = 1
RETRY_AFTER = timedelta(seconds=1)

__all__ = [
    "Answered",
    "Claim",
    "ClaimKey",
    "ClaimResult",
    "Claims",
    "FingerprintMismatch",
    "Granted",
    "InProgress",
    "OutcomeLost",
    "StoredResponse",
]


@dataclass(frozen=True, slots=True)
class Granted:
    """Only the caller of ``claim`` may run the request, once."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class Answered:
    """The request ran earlier; this is its response."""

    answer: StoredResponse


@dataclass(frozen=True, slots=True)
class InProgress:
    """Another attempt holds the claim and may have run the request."""

    holder: str
    claim_id: str


@dataclass(frozen=True, slots=True)
class OutcomeLost:
    """The request may have run, and its response is not available."""


@dataclass(frozen=True, slots=True)
class FingerprintMismatch:
    """The key was used before for another request."""


ClaimResult = Granted | Answered | InProgress | OutcomeLost | FingerprintMismatch


class Claims:
    """Claims non-idempotent requests before they are sent to an endpoint.

    Usage::

        match claims.claim(key, fingerprint, uuid4().hex, "entry-1"):
            case Granted(claim):
                ...  # send, then store the response, release or mark unknown

    :param store: the platform's store.
    :param clock: source of elapsed time.
    :param start: starts a function as a task.
    """

    def __init__(
        self,
        store: BaseStore,
        clock: Clock,
        start: Callable[[Callable[[], None]], object] = spawn,
    ) -> None:
        self._store = store
        self._retention = RetentionLease(store, clock)
        self._recent = RecentClaims()
        self._outcome_writer = OutcomeWriter(store, clock, self._retention, start)

    @property
    def outcome_writer(self) -> OutcomeWriter:
        """Background task that retries writes which the store did not confirm."""
        return self._outcome_writer

    def claim(
        self, key: ClaimKey, fingerprint: str, claim_id: str, holder: str
    ) -> ClaimResult:
        """Claim the single execution that ``key`` identifies.

        :param fingerprint: digest of the request.
        :param claim_id: unique id of this attempt.
        :param holder: this entry process.
        :raises ClaimRefused: if nothing was claimed; the request does not run.
        """
        record = ClaimRecord(claim_id, fingerprint, holder, ClaimState.CLAIMED)
        attempt = _ClaimAttempt(key, record)
        try:
            result = self._claim(attempt)
        except ClaimRefused:
            # An earlier attempt through this process may have run the request.
            if key.path in self._recent:
                return OutcomeLost()
            raise
        if not isinstance(result, FingerprintMismatch):
            self._recent.add(key.path)
        return result

    def store_response(self, claim: Claim, answer: StoredResponse) -> bool:
        """Store the response of the execution, for retries of the request.

        :returns: whether the store has confirmed the write; if not, it is retried
            in the background.
        """
        return self._write_outcome(claim, claim.record.with_answer(answer))

    def release(self, claim: Claim) -> bool:
        """Release a claim whose request has not run and never will.

        :returns: whether the store has confirmed it.
        """
        self._recent.discard(claim.key.path)
        return self._write_outcome(
            claim, replace(claim.record, state=ClaimState.NOT_RUN)
        )

    def mark_unknown(self, claim: Claim) -> bool:
        """Record that the request may have run and gave no response.

        :returns: whether the store has confirmed it.
        """
        return self._write_outcome(
            claim, replace(claim.record, state=ClaimState.UNKNOWN)
        )

    def _claim(self, attempt: "_ClaimAttempt") -> ClaimResult:
        for _ in range(MAX_WRITES):
            result = self._write(attempt)
            if result is not None:
                return result
        self._withdraw(attempt)
        raise ClaimRefused("the claim could not be made", retry_after=RETRY_AFTER)

    def _write(self, attempt: "_ClaimAttempt") -> ClaimResult | None:
        """Make one write; return None if another one should be made."""
        try:
            lease = self._retention.current()
        except StoreError as error:
            raise self._withdraw_and_refuse(attempt, error) from error
        try:
            swapped = self._store.compare_and_swap(
                attempt.key.path, attempt.value, attempt.expected, lease=lease
            )
        except LeaseNotFound:
            self._retention.forget(lease)
            return None
        except StoreAnswerLost as error:
            attempt.record_lost()
            if attempt.lost_responses > MAX_LOST_RESPONSES:
                raise self._withdraw_and_refuse(attempt, error) from error
            return None
        except StoreError as error:
            raise self._withdraw_and_refuse(attempt, error) from error
        if swapped:
            return Granted(Claim(attempt.key, attempt.record, swapped.revision))
        return attempt.interpret(swapped)

    def _withdraw_and_refuse(
        self, attempt: "_ClaimAttempt", error: StoreError
    ) -> ClaimRefused:
        self._withdraw(attempt)
        return ClaimRefused(
            f"the claim could not be made: {error.message}",
            retry_after=error.retry_after or RETRY_AFTER,
        )

    def _withdraw(self, attempt: "_ClaimAttempt") -> None:
        """Queue a release in case a lost write of ``attempt`` is applied.

        This attempt no longer runs the request. A write of it that the store
        applies late would leave the key claimed, and block every retry.
        """
        if not attempt.may_be_applied:
            return
        record = replace(attempt.record, state=ClaimState.NOT_RUN)
        self._outcome_writer.queue(
            ClaimOutcome(attempt.key.path, record, attempt.expected)
        )

    def _write_outcome(self, claim: Claim, record: ClaimRecord) -> bool:
        outcome = ClaimOutcome(claim.key.path, record, claim.mod_revision)
        return self._outcome_writer.write_or_queue(outcome)


class _ClaimAttempt:
    """One attempt to claim a request, which may take several writes.

    :param key: identifies the execution.
    :param record: the record that the attempt writes.
    """

    def __init__(self, key: ClaimKey, record: ClaimRecord) -> None:
        self.key = key
        self.record = record
        self.value = record.to_json()
        self.expected = ABSENT
        self.may_be_applied = False
        self.lost_responses = 0

    def record_lost(self) -> None:
        """Record that a write against ``expected`` may be applied, now or later."""
        self.may_be_applied = True
        self.lost_responses += 1

    def interpret(self, swapped: Swap) -> ClaimResult | None:
        """Interpret the record found instead; return None if it can be replaced.

        The failed comparison shows that the key is no longer at revision
        ``expected``. So a lost write against ``expected`` either was applied, and is
        found here, or can never be.
        """
        current = swapped.current
        if current is None:
            self._set_expected(ABSENT)
            return None
        try:
            found = ClaimRecord.from_json(current.value)
        except StoredValueMalformed:
            # The key holds an unreadable value, so the request may have run already.
            return OutcomeLost()
        if found == self.record:
            return Granted(Claim(self.key, self.record, current.mod_revision))
        if found.fingerprint != self.record.fingerprint:
            return FingerprintMismatch()
        return self._interpret_other(found, current)

    def _interpret_other(
        self, found: ClaimRecord, current: StoredValue
    ) -> ClaimResult | None:
        match found.state:
            case ClaimState.CLAIMED:
                return InProgress(found.holder, found.claim_id)
            case ClaimState.ANSWERED if found.answer and not found.body_dropped:
                return Answered(found.answer)
            case ClaimState.ANSWERED | ClaimState.UNKNOWN:
                return OutcomeLost()
            case ClaimState.NOT_RUN:
                self._set_expected(current.mod_revision)
                return None

    def _set_expected(self, mod_revision: int) -> None:
        self.expected = mod_revision
        self.may_be_applied = False
