"""Paces of engines, from the pauses between their events."""

from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.decisions.paces import MOST_SLOWER, EnginePaces

MILLISECOND = timedelta(milliseconds=1)


def stream(rng, step, busy):
    """Return the pauses of a stream of 60 events, five steps each.

    :param busy: part of the pauses that a chunk of another prompt lengthens.
    """
    return [
        step * 5 + (18 * MILLISECOND if rng.random() < busy else timedelta())
        for _ in range(60)
    ]


@pytest.mark.parametrize("busy", [0.0, 0.3, 0.6])
def test_a_slow_engine_shows_at_any_load(busy):
    """A prompt of 50,000 tokens would be late on one engine in three.

    Pattern: engines with steps of 3.2 ms, and one that takes 1.3 times as long; chunks
    of others' prompts lengthen up to six pauses of ten.
    """
    rng = Random(5)
    paces = EnginePaces()
    for _ in range(6):
        paces.observe("fast", stream(rng, 3.2 * MILLISECOND, busy))
        paces.observe("slow", stream(rng, 3.2 * 1.3 * MILLISECOND, busy))
    slowness = paces.slowness(["fast", "slow"])
    assert slowness["fast"] == 1.0
    assert 1.2 < slowness["slow"] < 1.4


def test_nothing_is_said_of_an_unknown_engine():
    paces = EnginePaces()
    assert paces.slowness(["new"]) == {}
    paces.observe("old", stream(Random(1), 3 * MILLISECOND, 0))
    assert paces.slowness(["new", "old"]) == {}


def test_events_that_arrive_together_do_not_make_an_engine_fast():
    """All others would look slow beside an engine whose events were held up once."""
    paces = EnginePaces()
    for _ in range(4):
        paces.observe("a", [16 * MILLISECOND] * 40)
        paces.observe(
            "b", [timedelta(), 32 * MILLISECOND] * 5 + [16 * MILLISECOND] * 30
        )
    assert paces.slowness("ab")["a"] == 1.0


def test_an_engine_in_trouble_is_not_beyond_all_bounds():
    paces = EnginePaces()
    for _ in range(4):
        paces.observe("a", [16 * MILLISECOND] * 40)
        paces.observe("b", [900 * MILLISECOND] * 40)
    assert paces.slowness("ab")["b"] == MOST_SLOWER


def test_an_engine_that_is_gone_is_forgotten():
    paces = EnginePaces()
    for _ in range(4):
        paces.observe("a", [16 * MILLISECOND] * 40)
        paces.observe("b", [32 * MILLISECOND] * 40)
    paces.forget("a")
    assert paces.slowness("ab") == {"b": 1.0}
