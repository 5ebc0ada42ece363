"""Baselines with the interface of ``Admission``."""

from collections import deque
from datetime import timedelta
from itertools import count

from sassafrasdale.decisions.admission import Admit, Shed, ShedReason, Ticket, Wait

RETRY_AFTER = timedelta(seconds=1)
"""Retry-after time that the baselines return."""


class NoAdmission:
    """Forwards everything immediately; the endpoints' queues are unbounded."""

    has_spare_capacity = True

    def __init__(self) -> None:
        self._numbers = count()

    def set_share(self, capacity, live_entries):
        """Ignore the capacity."""

    def offer(self, customer, priority, now, remaining):
        """Admit."""
        number = next(self._numbers)
        return Admit(Ticket(number, customer, priority, now, now + remaining))

    def next_admitted(self, now):
        """Return None: no request waits."""

    def refuse(self, ticket, now):
        """Return None: the entry retries as after a failure."""

    def retry_after(self, now):
        """Return the retry-after time."""
        return RETRY_AFTER

    def finish(self, ticket, now, ok, latency):
        """Ignore the end of a request."""

    def cancel(self, ticket):
        """Ignore a cancellation."""

    def expire(self, now):
        """Return nothing."""
        return ()


class FixedLimit(NoAdmission):
    """An even share of the capacity, and a bounded FIFO queue.

    :param limit: maximum requests in flight.
    :param queue: maximum waiting requests.
    :param customers: number of customers among which the limit is divided, 1 for no
        division.
    """

    def __init__(self, limit: float, queue: float, customers: int = 1) -> None:
        super().__init__()
        self._limit = max(round(limit / customers), 1)
        self._max_waiting = queue / customers
        self._per_customer = customers > 1
        self._queues: dict[str, deque] = {}
        self._running: dict[str, int] = {}

    def offer(self, customer, priority, now, remaining):
        """Admit, queue, or shed when the queue is full."""
        ticket = super().offer(customer, priority, now, remaining).ticket
        key = self._key(ticket)
        queue = self._queues.setdefault(key, deque())
        if self._running.get(key, 0) + 1 <= self._limit:
            self._running[key] = self._running.get(key, 0) + 1
            return Admit(ticket)
        if len(queue) >= self._max_waiting:
            return Shed(ticket, RETRY_AFTER, ShedReason.QUEUE_FULL)
        queue.append(ticket)
        return Wait(ticket, len(queue) - 1)

    def next_admitted(self, now):
        """Return the first queued request if a slot is free."""
        for key, queue in self._queues.items():
            if queue and self._running.get(key, 0) + 1 <= self._limit:
                self._running[key] = self._running.get(key, 0) + 1
                return queue.popleft()
        return None

    def finish(self, ticket, now, ok, latency):
        """Free the slot."""
        self._running[self._key(ticket)] -= 1

    def cancel(self, ticket):
        """Remove a waiting or running request."""
        queue = self._queues[self._key(ticket)]
        if ticket in queue:
            queue.remove(ticket)
        else:
            self._running[self._key(ticket)] -= 1

    def _key(self, ticket) -> str:
        return ticket.customer if self._per_customer else ""
