"""How slow each endpoint is against the others of its service."""

from dataclasses import dataclass
from datetime import timedelta
from statistics import median

SMOOTHING = 0.3
"""Weight of the latest observation in the running mean."""

FORGET_HALF_LIFE = timedelta(seconds=20)
"""Age at which an observation counts half, so that a mended endpoint is tried."""

LEAST_SLOWNESS = 1.5
"""Ratios below it are ordinary differences of load and count as 1."""


@dataclass(slots=True)
class _Observed:
    """Running mean of the delays seen at one endpoint, in seconds."""

    delay: float
    at: timedelta


class TokenDelays:
    """Running means of the time between tokens, by endpoint.

    The time between tokens hardly depends on the prompt or the queue, unlike the
    time to the first one, so a slow replica stands out after few tokens.
    """

    def __init__(self) -> None:
        self._observed: dict[str, _Observed] = {}

    def observe(self, endpoint: str, delay: timedelta, at: timedelta) -> None:
        """Take in a time between tokens that was seen at the elapsed time ``at``."""
        seconds = delay.total_seconds()
        known = self._observed.get(endpoint)
        if known is None:
            self._observed[endpoint] = _Observed(seconds, at)
            return
        known.delay += SMOOTHING * (seconds - known.delay)
        known.at = at

    def slowness(self, endpoint: str, now: timedelta) -> float:
        """Return the delay over the median of all endpoints; 1 is usual."""
        known = self._observed.get(endpoint)
        if known is None or len(self._observed) < 3:
            return 1.0
        usual = median(observed.delay for observed in self._observed.values())
        ratio = known.delay / usual if usual else 1.0
        if ratio < LEAST_SLOWNESS:
            return 1.0
        return 1 + (ratio - 1) * 0.5 ** ((now - known.at) / FORGET_HALF_LIFE)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self._observed.pop(endpoint, None)
