"""Times for which engines queue what they are sent, by priority.

Workload: urgent requests beside many others. An engine has a short queue of its own, in
which urgent requests go ahead of others that are there already. So a less urgent
request has to leave the dispatcher sooner than an urgent one to be on time.
"""

from datetime import timedelta

from sassafrasdale.decisions.latencies import LatencyWindow

KEPT_OBSERVATIONS = 64
MIN_OBSERVATIONS = 16
# Quantile of the observed delays that is allowed for.
QUANTILE = 0.9
# Longest delay that is allowed for, as a fraction of the objective. Otherwise all
# requests would count as late at engines that are slow for a moment.
MAX_DELAY_FRACTION = 0.5


class EndpointDelays:
    """Delays at one service's engines, as seen by one dispatcher."""

    def __init__(self) -> None:
        self._observed: dict[int, LatencyWindow] = {}

    def observe(self, priority: int, delay: timedelta) -> None:
        """Record the time to a first event, less that of the request's own work."""
        window = self._observed.setdefault(priority, LatencyWindow(KEPT_OBSERVATIONS))
        window.add(max(delay, timedelta()))

    def expected(
        self, priority: int, least: timedelta, objective: timedelta
    ) -> timedelta:
        """Return the delay to allow for.

        :param least: time for which engines queue a request of any priority.
        :param objective: shortest objective of the service's requests.
        """
        window = self._observed.get(priority)
        if window is None or len(window) < MIN_OBSERVATIONS:
            return least
        longest = objective * MAX_DELAY_FRACTION
        return max(least, min(window.quantile(QUANTILE), longest))
