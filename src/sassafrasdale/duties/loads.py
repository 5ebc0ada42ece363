"""History of each service's load over the last minute."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

WINDOW = timedelta(seconds=60)


@dataclass(frozen=True, slots=True)
class Load:
    """Load of a service.

    :param mean: mean over the window.
    :param growth: change per second, between the means of the window's halves.
    """

    mean: float
    growth: float


class LoadHistory:
    """Load samples of the last minute, by service.

    Every entry keeps a history, so that a new leader doesn't start without one and
    release instances that are idle only for a short time.
    """

    def __init__(self) -> None:
        self._samples: dict[str, deque[tuple[timedelta, float]]] = {}

    def add(self, service: str, load: float, now: timedelta) -> None:
        """Add a sample.

        :param now: elapsed time.
        """
        samples = self._samples.setdefault(service, deque())
        samples.append((now, load))
        while samples[0][0] < now - WINDOW:
            samples.popleft()

    def of_service(self, service: str) -> Load:
        """Return the load of a service, 0 if there are no samples."""
        samples = self._samples.get(service)
        if not samples:
            return Load(0.0, 0.0)
        middle = (samples[0][0] + samples[-1][0]) / 2
        earlier = [load for at, load in samples if at <= middle]
        later = [load for at, load in samples if at > middle]
        mean = (sum(earlier) + sum(later)) / len(samples)
        if not later:
            return Load(mean, 0.0)
        half = (samples[-1][0] - samples[0][0]).total_seconds() / 2
        growth = (_mean(later) - _mean(earlier)) / half
        return Load(mean, growth)


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)
