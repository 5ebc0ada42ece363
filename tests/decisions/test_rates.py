"""Decaying rates of events, by key."""

from datetime import timedelta

import pytest

from sassafrasdale.decisions.rates import DecayingRates

SECOND = timedelta(seconds=1)
NOW = timedelta(seconds=10)


def test_events_count_less_the_longer_ago_they_were():
    rates = DecayingRates(SECOND)
    rates.add("a", NOW, 4)
    assert rates.rate("a", NOW) == 4
    assert rates.rate("a", NOW + SECOND) == pytest.approx(4 / 2.718, rel=0.01)
    assert rates.rate("b", NOW) == 0


def test_what_is_taken_back_leaves_no_negative_rate():
    rates = DecayingRates(SECOND)
    rates.add("a", NOW)
    rates.add("a", NOW, -3)
    assert rates.rate("a", NOW) == 0


def test_keys_can_be_removed():
    rates = DecayingRates(SECOND)
    rates.add("a", NOW)
    rates.add("b", NOW)
    rates.remove("a")
    assert set(rates.keys) == {"b"}
    rates.clear()
    assert not rates.keys
