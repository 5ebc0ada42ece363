"""Gathered writes keep their own conditions and answers."""

import pytest

from sassafrasdale.coordination.exceptions import StoreAnswerLost, StoreOverloaded
from sassafrasdale.coordination.gathering import (
    FIRST_INTERVAL,
    OVERLOADS_BORNE,
    GatheringStore,
)
from sassafrasdale.green import spawn
from tests.coordination.fakes import FakeStore


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def gathering(store):
    return GatheringStore(store)


def create_all(gathering, names):
    tasks = [spawn(gathering.create, name, name.encode()) for name in names]
    return [task.wait() for task in tasks]


def test_writes_that_come_together_travel_together(gathering, store):
    names = [f"key-{number}" for number in range(50)]
    assert all(create_all(gathering, names))
    assert store.writes == 1
    assert set(store.keys) == set(names)


def test_one_failed_condition_fails_only_its_own_write(gathering, store):
    """A retry's claim travels with claims of other requests.

    Its key exists, so the store rejects the whole transaction. The others must not
    be taken for claimed, and must be written all the same.
    """
    store.create("key-1", b"first")
    swaps = create_all(gathering, ["key-0", "key-1", "key-2"])
    assert [bool(swap) for swap in swaps] == [True, False, True]
    assert swaps[1].current.value == b"first"
    assert store.keys["key-1"].value == b"first"


def test_same_key_twice(gathering, store):
    """Two calls race for one key; the store takes no key twice in a call."""
    swaps = create_all(gathering, ["key", "key"])
    assert sorted(bool(swap) for swap in swaps) == [False, True]


def test_lost_answer_is_every_writers(gathering, store):
    store.faults = ["lost_after"]
    tasks = [spawn(gathering.create, name, b"") for name in ("a", "b")]
    for task in tasks:
        with pytest.raises(StoreAnswerLost):
            task.wait()
    assert set(store.keys) == {"a", "b"}


def test_refusal_over_the_rate_is_sent_again_more_slowly(gathering, store):
    store.faults = ["overloaded"] * 3
    assert all(create_all(gathering, ["a", "b"]))
    assert gathering.interval > FIRST_INTERVAL


def test_refusals_over_the_rate_end(gathering, store):
    store.faults = ["overloaded"] * (OVERLOADS_BORNE + 1)
    with pytest.raises(StoreOverloaded):
        gathering.create("a", b"")
