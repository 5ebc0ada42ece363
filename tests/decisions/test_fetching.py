"""Whether shared parts of a prompt are fetched or read."""

from datetime import timedelta

import pytest

from sassafrasdale.decisions.fetching import (
    SETUP_TIME,
    MemoryLink,
    pays,
    transfer_time,
)

TOKEN_TIME = timedelta(microseconds=10)
# Memory of a token and rate of the link of the engines that were measured.
FAST = MemoryLink(35_136, 550_000e6)


def test_a_long_beginning_arrives_in_a_fraction_of_its_reading():
    """Every engine that starts would read 117 beginnings of 5,400 tokens again."""
    assert transfer_time(5400, FAST) < 5400 * TOKEN_TIME / 8
    assert pays(5400, FAST, TOKEN_TIME)


def test_a_short_one_is_read_sooner_than_a_transfer_begins():
    assert transfer_time(200, FAST) > SETUP_TIME
    assert not pays(200, FAST, TOKEN_TIME)


def test_over_a_slow_link_everything_is_read():
    assert not pays(5400, MemoryLink(35_136, 5_000e6), TOKEN_TIME)


@pytest.mark.parametrize("link", [None, MemoryLink(35_136, 0)])
def test_without_a_link_nothing_is_fetched(link):
    assert not pays(5400, link, TOKEN_TIME)


def test_nothing_is_fetched_where_nothing_is_missing():
    assert not pays(0, FAST, TOKEN_TIME)
