"""Rate at which a queue drains, measured while it is never empty.

Workload: a burst, or more requests than the endpoints have room for. While requests
wait, the cost of those that start is what the endpoints can do, whatever limits them:
prefill time, slots or memory.
"""

from collections import deque
from datetime import timedelta

# Time over which the rate is measured. A service that loses a zone's endpoints, or gets
# new ones, has another rate a second later.
WINDOW = timedelta(seconds=1)
# Shortest time without an empty queue for a measurement.
MIN_BACKLOG_TIME = timedelta(milliseconds=500)
# A queue that stood and has drained still counts as standing for this time: with
# several dispatchers, chance empties one of their queues while others are full.
STANDING_MEMORY = timedelta(seconds=1)


class DrainRate:
    """Cost started per second while requests are waiting."""

    def __init__(self) -> None:
        self._started: deque[tuple[timedelta, timedelta]] = deque()
        self._backlogged_since: timedelta | None = None
        self._stood_until: timedelta | None = None

    def backlog_time(self, now: timedelta) -> timedelta:
        """Return the time since the queue was last empty."""
        if self._backlogged_since is None:
            return timedelta()
        return now - self._backlogged_since

    def set_backlogged(self, backlogged: bool, now: timedelta) -> None:
        """Record whether requests are waiting."""
        if not backlogged:
            if self.backlog_time(now) >= MIN_BACKLOG_TIME:
                self._stood_until = now
            self._backlogged_since = None
            self._started.clear()
        elif self._backlogged_since is None:
            self._backlogged_since = now

    def has_stood(self, now: timedelta) -> bool:
        """Return whether the queue stands, or did so within the last second."""
        if self.backlog_time(now) >= MIN_BACKLOG_TIME:
            return True
        until = self._stood_until
        return until is not None and now - until <= STANDING_MEMORY

    def record_start(self, cost: timedelta, now: timedelta) -> None:
        """Record the start of a request."""
        if self._backlogged_since is not None:
            self._started.append((now, cost))

    def rate(self, now: timedelta) -> float | None:
        """Return the measured rate; None if the queue was empty too recently."""
        backlog_time = self.backlog_time(now)
        if backlog_time < MIN_BACKLOG_TIME:
            return None
        while self._started and now - self._started[0][0] > WINDOW:
            self._started.popleft()
        started = sum((cost for _, cost in self._started), timedelta())
        return started / min(backlog_time, WINDOW)
