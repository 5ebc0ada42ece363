"""Tests of the limit on the requests that a canary version may get."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from sassafrasdale.decisions.exposure import (
    MAX_FRACTION,
    SAMPLED_FRACTION,
    CanaryAllowance,
)

SHARE = 0.1
ROUTES = ("r-reports", "r-rare")


def play(allowance, rng, requests, *, full=False):
    for _ in range(requests):
        route = ROUTES[0] if rng.random() < 0.9 else ROUTES[1]
        allowance.record_request(route, is_canary=allowance.may_try(route, full=full))


def test_gateways_without_contact_keep_the_share_together():
    """Guards against exceeding the share because each gateway rounds its share up.

    Seventy gateways see a few requests each, and half of them restart midway.
    """
    rng = Random(1)
    allowances = [CanaryAllowance(SHARE, rng) for _ in range(105)]
    for allowance in allowances:
        play(allowance, rng, 20)
    sent = sum(allowance.sent for allowance in allowances)
    sent_to_canary = sum(allowance.canary_requests for allowance in allowances)
    assert SHARE * SAMPLED_FRACTION * 0.6 < sent_to_canary / sent < SHARE


@given(st.integers(0, 2**32), st.lists(st.tuples(st.booleans(), st.integers(1, 300))))
def test_share_is_never_exceeded_by_more_than_a_request(seed, phases):
    rng = Random(seed)
    allowance = CanaryAllowance(SHARE, rng)
    for full, requests in phases:
        play(allowance, rng, requests, full=full)
        assert allowance.canary_requests <= allowance.sent * SHARE * MAX_FRACTION + 1


def test_rare_route_is_sampled():
    """Guards against a version that fails only on a route that is never sampled."""
    rng = Random(2)
    allowance = CanaryAllowance(SHARE, rng)
    sent_to_canary = 0
    for _ in range(2000):
        play(allowance, rng, 1)
        if allowance.may_try("r-rare"):
            allowance.record_request("r-rare", is_canary=True)
            sent_to_canary += 1
    assert sent_to_canary > 0


def test_full_share_uses_the_rest_of_the_share():
    rng = Random(3)
    allowance = CanaryAllowance(SHARE, rng)
    play(allowance, rng, 2000)
    before = allowance.canary_requests
    play(allowance, rng, 200, full=True)
    assert allowance.canary_requests - before > 50


def test_deferred_requests_are_not_sent_all_at_once():
    """Guards against overloading the few endpoints of the canary as they start."""
    allowance = CanaryAllowance(SHARE, Random(4))
    for _ in range(2000):
        allowance.record_request("r-reports", is_canary=False)
    at_once = 0
    while allowance.may_try("r-reports"):
        allowance.record_request("r-reports", is_canary=True)
        at_once += 1
    assert at_once <= 3
