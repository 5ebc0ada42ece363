"""Tests of retry budget, backoff and hedging."""

from datetime import timedelta
from random import Random

from sassafrasdale.decisions.backoff import (
    BACKOFF_BASE,
    BACKOFF_CAP,
    Backoff,
    spread_retry_after,
)
from sassafrasdale.decisions.budgets import RetryBudget
from sassafrasdale.decisions.hedging import Hedging

SECOND = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)


def test_retries_are_a_share_of_the_successes():
    """Guards against retries that keep an overloaded service down.

    Each failure was tried four times, so that the endpoints got four times the load
    when they could handle the least.
    """
    budget = RetryBudget(share=0.1, floor=0.0, depth=100.0)
    budget.try_spend(timedelta())
    for _ in range(101):
        budget.deposit(timedelta())
    assert sum(budget.try_spend(timedelta()) for _ in range(50)) == 10


def test_floor_allows_retries_without_successes():
    budget = RetryBudget(floor=0.5)
    assert budget.try_spend(timedelta())
    assert not budget.try_spend(SECOND)
    assert budget.try_spend(2 * SECOND)


def test_backoff_is_bounded_and_random():
    waits = [Backoff(Random(seed)).next() for seed in range(20)]
    assert len(set(waits)) == 20
    backoff = Backoff(Random(1))
    for _ in range(50):
        assert BACKOFF_BASE <= backoff.next() <= BACKOFF_CAP


def test_retry_after_is_never_earlier_than_the_hint():
    rng = Random(1)
    hints = [spread_retry_after(SECOND, rng) for _ in range(50)]
    assert SECOND <= min(hints) < max(hints) <= 2 * SECOND


def test_hedges_after_the_quantile_of_recent_latencies():
    hedging = Hedging()
    assert hedging.delay(idempotent=True) is None
    for number in range(1, 101):
        hedging.observe(number * MILLISECOND, SECOND)
    assert hedging.delay(idempotent=True) == 96 * MILLISECOND


def test_never_hedges_a_non_idempotent_request():
    """Guards against two conflicting certificates for one batch.

    The first response was slow, so the request was sent again, and both endpoints
    issued a certificate.
    """
    hedging = Hedging()
    for _ in range(100):
        hedging.observe(SECOND, SECOND)
    assert hedging.delay(idempotent=False) is None
    assert not hedging.try_hedge(SECOND, idempotent=False)


def test_hedges_stay_within_the_budget():
    hedging = Hedging(RetryBudget(share=0.1, floor=0.0, depth=10.0))
    for _ in range(100):
        hedging.observe(SECOND, SECOND)
    hedges = sum(hedging.try_hedge(SECOND, idempotent=True) for _ in range(100))
    assert hedges == 10
