"""The client of the platform's store, against its stand-in."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.coordination.exceptions import StoreWatchDropped
from sassafrasdale.green import sleep, spawn
from sassafrasdale.platform.store import PlatformStore
from sassafrasdale.structures import Address
from standins.gateway_fleet import wait_for
from standins.kv_store import Fault, KvStore

CLOCK = SystemClock()
WAIT = timedelta(seconds=5)


@pytest.fixture
def platform():
    return KvStore(CLOCK)


@pytest.fixture
def store(platform):
    return PlatformStore(platform.serve(Address("127.0.0.1", 0)), CLOCK)


def test_a_watch_from_an_outage_is_cancelled_at_once(platform, store):
    """Guards against a change that is seen seconds late, after the watch times out.

    The watch is sent during an outage. The store recovers and has a change, and the
    watch is dropped; the next one returns the change.
    """
    platform.fault = Fault.SILENT
    task = spawn(store.follow, "p/", 1, WAIT)
    wait_for(lambda: platform.calls == 1, "the watch was not sent")
    platform.fault = Fault.NONE
    platform.put("p/a", 1)
    began = CLOCK.elapsed()
    store.drop_watches()
    with pytest.raises(StoreWatchDropped):
        task.wait()
    changes = store.follow("p/", 1, WAIT)
    assert [change.key for change in changes.events] == ["p/a"]
    assert CLOCK.elapsed() - began < WAIT / 2


def test_dropping_watches_does_not_affect_other_calls(platform, store):
    platform.put("p/a", 1)
    task = spawn(store.get, "p/a")
    sleep()
    store.drop_watches()
    assert task.wait().value == b"1"
