"""Tasks of the green scheduler in virtual time: minutes pass in milliseconds."""

from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from threading import Thread

import eventlet.hubs
from eventlet.hubs.hub import BaseHub


class VirtualHub(BaseHub):
    """Hub without sockets that goes on to the next timer at once."""

    def __init__(self) -> None:
        self.seconds = 0.0
        super().__init__(clock=lambda: self.seconds)

    @staticmethod
    def is_available() -> bool:
        return True

    def wait(self, seconds: float | None = None) -> None:
        self.seconds += seconds or 0.0


class VirtualClock:
    """Clock of the virtual hub that runs in this thread."""

    def now(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC) + self.elapsed()

    def elapsed(self) -> timedelta:
        return timedelta(seconds=eventlet.hubs.get_hub().seconds)


def run_in_virtual_time(scenario: Callable[[VirtualClock], None]) -> None:
    """Run a scenario, with all tasks that it starts, and raise what it raises.

    Hubs belong to threads, so other tests keep theirs.
    """
    raised = []

    def run() -> None:
        eventlet.hubs.use_hub(VirtualHub)
        try:
            scenario(VirtualClock())
        except BaseException as error:
            raised.append(error)

    thread = Thread(target=run)
    thread.start()
    thread.join()
    if raised:
        raise raised[0]
