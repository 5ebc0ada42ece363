"""Tests of the choice of endpoints from what an entry knows."""

import random
from datetime import timedelta
from pathlib import Path

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.coordination.texts import TextRecord
from sassafrasdale.endpoints.directory import Directory
from sassafrasdale.requests.selection import Selector
from sassafrasdale.structures import Address, Instance, Role
from sassafrasdale.text.current import CurrentText

EXAMPLE = Path(__file__).parents[2] / "examples" / "authority.yaml"
ZONE = "cairo-a"
USUAL = timedelta(milliseconds=10)
SLOW = timedelta(milliseconds=500)


@pytest.fixture
def directory() -> Directory:
    """Return three record services."""
    directory = Directory(ManualClock(), adapter_factory=lambda address: None)
    address = Address("127.0.0.1", 1)
    directory.replace(
        Instance(f"records-{n}", Role.ENDPOINT, ZONE, address, service="records")
        for n in range(3)
    )
    return directory


@pytest.fixture
def selector(directory: Directory) -> Selector:
    """Return a selector of the Authority's text."""
    clock = ManualClock()
    current = CurrentText()
    text = EXAMPLE.read_text(encoding="utf-8")
    current.accept(TextRecord(1, "edit", "author", clock.now(), text))
    selector = Selector(directory, current, ZONE, clock, random.Random(1))
    selector.refresh()
    return selector


def test_a_slow_endpoint_is_taken_when_it_is_the_only_one(
    directory: Directory, selector: Selector
):
    """Callers were told that no endpoint takes their request, while one did.

    Of three endpoints two were reclaimed. The third had been slow, so that it
    was left out of most choices by chance, also when there was no other.
    """
    for endpoint in directory.endpoints:
        slow = endpoint.name == "records-0"
        for _ in range(30):
            selector.observe(endpoint, ok=True, latency=SLOW if slow else USUAL)
    wanted = selector.wanted("records", timedelta(minutes=1), 0)
    avoid = frozenset({"records-1", "records-2"})
    chosen = [selector.choose(wanted, avoid) for _ in range(100)]
    assert all(chosen)
    assert selector.choose(wanted, avoid | {"records-0"}) is None


def test_ejected_endpoints_are_taken_when_there_is_no_other(
    directory: Directory, selector: Selector
):
    """A zone's failure brought down a service whose last endpoints were well.

    Two endpoints were left out for their failures when the third was reclaimed;
    trying one of them is better than refusing every request.
    """
    for endpoint in directory.endpoints[:2]:
        for _ in range(10):
            selector.observe(endpoint, ok=False)
    wanted = selector.wanted("records", timedelta(minutes=1), 0)
    assert selector.choose(wanted, frozenset({"records-2"}))
