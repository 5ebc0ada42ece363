"""Recent latencies, or other times, and their quantiles."""

from bisect import bisect_left, insort
from collections import deque
from datetime import timedelta


class LatencyWindow:
    """Sorted window of the latest latencies of one service.

    :param size: number of latencies kept.
    """

    def __init__(self, size: int) -> None:
        self._size = size
        self._recent: deque[timedelta] = deque()
        self._sorted: list[timedelta] = []

    def __len__(self) -> int:
        return len(self._recent)

    def add(self, latency: timedelta) -> None:
        """Add a latency; remove the oldest if the window is full."""
        self._recent.append(latency)
        insort(self._sorted, latency)
        if len(self._recent) > self._size:
            self.remove_oldest()

    def remove_oldest(self) -> None:
        """Remove the oldest latency.

        :raises IndexError: if the window is empty.
        """
        oldest = self._recent.popleft()
        del self._sorted[bisect_left(self._sorted, oldest)]

    def quantile(self, share: float) -> timedelta:
        """Return the latency that a fraction ``share`` of the window lies below.

        :raises IndexError: if the window is empty.
        """
        index = int(len(self._sorted) * share)
        return self._sorted[min(index, len(self._sorted) - 1)]
