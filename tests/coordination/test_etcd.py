"""Tests of the store's client against the stand-in, with connection faults."""

import time
from collections.abc import Iterator
from datetime import timedelta
from uuid import uuid4

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.coordination.etcd import EtcdStore
from sassafrasdale.coordination.exceptions import (
    LeaseNotFound,
    StoreAnswerLost,
    StoreNotReached,
    StoreOverloaded,
)
from sassafrasdale.coordination.stores import ABSENT, Lease
from sassafrasdale.green import sleep, spawn
from sassafrasdale.structures import Address
from standins.processes import PlatformProcess, free_port

SECOND = timedelta(seconds=1)


@pytest.fixture(scope="module")
def platform() -> Iterator[PlatformProcess]:
    with PlatformProcess() as process:
        yield process


@pytest.fixture
def store(platform: PlatformProcess) -> Iterator[EtcdStore]:
    limit = timedelta(milliseconds=400)
    yield EtcdStore(Address.parse(platform.store), SystemClock(), call_timeout=limit)
    platform.set_faults(store={"outage": None, "delay_ms": 0, "writes_per_second": 300})


@pytest.fixture
def key() -> str:
    return f"test/{uuid4().hex}"


def test_create_swap_read_and_delete(store, key):
    first = store.create(key, b"one")
    assert first
    second = store.create(key, b"two")
    assert not second
    assert second.current.value == b"one"
    assert second.current.mod_revision == first.revision
    assert store.compare_and_swap(key, b"", first.revision, also={key + "/h": b"h"})
    assert store.get(key).value == b""
    assert [item.key for item in store.list(key)] == [key, key + "/h"]
    newest = store.list(key, limit=1, newest_first=True)
    assert [item.key for item in newest] == [key + "/h"]
    store.delete(key)
    assert store.get(key) is None


def test_revision_is_read_without_the_value(store, key):
    assert store.revision_of(key) == ABSENT
    first = store.create(key, b"one")
    assert store.revision_of(key) == first.revision


def test_lease(store, key):
    lease = store.grant_lease(SECOND)
    assert store.create(key, b"held", lease=lease)
    store.keep_alive(lease)
    store.revoke(lease)
    assert store.get(key) is None
    with pytest.raises(LeaseNotFound):
        store.keep_alive(lease)
    with pytest.raises(LeaseNotFound):
        store.create(key, b"late", lease=Lease(lease.id, SECOND))


def test_watch_waits_and_times_out(store, key):
    first = store.create(key, b"one")
    assert store.watch(key, first.revision, SECOND / 5) is None
    spawn(store.compare_and_swap, key, b"two", first.revision)
    assert store.watch(key, first.revision, SECOND * 5).value == b"two"


def test_watch_returns_earlier_write(store, key):
    first = store.create(key, b"one")
    store.compare_and_swap(key, b"two", first.revision)
    assert store.watch(key, first.revision, SECOND * 5).value == b"two"


def test_read_survives_unresponsive_connections(store, platform, key):
    """Pooled connections stay unresponsive while new ones work.

    A client that keeps its pool fails on each connection in turn, and one without
    a timeout hangs. The first timeout must replace the pool.
    """
    store.create(key, b"one")
    tasks = [spawn(store.get, key) for _ in range(8)]
    assert all(task.wait() for task in tasks)
    platform.set_faults(store={"silence_connections": True})
    tasks = [spawn(store.get, key) for _ in range(8)]
    began = time.monotonic()
    assert [task.wait().value for task in tasks] == [b"one"] * 8
    assert time.monotonic() - began < 2


def test_response_lost_after_the_write(store, platform, key):
    platform.set_faults(store={"drop_writes": 1})
    with pytest.raises(StoreAnswerLost) as loss:
        store.create(key, b"one")
    assert loss.value.retry_after > timedelta()
    assert store.get(key).value == b"one"


def test_rate_limited_call_has_no_effect(store, platform, key):
    platform.set_faults(store={"writes_per_second": 0})
    sleep(SECOND / 20)
    with pytest.raises(StoreOverloaded) as refusal:
        store.create(key, b"one")
    assert refusal.value.retry_after > timedelta()
    assert store.get(key) is None


def test_calls_are_rejected_immediately_in_a_known_outage(store, platform, key):
    """The store accepts connections and sends no responses.

    The first callers wait for the timeout; later ones are rejected immediately,
    and the client recovers when the store does.
    """
    assert store.get(key) is None
    platform.set_faults(store={"outage": "silent"})
    for _ in range(3):
        with pytest.raises(StoreAnswerLost):
            store.create(key, b"one")
    began = time.monotonic()
    for _ in range(50):
        with pytest.raises(StoreNotReached):
            store.create(key, b"one")
    assert time.monotonic() - began < 0.2
    platform.set_faults(store={"outage": None})
    sleep(SECOND)
    assert store.get(key) is None or store.get(key).value == b"one"


def test_connection_refused():
    address = Address("127.0.0.1", free_port())
    store = EtcdStore(address, SystemClock())
    with pytest.raises(StoreNotReached):
        store.create("key", b"value")
