"""Shared pytest configuration: known failing tests, and the garbage collector."""

import gc

import pytest

from bench.known_red import known_red_tests


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect exactly the tests in KNOWN-RED.txt, one named without cases in all."""
    listed = known_red_tests()
    red = [
        item
        for item in items
        if item.nodeid in listed or item.nodeid.partition("[")[0] in listed
    ]
    if red:
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item not in red]


def pytest_collection_finish() -> None:
    """Exclude what was imported and collected from garbage collection.

    A full collection over it takes a tenth of a second, longer than what tests measure.
    """
    gc.collect()
    gc.freeze()
