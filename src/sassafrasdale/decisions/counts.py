"""An entry's own requests in flight at an endpoint, now and a little while ago."""

from bisect import bisect_right
from datetime import timedelta

HISTORY = timedelta(seconds=15)
"""How far back a count can be asked for; older load reports are of no use."""


class InFlightCount:
    """Count of requests in flight that remembers its recent past.

    A load report tells the count of all entries at the time it was measured. To
    take the own part out of it, the entry needs its own count of that time.
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
        """Return the count at an elapsed time of at most ``HISTORY`` ago."""
        place = bisect_right(self._times, when)
        return self._counts[place - 1] if place else 0

    def _trim(self, at: timedelta) -> None:
        """Drop what is too old, but for the count that held at the cut."""
        cut = max(0, bisect_right(self._times, at - HISTORY) - 1)
        del self._times[:cut]
        del self._counts[:cut]
