"""A small deployment shared by the tests of the HTTP interface."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.fleet import Fleet

EXAMPLE = Path(__file__).parents[2] / "examples" / "authority.yaml"


@pytest.fixture(scope="package")
def fleet() -> Iterator[Fleet]:
    """Return the example deployment behind one entry."""
    options = {"max_body_bytes": 4096, "header_timeout": "1s"}
    text = EXAMPLE.read_text(encoding="utf-8")
    with Fleet(text, entries=1, entry_options=options) as running:
        yield running
