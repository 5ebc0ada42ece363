"""Whether an endpoint has room for another request under load."""

from datetime import timedelta

import pytest

from sassafrasdale.decisions.endpoint_room import MAX_QUEUED_FRACTION, has_room

MS = timedelta(milliseconds=1)
OBJECTIVE = 800 * MS
LIMIT = OBJECTIVE * MAX_QUEUED_FRACTION


@pytest.mark.parametrize(
    ("in_flight", "queued", "expected"),
    [
        (1, timedelta(), True),
        (3, LIMIT, True),
        (3, LIMIT + MS, False),
        (4, timedelta(), False),
        (5, timedelta(), False),
    ],
)
def test_room_is_bounded_by_slots_and_queued_time(
    in_flight: int, queued: timedelta, expected: bool
) -> None:
    assert has_room(in_flight, 4, queued, OBJECTIVE) is expected


def test_an_idle_endpoint_always_has_room() -> None:
    """Guards against a long prompt that no endpoint ever gets."""
    assert has_room(0, 1, 10 * OBJECTIVE, OBJECTIVE)
