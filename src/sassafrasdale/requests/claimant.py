"""Obtains the claim required before a non-idempotent request is sent."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.green import sleep
from sassafrasdale.requests.claims import Answered as ClaimAnswered
from sassafrasdale.requests.claims import (
    Claim,
    ClaimKey,
    ClaimResult,
    Claims,
    FingerprintMismatch,
    Granted,
    InProgress,
    OutcomeLost,
    StoredResponse,
)
from sassafrasdale.requests.exceptions import ClaimRefused, KeyReused
from sassafrasdale.requests.structures import (
    Answered,
    Call,
    NotRun,
    Outcome,
    Unknown,
)

RETRY_AFTER = timedelta(seconds=1)
# Interval for polling a claim that another request holds.
POLL_INTERVAL = timedelta(milliseconds=250)


@dataclass(frozen=True, slots=True)
class ClaimIdentity:
    """Identifies one attempt to claim a request.

    :param claim_id: unique id of the attempt.
    :param fingerprint: hash of the request, to distinguish a retry from another
        request with the same key.
    :param holder: this process.
    """

    claim_id: str
    fingerprint: str
    holder: str


class Claimant:
    """Claims one call, or finds the outcome of its first execution.

    :param call: the call; it has an idempotency key.
    :param identity: identifies this attempt.
    :param is_alive: whether a holder is considered alive.
    :param claims: the claims in the platform's store.
    :param clock: source of time.
    """

    def __init__(
        self,
        call: Call,
        identity: ClaimIdentity,
        is_alive: Callable[[str], bool],
        claims: Claims,
        clock: Clock,
    ) -> None:
        self._call = call
        self._identity = identity
        self._is_alive = is_alive
        self._claims = claims
        self._clock = clock

    def obtain(self) -> Claim | Outcome:
        """Return the claim, or the outcome if this attempt must not run.

        :raises KeyReused: the key was used for another request.
        """
        try:
            claimed = self._claim()
        except ClaimRefused as error:
            return NotRun(error.message, error.retry_after or RETRY_AFTER)
        while isinstance(claimed, InProgress):
            if not self._is_alive(claimed.holder):
                return Unknown("the entry that ran the request is gone", RETRY_AFTER)
            if self._call.deadline - self._clock.elapsed() <= POLL_INTERVAL:
                return Unknown("the request is still running", RETRY_AFTER)
            sleep(POLL_INTERVAL)
            try:
                claimed = self._claim()
            except ClaimRefused as error:
                # The store failed while another attempt held the claim. That
                # attempt may have run the request, so "not run" would be wrong.
                return Unknown(error.message, error.retry_after or RETRY_AFTER)
        return _result(claimed)

    def store_response(self, claim: Claim, response: Answered) -> None:
        """Store the response for retries."""
        stored = StoredResponse(response.status, response.headers, response.body)
        self._claims.store_response(claim, stored)

    def release(self, claim: Claim) -> None:
        """Release a claim whose request has not run and never will."""
        self._claims.release(claim)

    def mark_unknown(self, claim: Claim) -> None:
        """Record that the request may have run and gave no response."""
        self._claims.mark_unknown(claim)

    def _claim(self) -> ClaimResult:
        call = self._call
        identity = self._identity
        return self._claims.claim(
            ClaimKey(call.service, call.customer, call.idempotency_key),
            identity.fingerprint,
            identity.claim_id,
            identity.holder,
        )


def _result(claimed: ClaimResult) -> Claim | Outcome:
    match claimed:
        case Granted(claim):
            return claim
        case ClaimAnswered(stored):
            return Answered(stored.status, stored.headers, stored.body)
        case FingerprintMismatch():
            raise KeyReused(
                "the idempotency key names another request", field="Idempotency-Key"
            )
        case OutcomeLost():
            return Unknown("the first execution's outcome is not known", RETRY_AFTER)
