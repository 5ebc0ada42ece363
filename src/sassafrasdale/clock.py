"""Time as an interface, so that tests pass in a clock of their own."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


def milliseconds(time: timedelta) -> int:
    """Return the whole milliseconds of a time."""
    return time // timedelta(milliseconds=1)


class Clock(Protocol):
    """Source of wall-clock and elapsed time."""

    def now(self) -> datetime:
        """Return the wall-clock time, timezone-aware in UTC."""

    def elapsed(self) -> timedelta:
        """Return time since an arbitrary start; it never goes back."""


class SystemClock:
    """Clock of the machine."""

    def now(self) -> datetime:
        """Return the wall-clock time, timezone-aware in UTC."""
        return datetime.now(UTC)

    def elapsed(self) -> timedelta:
        """Return time since an arbitrary start; it never goes back."""
        return timedelta(seconds=time.monotonic())


class SuspendAwareClock(SystemClock):
    """Clock of the machine whose elapsed time goes on while it is suspended.

    The monotonic clock stands still while a machine is suspended. A lease that
    ran out meanwhile would then look valid after the machine wakes.
    """

    def elapsed(self) -> timedelta:
        """Return time since the machine started, suspensions included."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))


class ManualClock:
    """Clock that a test moves by hand.

    :param start: wall-clock time at the beginning.
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed = timedelta()

    def now(self) -> datetime:
        """Return the wall-clock time, timezone-aware in UTC."""
        return self._start + self._elapsed

    def elapsed(self) -> timedelta:
        """Return the time advanced so far."""
        return self._elapsed

    def advance(self, step: timedelta) -> None:
        """Move the clock forward by ``step``."""
        self._elapsed += step
