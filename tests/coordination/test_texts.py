"""Tests of the configuration's register and watcher."""

from random import Random

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.coordination.exceptions import StoredValueMalformed
from sassafrasdale.coordination.texts import TEXT_KEY, TextRegister, TextWatcher
from sassafrasdale.green import Queue
from tests.coordination.fakes import FakeStore


@pytest.fixture
def register():
    clock = ManualClock()
    return TextRegister(FakeStore(clock), clock)


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"revision": "one"}', b"\xff"])
def test_malformed_text_is_a_store_error(register, value):
    """The key was written by hand.

    An exception other than a ``StoreError`` would end the watcher's task, and the
    entry would receive no more configurations.
    """
    register.store.create(TEXT_KEY, value)
    watcher = TextWatcher(register, Queue(), Random(1))
    with pytest.raises(StoredValueMalformed):
        watcher.step()
    with pytest.raises(StoredValueMalformed):
        register.put("text", 0, "edit", "ana")


def test_unknown_fields_are_ignored(register):
    first = register.put("text", 0, "edit", "ana")
    stored = register.store.get(TEXT_KEY)
    value = stored.value[:-1] + b', "reviewed_by": "bo"}'
    register.store.compare_and_swap(TEXT_KEY, value, stored.mod_revision)
    assert register.read() == first


class CountingStore(FakeStore):
    """Store whose watches deliver no events; counts the values read."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(clock)
        self.values_read = 0

    def get(self, key):
        self.values_read += 1
        return super().get(key)

    def revision_of(self, key):
        stored = self.keys.get(key)
        return stored.mod_revision if stored else 0

    def watch(self, key, after, limit):
        return


def test_unchanged_text_is_not_read_again():
    """Guards against control traffic of 50 KB/s per entry, seen at 200 services.

    Every entry read the whole configuration each time it created its watch again.
    A changed configuration is read even if the watches deliver no events.
    """
    clock = ManualClock()
    store = CountingStore(clock)
    register = TextRegister(store, clock)
    inbox = Queue()
    watcher = TextWatcher(register, inbox, Random(1))
    register.put("one", 0, "edit-1", "ana")
    store.values_read = 0
    for _ in range(5):
        watcher.step()
    assert store.values_read == 1
    register.put("two", 1, "edit-2", "ana")
    watcher.step()
    assert [inbox.get().record.text for _ in range(2)] == ["one", "two"]
