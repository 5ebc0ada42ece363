"""Tests that batched writes keep their own conditions and results."""

import pytest

from sassafrasdale.coordination.batching import (
    MAX_OVERLOADS,
    MIN_INTERVAL,
    BatchingStore,
)
from sassafrasdale.coordination.exceptions import StoreAnswerLost, StoreOverloaded
from sassafrasdale.green import spawn
from tests.coordination.fakes import FakeStore


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def batching(store):
    return BatchingStore(store)


def create_all(batching, names):
    tasks = [spawn(batching.create, name, name.encode()) for name in names]
    return [task.wait() for task in tasks]


def test_concurrent_writes_are_batched(batching, store):
    names = [f"key-{number}" for number in range(50)]
    assert all(create_all(batching, names))
    assert store.writes == 1
    assert set(store.keys) == set(names)


def test_one_failed_condition_fails_only_its_own_write(batching, store):
    """A retry's claim is batched with the claims of other requests.

    Its key exists, so the store rejects the whole transaction. The other claims
    must not count as conflicts, and must still be written.
    """
    store.create("key-1", b"first")
    swaps = create_all(batching, ["key-0", "key-1", "key-2"])
    assert [bool(swap) for swap in swaps] == [True, False, True]
    assert swaps[1].current.value == b"first"
    assert store.keys["key-1"].value == b"first"


def test_same_key_twice(batching, store):
    """Two calls race for one key, which the store accepts once per transaction."""
    swaps = create_all(batching, ["key", "key"])
    assert sorted(bool(swap) for swap in swaps) == [False, True]


def test_lost_response_fails_every_write(batching, store):
    store.faults = ["lost_after"]
    tasks = [spawn(batching.create, name, b"") for name in ("a", "b")]
    for task in tasks:
        with pytest.raises(StoreAnswerLost):
            task.wait()
    assert set(store.keys) == {"a", "b"}


def test_rate_limited_writes_are_retried_at_a_longer_interval(batching, store):
    store.faults = ["overloaded"] * 3
    assert all(create_all(batching, ["a", "b"]))
    assert batching.interval > MIN_INTERVAL


def test_rate_limited_write_fails_after_the_last_retry(batching, store):
    store.faults = ["overloaded"] * (MAX_OVERLOADS + 1)
    with pytest.raises(StoreOverloaded):
        batching.create("a", b"")
