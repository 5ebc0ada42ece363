"""What crashes of endpoints are blamed on: whole requests or parts of prompts."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sassafrasdale.decisions.blame import (
    KNOWN_SOUND_PART,
    MIN_CRASHES,
    PART,
    WHOLE_REQUEST,
)
from sassafrasdale.decisions.quarantine import StrikeLedger
from sassafrasdale.decisions.strikes import Strike, StrikeState
from tests.decisions.test_quarantine import strike

BAD = "part-bad"
SYSTEM = "part-system"
PART_AGE = PART.min_age.total_seconds()
SOUND_AGE = KNOWN_SOUND_PART.min_age.total_seconds()


def part_strike(
    part: str, crash: int, request: str, *, begun: bool = False, at: float = 0.0
) -> Strike:
    return Strike(part, f"i-{crash}", "v1", begun, at, "g-1", request)


class Ledger(StrikeLedger):
    """A ledger with a time of its own, in seconds.

    :param sound: parts that have run well here.
    """

    def __init__(self, *sound: str) -> None:
        self.time = 0.0
        super().__init__(now=lambda: self.time, is_sound=lambda part: part in sound)

    def crash(self, number: int, request: str, *parts: str, begun: bool = False):
        """Strike all features of a request that ran at a crash."""
        self.add(strike(request, number, begun=begun, at=self.time))
        for part in parts:
            self.add(part_strike(part, number, request, begun=begun, at=self.time))


def test_a_part_is_quarantined_by_crashes_of_new_requests():
    """Guards against a new count with each request that shares a part."""
    ledger = Ledger()
    for number in range(PART.crashes):
        ledger.crash(number, f"r-{number}", BAD)
    assert ledger.quarantined == set()
    ledger.time = PART_AGE
    assert ledger.quarantined == {BAD}


def test_a_part_of_one_repeated_request_is_not_blamed():
    """Guards against refusing a part for a request that crashes by its body."""
    ledger = Ledger()
    for number in range(2 * KNOWN_SOUND_PART.crashes):
        ledger.crash(number, "repeated", "part-of-it")
    ledger.time = 60.0
    assert ledger.quarantined == {"repeated"}


def test_a_bad_part_is_blamed_with_the_next_request():
    """Guards against blaming only the requests of a part that is repeated unchanged."""
    ledger = Ledger()
    for number in range(WHOLE_REQUEST.crashes):
        ledger.crash(number, "repeated", BAD)
    ledger.crash(WHOLE_REQUEST.crashes, "next", BAD)
    ledger.time = PART_AGE
    assert BAD in ledger.quarantined


def test_a_part_that_is_known_to_be_sound_needs_more():
    """Guards against refusing a system prompt for the part that stands beside it."""
    ledger = Ledger(SYSTEM)
    for number in range(20):
        ledger.crash(number, f"r-{number}", SYSTEM, BAD)
    ledger.time = PART_AGE
    assert ledger.quarantined == {BAD}
    ledger.time = 60.0
    assert ledger.quarantined == {BAD}


def test_a_part_that_has_gone_bad_is_quarantined_all_the_same():
    """Guards against crash after crash by a part that once ran well."""
    ledger = Ledger(SYSTEM)
    for number in range(KNOWN_SOUND_PART.crashes):
        ledger.crash(number, f"r-{number}", SYSTEM)
    ledger.time = PART_AGE
    assert ledger.quarantined == set()
    ledger.time = SOUND_AGE
    assert ledger.quarantined == {SYSTEM}


def test_repeated_requests_do_not_explain_the_crashes_of_their_part():
    """Guards against a part that is never blamed, as each of its requests is."""
    ledger = Ledger(BAD)
    for number in range(2 * WHOLE_REQUEST.crashes):
        ledger.crash(number, f"r-{number // WHOLE_REQUEST.crashes}", BAD)
    ledger.time = SOUND_AGE
    assert BAD in ledger.quarantined


def test_a_part_that_always_stands_beside_a_bad_one_is_explained_by_it():
    """Guards against refusing parts of which only some requests have the bad one."""
    ledger = Ledger()
    for number in range(PART.crashes + 1):
        parts = (BAD, "part-beside") if number else (BAD,)
        ledger.crash(number, f"r-{number}", *parts)
    ledger.time = PART_AGE
    assert ledger.quarantined == {BAD}


def test_requests_beside_a_bad_part_are_explained_by_it():
    """Guards against refusing a stream that met the bad part at each endpoint."""
    ledger = Ledger()
    for number in range(PART.crashes):
        ledger.crash(number, f"r-{number}", BAD)
        ledger.crash(number, "beside")
    ledger.time = PART_AGE
    assert ledger.quarantined == {BAD}


def test_a_part_is_not_quarantined_before_it_could_be_cleared():
    """Guards against refusing all requests at three crashes within an instant."""
    ledger = Ledger()
    for number in range(3 * KNOWN_SOUND_PART.crashes):
        ledger.crash(number, f"r-{number}", SYSTEM, BAD)
    assert ledger.quarantined == set()
    ledger.time = PART_AGE / 2
    ledger.clear(SYSTEM)
    ledger.time = PART_AGE
    assert ledger.quarantined == {BAD}


def test_sound_runs_that_are_heard_of_late_count():
    """Guards against a quarantine by strikes that came before news of sound runs."""
    ledger = Ledger()
    for number in range(PART.crashes):
        ledger.crash(number, f"r-{number}", SYSTEM)
    ledger.note_sound(SYSTEM)
    ledger.time = SOUND_AGE
    assert ledger.quarantined == set()


def test_strikes_of_unknown_requests_do_not_quarantine_a_part():
    """Guards against rows that a build without parts has passed on."""
    ledger = Ledger()
    for number in range(2 * KNOWN_SOUND_PART.crashes):
        ledger.add(part_strike(BAD, number, ""))
    ledger.time = 60.0
    assert ledger.quarantined == set()


def test_a_suspect_part_is_not_tried_twice_in_an_attempt():
    """Guards against two crashes for each request with a part that is suspected."""
    ledger = Ledger(SYSTEM)
    for number in range(2):
        ledger.crash(number, f"r-{number}", SYSTEM, BAD)
    assert ledger.may_retry(["other", SYSTEM])
    assert not ledger.may_retry(["other", BAD])


parts_of_crashes = st.lists(
    st.tuples(
        st.sampled_from([BAD, SYSTEM, "part-rare"]),
        st.integers(0, 5),
        st.sampled_from(["r-1", "r-2", "r-3"]),
        st.booleans(),
        st.sampled_from([0.0, 0.2, 4.0]),
        st.sampled_from([StrikeState.NEW, StrikeState.KNOWN_SOUND]),
    ),
    max_size=20,
)


@given(parts_of_crashes, st.randoms(use_true_random=False))
def test_gateways_with_the_same_strikes_of_parts_agree(facts, rng: Random):
    """Guards against gateways that decide by the order in which strikes arrive."""

    def ledger_of(rows) -> StrikeLedger:
        ledger = Ledger()
        ledger.time = 60.0
        for part, crash, request, begun, at, state in rows:
            struck = part_strike(part, crash, request, begun=begun, at=at)
            ledger.add(struck, state)
        return ledger

    shuffled = list(facts)
    rng.shuffle(shuffled)
    assert ledger_of(facts).quarantined == ledger_of(shuffled).quarantined


@pytest.mark.parametrize("crashes", range(MIN_CRASHES))
def test_fewer_crashes_quarantine_nothing(crashes):
    ledger = Ledger()
    for number in range(crashes):
        ledger.crash(number, f"r-{number}", BAD)
    ledger.time = 60.0
    assert ledger.quarantined == set()
