"""Speed of each endpoint relative to the others of its service."""

from dataclasses import dataclass
from datetime import timedelta
from statistics import median

SMOOTHING = 0.3
"""Weight of the latest observation in the moving average."""

FORGET_HALF_LIFE = timedelta(seconds=20)
"""Half-life of an observation, so that an endpoint that has recovered is tried again.
"""

LEAST_SLOWNESS = 1.5
"""Ratios below this are normal differences in load and count as 1."""


@dataclass(slots=True)
class _Observed:
    """Moving average of the token delays at one endpoint, in seconds."""

    delay: float
    at: timedelta


class TokenDelays:
    """Moving averages of the time between tokens, by endpoint.

    Unlike the time to the first token, the time between tokens hardly depends on the
    prompt or the queue, so a slow replica shows after few tokens.
    """

    def __init__(self) -> None:
        self._observed: dict[str, _Observed] = {}

    def observe(self, endpoint: str, delay: timedelta, at: timedelta) -> None:
        """Record a time between tokens, observed at the elapsed time ``at``."""
        seconds = delay.total_seconds()
        known = self._observed.get(endpoint)
        if known is None:
            self._observed[endpoint] = _Observed(seconds, at)
            return
        known.delay += SMOOTHING * (seconds - known.delay)
        known.at = at

    def slowness(self, endpoint: str, now: timedelta) -> float:
        """Return the delay divided by the median of all endpoints; 1 is normal."""
        known = self._observed.get(endpoint)
        if known is None or len(self._observed) < 3:
            return 1.0
        median_delay = median(observed.delay for observed in self._observed.values())
        ratio = known.delay / median_delay if median_delay else 1.0
        if ratio < LEAST_SLOWNESS:
            return 1.0
        return 1 + (ratio - 1) * 0.5 ** ((now - known.at) / FORGET_HALF_LIFE)

    def forget(self, endpoint: str) -> None:
        """Remove an endpoint that is gone."""
        self._observed.pop(endpoint, None)
