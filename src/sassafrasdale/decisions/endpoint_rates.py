"""Shares of the request rate that an endpoint takes from all gateways together.

Workload: 200 gateways and an endpoint that takes one request per second. A token bucket
at each gateway would allow a burst of 200. So the rate is split among a few
availability zones, which all gateways know from their settings, and one gateway of each
lends out the zone's part as permits. No agreement is needed: where two gateways of a
zone lend at once, each has a part of the zone's share by the number of gateways that
report to it.

Most requests may come to one zone. It asks the others for tokens that they don't need.
A token that is given away has left its bucket, so the rate holds, and one that is lost
on the way is not used. The depth for it moves along for a while: otherwise the bucket
of a zone that gets most of the requests would be full with the permits that it has lent
for one report interval, and would drop the tokens that it receives.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

# Most zones that share an endpoint's rate. Each may save up one request.
MAX_SHARING_ZONES = 4
# Lowest total rate, in requests per second. An endpoint without any requests could
# never say that its limit has ended.
MIN_RATE = 0.25
# Bounds of the time after which callers are asked to come back.
MIN_INTERVAL = timedelta(milliseconds=300)
MAX_INTERVAL = timedelta(seconds=5)
# Time for which a zone's unused part of the rate is saved up, besides one request.
BURST_TIME = timedelta(seconds=1.5)
# Time after which a permit that was lent is considered used. Its borrower drops it
# sooner.
LOAN_TIMEOUT = timedelta(seconds=2)
# Time after which a borrower drops a permit that it has not used.
PERMIT_TIMEOUT = timedelta(seconds=1)
# Time for which the receiver of a token has the depth for it. The giver goes without it
# for longer, so that no two zones use it at once.
RECEIVED_DEPTH_TIME = timedelta(seconds=0.75)
GIVEN_DEPTH_TIME = timedelta(seconds=1.25)
# Time over which a zone's demand and use of permits are averaged.
RECENT_TIME = timedelta(seconds=1)


def sharing_zones(endpoint_zone: str, zones: Sequence[str]) -> tuple[str, ...]:
    """Return the zones that share an endpoint's rate, the endpoint's own first."""
    others = sorted(zone for zone in zones if zone != endpoint_zone)
    return (endpoint_zone, *others)[:MAX_SHARING_ZONES]


def zone_rate(
    rate: float, zone: str, endpoint_zone: str, zones: Sequence[str]
) -> float:
    """Return the requests per second that a zone's gateways may send to an endpoint.

    :param rate: limit that the endpoint has named.
    """
    sharing = sharing_zones(endpoint_zone, zones)
    return max(rate, MIN_RATE) / len(sharing) if zone in sharing else 0.0


def permit_interval(limits: Sequence[float], gateways: int) -> timedelta:
    """Return the mean time between two permits at each gateway, within bounds.

    :param limits: limits of all endpoints that a request may be sent to.
    """
    total = sum(max(limit, MIN_RATE) for limit in limits)
    interval = timedelta(seconds=gateways / total)
    return min(max(interval, MIN_INTERVAL), MAX_INTERVAL)


@dataclass(slots=True)
class _Loan:
    permits: int
    lent_at: timedelta


class _DepthTransfers:
    """Depth that was transferred from one bucket to another for a time.

    :param duration: time after which a transfer ends.
    """

    def __init__(self, duration: timedelta) -> None:
        self._duration = duration
        self._transfers: deque[tuple[timedelta, int]] = deque()
        self.count = 0

    def add(self, count: int, now: timedelta) -> None:
        """Add a transfer of the depth for some tokens."""
        if count:
            self._transfers.append((now + self._duration, count))
            self.count += count

    def remove_ended(self, now: timedelta) -> None:
        """Remove the transfers that have ended."""
        while self._transfers and self._transfers[0][0] <= now:
            self.count -= self._transfers.popleft()[1]


class PermitBucket:
    """Token bucket whose tokens may be lent to other gateways as permits.

    Lent permits count against its depth, so that the requests of a period never exceed
    the rate by more than the depth, whoever sends them.

    :param now: elapsed time; the bucket starts empty.
    """

    def __init__(self, now: timedelta) -> None:
        self._rate = 0.0
        self._tokens = 0.0
        self._updated_at = now
        self._loans: dict[str, _Loan] = {}
        self._depth_received = _DepthTransfers(RECEIVED_DEPTH_TIME)
        self._depth_given = _DepthTransfers(GIVEN_DEPTH_TIME)

    def set_rate(self, rate: float, now: timedelta) -> None:
        """Set the requests per second."""
        self._refill(now)
        self._rate = rate
        self._tokens = max(min(self._tokens, self._room()), 0.0)

    def has_token(self, now: timedelta) -> bool:
        """Return whether a request may be sent."""
        self._refill(now)
        return self._tokens >= 1

    def take(self, now: timedelta) -> bool:
        """Use a token for a request, if there is one."""
        if not self.has_token(now):
            return False
        self._tokens -= 1
        return True

    def lend(self, borrower: str, wanted: int, returned: int, now: timedelta) -> int:
        """Settle a borrower's last loan, and return the number of permits of the next.

        :param returned: permits of the last loan that were not used.
        """
        self._refill(now)
        last = self._loans.pop(borrower, None)
        if last is not None:
            self._tokens += min(returned, last.permits)
        permits = min(wanted, int(self._tokens))
        if permits:
            self._tokens -= permits
            self._loans[borrower] = _Loan(permits, now)
        return permits

    def missing(self, wanted: float, givers: int, now: timedelta) -> int:
        """Return the tokens that each of the other buckets may give for a demand.

        :param wanted: tokens that requests need in about a second.
        :param givers: number of the other buckets.
        """
        self._refill(now)
        wanted = min(wanted, self._depth() * givers)
        held = self._tokens + self._lent()
        return max(int((wanted - held) / givers), 0)

    def give(self, wanted: int, kept: float, now: timedelta) -> int:
        """Give tokens away, and return their number.

        :param kept: tokens that stay here.
        """
        self._refill(now)
        given = min(wanted, max(int(self._tokens - kept), 0))
        self._tokens -= given
        self._depth_given.add(given, now)
        return given

    def accept(self, given: int, now: timedelta) -> None:
        """Accept tokens that another bucket has given away."""
        self._refill(now)
        self._depth_received.add(given, now)
        self._add(given)

    def _refill(self, now: timedelta) -> None:
        for borrower, loan in list(self._loans.items()):
            if now - loan.lent_at > LOAN_TIMEOUT:
                del self._loans[borrower]
        self._depth_received.remove_ended(now)
        self._depth_given.remove_ended(now)
        elapsed = (now - self._updated_at).total_seconds()
        self._updated_at = now
        self._add(self._rate * elapsed)

    def _add(self, tokens: float) -> None:
        """Add tokens, as far as there is room."""
        self._tokens = max(self._tokens, min(self._tokens + tokens, self._room()))

    def _room(self) -> float:
        transferred = self._depth_received.count - self._depth_given.count
        return self._depth() + transferred - self._lent()

    def _depth(self) -> float:
        return 1 + self._rate * BURST_TIME.total_seconds()

    def _lent(self) -> int:
        return sum(loan.permits for loan in self._loans.values())
