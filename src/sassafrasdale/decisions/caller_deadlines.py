"""How long callers have tried before a request arrives.

Workload: under overload, a third of the requests comes from callers that were rejected
and came back. A new attempt looks like a new request, but its objective runs since the
caller's first one. What tells them apart is the time that the caller still waits, which
is less than usual on its route.
"""

from datetime import timedelta

from sassafrasdale.decisions.latencies import LatencyWindow

# Requests of a route by which the usual time is known, and their least number.
KEPT_REQUESTS = 64
MIN_REQUESTS = 8
# Quantile of their times that counts as usual: most of them come for the first time.
USUAL_QUANTILE = 0.9
# Fraction of the usual time below which a difference is rounding.
MIN_SPENT_FRACTION = 0.02


class CallerDeadlines:
    """Times that callers wait, by route, as seen by one gateway."""

    def __init__(self) -> None:
        self._deadlines: dict[str, LatencyWindow] = {}

    def time_spent(self, route: str, deadline: timedelta | None) -> timedelta:
        """Return how long a request's caller has tried before, and record the request.

        :param deadline: time for which the caller waits; None if it names none.
        """
        if deadline is None:
            return timedelta()
        known = self._deadlines.setdefault(route, LatencyWindow(KEPT_REQUESTS))
        known.add(deadline)
        if len(known) < MIN_REQUESTS:
            return timedelta()
        usual = known.quantile(USUAL_QUANTILE)
        spent = usual - deadline
        return spent if spent > usual * MIN_SPENT_FRACTION else timedelta()
