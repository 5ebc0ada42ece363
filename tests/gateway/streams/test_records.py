"""Records of streams on one gateway."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.decisions.stream_versions import StreamBinding
from sassafrasdale.gateway.streams.messages import MAX_ID_LENGTH, stream_name
from sassafrasdale.gateway.streams.records import Origin, StreamRecords

SECOND = timedelta(seconds=1)
V1 = StreamBinding("models", "v1")
V2 = StreamBinding("models", "v2")


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def records(clock):
    return StreamRecords(clock, max_records=10)


def name(number: int) -> bytes:
    return stream_name("lab-a", f"r-{number}")


def add(records, number: int, binding=V1, group: str = "lab-a", life=9 * SECOND):
    return records.add(name(number), binding, life, Origin.OWN, group)


def test_a_record_lives_until_its_caller_can_not_come_back(records, clock):
    assert add(records, 1)
    clock.advance(8.9 * SECOND)
    assert records.get(name(1)).binding == V1
    clock.advance(0.1 * SECOND)
    assert records.get(name(1)) is None
    records.remove_expired()
    assert len(records) == 0


def test_a_record_that_outlives_an_earlier_one_is_removed_as_well(records, clock):
    add(records, 1, life=9 * SECOND)
    add(records, 2, life=3 * SECOND)
    clock.advance(9 * SECOND)
    records.remove_expired()
    assert len(records) == 0


def test_a_stream_with_two_versions_is_known_with_none(records):
    """Guards against a stream that goes on at whichever record came last."""
    add(records, 1)
    assert not add(records, 1)
    assert add(records, 1, V2)
    assert records.get(name(1)).binding.version == ""


def test_a_customer_does_not_exhaust_another_ones_records(records):
    """Guards against one customer's streams that evict all others'."""
    add(records, 0, group="lab-b")
    for number in range(1, 30):
        add(records, number)
    assert len(records) == 10
    assert records.get(name(0)) is not None
    assert records.get(name(29)) is not None
    assert records.get(name(1)) is None


def test_customers_do_not_share_names():
    """Guards against a customer that finds or overwrites another one's record."""
    assert stream_name("lab-a", "r-1") != stream_name("lab-b", "r-1")
    assert stream_name("lab-a", "b-r") != stream_name("lab-ab", "-r")


def test_an_id_that_is_missing_or_too_long_has_no_name():
    assert stream_name("lab-a", "") is None
    assert stream_name("lab-a", "x" * (MAX_ID_LENGTH + 1)) is None
    assert stream_name("lab-a", "\udcff") is not None
