"""Tests of fetching versus computing shared prefixes."""

from datetime import timedelta

import pytest

from sassafrasdale.decisions.fetching import (
    SETUP_TIME,
    CacheLink,
    is_fetch_worthwhile,
    transfer_time,
)

TOKEN_TIME = timedelta(microseconds=10)
# Cache size of a token and bandwidth of the link of the measured engines.
FAST = CacheLink(35_136, 550_000e6)


def test_long_prefix_is_fetched_faster_than_computed():
    """Guards against recomputing 117 prefixes of 5,400 tokens on each new engine."""
    assert transfer_time(5400, FAST) < 5400 * TOKEN_TIME / 8
    assert is_fetch_worthwhile(5400, FAST, TOKEN_TIME)


def test_short_prefix_is_computed_faster_than_fetched():
    assert transfer_time(200, FAST) > SETUP_TIME
    assert not is_fetch_worthwhile(200, FAST, TOKEN_TIME)


def test_nothing_is_fetched_over_a_slow_link():
    assert not is_fetch_worthwhile(5400, CacheLink(35_136, 5_000e6), TOKEN_TIME)


@pytest.mark.parametrize("link", [None, CacheLink(35_136, 0)])
def test_nothing_is_fetched_without_a_link(link):
    assert not is_fetch_worthwhile(5400, link, TOKEN_TIME)


def test_nothing_is_fetched_if_nothing_is_missing():
    assert not is_fetch_worthwhile(0, FAST, TOKEN_TIME)
