"""Expected queueing delays at engines, by priority.

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
# Time without an observation after which the earlier ones are void: the load has
# changed since.
MAX_GAP = timedelta(seconds=5)


class EndpointDelays:
    """Delays at one service's engines, as seen by one dispatcher."""

    def __init__(self) -> None:
        self._observed: dict[int, LatencyWindow] = {}
        self._observed_at: dict[int, timedelta] = {}

    def observe(self, priority: int, delay: timedelta, now: timedelta) -> None:
        """Record the time to a first event, less that of the request's own work."""
        if not self._is_recent(priority, now):
            self._observed[priority] = LatencyWindow(KEPT_OBSERVATIONS)
        self._observed[priority].add(max(delay, timedelta()))
        self._observed_at[priority] = now

    def expected(
        self, priority: int, least: timedelta, objective: timedelta, now: timedelta
    ) -> timedelta:
        """Return the delay to allow for.

        :param least: its lower bound, and the delay without enough observations.
        :param objective: shortest objective of the service's requests.
        """
        if not self._is_recent(priority, now):
            return least
        window = self._observed[priority]
        if len(window) < MIN_OBSERVATIONS:
            return least
        longest = objective * MAX_DELAY_FRACTION
        return max(least, min(window.quantile(QUANTILE), longest))

    def _is_recent(self, priority: int, now: timedelta) -> bool:
        at = self._observed_at.get(priority)
        return at is not None and now - at <= MAX_GAP
