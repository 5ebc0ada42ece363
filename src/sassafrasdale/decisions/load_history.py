"""Observed variation of a service's load, for decisions on its endpoints.

Workload: waves of some 40 s, and bursts of a few seconds at a multiple of the usual
load, while a new endpoint takes seconds to start. The mean alone hides both.
"""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from math import isfinite
from statistics import fmean, linear_regression, pstdev

# Time over which the load is observed. It covers a whole wave.
HISTORY_TIME = timedelta(seconds=60)
# Time of observations and their least number from which the variation is known.
MIN_HISTORY_TIME = timedelta(seconds=20)
MIN_SAMPLES = 20
# Least number of samples that show a trend.
MIN_TREND_SAMPLES = 4
# Maximum rise as a multiple of the load. When load reports of other gateways arrive
# late, the load seems to multiply at once.
MAX_GROWTH = 1.0


@dataclass(frozen=True, slots=True)
class LoadVariation:
    """Variation of a load, as a number of endpoints that it would keep fully busy.

    :param rise: expected increase until a new endpoint serves; at least 0.
    """

    mean: float
    deviation: float
    maximum: float
    rise: float


class LoadHistory:
    """Loads of one service over the last minute."""

    def __init__(self) -> None:
        self._samples: deque[tuple[timedelta, float]] = deque()

    def observe(self, load: float, now: timedelta) -> None:
        """Record the current load; a negative or infinite one, or NaN, is ignored."""
        if not isfinite(load) or load < 0:
            return
        self._samples.append((now, load))
        while now - self._samples[0][0] > HISTORY_TIME:
            self._samples.popleft()

    def variation(self, start_time: timedelta, now: timedelta) -> LoadVariation | None:
        """Return the variation of the load; None if it is not known yet.

        :param start_time: time that a new endpoint takes to start.
        """
        if len(self._samples) < MIN_SAMPLES:
            return None
        if self._samples[-1][0] - self._samples[0][0] < MIN_HISTORY_TIME:
            return None
        loads = [load for _, load in self._samples]
        return LoadVariation(
            fmean(loads), pstdev(loads), max(loads), self._rise(start_time, now)
        )

    def _rise(self, start_time: timedelta, now: timedelta) -> float:
        """Return the rise during a start time, by the trend of the last one."""
        recent = [
            (at.total_seconds(), load)
            for at, load in self._samples
            if now - at <= start_time
        ]
        if len({at for at, _ in recent}) < MIN_TREND_SAMPLES:
            return 0.0
        slope = linear_regression(*zip(*recent, strict=True)).slope
        rise = slope * start_time.total_seconds()
        return min(max(rise, 0.0), MAX_GROWTH * recent[-1][1])
