"""Burn rates: counts of requests that met or missed the objective.

The burn rate of a window is the fraction of requests that were late or lost, divided
by the fraction that the objective allows: at 1 the error budget lasts exactly as long
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
    :param total: number of requests that ended.
    :param in_time: number of those that met the objective.
    """

    window: timedelta
    total: int
    in_time: int

    def burn_rate(self, objective: float) -> float | None:
        """Return the burn rate, or None if no request ended.

        :param objective: fraction of requests that should be in time, below 1.
        """
        if not self.total:
            return None
        return (1 - self.in_time / self.total) / (1 - objective)

    def __add__(self, other: "WindowCount") -> "WindowCount":
        return WindowCount(
            self.window, self.total + other.total, self.in_time + other.in_time
        )


class BurnCounter:
    """Counts of one service over the last six hours, in a ring buffer.

    A window consists of whole buckets of 30 s, of which the newest is still being
    filled. The memory is fixed: 720 buckets of 16 bytes.

    :param service: name of the service.
    :param objective: fraction of requests that should be in time.
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
        """Fraction of requests that should be in time."""
        return self._objective

    @objective.setter
    def objective(self, objective: float) -> None:
        self._objective = objective

    def record(self, now: timedelta, in_time: bool) -> None:
        """Count one request that ended.

        :param now: elapsed time of the clock; it is monotonic, so that a step of the
            wall clock cannot empty the windows.
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
    :param objective: fraction of requests that should be in time.
    :param windows: counts, shortest window first.
    """

    service: str
    objective: float
    windows: tuple[WindowCount, ...]


class BurnCounters:
    """Counters of all services in the configuration text.

    Usage::

        counters = BurnCounters()
        counters.set_objectives({"reports": 0.95})
        counters.record("reports", clock.elapsed(), in_time=True)
    """

    def __init__(self) -> None:
        self._counters: dict[str, BurnCounter] = {}

    def set_objectives(self, objectives: Mapping[str, float]) -> None:
        """Replace the set of services; those that remain keep their counts."""
        previous = self._counters
        self._counters = {}
        for service, objective in objectives.items():
            counter = previous.get(service) or BurnCounter(service, objective)
            counter.objective = objective
            self._counters[service] = counter

    def record(self, service: str, now: timedelta, in_time: bool) -> None:
        """Count one request, unless its service has been removed."""
        if counter := self._counters.get(service):
            counter.record(now, in_time)

    def snapshot(self, now: timedelta) -> tuple[ServiceBurn, ...]:
        """Return the counts of all services."""
        return tuple(
            ServiceBurn(counter.service, counter.objective, counter.snapshot(now))
            for counter in self._counters.values()
        )


def sum_burns(parts: Iterable[ServiceBurn]) -> tuple[ServiceBurn, ...]:
    """Return the sums of the counts of several entries, by service.

    While a new text propagates, entries may have different objectives for a service;
    the strictest one is used.
    """
    sums: dict[str, ServiceBurn] = {}
    for part in parts:
        known = sums.get(part.service)
        sums[part.service] = part if known is None else _add_burns(known, part)
    return tuple(sums[name] for name in sorted(sums))


def _add_burns(one: ServiceBurn, other: ServiceBurn) -> ServiceBurn:
    windows = tuple(a + b for a, b in zip(one.windows, other.windows, strict=True))
    objective = max(one.objective, other.objective)
    return ServiceBurn(one.service, objective, windows)


def burns_to_json(burns: Iterable[ServiceBurn]) -> list[dict[str, object]]:
    """Return the counts in the format of ``GET /admin/v1/burn``."""
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
