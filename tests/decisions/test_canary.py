"""Tests of the evaluation of canary versions."""

from collections import Counter
from datetime import timedelta
from random import Random

import pytest

from bench.canary.histories import simulate_rollout
from sassafrasdale.decisions.canary import (
    MAX_BUCKETS,
    CanaryAnalysis,
    FixedThreshold,
    Outcomes,
    SequentialTest,
    evaluate,
    latency_bucket,
)

DURATION = timedelta(seconds=20)
REQUESTS = 3000
# Maximum number of bad responses before rejection, without those sent while gateways
# learn of it.
MAX_BAD = 50
RULE = SequentialTest()
SECOND = timedelta(seconds=1)


def bad_responses_until_rejection(kind, seed, rule=RULE):
    """Return the bad responses until a version is rejected; None if it never is."""
    analysis = CanaryAnalysis(rule)
    for snapshot in simulate_rollout(
        kind, Random(f"{kind} {seed}"), REQUESTS, DURATION
    ):
        if analysis.evaluate(snapshot.rows, snapshot.at).is_rejected:
            return snapshot.bad
    return (
        snapshot.bad
        if analysis.evaluate(snapshot.rows, DURATION, final=True).is_rejected
        else None
    )


def rows(**outcomes):
    return {
        (group.strip("_"), "r"): Outcomes(answered, failed)
        for group, (answered, failed) in outcomes.items()
    }


@pytest.mark.parametrize(
    "kind",
    [
        "fails 0.4",
        "fails 0.4 later",
        "four times slower, half of the answers",
        "four times slower, all answers",
    ],
)
def test_bad_version_is_rejected_after_few_bad_responses(kind):
    """Guards against a bad version that serves callers until the deadline or later."""
    bad_counts = [bad_responses_until_rejection(kind, seed) for seed in range(6)]
    assert None not in bad_counts
    assert max(bad_counts) <= MAX_BAD


@pytest.mark.parametrize("kind", ["good", "good, all endpoints fail 0.05 for a while"])
def test_good_version_is_not_rejected(kind):
    assert [bad_responses_until_rejection(kind, seed) for seed in range(6)] == [
        None
    ] * 6


def test_equal_failure_rates_reject_no_version():
    """Guards against rolling back a good version for a fault of all endpoints."""
    canary = rows(_0=(60, 20), _1=(70, 22))
    assert not evaluate(canary, rows(_=(1500, 480)), RULE, final=True).is_rejected


def test_fault_of_one_endpoint_does_not_reject_its_version():
    """Guards against rolling back a good version for one endpoint that fails."""
    baseline = rows(_=(1000, 10))
    assert not evaluate(rows(_0=(20, 14), _1=(20, 0)), baseline, RULE).is_rejected
    assert evaluate(rows(_0=(20, 7), _1=(20, 7)), baseline, RULE).is_rejected


def test_single_endpoint_version_is_rejected_after_many_bad_responses():
    """Guards against never rejecting a bad version that has a single endpoint."""
    baseline = rows(_=(1000, 10))
    assert not evaluate(rows(_0=(5, 9)), baseline, RULE).is_rejected
    assert evaluate(rows(_0=(10, 18)), baseline, RULE).is_rejected
    assert evaluate(rows(_0=(5, 9)), baseline, RULE, final=True).is_rejected


def test_earlier_good_responses_do_not_hide_recent_bad_ones():
    """Guards against completing the rollout of a version that becomes bad late."""
    analysis = CanaryAnalysis(RULE)
    good = {
        ("0", "r"): Outcomes(300),
        ("1", "r"): Outcomes(300),
        ("", "r"): Outcomes(9),
    }
    for step in range(10):
        assert not analysis.evaluate(good, step * SECOND).is_rejected
    bad = {key: Outcomes(row.answered + 9, 4) for key, row in good.items()}
    bad["", "r"] = Outcomes(1000)
    assert analysis.evaluate(bad, 10 * SECOND).is_rejected


def test_few_responses_reject_only_at_the_end():
    baseline = rows(_=(1000, 10))
    few = rows(_0=(1, 1), _1=(1, 1))
    assert not evaluate(few, baseline, RULE).is_rejected
    assert evaluate(few, baseline, RULE, final=True).is_rejected


def test_no_responses_reject_no_version():
    assert not evaluate({}, {}, RULE, final=True).is_rejected
    assert not evaluate(rows(_0=(0, 0)), {}, RULE, final=True).is_rejected


def test_fixed_threshold_needs_its_minimum_of_responses():
    baseline = rows(_=(1000, 10))
    rule = FixedThreshold()
    assert not evaluate(rows(_0=(9, 5), _1=(0, 5)), baseline, rule).is_rejected
    assert evaluate(rows(_0=(6, 10), _1=(6, 10)), baseline, rule).is_rejected


def test_lost_counts_do_not_give_negative_differences():
    """The counts of a gateway that is gone are lost."""
    now = Outcomes(5, 1, Counter({3: 2}))
    assert now.since(Outcomes(9, 0, Counter({3: 4}))) == Outcomes(0, 1, Counter())


def test_bucket_of_a_response_time():
    assert latency_bucket(timedelta()) == 1
    assert latency_bucket(timedelta(milliseconds=2)) == 2
    assert latency_bucket(timedelta(hours=9)) == MAX_BUCKETS
