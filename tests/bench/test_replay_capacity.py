"""The capacity plan on the launch day, against the expected outcome."""

from bench.replay.capacity import fixed, ours, replay, spread
from sassafrasdale.decisions.structures import CapacityPolicy


def test_carries_the_whole_launch_day_for_half_the_price_of_a_fixed_fleet():
    """A zone is reclaimed as the launch peaks, and another refuses all starts.

    A planner that follows the load without spare capacity leaves callers without a
    response for minutes; a fleet of on-demand instances costs twice as much.
    """
    planned = replay(ours(CapacityPolicy()))
    assert planned.served > 0.9999
    assert planned.cost < 0.5 * replay(fixed).cost
    assert replay(spread).served < 0.99
