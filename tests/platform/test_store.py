"""The client of the platform's store, against its stand-in."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.coordination.exceptions import (
    StoreAnswerLost,
    StoreHistoryLost,
    StoreWatchDropped,
)
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


def write(platform, count):
    """Use up revisions."""
    for number in range(count):
        platform.put("other/noise", number)


def test_a_restore_makes_all_later_revisions_greater(platform, store):
    """Guards against revisions that go back, and fencing numbers with them."""
    copy = platform.take_copy()
    write(platform, 9)
    platform.put("p/a", 1)
    before = store.get("p/a").mod_revision
    platform.restore(copy)
    platform.put("p/a", 2)
    assert store.get("p/a").mod_revision > before
    assert store.snapshot("p/").revision > before
    assert store.create("p/b", b"1").revision > before


def test_a_watch_from_before_a_restore_has_lost_its_history(platform, store):
    """Guards against changes missed under revisions that were given out again."""
    copy = platform.take_copy()
    write(platform, 3)
    after = store.snapshot("p/").revision
    platform.restore(copy)
    write(platform, 9)
    platform.put("p/a", 1)
    for call in (store.changes, lambda *args: store.follow(*args, WAIT)):
        with pytest.raises(StoreHistoryLost):
            call("p/", after)
    after = store.snapshot("p/").revision
    platform.put("p/b", 1)
    assert [change.key for change in store.changes("p/", after).events] == ["p/b"]


def test_a_condition_from_before_a_restore_fails(platform, store):
    """Guards against a former leader that overwrites its successor's record."""
    copy = platform.take_copy()
    platform.put("p/a", "mine")
    mine = store.get("p/a").mod_revision
    platform.restore(copy)
    platform.put("p/a", "theirs")
    # Known from another call, as from any.
    store.get("p/a")
    swap = store.compare_and_swap("p/a", b"again mine", mine)
    assert not swap
    assert swap.current.value == b'"theirs"'
    assert store.compare_and_swap("p/a", b"now", swap.current.mod_revision)


def test_a_condition_that_meets_a_restore_is_not_known_to_have_held(platform, store):
    """Guards against a write that counts as done over another write of its number."""
    copy = platform.take_copy()
    platform.put("p/a", "mine")
    mine = store.get("p/a").mod_revision
    platform.restore(copy)
    platform.put("p/a", "theirs")
    with pytest.raises(StoreAnswerLost):
        store.compare_and_swap("p/a", b"again mine", mine)


@pytest.mark.parametrize("era", ["", "x", "-1", "1.5", "9" * 30, "1"])
def test_an_era_that_is_missing_malformed_or_lower_changes_nothing(
    platform, store, era
):
    """Guards against a header that sets revisions back."""
    copy = platform.take_copy()
    for _ in range(3):
        platform.restore(copy)
    platform.put("p/a", 1)
    known = store.get("p/a").mod_revision
    assert store.epoch == 3
    platform._era = era
    platform.put("p/a", 2)
    store.get("p/a")
    assert store.epoch == 3
    assert store.get("p/b") is None
    assert store.epoch == 3
    assert known >> 32 == 3


def test_a_client_that_knows_no_restore_calls_the_store_all_the_same(platform, store):
    """Guards against a store believed to respond to a call that was never made."""
    copy = platform.take_copy()
    platform.restore(copy)
    after = store.snapshot("p/").revision
    late = PlatformStore(platform.serve(Address("127.0.0.1", 0)), CLOCK)
    platform.put("p/a", 1)
    before = platform.calls
    changes = late.changes("p/", after)
    assert platform.calls == before + 1
    assert [change.key for change in changes.events] == ["p/a"]
