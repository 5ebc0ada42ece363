"""Times for which endpoints want no requests from this gateway.

An endpoint that refuses a request may ask for rest. That is meant for the gateway which
has sent the request, so the others are not told.
"""

from collections.abc import Callable
from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock, milliseconds

log = Logger("rests")

# Longest rest that is granted at once; an endpoint may ask again.
MAX_REST = timedelta(minutes=5)
# Shortest time between two lines on the same endpoint.
LOG_INTERVAL = timedelta(seconds=1)
NONE_RESTS: frozenset[str] = frozenset()


class Rests:
    """Endpoints that have asked this gateway for rest.

    :param clock: source of elapsed time.
    :param count: counts an event by name, for metrics.
    """

    def __init__(self, clock: Clock, count: Callable[..., None]) -> None:
        self._clock = clock
        self._count = count
        self._ends: dict[str, timedelta] = {}
        self._logged_at: dict[str, timedelta] = {}

    def begin(self, endpoint: str, rest: timedelta) -> None:
        """Record that an endpoint asks for rest from now on.

        Of several rests, the one that ends last counts.
        """
        now = self._clock.elapsed()
        end = now + min(rest, MAX_REST)
        if end <= self._ends.get(endpoint, now):
            return
        self._ends[endpoint] = end
        self._count("endpoint rest")
        if now - self._logged_at.get(endpoint, -LOG_INTERVAL) >= LOG_INTERVAL:
            self._logged_at[endpoint] = now
            log.info("endpoint rests", endpoint=endpoint, rest_ms=milliseconds(rest))

    def time_left(self, endpoint: str) -> timedelta:
        """Return the time until the end of an endpoint's rest; zero without one."""
        end = self._ends.get(endpoint)
        if end is None:
            return timedelta()
        return max(end - self._clock.elapsed(), timedelta())

    def is_resting(self, endpoint: str) -> bool:
        """Return whether an endpoint wants no requests now."""
        return self.time_left(endpoint) > timedelta()

    def resting(self) -> frozenset[str]:
        """Return the names of all endpoints that want no requests now."""
        if not self._ends:
            return NONE_RESTS
        now = self._clock.elapsed()
        return frozenset(name for name, end in self._ends.items() if end > now)

    def end(self, endpoint: str) -> None:
        """End the rest of an endpoint that has restarted."""
        self._ends.pop(endpoint, None)

    def remove_ended(self) -> None:
        """Forget the rests that are over."""
        now = self._clock.elapsed()
        self._ends = {name: end for name, end in self._ends.items() if end > now}
        self._logged_at = {
            name: at for name, at in self._logged_at.items() if at + LOG_INTERVAL > now
        }
