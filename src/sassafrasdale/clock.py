"""Clock interface, which tests replace by a manual clock."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


def milliseconds(time: timedelta) -> int:
    """Return a duration in whole milliseconds."""
    return time // timedelta(milliseconds=1)


def optional_milliseconds(duration: timedelta | None) -> int | None:
    """Return a duration in whole milliseconds, or None for none."""
    return None if duration is None else milliseconds(duration)


class Clock(Protocol):
    """Source of wall-clock and elapsed time."""

    def now(self) -> datetime:
        """Return the wall-clock time, timezone-aware in UTC."""

    def elapsed(self) -> timedelta:
        """Return the monotonic time since an arbitrary start."""


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> datetime:
        """Return the wall-clock time, timezone-aware in UTC."""
        return datetime.now(UTC)

    def elapsed(self) -> timedelta:
        """Return the monotonic time since an arbitrary start."""
        return timedelta(seconds=time.monotonic())


class SuspendAwareClock(SystemClock):
    """System clock whose elapsed time includes the time in suspension.

    The monotonic clock stops while the machine is suspended, so a lease that expired
    meanwhile would look valid after the machine resumes.
    """

    def elapsed(self) -> timedelta:
        """Return the time since the machine booted, including suspensions."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))


class ManualClock:
    """Clock that tests advance explicitly.

    :param start: initial wall-clock time.
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed = timedelta()

    def now(self) -> datetime:
        """Return the wall-clock time, timezone-aware in UTC."""
        return self._start + self._elapsed

    def elapsed(self) -> timedelta:
        """Return the total time advanced."""
        return self._elapsed

    def advance(self, step: timedelta) -> None:
        """Advance the clock by ``step``."""
        self._elapsed += step
