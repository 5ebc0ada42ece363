"""Tests of the choice of endpoints."""

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
    """Return a directory of three endpoints of one service."""
    directory = Directory(ManualClock(), adapter_factory=lambda address: None)
    address = Address("127.0.0.1", 1)
    directory.replace(
        Instance(f"records-{n}", Role.ENDPOINT, ZONE, address, service="records")
        for n in range(3)
    )
    return directory


@pytest.fixture
def selector(directory: Directory) -> Selector:
    """Return a selector with the example configuration."""
    clock = ManualClock()
    current = CurrentText()
    text = EXAMPLE.read_text(encoding="utf-8")
    current.accept(TextRecord(1, "edit", "author", clock.now(), text))
    selector = Selector(directory, current, ZONE, clock, random.Random(1))
    selector.refresh()
    return selector


def test_the_only_endpoint_is_chosen_though_slow(
    directory: Directory, selector: Selector
):
    """Requests are refused although an endpoint is available.

    Two of three endpoints are reclaimed. The third was slow, so random selection
    excludes it from most choices, even as the only one.
    """
    for endpoint in directory.endpoints:
        slow = endpoint.name == "records-0"
        for _ in range(30):
            selector.observe(endpoint, ok=True, latency=SLOW if slow else USUAL)
    query = selector.query_for("records", timedelta(minutes=1), 0)
    avoid = frozenset({"records-1", "records-2"})
    chosen = [selector.choose(query, avoid) for _ in range(100)]
    assert all(chosen)
    assert selector.choose(query, avoid | {"records-0"}) is None


def test_ejected_endpoints_are_chosen_when_there_is_no_other(
    directory: Directory, selector: Selector
):
    """A service refuses every request although endpoints are left.

    Two endpoints are ejected for their failures when the third is reclaimed; trying
    one of them is better than refusing.
    """
    for endpoint in directory.endpoints[:2]:
        for _ in range(10):
            selector.observe(endpoint, ok=False)
    query = selector.query_for("records", timedelta(minutes=1), 0)
    assert selector.choose(query, frozenset({"records-2"}))
