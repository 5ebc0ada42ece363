"""Limit of the cost that a gateway starts without its zone's dispatcher.

Workload: dozens of gateways that all lose their dispatcher at once, under load. Each
sees the same endpoints with room, by the same outdated reports, and would fill them.
So each keeps to its own part of what they can do.
"""

from datetime import timedelta

# Time of unused capacity that may be made up for. Requests come in bursts, and most
# often a dispatcher is back after half a second.
BURST_TIME = timedelta(milliseconds=250)


class Pacer:
    """Spreads the starts of one service's requests over time."""

    def __init__(self) -> None:
        self._next_at: timedelta | None = None

    def may_start(self, now: timedelta) -> bool:
        """Return whether a request may be started now."""
        return self._next_at is None or now >= self._next_at

    def record_start(self, cost: timedelta, capacity: float, now: timedelta) -> None:
        """Record a start.

        :param cost: endpoint time that the request takes.
        :param capacity: endpoint time per second that this gateway may use.
        """
        earliest = now - BURST_TIME
        start = earliest if self._next_at is None else max(self._next_at, earliest)
        self._next_at = start + cost / max(capacity, 1e-3)
