"""Usage: requests that began to run, by customer and window of true time."""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from statistics import median

from sassafrasdale.clock import Clock

# Windows that are kept; a report is due long before the oldest is dropped.
KEPT_WINDOWS = 5
# The wall clock may be this far off its peers' before it is corrected.
TOLERATED_OFFSET = timedelta(milliseconds=50)


class TrueTime:
    """Wall-clock time that a step of this machine's clock doesn't move.

    It advances with the elapsed time and is set by the median of the clocks of all
    gateways that are heard of, this one's among them.

    :param clock: this machine's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offset = self._own_offset()
        self._peers: dict[str, float] = {}

    @property
    def seconds(self) -> float:
        """Seconds since 1970."""
        return self._clock.elapsed().total_seconds() + self._offset

    def own_seconds(self) -> float:
        """Return seconds since 1970 by this machine's clock alone."""
        return self._clock.now().timestamp()

    def hear(self, peer: str, seconds: float) -> None:
        """Take what a peer's clock said a moment ago."""
        self._peers[peer] = seconds - self._clock.elapsed().total_seconds()

    def keep(self, peers: Iterable[str]) -> None:
        """Forget all but the given peers, and set the time anew."""
        kept = set(peers)
        self._peers = {name: at for name, at in self._peers.items() if name in kept}
        offset = median([self._own_offset(), *self._peers.values()])
        if abs(offset - self._offset) > TOLERATED_OFFSET.total_seconds():
            self._offset = offset

    def _own_offset(self) -> float:
        return self.own_seconds() - self._clock.elapsed().total_seconds()


class UsageCounts:
    """Counts of this gateway by window.

    :param window: length of a window.
    :param time: true time.
    """

    def __init__(self, window: timedelta, time: TrueTime) -> None:
        self._window = window.total_seconds()
        self._time = time
        self._counts: dict[int, dict[str, int]] = {}

    def add(self, customer: str) -> None:
        """Count a request that begins to run now."""
        number = self.current_window()
        counts = self._counts.setdefault(number, {})
        counts[customer] = counts.get(customer, 0) + 1
        for old in [key for key in self._counts if key <= number - KEPT_WINDOWS]:
            del self._counts[old]

    def current_window(self) -> int:
        """Return the number of the present window."""
        return int(self._time.seconds // self._window)

    def report(self) -> Mapping[int, Mapping[str, int]]:
        """Return the counts of the windows that are kept."""
        return {number: dict(counts) for number, counts in self._counts.items()}


class UsageLedger:
    """Counts of all gateways, of those that have stopped too.

    A gateway that starts again counts from nothing. What it had counted before is
    kept under its earlier incarnation, and still belongs to the windows.
    """

    def __init__(self) -> None:
        self._reports: dict[tuple[str, int], Mapping[int, Mapping[str, int]]] = {}

    def hear(
        self, gateway: str, incarnation: int, report: Mapping[int, Mapping[str, int]]
    ) -> None:
        """Take what one incarnation of a gateway has counted."""
        self._reports[gateway, incarnation] = report

    def total(self, window: int) -> dict[str, int]:
        """Return all counts of a window, by customer."""
        total: dict[str, int] = {}
        for report in self._reports.values():
            for customer, count in report.get(window, {}).items():
                total[customer] = total.get(customer, 0) + count
        return total

    def forget_before(self, window: int) -> None:
        """Drop reports that have nothing since a window."""
        for key, report in list(self._reports.items()):
            if not report or max(report) < window:
                del self._reports[key]
