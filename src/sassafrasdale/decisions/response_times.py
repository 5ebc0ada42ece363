"""Endpoints of plain services that have turned slow, by their latest response times.

Workload: three endpoints, each slow by 2.5 times for half a second now and then, with
some forty requests a second each from one zone. An average over many responses shows
that when it is over. So the last few responses of each endpoint are compared with the
usual ones.
"""

from collections import deque
from collections.abc import Collection, Mapping
from datetime import timedelta
from statistics import median_low

from sassafrasdale.decisions.latencies import LatencyWindow

# Latest responses of an endpoint that tell whether it is slow, and their least number:
# one long request must not mark it.
KEPT_RESPONSES = 5
MIN_RESPONSES = 3
# An endpoint without responses for this long is tried again.
RECENT_TIME = timedelta(seconds=1)
# Responses of all endpoints by which the usual time is known, and the least numbers for
# an estimate and for a comparison with single endpoints.
KEPT_USUAL = 128
MIN_KNOWN = 4
MIN_USUAL = 16
# Quantile of the response times by which nearly all requests end, and that of requests
# that no other ones delay. While requests wait, another one can use the time of one
# that would miss its deadline.
HIGH_QUANTILE = 0.98
LOW_QUANTILE = 0.1
# Time without any response, besides a usual one's, after which the earlier ones say
# nothing about the next.
RETENTION_TIME = timedelta(seconds=5)
# Factors below this are within the variation of requests, and don't count.
MIN_SLOWNESS = 1.5
# An endpoint that seems slower than this has a fault, which its health shows better.
MAX_SLOWNESS = 5.0


class HighTime:
    """Time that most of the latest responses take at the most.

    Requests that would take too long are rejected. So what an overload has shown must
    not outlast it: while all requests are rejected, no response can correct it.
    """

    def __init__(self) -> None:
        self._recent = LatencyWindow(KEPT_USUAL)
        self._observed_at: deque[timedelta] = deque(maxlen=KEPT_USUAL)

    def observe(self, took: timedelta, now: timedelta) -> None:
        """Record a response."""
        self._recent.add(took)
        self._observed_at.append(now)
        self._remove_outdated(now)

    def clear(self) -> None:
        """Forget all responses."""
        self._recent = LatencyWindow(KEPT_USUAL)
        self._observed_at.clear()

    def value(self) -> timedelta | None:
        """Return the time; None if too few responses are known."""
        if len(self._recent) < MIN_KNOWN:
            return None
        return self._recent.quantile(HIGH_QUANTILE)

    def _remove_outdated(self, now: timedelta) -> None:
        """Remove what is not recent, except the last responses of a slow service."""
        while (
            len(self._recent) > MIN_USUAL and now - self._observed_at[0] > RECENT_TIME
        ):
            self._recent.remove_oldest()
            self._observed_at.popleft()


class ResponseTimes:
    """Response times of one service's endpoints, as seen by one dispatcher."""

    def __init__(self) -> None:
        self._usual = LatencyWindow(KEPT_USUAL)
        self._high = HighTime()
        self._observed_at = timedelta()
        self._latest: dict[str, deque[tuple[timedelta, timedelta]]] = {}

    def observe(self, endpoint: str, took: timedelta, now: timedelta) -> None:
        """Record a response.

        :param took: time that the request took at the endpoint.
        """
        if self._silence(now) > RECENT_TIME:
            self._high.clear()
        self._usual.add(took)
        self._high.observe(took, now)
        self._observed_at = now
        latest = self._latest.setdefault(endpoint, deque(maxlen=KEPT_RESPONSES))
        latest.append((now, took))

    def usual_time(self) -> timedelta | None:
        """Return the usual response time; None if too few responses are known."""
        if len(self._usual) < MIN_KNOWN:
            return None
        return self._usual.quantile(0.5)

    def high_time(self, now: timedelta) -> timedelta | None:
        """Return the time that most responses take at the most; None if unknown.

        If there has been no response for a while, it is the time of quick ones, and is
        unknown later.
        """
        if len(self._usual) < MIN_KNOWN:
            return None
        silence = self._silence(now)
        if silence > RETENTION_TIME:
            return None
        high = self._high.value() if silence <= RECENT_TIME else None
        return self._usual.quantile(LOW_QUANTILE) if high is None else high

    def _silence(self, now: timedelta) -> timedelta:
        """Return the time without a response, besides what a response takes."""
        usual = self.usual_time() or timedelta()
        return now - self._observed_at - usual

    def slowness(
        self, endpoints: Collection[str], now: timedelta
    ) -> Mapping[str, float]:
        """Return by which factor endpoints are slower than usual.

        :returns: endpoints that are not slow, or not known, are omitted.
        """
        usual = self.usual_time()
        if not usual or len(self._usual) < MIN_USUAL:
            return {}
        factors = {
            name: recent / usual
            for name in endpoints
            if (recent := self._recent_time(name, now)) is not None
        }
        return {
            name: min(factor, MAX_SLOWNESS)
            for name, factor in factors.items()
            if factor >= MIN_SLOWNESS
        }

    def forget(self, endpoint: str) -> None:
        """Remove an endpoint that is gone."""
        self._latest.pop(endpoint, None)

    def _recent_time(self, endpoint: str, now: timedelta) -> timedelta | None:
        latest = self._latest.get(endpoint, ())
        recent = [took for at, took in latest if now - at <= RECENT_TIME]
        return median_low(recent) if len(recent) >= MIN_RESPONSES else None
