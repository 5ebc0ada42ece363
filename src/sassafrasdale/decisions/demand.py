"""Arrival rates of requests by customer and priority."""

from datetime import timedelta
from math import exp

from sassafrasdale.decisions.tickets import Ticket

PRIORITIES = 8
"""Urgencies of RFC 9218."""


class Demand:
    """Exponentially decaying arrival rates by customer and priority."""

    def __init__(self) -> None:
        self._counts: dict[str, list[float]] = {}
        self._updated: dict[str, timedelta] = {}

    def add(self, ticket: Ticket, window: timedelta) -> None:
        """Record an arrival.

        :param window: time over which arrivals are counted.
        """
        counts = self._counts.setdefault(ticket.customer, [0.0] * PRIORITIES)
        last = self._updated.get(ticket.customer, ticket.offered_at)
        decay = exp(-((ticket.offered_at - last) / window))
        for priority in range(PRIORITIES):
            counts[priority] *= decay
        counts[ticket.priority] += 1
        self._updated[ticket.customer] = ticket.offered_at

    def more_urgent_rate(self, ticket: Ticket, window: timedelta) -> float:
        """Return the customer's arrivals per second that precede a ticket."""
        counts = self._counts[ticket.customer]
        return sum(counts[: ticket.priority]) / window.total_seconds()
