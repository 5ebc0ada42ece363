"""At-most-once execution of non-idempotent requests, by claims in the store.

docs/AT-MOST-ONCE.md gives the reasoning and what a caller is told in each case.
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
    StoredAnswer,
)
from sassafrasdale.requests.claim_repairs import ClaimRepairer, Outcome
from sassafrasdale.requests.exceptions import ClaimRefused
from sassafrasdale.requests.recent_claims import RecentClaims
from sassafrasdale.requests.retention import RetentionLease

CLAIM_ATTEMPTS = 4
LOST_ANSWERS_BORNE = 1
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
    "StoredAnswer",
]


@dataclass(frozen=True, slots=True)
class Granted:
    """The caller of ``claim`` alone may run the request, once."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class Answered:
    """The request ran earlier; this is its answer."""

    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class InProgress:
    """Another attempt holds the claim and may have run the request."""

    holder: str
    claim_id: str


@dataclass(frozen=True, slots=True)
class OutcomeLost:
    """The request may have run, and its answer is not to be had any more."""


@dataclass(frozen=True, slots=True)
class FingerprintMismatch:
    """The key was used earlier for another request."""


ClaimResult = Granted | Answered | InProgress | OutcomeLost | FingerprintMismatch


class Claims:
    """Claims non-idempotent requests before they are sent to an endpoint.

    Usage::

        match claims.claim(key, fingerprint, uuid4().hex, "entry-1"):
            case Granted(claim):
                ...  # send, then settle, abandon or mark unknown

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
        self._repairer = ClaimRepairer(store, clock, self._retention, start)

    @property
    def repairer(self) -> ClaimRepairer:
        """Task that finishes writes which the store did not confirm."""
        return self._repairer

    def claim(
        self, key: ClaimKey, fingerprint: str, claim_id: str, holder: str
    ) -> ClaimResult:
        """Claim the one execution that ``key`` names.

        :param fingerprint: digest of the request.
        :param claim_id: id of this attempt, never used before.
        :param holder: name of this entry.
        :raises ClaimRefused: if nothing was claimed; the request does not run.
        """
        record = ClaimRecord(claim_id, fingerprint, holder, ClaimState.CLAIMED)
        attempt = _Attempt(key, record)
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

    def settle(self, claim: Claim, answer: StoredAnswer) -> bool:
        """Keep the answer of the execution, for retries of the request.

        :returns: whether the store has confirmed it; else it is tried again in
            the background.
        """
        return self._conclude(claim, claim.record.with_answer(answer))

    def abandon(self, claim: Claim) -> bool:
        """Give up a claim of which certainly nothing has run, and never will.

        :returns: whether the store has confirmed it.
        """
        self._recent.discard(claim.key.path)
        return self._conclude(claim, replace(claim.record, state=ClaimState.NOT_RUN))

    def mark_unknown(self, claim: Claim) -> bool:
        """Record that the execution may have happened and gave no answer.

        :returns: whether the store has confirmed it.
        """
        return self._conclude(claim, replace(claim.record, state=ClaimState.UNKNOWN))

    def _claim(self, attempt: "_Attempt") -> ClaimResult:
        for _ in range(CLAIM_ATTEMPTS):
            result = self._try(attempt)
            if result is not None:
                return result
        self._withdraw(attempt)
        raise ClaimRefused("the claim could not be made", retry_after=RETRY_AFTER)

    def _try(self, attempt: "_Attempt") -> ClaimResult | None:
        """Make one write; return None if it is worth another."""
        try:
            lease = self._retention.current()
        except StoreError as error:
            raise self._refused(attempt, error) from error
        try:
            swap = self._store.compare_and_swap(
                attempt.key.path, attempt.value, attempt.expected, lease=lease
            )
        except LeaseNotFound:
            self._retention.forget(lease)
            return None
        except StoreAnswerLost as error:
            attempt.note_lost()
            if attempt.lost_answers > LOST_ANSWERS_BORNE:
                raise self._refused(attempt, error) from error
            return None
        except StoreError as error:
            raise self._refused(attempt, error) from error
        if swap:
            return Granted(Claim(attempt.key, attempt.record, swap.revision))
        return attempt.interpret(swap)

    def _refused(self, attempt: "_Attempt", error: StoreError) -> ClaimRefused:
        self._withdraw(attempt)
        return ClaimRefused(
            f"the claim could not be made: {error.message}",
            retry_after=error.retry_after or RETRY_AFTER,
        )

    def _withdraw(self, attempt: "_Attempt") -> None:
        """See to it that a lost write of ``attempt`` blocks nobody.

        The request is not run by this attempt from here on, so a write that lands
        late harms nothing but retries, which would find it claimed for ever.
        """
        if not attempt.in_doubt:
            return
        record = replace(attempt.record, state=ClaimState.NOT_RUN)
        self._repairer.post(Outcome(attempt.key.path, record, attempt.expected))

    def _conclude(self, claim: Claim, record: ClaimRecord) -> bool:
        outcome = Outcome(claim.key.path, record, claim.mod_revision)
        return self._repairer.write_or_post(outcome)


class _Attempt:
    """One attempt at a claim, over several writes.

    :param key: names the execution.
    :param record: what the attempt writes.
    """

    def __init__(self, key: ClaimKey, record: ClaimRecord) -> None:
        self.key = key
        self.record = record
        self.value = record.to_json()
        self.expected = ABSENT
        self.in_doubt = False
        self.lost_answers = 0

    def note_lost(self) -> None:
        """Note that a write over ``expected`` may have landed, or still may."""
        self.in_doubt = True
        self.lost_answers += 1

    def interpret(self, swap: Swap) -> ClaimResult | None:
        """Return what the store holds instead, or None if it can be replaced.

        That the write failed shows that the key has moved on from ``expected``.
        So a lost write over ``expected`` has either landed, and is seen here, or
        never will.
        """
        current = swap.current
        if current is None:
            self._expect(ABSENT)
            return None
        try:
            found = ClaimRecord.from_json(current.value)
        except StoredValueMalformed:
            # The key is taken, and what by cannot be told: it must not run again.
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
                self._expect(current.mod_revision)
                return None

    def _expect(self, mod_revision: int) -> None:
        self.expected = mod_revision
        self.in_doubt = False
