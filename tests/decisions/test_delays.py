"""Tests of the relative speed of endpoints."""

from datetime import timedelta

from sassafrasdale.decisions.delays import FORGET_HALF_LIFE, TokenDelays


def _observed(**milliseconds: int) -> TokenDelays:
    delays = TokenDelays()
    for name, delay in milliseconds.items():
        delays.observe(name, timedelta(milliseconds=delay), timedelta())
    return delays


def test_detects_a_slow_endpoint():
    """Guards against new requests to a slow replica, while no error is visible.

    One replica of many runs at a quarter of its speed. Its requests take long, so a
    count of requests alone keeps sending new ones to it.
    """
    delays = _observed(a=30, b=25, c=28, d=112)
    assert delays.slowness("d", timedelta()) > 3
    assert delays.slowness("a", timedelta()) == 1.0


def test_slowness_decays_so_that_a_recovered_endpoint_is_tried():
    delays = _observed(a=30, b=30, c=90)
    assert delays.slowness("c", FORGET_HALF_LIFE) == 2.0


def test_slowness_is_normal_with_too_few_endpoints_to_compare():
    assert _observed(a=10, b=90).slowness("b", timedelta()) == 1.0
