"""Claims against a store whose answers are lost and whose writes land late."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.requests.claim_records import MAX_KEPT_BODY_BYTES
from sassafrasdale.requests.claims import (
    Answered,
    ClaimKey,
    Claims,
    FingerprintMismatch,
    Granted,
    InProgress,
    OutcomeLost,
    StoredAnswer,
)
from sassafrasdale.requests.exceptions import ClaimRefused
from tests.coordination.fakes import FakeStore

KEY = ClaimKey("certificates", "authority", "batch/17")
ANSWER = StoredAnswer(201, (("Content-Type", "text/plain"),), b"certificate 17")


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


def test_key_with_slash_stays_one_part():
    assert KEY.path == "sassafrasdale/claims/certificates/authority/batch%2F17"


def test_retry_gets_the_first_answer(claims):
    first = claim(claims, "a")
    assert isinstance(first, Granted)
    assert claim(claims, "b") == InProgress("entry-1", "a")
    assert claims.settle(first.claim, ANSWER)
    assert claim(claims, "c") == Answered(ANSWER)


def test_other_request_with_the_same_key_is_told(claims):
    claim(claims, "a")
    assert claim(claims, "b", "another") == FingerprintMismatch()


def test_abandoned_claim_can_be_claimed_again(claims):
    claims.abandon(claim(claims, "a").claim)
    again = claim(claims, "b")
    assert again.claim.record.claim_id == "b"
    claims.settle(again.claim, ANSWER)
    assert claim(claims, "c") == Answered(ANSWER)


def test_unknown_outcome_stays_unknown(claims):
    claims.mark_unknown(claim(claims, "a").claim)
    assert claim(claims, "b") == OutcomeLost()


def test_body_too_large_to_keep_is_not_passed_off_as_whole(claims):
    first = claim(claims, "a")
    body = b"x" * (MAX_KEPT_BODY_BYTES + 1)
    claims.settle(first.claim, StoredAnswer(200, (), body))
    assert claim(claims, "b") == OutcomeLost()


@pytest.mark.parametrize("fault", ["lost_after", "lost_before", "late"])
def test_lost_answer_is_read_back_by_the_claim_id(claims, store, fault):
    """A certificate is asked for; the store's answer to the claim is lost.

    Taken for a refusal, the caller is told "not run" and the key stays blocked;
    taken for a grant, two entries may issue it. The attempt finds its own id.
    """
    store.faults = [fault]
    assert isinstance(claim(claims, "a"), Granted)
    for _ in range(len(store.late)):
        store.land()
    assert claim(claims, "b") == InProgress("entry-1", "a")


def test_claim_given_up_in_doubt_blocks_no_retry(claims, store):
    """The store takes a claim, then is out; the caller is told "not run".

    The claim lands after that. Its retry through another entry would find it
    held for ever by an attempt that has ended, were it not withdrawn.
    """
    store.faults = ["late", "unreached"]
    with pytest.raises(ClaimRefused) as refusal:
        claim(claims, "a")
    assert refusal.value.retry_after > timedelta()
    store.land()
    claims.repairer.run_once()
    assert claims.repairer.pending == 0
    assert isinstance(claim(claims, "b"), Granted)


def test_withdrawal_keeps_a_late_claim_from_landing(claims, store):
    """The claim is withdrawn before its delayed write lands.

    If the withdrawal did nothing for an absent key, the write would land later
    and block the key with nobody to withdraw it.
    """
    store.faults = ["late", "unreached"]
    with pytest.raises(ClaimRefused):
        claim(claims, "a")
    claims.repairer.run_once()
    store.land()
    assert isinstance(claim(claims, "b"), Granted)


def test_withdrawal_leaves_a_later_claim_alone(claims, store):
    """A retry claims and runs before the first attempt's withdrawal is written.

    A withdrawal that wrote over it would let a third attempt run it again.
    """
    store.faults = ["late", "unreached"]
    with pytest.raises(ClaimRefused):
        claim(claims, "a")
    assert isinstance(claim(claims, "b"), Granted)
    claims.repairer.run_once()
    store.land()
    assert claim(claims, "c") == InProgress("entry-1", "b")


def test_outage_refuses_with_when_to_come_back(claims, store):
    store.faults = ["unreached"]
    with pytest.raises(ClaimRefused) as refusal:
        claim(claims, "a")
    assert refusal.value.retry_after == timedelta(milliseconds=100)
    assert claims.repairer.pending == 0


def test_settling_in_an_outage_is_finished_later(claims, store):
    first = claim(claims, "a")
    store.faults = ["late", "unreached", "unreached"]
    assert not claims.settle(first.claim, ANSWER)
    with pytest.raises(Exception, match="out"):
        claims.repairer.run_once()
    assert claims.repairer.pending == 1
    claims.repairer.run_once()
    store.land()
    assert claim(claims, "b") == Answered(ANSWER)


def test_claims_share_a_lease_and_outlast_a_day(claims, store, clock):
    for number in range(50):
        claims.claim(ClaimKey("s", "c", str(number)), "f", f"id{number}", "entry-1")
    assert len(store.leases) == 1
    clock.advance(timedelta(minutes=59))
    claims.settle(claim(claims, "a").claim, ANSWER)
    clock.advance(timedelta(hours=24))
    assert claim(claims, "b") == Answered(ANSWER)
    clock.advance(timedelta(hours=3))
    assert isinstance(claim(claims, "c"), Granted)


def test_lease_that_the_store_forgot_is_replaced(claims, store):
    store.leases.clear()
    assert isinstance(claim(claims, "a"), Granted)


def test_two_writes_a_request(claims, store):
    before = store.writes
    claims.settle(claim(claims, "a").claim, ANSWER)
    assert store.writes - before == 2


def test_retry_in_an_outage_through_the_entry_that_ran_it(claims, store):
    """A certificate was issued; its answer never reached the caller, who retries.

    The store is out by then. Told "not run", the caller would ask for another one
    under a new key.
    """
    claims.settle(claim(claims, "a").claim, ANSWER)
    store.faults = ["unreached"]
    assert claim(claims, "b") == OutcomeLost()


def test_retry_in_an_outage_of_what_was_given_up(claims, store):
    claims.abandon(claim(claims, "a").claim)
    store.faults = ["unreached"]
    with pytest.raises(ClaimRefused):
        claim(claims, "b")


def test_key_that_holds_something_else_never_runs(claims, store):
    """The claim's key holds what a later version of the package wrote there."""
    store.create(KEY.path, b'{"state": "paused"}')
    assert claim(claims, "a") == OutcomeLost()
