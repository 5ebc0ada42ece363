"""Tests of the gateways' polling order."""

from datetime import timedelta

import pytest

from sassafrasdale.decisions.poll_slots import PollSlot, poll_slot_of

STEP = timedelta(milliseconds=500)
UNEVEN = {"a": 3, "b": 1, "c": 2}


def poll_slots(counts):
    return [
        poll_slot_of(zone, place, counts)
        for zone, count in counts.items()
        for place in range(count)
    ]


@pytest.mark.parametrize("counts", [{"a": 1}, {"a": 1, "b": 1, "c": 1}, UNEVEN])
def test_each_step_has_one_polling_gateway(counts):
    """Guards against a change that all watches missed and that no gateway polls for."""
    found = poll_slots(counts)
    assert sorted(slot.index for slot in found) == list(range(sum(counts.values())))
    now = 1_700_000_000.2
    times = sorted(slot.time_until(now, STEP) for slot in found)
    assert times[0] < STEP
    assert all(
        abs(later - earlier - STEP) < STEP / 100
        for earlier, later in zip(times, times[1:], strict=False)
    )


def test_poll_repeats_after_all_others():
    slot = PollSlot(2, 6)
    now = 1_700_000_000.0
    first = slot.time_until(now, STEP)
    again = slot.time_until(now + first.total_seconds() + 0.01, STEP)
    assert again == pytest.approx(STEP * 6, abs=timedelta(milliseconds=20))
