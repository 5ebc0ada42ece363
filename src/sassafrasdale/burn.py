"""Counts of requests in and out of time, for the burn report.

The burn rate of a window is the share of requests that were late or lost over
the share that the objective allows: at 1 the error budget lasts exactly as long
as the objective's period, at 10 a tenth of it.
"""

from array import array
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

BUCKET = timedelta(seconds=30)
WINDOWS = (
    timedelta(minutes=5),
    timedelta(minutes=30),
    timedelta(hours=1),
    timedelta(hours=6),
)
_BUCKETS = WINDOWS[-1] // BUCKET
_NEVER = -1


@dataclass(frozen=True, slots=True)
class WindowCount:
    """Requests of one service that ended within a window.

    :param window: length of the window.
    :param total: requests that ended.
    :param in_time: those of them that met the objective.
    """

    window: timedelta
    total: int
    in_time: int

    def burn_rate(self, objective: float) -> float | None:
        """Return the burn rate, or None if no request ended.

        :param objective: share of requests that are to be in time, below 1.
        """
        if not self.total:
            return None
        return (1 - self.in_time / self.total) / (1 - objective)

    def __add__(self, other: "WindowCount") -> "WindowCount":
        return WindowCount(
            self.window, self.total + other.total, self.in_time + other.in_time
        )


class BurnCounter:
    """Counts of one service over the last six hours, in a ring of buckets.

    A window reaches back in whole buckets of 30 s, of which the newest is still
    being filled. The memory is fixed: 720 buckets of 16 bytes.

    :param service: name of the service.
    :param objective: share of requests that are to be in time.
    """

    __slots__ = ("_epochs", "_in_time", "_objective", "_service", "_total")

    def __init__(self, service: str, objective: float) -> None:
        self._service = service
        self._objective = objective
        self._epochs = array("q", [_NEVER]) * _BUCKETS
        self._total = array("I", [0]) * _BUCKETS
        self._in_time = array("I", [0]) * _BUCKETS

    @property
    def service(self) -> str:
        """Name of the service."""
        return self._service

    @property
    def objective(self) -> float:
        """Share of requests that are to be in time."""
        return self._objective

    @objective.setter
    def objective(self, objective: float) -> None:
        self._objective = objective

    def record(self, now: timedelta, in_time: bool) -> None:
        """Count one request that ended.

        :param now: elapsed time of the clock; it never goes back, so that a
            step of the wall clock cannot empty the windows.
        :param in_time: whether it met the objective.
        """
        epoch = now // BUCKET
        bucket = epoch % _BUCKETS
        if self._epochs[bucket] != epoch:
            self._epochs[bucket] = epoch
            self._total[bucket] = 0
            self._in_time[bucket] = 0
        self._total[bucket] += 1
        self._in_time[bucket] += in_time

    def snapshot(self, now: timedelta) -> tuple[WindowCount, ...]:
        """Return the counts of each window that ends at ``now``."""
        newest = now // BUCKET
        return tuple(self._count(window, newest) for window in WINDOWS)

    def _count(self, window: timedelta, newest: int) -> WindowCount:
        total = in_time = 0
        for epoch in range(newest, newest - window // BUCKET, -1):
            bucket = epoch % _BUCKETS
            if self._epochs[bucket] == epoch:
                total += self._total[bucket]
                in_time += self._in_time[bucket]
        return WindowCount(window, total, in_time)


@dataclass(frozen=True, slots=True)
class ServiceBurn:
    """Counts of one service in all windows.

    :param service: name of the service.
    :param objective: share of requests that are to be in time.
    :param windows: counts, the shortest window first.
    """

    service: str
    objective: float
    windows: tuple[WindowCount, ...]


class BurnBook:
    """The counters of every service in the text.

    Usage::

        book = BurnBook()
        book.set_objectives({"reports": 0.95})
        book.record("reports", clock.elapsed(), in_time=True)
    """

    def __init__(self) -> None:
        self._counters: dict[str, BurnCounter] = {}

    def set_objectives(self, objectives: Mapping[str, float]) -> None:
        """Take over the services of a text; those that stay keep their counts."""
        kept = self._counters
        self._counters = {}
        for service, objective in objectives.items():
            counter = kept.get(service) or BurnCounter(service, objective)
            counter.objective = objective
            self._counters[service] = counter

    def record(self, service: str, now: timedelta, in_time: bool) -> None:
        """Count one request; one of a service that left the text is dropped."""
        if counter := self._counters.get(service):
            counter.record(now, in_time)

    def snapshot(self, now: timedelta) -> tuple[ServiceBurn, ...]:
        """Return the counts of every service."""
        return tuple(
            ServiceBurn(counter.service, counter.objective, counter.snapshot(now))
            for counter in self._counters.values()
        )


def sum_burns(parts: Iterable[ServiceBurn]) -> tuple[ServiceBurn, ...]:
    """Return the counts of several entries as one, by service.

    While a new text spreads, entries may differ in a service's objective; the
    strictest counts.
    """
    sums: dict[str, ServiceBurn] = {}
    for part in parts:
        known = sums.get(part.service)
        sums[part.service] = part if known is None else _sum_two(known, part)
    return tuple(sums[name] for name in sorted(sums))


def _sum_two(one: ServiceBurn, other: ServiceBurn) -> ServiceBurn:
    windows = tuple(a + b for a, b in zip(one.windows, other.windows, strict=True))
    objective = max(one.objective, other.objective)
    return ServiceBurn(one.service, objective, windows)


def burns_to_json(burns: Iterable[ServiceBurn]) -> list[dict[str, object]]:
    """Return the counts as ``GET /admin/v1/burn`` gives them."""
    return [
        {
            "service": burn.service,
            "objective": burn.objective,
            "windows": [
                {
                    "seconds": int(count.window.total_seconds()),
                    "total": count.total,
                    "in_time": count.in_time,
                }
                for count in burn.windows
            ],
        }
        for burn in burns
    ]
