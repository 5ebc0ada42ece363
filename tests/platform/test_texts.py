"""The text's watcher against values that it cannot read."""

from random import Random

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.green import Queue
from sassafrasdale.platform.exceptions import StoredValueMalformed
from sassafrasdale.platform.texts import TEXT_KEY, TextRegister, TextWatcher
from tests.platform.fakes import FakeStore


@pytest.fixture
def register():
    clock = ManualClock()
    return TextRegister(FakeStore(clock), clock)


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"revision": "one"}', b"\xff"])
def test_unreadable_text_is_an_error_that_the_watcher_bears(register, value):
    """Somebody writes the key by hand.

    An error that is not the layer's own would end the task that watches, and the
    entry would never see a text again.
    """
    register.store.create(TEXT_KEY, value)
    watcher = TextWatcher(register, Queue(), Random(1))
    with pytest.raises(StoredValueMalformed):
        watcher.step()
    with pytest.raises(StoredValueMalformed):
        register.put("text", 0, "edit", "ana")


def test_fields_to_come_are_ignored(register):
    first = register.put("text", 0, "edit", "ana")
    stored = register.store.get(TEXT_KEY)
    value = stored.value[:-1] + b', "reviewed_by": "bo"}'
    register.store.compare_and_swap(TEXT_KEY, value, stored.mod_revision)
    assert register.read() == first
