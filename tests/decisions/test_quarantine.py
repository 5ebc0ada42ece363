"""Tests of the quarantine of crashing requests."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sassafrasdale.decisions.blame import KNOWN_SOUND_PART, PART, WHOLE_REQUEST
from sassafrasdale.decisions.quarantine import (
    StrikeLedger,
    is_trial_due,
    trial_scope,
)
from sassafrasdale.decisions.strikes import Strike, StrikeState

MINUTE = 60.0


def strike(
    name: str,
    end: int,
    *,
    begun: bool = False,
    at: float = 0.0,
    witness: str = "g-1",
    request: str = "",
) -> Strike:
    return Strike(name, f"i-{end}", "v1", begun, at, witness, request)


def ledger_of(*strikes: Strike) -> StrikeLedger:
    ledger = StrikeLedger()
    for each in strikes:
        ledger.add(each)
    return ledger


def strikes_of(name: str, ends: range, **fields) -> list[Strike]:
    return [strike(name, end, **fields) for end in ends]


def test_request_is_quarantined_after_three_crashes():
    ledger = ledger_of(*strikes_of("crashing", range(2)))
    assert ledger.quarantined == set()
    ledger.add(strike("crashing", 2, witness="g-2"))
    assert ledger.quarantined == {"crashing"}


def test_crash_observed_by_several_gateways_counts_once():
    """Guards against quarantine for one crash during three attempts."""
    strikes = [strike("twin", 1, witness=f"g-{n}", at=n / 100) for n in range(5)]
    assert ledger_of(*strikes).quarantined == set()


def test_later_crash_of_the_same_endpoint_counts_again():
    """Guards against merging separate crashes if the endpoint list can't be read."""
    found = [
        strike("crashing", 1, at=second) for second in range(WHOLE_REQUEST.crashes)
    ]
    assert ledger_of(*found).quarantined == {"crashing"}


def test_a_success_clears_a_request():
    ledger = ledger_of(*strikes_of("hot", range(3)))
    assert ledger.clear("hot")
    assert ledger.quarantined == set()
    assert not ledger.open_strikes("hot")
    assert not ledger.clear("hot")


def test_cleared_strike_stays_cleared_when_reported_again():
    """Guards against an old strike that a partitioned gateway reports again."""
    ledger = ledger_of(*strikes_of("hot", range(3)))
    ledger.clear("hot")
    assert not ledger.add(strike("hot", 1))
    assert ledger.quarantined == set()


def test_stream_in_flight_at_each_crash_is_not_quarantined():
    """Guards against quarantine of a stream that met a crashing request three times."""
    beside = strikes_of("beside", range(3), begun=True)
    assert ledger_of(*beside).quarantined == {"beside"}
    ledger = ledger_of(*beside, *strikes_of("crashing", range(3)))
    assert ledger.quarantined == {"crashing"}


def test_crashes_not_explained_by_another_request_count():
    late = strikes_of("late", range(6), begun=True)
    ledger = ledger_of(*late, *strikes_of("crashing", range(3)))
    assert ledger.quarantined == {"crashing", "late"}


def test_equally_suspect_requests_are_all_quarantined():
    """Guards against a crashing request that another one in flight exonerates."""
    ledger = ledger_of(*strikes_of("a", range(3)), *strikes_of("b", range(3)))
    assert ledger.quarantined == {"a", "b"}


def test_strikes_of_one_crash_count_in_any_order():
    """Guards against a result that depends on the order of two strikes."""
    beside = strikes_of("beside", range(3))
    beside += strikes_of("beside", range(3), begun=True)
    crashing = strikes_of("crashing", range(3))
    for order in (beside, beside[::-1]):
        ledger = ledger_of(*order, *crashing)
        assert ledger.quarantined == {"crashing"}


def test_attempt_without_output_stops_after_two_crashes():
    """Guards against one attempt that crashes as many endpoints as it may try."""
    ledger = ledger_of(strike("crashing", 0))
    assert ledger.may_retry(["crashing"])
    ledger.add(strike("crashing", 1))
    assert not ledger.may_retry(["crashing"])


def test_stream_with_output_continues_after_two_crashes():
    ledger = ledger_of(*strikes_of("beside", range(2), begun=True))
    assert ledger.may_retry(["beside"])


FACTS = st.lists(
    st.tuples(
        st.sampled_from("abc"),
        st.integers(0, 4),
        st.booleans(),
        st.integers(0, 3),
        st.sampled_from([StrikeState.NEW, StrikeState.STORED, StrikeState.CLEARED]),
    ),
    max_size=30,
)


@given(FACTS, st.randoms(use_true_random=False))
def test_gateways_with_the_same_strikes_in_any_order_agree(facts, rng):
    """Guards against one gateway that refuses what another one sends."""

    def play(order: list) -> StrikeLedger:
        ledger = StrikeLedger()
        for name, end, begun, at, state in order:
            ledger.add(strike(name, end, begun=begun, at=at), state)
        return ledger

    shuffled = facts + rng.sample(facts, len(facts) // 2)
    rng.shuffle(shuffled)
    first, second = play(facts), play(shuffled)
    assert first.quarantined == second.quarantined
    for name in "abc":
        assert {tracked.strike for tracked in first.open_strikes(name)} == {
            tracked.strike for tracked in second.open_strikes(name)
        }


def test_changes_since_a_version_are_returned_in_order():
    ledger = ledger_of(*strikes_of("a", range(3)))
    version = ledger.version
    ledger.add(strike("b", 1))
    ledger.add(strike("a", 0), StrikeState.STORED)
    changed = ledger.since(version, 10)
    assert [tracked.strike.fingerprint for tracked in changed] == ["b", "a"]
    assert ledger.since(version, 1) == changed[:1]
    assert ledger.since(ledger.version, 10) == []


def test_ledger_is_bounded_with_ever_new_crashing_requests():
    """Guards against memory exhaustion by ever new crashing requests."""
    ledger = StrikeLedger(max_strikes=100)
    for each in strikes_of("crashing", range(3)):
        ledger.add(each)
    for number in range(1000):
        ledger.add(strike(f"new-{number}", number))
    assert len(ledger) <= 100
    assert ledger.quarantined == {"crashing"}


def test_cleared_strikes_are_evicted_first():
    ledger = StrikeLedger(max_strikes=10)
    for number in range(5):
        ledger.add(strike(f"old-{number}", number))
    for number in range(5):
        ledger.add(strike(f"innocent-{number}", number), StrikeState.CLEARED)
    ledger.add(strike("new", 1))
    assert all(ledger.open_strikes(f"old-{number}") for number in range(5))


@pytest.mark.parametrize(
    ("made", "waited", "has_new", "due"),
    [
        (0, MINUTE, True, True),
        (0, MINUTE, False, False),
        (0, 11 * MINUTE, False, True),
        (1, 45.0, True, False),
        (1, 2 * MINUTE, True, True),
        (2, 1000 * MINUTE, True, False),
    ],
)
def test_trial_of_a_quarantined_request(made, waited, has_new, due):
    assert is_trial_due(made, 100.0, 100.0 + waited, has_new=has_new) is due


@pytest.mark.parametrize(
    ("versions", "has_new", "avoided"),
    [
        ({"i-1": "v1", "i-2": "v1"}, False, set()),
        ({"i-1": "v1", "i-2": "v2"}, True, {"i-1"}),
        ({"i-1": "v2", "i-2": "v2"}, True, set()),
        ({}, False, set()),
    ],
)
def test_trial_uses_new_versions_if_there_are_any(versions, has_new, avoided):
    """Guards against a trial that crashes another endpoint of a known bad version."""
    scope = trial_scope({"v1"}, versions)
    assert scope.has_new_version is has_new
    assert scope.excluded_endpoints == avoided


CRASH_INTERVAL = 2
ENDPOINTS = 12


@pytest.mark.parametrize("seed", range(10))
def test_innocent_requests_are_not_quarantined_with_frequent_crashes(seed):
    """Guards against quarantine of innocent requests.

    One of twelve endpoints crashes every two seconds, for other reasons. Streams of two
    to ten seconds run there; a stream that a crash interrupts continues on another
    endpoint.
    """
    rng = Random(seed)
    ledger = StrikeLedger()
    running: dict[str, list[int]] = {}
    refused: set[str] = set()
    began = 0
    for second in range(300):
        for _ in range(30):
            began += 1
            running[f"r-{began}"] = [rng.randrange(ENDPOINTS), rng.randint(2, 10)]
        for name, run in list(running.items()):
            run[1] -= 1
            if not run[1]:
                del running[name]
                ledger.clear(name)
        if second % CRASH_INTERVAL:
            continue
        crashed = rng.randrange(ENDPOINTS)
        for name, run in list(running.items()):
            if run[0] != crashed:
                continue
            ledger.add(strike(name, second, begun=True))
            run[0] = rng.choice([n for n in range(ENDPOINTS) if n != crashed])
            if name in ledger.quarantined:
                refused.add(name)
                del running[name]
    assert len(refused) <= began / 200


def test_strikes_that_are_learnt_late_leave_time_to_clear_a_sound_part():
    """Guards against a sound part that is quarantined as old strikes become known.

    What clears it was heard before the strikes, and had nothing to clear.
    """
    now = 1000.0
    ledger = StrikeLedger(now=lambda: now, is_sound=lambda feature: True)
    ledger.clear("part-aa")
    for end in range(KNOWN_SOUND_PART.crashes):
        ledger.add(strike("part-aa", end, at=now - 6, request=f"r-{end}"))
    assert ledger.quarantined == set()


def test_a_success_clears_no_later_crash():
    """Guards against a part that crashes endpoints after it was once run well."""
    now = 1000.0
    ledger = StrikeLedger(now=lambda: now)
    ledger.clear("part-aa")
    for end in range(PART.crashes):
        ledger.add(strike("part-aa", end, at=now + 0.1, request=f"r-{end}"))
    now += 2
    assert ledger.quarantined == {"part-aa"}


def test_a_success_clears_late_strikes_in_any_order():
    """Guards against gateways that differ by the order in which they hear of both."""
    now = 1000.0
    early, late = (StrikeLedger(now=lambda: now) for _ in range(2))
    strikes = [
        strike("part-aa", end, at=now - 6, request=f"r-{end}")
        for end in range(PART.crashes)
    ]
    for each in strikes:
        early.add(each)
    early.clear("part-aa")
    late.clear("part-aa")
    for each in strikes:
        late.add(each)
    for ledger in (early, late):
        assert ledger.quarantined == set()
        assert ledger.open_strikes("part-aa") == []


def test_strikes_that_expire_clear_no_others():
    """Guards against old strikes whose end hides newer ones that are heard later."""
    now = 1000.0
    ledger = StrikeLedger(now=lambda: now)
    ledger.add(strike("part-aa", 1, at=now - 100))
    assert ledger.expire("part-aa")
    ledger.add(strike("part-aa", 2, at=now - 6))
    assert len(ledger.open_strikes("part-aa")) == 1
