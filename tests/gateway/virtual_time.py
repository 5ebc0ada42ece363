"""Green threads in virtual time: minutes pass in milliseconds."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from datetime import UTC, datetime, timedelta
from typing import TypeVar

import eventlet.hubs
from eventlet.hubs.hub import BaseHub

Result = TypeVar("Result")


class VirtualHub(BaseHub):
    """Hub without sockets that advances to the next timer at once."""

    def __init__(self) -> None:
        self.seconds = 0.0
        super().__init__(clock=lambda: self.seconds)

    @staticmethod
    def is_available() -> bool:
        return True

    def wait(self, seconds: float | None = None) -> None:
        self.seconds += seconds or 0.0


class VirtualClock:
    """Clock of this thread's virtual hub."""

    def now(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC) + self.elapsed()

    def elapsed(self) -> timedelta:
        return timedelta(seconds=eventlet.hubs.get_hub().seconds)


def run_in_virtual_time(scenario: Callable[[VirtualClock], Result]) -> Result:
    """Run a scenario with all tasks that it starts, and return its result.

    Hubs belong to threads, so it runs in a thread of its own and other tests keep their
    hub.
    """

    def run() -> Result:
        eventlet.hubs.use_hub(VirtualHub)
        return scenario(VirtualClock())

    with ThreadPoolExecutor(max_workers=1) as thread:
        return thread.submit(run).result()
