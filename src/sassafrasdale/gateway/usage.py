"""Usage metering: requests started, by customer and window of cluster time."""

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from datetime import timedelta
from statistics import median

from logbook import Logger

from sassafrasdale.clock import Clock

log = Logger("usage")

# Windows to retain; a window is reported long before it is dropped.
RETAINED_WINDOWS = 5
# Smallest offset that is corrected.
MIN_CORRECTION = timedelta(milliseconds=50)
# Readings up to this age are forwarded to other peers.
FORWARDING_AGE = timedelta(seconds=1)
# Readings older than this are dropped.
MAX_READING_AGE = timedelta(seconds=5)
# Time after a start in which a gateway adopts the time of its peers.
STARTUP_TIME = timedelta(seconds=3)
# A peer that started at least this much earlier has had time to receive readings from
# others.
MIN_LEAD = timedelta(seconds=2)
# Stepped clocks are corrected within seconds. A median that still differs after this
# time is correct.
STEP_TIMEOUT = timedelta(seconds=30)


@dataclass(frozen=True, slots=True)
class ClockReading:
    """Clock reading of a gateway, in seconds since 1970.

    :param wall: wall-clock time of its machine.
    :param true: its cluster time, by its own :class:`ClusterTime`.
    :param age_s: time in seconds since it started.
    """

    wall: float
    true: float
    age_s: float


@dataclass(frozen=True, slots=True)
class _PeerClock:
    """A peer's clock relative to this gateway's elapsed time, in seconds.

    :param wall: offset of its wall clock from the elapsed time.
    :param cluster: offset of its cluster time from the elapsed time.
    :param started_at: elapsed time at which it started.
    :param received_at: elapsed time of its last reading.
    """

    wall: float
    cluster: float
    started_at: float
    received_at: timedelta


class ClusterTime:
    """Cluster time, which is immune to steps of one or most machines' clocks.

    It advances with the elapsed time. A gateway that starts adopts the time of gateways
    that have run for longer; without any, it adopts the median of all clocks. Later,
    it follows the median only after a lasting difference, which can't be a clock step.

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
        """Return the reading to send to peers."""
        wall = self._clock.now().timestamp()
        return ClockReading(wall, self.seconds, self._age().total_seconds())

    def add_reading(self, peer: str, reading: ClockReading) -> None:
        """Add a reading that a peer has just sent."""
        elapsed = self._clock.elapsed().total_seconds()
        self._peers[peer] = _PeerClock(
            reading.wall - elapsed,
            reading.true - elapsed,
            elapsed - reading.age_s,
            self._clock.elapsed(),
        )

    def peer_readings(self, max_count: int) -> dict[str, ClockReading]:
        """Return readings of some other gateways, extrapolated to now, for a peer.

        Only recent ones: forwarded for longer, the clock of a stopped gateway would
        continue to count in the median.
        """
        now = self._clock.elapsed()
        elapsed = now.total_seconds()
        recent = [
            (name, peer)
            for name, peer in self._peers.items()
            if now - peer.received_at <= FORWARDING_AGE
        ]
        return {
            name: ClockReading(
                peer.wall + elapsed, peer.cluster + elapsed, elapsed - peer.started_at
            )
            for name, peer in recent[:max_count]
        }

    def update(self) -> None:
        """Drop peers without recent readings, and correct the time if necessary."""
        now = self._clock.elapsed()
        self._peers = {
            name: peer
            for name, peer in self._peers.items()
            if now - peer.received_at <= MAX_READING_AGE
        }
        if self._age() < STARTUP_TIME:
            self._set(self._startup_offset(), "started")
        elif self._differs_for(STEP_TIMEOUT):
            self._set(self._median_of_clocks(), "clocks agree on another time")

    def _startup_offset(self) -> float:
        limit = (self._started_at - MIN_LEAD).total_seconds()
        older = [
            peer.cluster for peer in self._peers.values() if peer.started_at < limit
        ]
        return median(older) if older else self._median_of_clocks()

    def _differs_for(self, limit: timedelta) -> bool:
        """Return whether the median clock has differed for at least ``limit``."""
        difference = abs(self._median_of_clocks() - self._offset)
        now = self._clock.elapsed()
        if difference <= MIN_CORRECTION.total_seconds():
            self._differs_since = None
            return False
        if self._differs_since is None:
            self._differs_since = now
        return now - self._differs_since >= limit

    def _set(self, offset: float, reason: str) -> None:
        moved = offset - self._offset
        if abs(moved) <= MIN_CORRECTION.total_seconds():
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
    """Request counts of this gateway by window.

    :param window: length of a window.
    :param time: cluster time.
    """

    def __init__(self, window: timedelta, time: ClusterTime) -> None:
        self._window = window.total_seconds()
        self._time = time
        self._counts: dict[int, dict[str, int]] = {}

    def add(self, customer: str) -> None:
        """Count a request that starts now."""
        number = self.current_window()
        counts = self._counts.setdefault(number, {})
        counts[customer] = counts.get(customer, 0) + 1
        for old in [key for key in self._counts if key <= number - RETAINED_WINDOWS]:
            del self._counts[old]

    def current_window(self) -> int:
        """Return the number of the current window."""
        return int(self._time.seconds // self._window)

    def report(self) -> dict[int, dict[str, int]]:
        """Return the counts of the retained windows."""
        return {number: dict(counts) for number, counts in self._counts.items()}


class UsageLedger:
    """Request counts of all gateways, including those that have stopped.

    A restarted gateway counts from zero. Its earlier counts are kept under its earlier
    incarnation, and still belong to their windows. Counts only grow and merge by
    maximum, so rows that arrive twice, late or by two routes do no harm.
    """

    def __init__(self) -> None:
        self._rows: dict[tuple[str, int, int], dict[str, int]] = {}
        self._changed: dict[tuple[str, int, int], int] = {}
        self._version = 0
        self._dropped_up_to = 0

    @property
    def version(self) -> int:
        """Version of the ledger, incremented by each change."""
        return self._version

    def merge(
        self, gateway: str, incarnation: int, window: int, counts: Mapping[str, int]
    ) -> None:
        """Merge one incarnation's counts of a window."""
        key = (gateway, incarnation, window)
        if window <= self._dropped_up_to:
            return
        self._drop_up_to(window - RETAINED_WINDOWS)
        known = self._rows.setdefault(key, {})
        grown = {
            customer: count
            for customer, count in counts.items()
            if count > known.get(customer, 0)
        }
        if not grown:
            return
        known.update(grown)
        self._version += 1
        self._changed[key] = self._version

    def rows(
        self, since: int, gateways: Collection[str] | None = None
    ) -> list[tuple[str, int, int, dict[str, int]]]:
        """Return the rows that have changed since a version.

        :param gateways: gateways whose rows are returned; None for all.
        :returns: gateway, incarnation, window and counts of each.
        """
        return [
            (*key, dict(self._rows[key]))
            for key, version in self._changed.items()
            if version > since and (gateways is None or key[0] in gateways)
        ]

    def total(self, window: int) -> dict[str, int]:
        """Return the sum of all counts of a window, by customer."""
        total: Counter[str] = Counter()
        for (_, _, number), counts in self._rows.items():
            if number == window:
                total.update(counts)
        return dict(total)

    def _drop_up_to(self, window: int) -> None:
        """Drop all rows up to a window, unless that was done already."""
        if window <= self._dropped_up_to:
            return
        self._dropped_up_to = window
        for key in [key for key in self._rows if key[2] <= window]:
            del self._rows[key]
            self._changed.pop(key, None)
