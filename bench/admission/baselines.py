"""Baselines with the interface of ``Admission``."""

from collections import deque
from datetime import timedelta
from itertools import count

from sassafrasdale.decisions.admission import Admit, Shed, ShedReason, Ticket, Wait

RETRY_AFTER = timedelta(seconds=1)
"""Time to come back that the baselines give."""


class NoAdmission:
    """Sends everything on at once; the endpoints queue without a bound."""

    has_spare_room = True

    def __init__(self) -> None:
        self._numbers = count()

    def set_share(self, capacity, live_entries):
        """Ignore the capacity."""

    def offer(self, customer, priority, now, remaining):
        """Admit."""
        number = next(self._numbers)
        return Admit(Ticket(number, customer, priority, now, now + remaining))

    def next_admitted(self, now):
        """Return None: nothing waits."""

    def refuse(self, ticket, now):
        """Return None: the entry retries as after a failure."""

    def retry_after(self, now):
        """Return the time to come back."""
        return RETRY_AFTER

    def finish(self, ticket, now, ok, latency):
        """Ignore an end."""

    def cancel(self, ticket):
        """Ignore a cancellation."""

    def expire(self, now):
        """Return nothing."""
        return ()


class FixedLimit(NoAdmission):
    """The even share of the capacity and a bounded queue, first in, first out.

    :param limit: requests in flight.
    :param queue: requests that wait.
    :param customers: customers among which the limit is cut, 1 for no cut.
    """

    def __init__(self, limit: float, queue: float, customers: int = 1) -> None:
        super().__init__()
        self._limit = max(round(limit / customers), 1)
        self._longest = queue / customers
        self._cut = customers > 1
        self._queues: dict[str, deque] = {}
        self._running: dict[str, int] = {}

    def offer(self, customer, priority, now, remaining):
        """Admit, keep waiting, or turn away when the queue is full."""
        ticket = super().offer(customer, priority, now, remaining).ticket
        key = self._key(ticket)
        queue = self._queues.setdefault(key, deque())
        if self._running.get(key, 0) + 1 <= self._limit:
            self._running[key] = self._running.get(key, 0) + 1
            return Admit(ticket)
        if len(queue) >= self._longest:
            return Shed(ticket, RETRY_AFTER, ShedReason.QUEUE_FULL)
        queue.append(ticket)
        return Wait(ticket, len(queue) - 1)

    def next_admitted(self, now):
        """Return the first in the queue if there is room."""
        for key, queue in self._queues.items():
            if queue and self._running.get(key, 0) + 1 <= self._limit:
                self._running[key] = self._running.get(key, 0) + 1
                return queue.popleft()
        return None

    def finish(self, ticket, now, ok, latency):
        """Free the room."""
        self._running[self._key(ticket)] -= 1

    def cancel(self, ticket):
        """Forget a request that waits or runs."""
        queue = self._queues[self._key(ticket)]
        if ticket in queue:
            queue.remove(ticket)
        else:
            self._running[self._key(ticket)] -= 1

    def _key(self, ticket) -> str:
        return ticket.customer if self._cut else ""
