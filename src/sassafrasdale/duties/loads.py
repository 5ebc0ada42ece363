"""The load of each service over the last minute."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

WINDOW = timedelta(seconds=60)


@dataclass(frozen=True, slots=True)
class Load:
    """Load of a service.

    :param mean: mean over the window.
    :param growth: change in a second, from the window's halves.
    """

    mean: float
    growth: float


class LoadHistory:
    """Samples of the last minute by service.

    Every entry keeps one, so that a new holder of the duty need not begin
    without a past and give back what a passing lull leaves idle.
    """

    def __init__(self) -> None:
        self._samples: dict[str, deque[tuple[timedelta, float]]] = {}

    def add(self, service: str, load: float, now: timedelta) -> None:
        """Take a sample.

        :param now: elapsed time.
        """
        samples = self._samples.setdefault(service, deque())
        samples.append((now, load))
        while samples[0][0] < now - WINDOW:
            samples.popleft()

    def of_service(self, service: str) -> Load:
        """Return the load of a service, 0 if there was no sample."""
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
