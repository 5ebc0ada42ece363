"""Measure the time from an accepted edit until nine entries have it in force.

Usage::

    python -m bench.configuration --edits 30
"""

import argparse
import time
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from datetime import timedelta
from itertools import cycle
from typing import Any

from bench.configuration.measures import Measure
from bench.configuration.observers import RevisionObserver
from standins.clients import Response
from standins.fleet import Fleet
from standins.processes import EntryProcess, ProcessError

ENTRIES = 9
REVISION_TIMEOUT = timedelta(seconds=30)
RETRY_DELAY = timedelta(milliseconds=100)
CUSTOMER = "press-technicians: {weight: "
EXAMPLE = "examples/authority.yaml"
STALLED_WATCHES = {"deaf_watches": True}
CONDITIONS: Mapping[str, tuple[Mapping[str, Any], Mapping[str, Any]]] = {
    "normal": ({}, {}),
    "store refuses just after the acceptance": (STALLED_WATCHES, {"outage": "refuse"}),
    "store silent just after the acceptance": (STALLED_WATCHES, {"outage": "silent"}),
    "all watches deaf": (STALLED_WATCHES, {}),
}
"""Faults of the store before an edit, and after its acceptance."""
NO_FAULTS = {"outage": None, "deaf_watches": False}


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--edits", type=int, default=30)
    edits = parser.parse_args().edits
    text = _example_text()
    print(f"{edits} edits, {ENTRIES} entries; time from the author's answer")
    print()
    print("| condition | p50 | p99 | longest | steps back |")
    print("| --- | --- | --- | --- | --- |")
    with _observed_fleet(text) as (fleet, observer):
        for condition in CONDITIONS:
            print(_measure(fleet, observer, text, condition, edits).row(), flush=True)


def _example_text() -> str:
    with open(EXAMPLE, encoding="utf-8") as file:
        return file.read()


@contextmanager
def _observed_fleet(text: str) -> Iterator[tuple[Fleet, RevisionObserver]]:
    with (
        Fleet(text, entries=ENTRIES) as fleet,
        RevisionObserver(fleet.entries) as observer,
    ):
        observer.wait_for(1, REVISION_TIMEOUT)
        yield fleet, observer


def _measure(
    fleet: Fleet, observer: RevisionObserver, text: str, condition: str, edits: int
) -> Measure:
    before, after = CONDITIONS[condition]
    regressions_before = len(observer.regressions)
    seconds: list[float] = []
    entries = cycle(fleet.entries)
    for _ in range(edits):
        fleet.platform.set_faults(store=before)
        revision, accepted_at = _submit_edit(next(entries), text)
        fleet.platform.set_faults(store=after)
        seen = observer.wait_for(revision, REVISION_TIMEOUT)
        seconds.extend(max(0.0, at - accepted_at) for at in seen.values())
        fleet.platform.set_faults(store=NO_FAULTS)
    return Measure(
        condition, tuple(seconds), len(observer.regressions) - regressions_before
    )


def _submit_edit(entry: EntryProcess, text: str) -> tuple[int, float]:
    """Submit one edit; return its revision and the time of the accepting response.

    After an outage, an entry refuses edits until it has reached the store again.
    """
    deadline = time.monotonic() + REVISION_TIMEOUT.total_seconds()
    while time.monotonic() < deadline:
        response = _put(entry, text)
        if response.status == 200:
            return response.json()["revision"], time.monotonic()
        time.sleep(RETRY_DELAY.total_seconds())
    raise ProcessError(f"{entry.name}: {response.status} {response.data!r}")


def _put(entry: EntryProcess, text: str) -> Response:
    revision = entry.client.call("GET", "/admin/v1/status").json()["revision"]
    edited = text.replace(CUSTOMER, f"{CUSTOMER}{revision + 1}.")
    headers = {"If-Match": f'"{revision}"', "X-Author": "bench"}
    return entry.client.call("PUT", "/admin/v1/text", edited.encode(), headers)


if __name__ == "__main__":
    main()
