"""Records that a leader keeps for its successor."""

import pytest
from pydantic import TypeAdapter

from sassafrasdale.coordination.exceptions import LeaseNotHeld, StoreAnswerLost
from sassafrasdale.gateway.records import DutyRecord
from tests.coordination.fakes import FakeStore

SCHEMA = TypeAdapter(dict[int, str])


@pytest.fixture
def store():
    return FakeStore()


def record(store):
    return DutyRecord(store, "duty", SCHEMA)


def test_the_next_leader_reads_the_record(store):
    first, second = record(store), record(store)
    assert first.read() is None
    first.write({1: "a"})
    first.write({1: "a", 2: "b"})
    assert second.read() == {1: "a", 2: "b"}


def test_a_former_leader_does_not_overwrite_its_successor(store):
    """A gateway is paused after its read and resumes when another is the leader."""
    first, second = record(store), record(store)
    first.read()
    second.read()
    second.write({2: "b"})
    with pytest.raises(LeaseNotHeld):
        first.write({1: "a"})
    assert not first.is_known
    assert second.read() == {2: "b"}


def test_a_record_is_read_again_after_a_lost_response(store):
    duty_record = record(store)
    duty_record.read()
    store.faults = ["lost_after"]
    with pytest.raises(StoreAnswerLost):
        duty_record.write({1: "a"})
    assert not duty_record.is_known
    assert duty_record.read() == {1: "a"}


@pytest.mark.parametrize("value", [b"", b"{", b"[1]", b'{"a": 1}'])
def test_a_malformed_record_is_replaced(store, value):
    """Guards against a duty that stops for good as each new leader fails to start."""
    store.compare_and_swap("duty", value, 0)
    duty_record = record(store)
    assert duty_record.read() is None
    duty_record.write({1: "a"})
    assert duty_record.read() == {1: "a"}
