"""Bounded room of a stand-in engine: slots, and what waits for them by priority."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from heapq import heapify, heappop, heappush
from itertools import count

from sassafrasdale.clock import Clock
from sassafrasdale.green import Empty, Queue
from sassafrasdale.http.exceptions import CallerDisconnected
from sassafrasdale.http.messages import Request
from sassafrasdale.http.server import ServerConnection

DEFAULT_PRIORITY = 5


class Visit:
    """A request at an engine, until its caller leaves or its deadline passes.

    :param connection: the caller's connection.
    """

    def __init__(
        self, connection: ServerConnection, request: Request, clock: Clock
    ) -> None:
        self._clock = clock
        self._signals: Queue = Queue()
        limit = int(request.header("deadline-ms", "60000"))
        self._deadline = clock.elapsed() + timedelta(milliseconds=limit)
        self.priority = int(request.header("request-priority") or DEFAULT_PRIORITY)
        connection.on_disconnect(lambda: self._signals.put(False))

    def wake(self) -> None:
        """End the current wait."""
        self._signals.put(True)

    def wait(self, limit: timedelta = timedelta.max) -> None:
        """Wait until woken or for a time.

        :raises CallerDisconnected: if nobody waits for the response any more.
        """
        left = self._deadline - self._clock.elapsed()
        try:
            pause = max(min(limit, left), timedelta())
            if not self._signals.get(timeout=pause.total_seconds()):
                raise CallerDisconnected
        except Empty:
            if left < limit:
                raise CallerDisconnected from None


class PriorityGate:
    """Lets a number of requests in at once; the others wait, the most urgent first.

    :param size: requests inside at once.
    """

    def __init__(self, size: int) -> None:
        self._free = size
        self._numbers = count()
        self._waiting: list[tuple[int, int, Visit]] = []

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    @property
    def is_open(self) -> bool:
        """Whether a request gets in at once."""
        return self._free > 0

    @contextmanager
    def entered(self, visit: Visit) -> Iterator[None]:
        """Wait for a place, and keep it for the duration of the context.

        :raises CallerDisconnected: if nobody waits for the response any more.
        """
        self._enter(visit)
        try:
            yield
        finally:
            self._leave()

    def _enter(self, visit: Visit) -> None:
        if self._free:
            self._free -= 1
            return
        entry = (visit.priority, next(self._numbers), visit)
        heappush(self._waiting, entry)
        try:
            visit.wait()
        except CallerDisconnected:
            if entry in self._waiting:
                self._waiting.remove(entry)
                heapify(self._waiting)
            else:
                self._leave()
            raise

    def _leave(self) -> None:
        if self._waiting:
            heappop(self._waiting)[2].wake()
        else:
            self._free += 1


class EngineCapacity:
    """What an engine can do at once.

    :param slots: requests that it runs at once; it prefills one of them at a time.
    :param max_waiting: requests that wait for a slot before it rejects others.
    :param speed: factor of the usual speed.
    """

    def __init__(self, slots: int, max_waiting: int, speed: float = 1.0) -> None:
        self._max_waiting = max_waiting
        self._slot_gate = PriorityGate(slots)
        self._prefill_gate = PriorityGate(1)
        self.slots = slots
        self.speed = speed

    @property
    def is_full(self) -> bool:
        """Whether it rejects another request."""
        return not self._slot_gate.is_open and (
            self._slot_gate.waiting >= self._max_waiting
        )

    @contextmanager
    def prefilled(
        self, visit: Visit, took: timedelta, begin: Callable[[], None]
    ) -> Iterator[None]:
        """Hold a slot for the duration of the context, which begins after the prefill.

        :param took: time of the prefill at the usual speed.
        :param begin: called as the prefill begins.
        :raises CallerDisconnected: if nobody waits for the response any more.
        """
        with self._slot_gate.entered(visit):
            with self._prefill_gate.entered(visit):
                begin()
                visit.wait(took / self.speed)
            yield
