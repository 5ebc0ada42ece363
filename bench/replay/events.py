"""The replay's clock: a queue of scheduled calls."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import Any


class EventQueue:
    """Calls functions in the order of their times; ties in order of scheduling."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = count()
        self._queue: list[tuple[float, int, Callable[..., None], tuple]] = []

    def at(self, when: float, function: Callable[..., None], *args: Any) -> None:
        """Call ``function`` at a time, in seconds."""
        heappush(self._queue, (when, next(self._order), function, args))

    def after(self, delay: float, function: Callable[..., None], *args: Any) -> None:
        """Call ``function`` after a delay, in seconds."""
        self.at(self.now + delay, function, *args)

    def run(self) -> None:
        """Run until the queue is empty."""
        while self._queue:
            self.now, _, function, args = heappop(self._queue)
            function(*args)
