"""Claims on a store that loses responses and applies writes late."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.requests.claim_records import MAX_STORED_BODY_BYTES
from sassafrasdale.requests.claims import (
    Answered,
    ClaimKey,
    Claims,
    FingerprintMismatch,
    Granted,
    InProgress,
    OutcomeLost,
    StoredResponse,
)
from sassafrasdale.requests.exceptions import ClaimRefused
from tests.coordination.fakes import FakeStore

KEY = ClaimKey("certificates", "authority", "batch/17")
ANSWER = StoredResponse(201, (("Content-Type", "text/plain"),), b"certificate 17")


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def store(clock):
    return FakeStore(clock)


@pytest.fixture
def claims(store, clock):
    made = Claims(store, clock)
    made.claim(ClaimKey("s", "c", "warm"), "f", "warm", "entry-1")
    return made


def claim(claims, claim_id, fingerprint="print"):
    return claims.claim(KEY, fingerprint, claim_id, "entry-1")


def test_slash_in_key_is_escaped():
    assert KEY.path == "sassafrasdale/claims/certificates/authority/batch%2F17"


def test_retry_gets_the_first_response(claims):
    first = claim(claims, "a")
    assert isinstance(first, Granted)
    assert claim(claims, "b") == InProgress("entry-1", "a")
    assert claims.store_response(first.claim, ANSWER)
    assert claim(claims, "c") == Answered(ANSWER)


def test_other_request_with_the_same_key_is_a_mismatch(claims):
    claim(claims, "a")
    assert claim(claims, "b", "another") == FingerprintMismatch()


def test_released_claim_can_be_claimed_again(claims):
    claims.release(claim(claims, "a").claim)
    again = claim(claims, "b")
    assert again.claim.record.claim_id == "b"
    claims.store_response(again.claim, ANSWER)
    assert claim(claims, "c") == Answered(ANSWER)


def test_unknown_outcome_stays_unknown(claims):
    claims.mark_unknown(claim(claims, "a").claim)
    assert claim(claims, "b") == OutcomeLost()


def test_body_too_large_to_store_is_not_replayed(claims):
    first = claim(claims, "a")
    body = b"x" * (MAX_STORED_BODY_BYTES + 1)
    claims.store_response(first.claim, StoredResponse(200, (), body))
    assert claim(claims, "b") == OutcomeLost()


@pytest.mark.parametrize("fault", ["lost_after", "lost_before", "late"])
def test_lost_response_is_recovered_by_the_claim_id(claims, store, fault):
    """The store's response to a claim is lost.

    Treated as a refusal, the caller gets "not run" and the key stays blocked;
    treated as a grant, two entries may run the request. The attempt recognizes its
    own claim id.
    """
    store.faults = [fault]
    assert isinstance(claim(claims, "a"), Granted)
    for _ in range(len(store.late)):
        store.apply_late()
    assert claim(claims, "b") == InProgress("entry-1", "a")


def test_claim_that_may_be_applied_blocks_no_retry(claims, store):
    """A store outage follows a claim's write; the caller gets "not run".

    The store applies the claim after that. Unless it is withdrawn, a retry through
    another entry finds the key held by an attempt that has ended.
    """
    store.faults = ["late", "unreached"]
    with pytest.raises(ClaimRefused) as refusal:
        claim(claims, "a")
    assert refusal.value.retry_after > timedelta()
    store.apply_late()
    claims.outcome_writer.run_once()
    assert claims.outcome_writer.pending == 0
    assert isinstance(claim(claims, "b"), Granted)


def test_withdrawal_prevents_a_late_claim(claims, store):
    """The claim is withdrawn before its delayed write is applied.

    If the withdrawal wrote nothing for an absent key, the claim would be applied
    later and block the key for good.
    """
    store.faults = ["late", "unreached"]
    with pytest.raises(ClaimRefused):
        claim(claims, "a")
    claims.outcome_writer.run_once()
    store.apply_late()
    assert isinstance(claim(claims, "b"), Granted)


def test_withdrawal_does_not_overwrite_a_later_claim(claims, store):
    """A retry claims and runs before the first attempt's withdrawal is written.

    A withdrawal that overwrote the retry's claim would allow a second execution.
    """
    store.faults = ["late", "unreached"]
    with pytest.raises(ClaimRefused):
        claim(claims, "a")
    assert isinstance(claim(claims, "b"), Granted)
    claims.outcome_writer.run_once()
    store.apply_late()
    assert claim(claims, "c") == InProgress("entry-1", "b")


def test_outage_refuses_with_retry_after(claims, store):
    store.faults = ["unreached"]
    with pytest.raises(ClaimRefused) as refusal:
        claim(claims, "a")
    assert refusal.value.retry_after == timedelta(milliseconds=100)
    assert claims.outcome_writer.pending == 0


def test_response_is_stored_after_an_outage(claims, store):
    first = claim(claims, "a")
    store.faults = ["late", "unreached", "unreached"]
    assert not claims.store_response(first.claim, ANSWER)
    with pytest.raises(Exception, match="out"):
        claims.outcome_writer.run_once()
    assert claims.outcome_writer.pending == 1
    claims.outcome_writer.run_once()
    store.apply_late()
    assert claim(claims, "b") == Answered(ANSWER)


def test_claims_share_a_lease_and_outlast_a_day(claims, store, clock):
    for number in range(50):
        claims.claim(ClaimKey("s", "c", str(number)), "f", f"id{number}", "entry-1")
    assert len(store.leases) == 1
    clock.advance(timedelta(minutes=59))
    claims.store_response(claim(claims, "a").claim, ANSWER)
    clock.advance(timedelta(hours=24))
    assert claim(claims, "b") == Answered(ANSWER)
    clock.advance(timedelta(hours=3))
    assert isinstance(claim(claims, "c"), Granted)


def test_lease_that_the_store_lost_is_replaced(claims, store):
    store.leases.clear()
    assert isinstance(claim(claims, "a"), Granted)


def test_two_writes_per_request(claims, store):
    before = store.writes
    claims.store_response(claim(claims, "a").claim, ANSWER)
    assert store.writes - before == 2


def test_retry_in_an_outage_through_the_entry_that_ran_it(claims, store):
    """A request ran, its response was lost, and the caller retries in an outage.

    With the outcome "not run" the caller would repeat the request under a new key.
    """
    claims.store_response(claim(claims, "a").claim, ANSWER)
    store.faults = ["unreached"]
    assert claim(claims, "b") == OutcomeLost()


def test_retry_in_an_outage_of_a_released_claim(claims, store):
    claims.release(claim(claims, "a").claim)
    store.faults = ["unreached"]
    with pytest.raises(ClaimRefused):
        claim(claims, "b")


def test_key_with_a_malformed_record_never_runs(claims, store):
    """The key holds a value that a later version of the package wrote."""
    store.create(KEY.path, b'{"state": "paused"}')
    assert claim(claims, "a") == OutcomeLost()
