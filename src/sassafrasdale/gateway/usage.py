"""Usage: requests that began to run, by customer and window of true time."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from statistics import median

from logbook import Logger

from sassafrasdale.clock import Clock

log = Logger("usage")

# Windows that are kept; a report is due long before the oldest is dropped.
KEPT_WINDOWS = 5
# The time may be this far off before it is corrected.
TOLERATED_OFFSET = timedelta(milliseconds=50)
# Time after a start in which the other gateways are heard, and their time taken over.
YOUNG = timedelta(seconds=3)
# A gateway that started this much earlier has had the time to hear of others.
OLDER = timedelta(seconds=2)
# Clocks that were stepped are set right within seconds. What most of them still say
# after this time is right.
LASTING = timedelta(seconds=30)


@dataclass(frozen=True, slots=True)
class ClockReading:
    """What a gateway says of the time, in seconds since 1970.

    :param wall: time of day by its machine's clock.
    :param true: time by its own :class:`TrueTime`.
    :param age_s: time in seconds since it started.
    """

    wall: float
    true: float
    age_s: float


@dataclass(frozen=True, slots=True)
class _PeerClock:
    """A peer's clock, in seconds as this gateway's elapsed time counts them.

    :param wall: what its time of day is ahead of the elapsed time.
    :param true: the same for its true time.
    :param started_at: when it started.
    """

    wall: float
    true: float
    started_at: float


class TrueTime:
    """Time that steps of machines' clocks don't move, be they one or most of them.

    It advances with the elapsed time. A gateway that starts takes over the time of
    those that run for longer; where there are none, it takes the median of all
    clocks. After that only a difference that lasts can be no step, and is followed.

    :param clock: this machine's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_at = clock.elapsed()
        self._offset = self._own_offset()
        self._peers: dict[str, _PeerClock] = {}
        self._differs_since: timedelta | None = None

    @property
    def seconds(self) -> float:
        """Seconds since 1970."""
        return self._clock.elapsed().total_seconds() + self._offset

    def reading(self) -> ClockReading:
        """Return what to tell the peers."""
        wall = self._clock.now().timestamp()
        return ClockReading(wall, self.seconds, self._age().total_seconds())

    def hear(self, peer: str, reading: ClockReading) -> None:
        """Take what a peer said a moment ago."""
        elapsed = self._clock.elapsed().total_seconds()
        self._peers[peer] = _PeerClock(
            reading.wall - elapsed, reading.true - elapsed, elapsed - reading.age_s
        )

    def keep(self, peers: Iterable[str]) -> None:
        """Forget all but the given peers, and set the time anew if need be."""
        kept = set(peers)
        self._peers = {name: at for name, at in self._peers.items() if name in kept}
        if self._age() < YOUNG:
            self._set(self._offset_at_start(), "started")
        elif self._differs_for(LASTING):
            self._set(self._median_of_clocks(), "clocks agree on another time")

    def _offset_at_start(self) -> float:
        limit = (self._started_at - OLDER).total_seconds()
        older = [peer.true for peer in self._peers.values() if peer.started_at < limit]
        return median(older) if older else self._median_of_clocks()

    def _differs_for(self, limit: timedelta) -> bool:
        """Return whether most clocks have differed from this time for so long."""
        off = abs(self._median_of_clocks() - self._offset)
        now = self._clock.elapsed()
        if off <= TOLERATED_OFFSET.total_seconds():
            self._differs_since = None
            return False
        if self._differs_since is None:
            self._differs_since = now
        return now - self._differs_since >= limit

    def _set(self, offset: float, reason: str) -> None:
        moved = offset - self._offset
        if abs(moved) <= TOLERATED_OFFSET.total_seconds():
            return
        log.notice("time set", moved_s=round(moved, 3), reason=reason)
        self._offset = offset
        self._differs_since = None

    def _median_of_clocks(self) -> float:
        clocks = [peer.wall for peer in self._peers.values()]
        return median([self._own_offset(), *clocks])

    def _age(self) -> timedelta:
        return self._clock.elapsed() - self._started_at

    def _own_offset(self) -> float:
        return self._clock.now().timestamp() - self._clock.elapsed().total_seconds()


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
