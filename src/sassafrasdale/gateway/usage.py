"""Usage: requests that began to run, by customer and window of true time."""

from collections import Counter
from collections.abc import Collection, Mapping
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
# A clock that was heard this lately is passed on; one that wasn't heard for the second
# time no longer counts.
PASSED_ON = timedelta(seconds=1)
SILENT = timedelta(seconds=5)
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
    :param heard_at: when it was last heard, in elapsed time.
    """

    wall: float
    true: float
    started_at: float
    heard_at: timedelta


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
            reading.wall - elapsed,
            reading.true - elapsed,
            elapsed - reading.age_s,
            self._clock.elapsed(),
        )

    def others(self, most: int) -> dict[str, ClockReading]:
        """Return some of the others' clocks as they show now, for a peer.

        Only those heard lately: passed on for longer, the clock of a gateway that is
        gone would go on counting.
        """
        now = self._clock.elapsed()
        elapsed = now.total_seconds()
        fresh = [
            (name, peer)
            for name, peer in self._peers.items()
            if now - peer.heard_at <= PASSED_ON
        ]
        return {
            name: ClockReading(
                peer.wall + elapsed, peer.true + elapsed, elapsed - peer.started_at
            )
            for name, peer in fresh[:most]
        }

    def keep(self) -> None:
        """Forget peers that are silent, and set the time anew if need be."""
        now = self._clock.elapsed()
        self._peers = {
            name: peer
            for name, peer in self._peers.items()
            if now - peer.heard_at <= SILENT
        }
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

    def report(self) -> dict[int, dict[str, int]]:
        """Return the counts of the windows that are kept."""
        return {number: dict(counts) for number, counts in self._counts.items()}


class UsageLedger:
    """Counts of all gateways, of those that have stopped too.

    A gateway that starts again counts from nothing. What it had counted before is
    kept under its earlier incarnation, and still belongs to the windows. Counts only
    grow, so rows that come twice, late or by two ways do no harm: the largest hold.
    """

    def __init__(self) -> None:
        self._rows: dict[tuple[str, int, int], dict[str, int]] = {}
        self._changed: dict[tuple[str, int, int], int] = {}
        self._version = 0
        self._forgotten = 0

    @property
    def version(self) -> int:
        """Grows with each change."""
        return self._version

    def take(
        self, gateway: str, incarnation: int, window: int, counts: Mapping[str, int]
    ) -> None:
        """Take what one incarnation of a gateway has counted in a window."""
        key = (gateway, incarnation, window)
        if window <= self._forgotten:
            return
        self._forget_before(window - KEPT_WINDOWS)
        held = self._rows.setdefault(key, {})
        grown = {
            customer: count
            for customer, count in counts.items()
            if count > held.get(customer, 0)
        }
        if not grown:
            return
        held.update(grown)
        self._version += 1
        self._changed[key] = self._version

    def rows(
        self, since: int, gateways: Collection[str] | None = None
    ) -> list[tuple[str, int, int, dict[str, int]]]:
        """Return the rows that have changed since a version.

        :param gateways: those whose rows are wanted; None for all.
        :returns: gateway, incarnation, window and counts of each.
        """
        return [
            (*key, dict(self._rows[key]))
            for key, version in self._changed.items()
            if version > since and (gateways is None or key[0] in gateways)
        ]

    def total(self, window: int) -> dict[str, int]:
        """Return all counts of a window, by customer."""
        total: Counter[str] = Counter()
        for (_, _, number), counts in self._rows.items():
            if number == window:
                total.update(counts)
        return dict(total)

    def _forget_before(self, window: int) -> None:
        """Drop the rows up to a window, once for each later one."""
        if window <= self._forgotten:
            return
        self._forgotten = window
        for key in [key for key in self._rows if key[2] <= window]:
            del self._rows[key]
            self._changed.pop(key, None)
