"""Helpers that act as operators and read entries' configuration revisions."""

import threading
import time
from collections.abc import Callable, Iterable
from datetime import timedelta
from pathlib import Path
from typing import Any
from uuid import uuid4

from standins.clients import Response
from standins.processes import ROOT, EntryProcess
from tests.guarantees.deployments import deployment, plain

IN_FORCE_LIMIT = timedelta(seconds=5)
POLL = timedelta(milliseconds=20)
TEXT = deployment("configuration", [plain("records")])


def example(name: str) -> str:
    """Return the configuration text of one of the two example deployments."""
    return Path(ROOT, "examples", f"{name}.yaml").read_text(encoding="utf-8")


def edited(weight: float, text: str = TEXT) -> str:
    """Return the text with the weight of its first customer changed."""
    return text.replace("cube-labs: {weight: 4", f"cube-labs: {{weight: {weight}")


def revision_of(entry: EntryProcess) -> int:
    """Return the revision that an entry applies, 0 if it has none."""
    return entry.client.call("GET", "/admin/v1/status").json()["revision"]


def put_text(
    entry: EntryProcess,
    text: str,
    expected: int,
    *,
    edit_id: str | None = None,
    author: str = "ana",
) -> Response:
    """Replace revision ``expected`` by ``text`` through one entry."""
    headers = {
        "If-Match": f'"{expected}"',
        "X-Edit-Id": edit_id or uuid4().hex,
        "X-Author": author,
    }
    return entry.client.call("PUT", "/admin/v1/text", text.encode(), headers)


def at_once(calls: Iterable[Callable[[], Any]]) -> list[Any]:
    """Run all calls concurrently and return their results in order."""
    calls = list(calls)
    results: list[Any] = [None] * len(calls)
    barrier = threading.Barrier(len(calls))

    def run(number: int) -> None:
        barrier.wait()
        results[number] = calls[number]()

    threads = [threading.Thread(target=run, args=[n]) for n in range(len(calls))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def wait_until(condition: Callable[[], Any], limit: timedelta) -> Any:
    """Poll ``condition`` until its result is true, and return that result.

    :raises TimeoutError: if none is true within ``limit``.
    """
    deadline = time.monotonic() + limit.total_seconds()
    while time.monotonic() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(POLL.total_seconds())
    raise TimeoutError(f"condition not met within {limit}")
