"""Tests of the slowness of endpoints."""

from datetime import timedelta

from sassafrasdale.decisions.delays import FORGET_HALF_LIFE, TokenDelays


def _observed(**milliseconds: int) -> TokenDelays:
    delays = TokenDelays()
    for name, delay in milliseconds.items():
        delays.observe(name, timedelta(milliseconds=delay), timedelta())
    return delays


def test_marks_the_endpoint_that_is_slow():
    """Some answers crawl while the rest are quick, and no error shows.

    One replica of many runs at a quarter of its speed. Its requests take long,
    so a count of requests alone keeps sending it new ones.
    """
    delays = _observed(a=30, b=25, c=28, d=112)
    assert delays.slowness("d", timedelta()) > 3
    assert delays.slowness("a", timedelta()) == 1.0


def test_a_mark_fades_so_that_a_mended_endpoint_is_tried():
    delays = _observed(a=30, b=30, c=90)
    assert delays.slowness("c", FORGET_HALF_LIFE) == 2.0


def test_says_nothing_with_too_few_to_compare():
    assert _observed(a=10, b=90).slowness("b", timedelta()) == 1.0
