"""The capacity plan against its stated outcome on the launch day."""

from bench.replay.capacity import fixed, ours, replay, spread
from sassafrasdale.decisions.structures import CapacityPolicy


def test_carries_the_whole_launch_day_for_half_the_price_of_a_fixed_fleet():
    """A zone is reclaimed as the launch peaks, and another refuses all starts.

    A planner that follows the load with no room for a loss leaves callers
    without an answer for minutes; a fleet that lasts costs twice as much.
    """
    planned = replay(ours(CapacityPolicy()))
    assert planned.served > 0.9999
    assert planned.cost < 0.5 * replay(fixed).cost
    assert replay(spread).served < 0.99
