"""Number of an entry's own requests in flight at an endpoint, with recent history."""

from bisect import bisect_right
from datetime import timedelta

HISTORY = timedelta(seconds=15)
"""Maximum age of a count; older load reports are of no use."""


class InFlightCount:
    """Count of requests in flight with its recent history.

    A load report includes the requests of all entries at the time of its measurement.
    To subtract its own, the entry needs its own count at that time.
    """

    def __init__(self) -> None:
        self._times: list[timedelta] = []
        self._counts: list[int] = []
        self._count = 0

    @property
    def now(self) -> int:
        """Requests in flight."""
        return self._count

    def change(self, at: timedelta, step: int) -> None:
        """Add ``step`` to the count at the elapsed time ``at``."""
        self._count += step
        self._times.append(at)
        self._counts.append(self._count)
        if self._times[0] < at - 2 * HISTORY:
            self._trim(at)

    def at(self, when: timedelta) -> int:
        """Return the count at an elapsed time, at most ``HISTORY`` ago."""
        index = bisect_right(self._times, when)
        return self._counts[index - 1] if index else 0

    def _trim(self, at: timedelta) -> None:
        """Remove values that are too old, except the one valid at the cut-off."""
        cut = max(0, bisect_right(self._times, at - HISTORY) - 1)
        del self._times[:cut]
        del self._counts[:cut]
