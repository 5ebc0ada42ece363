"""Shared set-up: tests known to fail are passed over and named."""

import pytest

from bench.known_red import known_red_tests


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect exactly the tests that KNOWN-RED.txt lists."""
    listed = known_red_tests()
    red = [item for item in items if item.nodeid in listed]
    if red:
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item.nodeid not in listed]
