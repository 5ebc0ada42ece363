"""What a duty's holder leaves to the next one."""

import pytest
from pydantic import TypeAdapter

from sassafrasdale.coordination.exceptions import LeaseNotHeld, StoreAnswerLost
from sassafrasdale.gateway.records import DutyRecord
from tests.coordination.fakes import FakeStore

FORM = TypeAdapter(dict[int, str])


@pytest.fixture
def store():
    return FakeStore()


def record(store):
    return DutyRecord(store, "duty", FORM)


def test_the_next_holder_reads_what_was_written(store):
    first, second = record(store), record(store)
    assert first.read() is None
    first.write({1: "a"})
    first.write({1: "a", 2: "b"})
    assert second.read() == {1: "a", 2: "b"}


def test_a_former_holder_does_not_overwrite_its_successor(store):
    """A gateway freezes after it has read, and wakes when another has the duty."""
    first, second = record(store), record(store)
    first.read()
    second.read()
    second.write({2: "b"})
    with pytest.raises(LeaseNotHeld):
        first.write({1: "a"})
    assert not first.is_known
    assert second.read() == {2: "b"}


def test_after_a_lost_answer_it_is_read_again(store):
    held = record(store)
    held.read()
    store.faults = ["lost_after"]
    with pytest.raises(StoreAnswerLost):
        held.write({1: "a"})
    assert not held.is_known
    assert held.read() == {1: "a"}


@pytest.mark.parametrize("value", [b"", b"{", b"[1]", b'{"a": 1}'])
def test_a_document_that_cannot_be_read_is_begun_anew(store, value):
    """The duty would stand still for good: each holder would fail at its start."""
    store.compare_and_swap("duty", value, 0)
    held = record(store)
    assert held.read() is None
    held.write({1: "a"})
    assert held.read() == {1: "a"}
