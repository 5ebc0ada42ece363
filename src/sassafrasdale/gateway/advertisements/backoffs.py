"""Back-off that endpoints request from this gateway.

An endpoint that refuses a request may tell for how long it wants no more. That is meant
for the gateway which has sent the request, so the others are not told.
"""

from collections.abc import Callable
from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock, milliseconds

log = Logger("backoffs")

# Longest back-off that is granted at once; an endpoint may ask again.
MAX_BACKOFF = timedelta(minutes=5)
# Shortest time between two lines on the same endpoint.
LOG_INTERVAL = timedelta(seconds=1)
NO_ENDPOINTS: frozenset[str] = frozenset()


class Backoffs:
    """Endpoints that this gateway sends nothing to for a while, at their request.

    :param clock: source of elapsed time.
    :param count: counts an event by name, for metrics.
    """

    def __init__(self, clock: Clock, count: Callable[..., None]) -> None:
        self._clock = clock
        self._count = count
        self._ends: dict[str, timedelta] = {}
        self._logged_at: dict[str, timedelta] = {}

    def begin(self, endpoint: str, duration: timedelta) -> None:
        """Begin a back-off from an endpoint.

        Of several, the one that ends last counts.
        """
        now = self._clock.elapsed()
        end = now + min(duration, MAX_BACKOFF)
        if end <= self._ends.get(endpoint, now):
            return
        self._ends[endpoint] = end
        self._count("endpoint back-off")
        if now - self._logged_at.get(endpoint, -LOG_INTERVAL) >= LOG_INTERVAL:
            self._logged_at[endpoint] = now
            log.info(
                "endpoint back-off",
                endpoint=endpoint,
                backoff_ms=milliseconds(duration),
            )

    def time_left(self, endpoint: str) -> timedelta:
        """Return the time until the end of a back-off; zero without one."""
        end = self._ends.get(endpoint)
        if end is None:
            return timedelta()
        return max(end - self._clock.elapsed(), timedelta())

    def is_active(self, endpoint: str) -> bool:
        """Return whether an endpoint gets nothing from this gateway now."""
        return self.time_left(endpoint) > timedelta()

    def endpoints(self) -> frozenset[str]:
        """Return the names of all endpoints that get nothing from this gateway now."""
        if not self._ends:
            return NO_ENDPOINTS
        now = self._clock.elapsed()
        return frozenset(name for name, end in self._ends.items() if end > now)

    def end(self, endpoint: str) -> None:
        """End the back-off from an endpoint that has restarted."""
        self._ends.pop(endpoint, None)

    def remove_ended(self) -> None:
        """Forget the back-offs that are over."""
        now = self._clock.elapsed()
        self._ends = {name: end for name, end in self._ends.items() if end > now}
        self._logged_at = {
            name: at for name, at in self._logged_at.items() if at + LOG_INTERVAL > now
        }
