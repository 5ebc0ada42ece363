"""Tests of the step times of engines, estimated from gaps between events."""

from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.decisions.step_times import MAX_SLOWNESS, EngineStepTimes

MILLISECOND = timedelta(milliseconds=1)


def stream(rng, step, busy):
    """Return the gaps of a stream of 60 events, five steps each.

    :param busy: fraction of the gaps that a chunk of another prompt lengthens.
    """
    return [
        step * 5 + (18 * MILLISECOND if rng.random() < busy else timedelta())
        for _ in range(60)
    ]


@pytest.mark.parametrize("busy", [0.0, 0.3, 0.6])
def test_slow_engine_is_detected_at_any_load(busy):
    """Guards against late responses to prompts of 50,000 tokens on one engine in three.

    Engines have steps of 3.2 ms, and one takes 1.3 times as long; chunks of other
    prompts lengthen up to six of ten gaps.
    """
    rng = Random(5)
    step_times = EngineStepTimes()
    for _ in range(6):
        step_times.observe("fast", stream(rng, 3.2 * MILLISECOND, busy))
        step_times.observe("slow", stream(rng, 3.2 * 1.3 * MILLISECOND, busy))
    slowness = step_times.slowness(["fast", "slow"])
    assert slowness["fast"] == 1.0
    assert 1.2 < slowness["slow"] < 1.4


def test_engine_without_estimate_is_omitted():
    step_times = EngineStepTimes()
    assert step_times.slowness(["new"]) == {}
    step_times.observe("old", stream(Random(1), 3 * MILLISECOND, 0))
    assert step_times.slowness(["new", "old"]) == {}


def test_events_that_arrive_together_do_not_lower_the_estimate():
    """Guards against all others seeming slow after one delay of an engine's events."""
    step_times = EngineStepTimes()
    for _ in range(4):
        step_times.observe("a", [16 * MILLISECOND] * 40)
        step_times.observe(
            "b", [timedelta(), 32 * MILLISECOND] * 5 + [16 * MILLISECOND] * 30
        )
    assert step_times.slowness("ab")["a"] == 1.0


def test_slowness_is_bounded():
    step_times = EngineStepTimes()
    for _ in range(4):
        step_times.observe("a", [16 * MILLISECOND] * 40)
        step_times.observe("b", [900 * MILLISECOND] * 40)
    assert step_times.slowness("ab")["b"] == MAX_SLOWNESS


def test_removed_engine_is_forgotten():
    step_times = EngineStepTimes()
    for _ in range(4):
        step_times.observe("a", [16 * MILLISECOND] * 40)
        step_times.observe("b", [32 * MILLISECOND] * 40)
    step_times.forget("a")
    assert step_times.slowness("ab") == {"b": 1.0}
