"""Permits to send requests to endpoints that have named a rate limit.

The aggregator of a zone lends them, for the zone's part of each limit. Its members ask
for them with their reports, and give back what they have not used with the next one. As
dispatcher, the aggregator uses the permits itself for the attempts that it assigns.
Aggregators of zones with more demand are given what the others don't need.
"""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.endpoint_rates import (
    MAX_SHARING_ZONES,
    PERMIT_TIMEOUT,
    RECENT_TIME,
    PermitBucket,
    zone_rate,
)
from sassafrasdale.decisions.rates import DecayingRates
from sassafrasdale.gateway.advertisements.endpoint_beliefs import EndpointLimits
from sassafrasdale.gateway.peer_states import PermitRequest

# A gateway asks for permits while it has chosen among an endpoint's service this
# recently.
DEMAND_WINDOW = timedelta(seconds=2)
# Most permits for one endpoint that a gateway asks for at a time, and most endpoints.
MAX_WANTED = 64
MAX_ENDPOINTS_WANTED = 16
# Most endpoints for which a zone asks the others for permits in one exchange.
MAX_ENDPOINTS_MISSING = 8


@dataclass(slots=True)
class _Demand:
    """Attempts for which an endpoint was a candidate.

    :param last_at: elapsed time of the last one.
    :param since_request: their number since permits were last asked for.
    :param asked_at: elapsed time at which permits were last asked for.
    """

    last_at: timedelta
    since_request: int = 0
    asked_at: timedelta = timedelta()


class Permits:
    """Permits of one gateway, borrowed ones or those that it lends.

    :param limits: the limits in force.
    :param zone: availability zone of this gateway.
    :param zones: all availability zones of the deployment.
    :param endpoint_zone: returns the zone of a registered endpoint; None if it is not
        registered.
    :param clock: source of elapsed time.
    """

    def __init__(
        self,
        limits: EndpointLimits,
        zone: str,
        zones: Sequence[str],
        endpoint_zone: Callable[[str], str | None],
        clock: Clock,
    ) -> None:
        self._limits = limits
        self._zone = zone
        self._zones = zones
        self._endpoint_zone = endpoint_zone
        self._clock = clock
        self._share: float | None = None
        self._buckets: dict[str, PermitBucket] = {}
        self._borrowed: Counter[str] = Counter()
        self._borrowed_at = clock.elapsed()
        self._demand: dict[str, _Demand] = {}
        # Permits wanted from and used by the zone, if this gateway lends them.
        self._wanted = DecayingRates(RECENT_TIME)
        self._used = DecayingRates(RECENT_TIME)

    def set_share(self, share: float | None) -> None:
        """Set the part of the zone's permits that this gateway lends.

        :param share: fraction of the zone's gateways that report to this one; None if
            another one lends the permits.
        """
        if share is None:
            self._buckets.clear()
            self._wanted.clear()
            self._used.clear()
        elif self._share is None:
            self._borrowed.clear()
        self._share = share

    def is_open(self, endpoint: str) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        if self._limits.rate_limit(endpoint) is None:
            return True
        if self._share is None:
            return self._usable_loan(endpoint) > 0
        return self._bucket(endpoint).has_token(self._clock.elapsed())

    def take(self, endpoint: str) -> bool:
        """Use a permit for a request; return whether there was one.

        Requests to endpoints without a limit need none.
        """
        if self._limits.rate_limit(endpoint) is None:
            return True
        if self._share is not None:
            now = self._clock.elapsed()
            was_taken = self._bucket(endpoint).take(now)
            self._used.add(endpoint, now, int(was_taken))
            return was_taken
        if not self._usable_loan(endpoint):
            return False
        self._borrowed[endpoint] -= 1
        return True

    def count_demand(self, endpoint: str) -> None:
        """Count an attempt that might have been sent to an endpoint with a limit."""
        now = self._clock.elapsed()
        demand = self._demand.setdefault(endpoint, _Demand(now))
        demand.last_at = now
        demand.since_request += 1
        if self._share is not None:
            self._wanted.add(endpoint, now)

    def build_requests(self) -> dict[str, PermitRequest]:
        """Return the requests for permits, by endpoint, and give unused ones back."""
        now = self._clock.elapsed()
        returned = self._borrowed if self._loan_is_fresh() else Counter()
        self._borrowed = Counter()
        self._remove_old_demand(now)
        # The endpoints that were asked for longest ago go first.
        demands = sorted(self._demand.items(), key=lambda item: item[1].asked_at)
        requests = {}
        for endpoint, demand in demands[:MAX_ENDPOINTS_WANTED]:
            wanted = min(max(demand.since_request, 1), MAX_WANTED)
            demand.since_request = 0
            demand.asked_at = now
            requests[endpoint] = PermitRequest(wanted, returned.pop(endpoint, 0))
        for endpoint, unused in returned.items():
            requests[endpoint] = PermitRequest(0, unused)
        return requests

    def _remove_old_demand(self, now: timedelta) -> None:
        for endpoint, demand in list(self._demand.items()):
            is_limited = self._limits.rate_limit(endpoint) is not None
            if not is_limited or now - demand.last_at > DEMAND_WINDOW:
                del self._demand[endpoint]

    def receive(self, lent: Mapping[str, int]) -> None:
        """Receive the permits that the aggregator lends until the next report."""
        self._borrowed = Counter(lent)
        self._borrowed_at = self._clock.elapsed()

    def lend(
        self, borrower: str, requests: Mapping[str, PermitRequest]
    ) -> dict[str, int]:
        """Return the permits lent to a member of the zone, by endpoint."""
        if self._share is None:
            return {}
        now = self._clock.elapsed()
        lent = {}
        for endpoint, request in requests.items():
            if self._limits.rate_limit(endpoint) is None:
                continue
            permits = self._bucket(endpoint).lend(
                borrower, request.wanted, request.returned, now
            )
            self._wanted.add(endpoint, now, request.wanted)
            self._used.add(endpoint, now, permits - request.returned)
            if permits:
                lent[endpoint] = permits
        return lent

    def missing(self) -> dict[str, int]:
        """Return the permits that each other zone may give to this one, by endpoint."""
        now = self._clock.elapsed()
        givers = max(min(len(self._zones), MAX_SHARING_ZONES) - 1, 1)
        found = {
            endpoint: self._bucket(endpoint).missing(
                self._recent(self._wanted, endpoint), givers, now
            )
            for endpoint in self._buckets
        }
        most = sorted(found, key=found.get, reverse=True)[:MAX_ENDPOINTS_MISSING]
        return {
            endpoint: min(found[endpoint], MAX_WANTED)
            for endpoint in most
            if found[endpoint]
        }

    def give(self, missing: Mapping[str, int]) -> dict[str, int]:
        """Return permits that another zone is given, by endpoint.

        What this one has used in the last second stays here.
        """
        now = self._clock.elapsed()
        given = {}
        for endpoint, number in missing.items():
            if self._share is None or self._limits.rate_limit(endpoint) is None:
                continue
            kept = 1 + self._recent(self._used, endpoint)
            given[endpoint] = self._bucket(endpoint).give(number, kept, now)
        return {endpoint: number for endpoint, number in given.items() if number}

    def accept(self, given: Mapping[str, int]) -> None:
        """Accept permits that another zone has given to this one."""
        if self._share is None:
            return
        now = self._clock.elapsed()
        for endpoint, number in given.items():
            if self._limits.rate_limit(endpoint) is not None:
                self._bucket(endpoint).accept(number, now)

    def remove_ended(self) -> None:
        """Drop the buckets of endpoints whose limits have ended."""
        for endpoint in list(self._buckets):
            if self._limits.rate_limit(endpoint) is None:
                del self._buckets[endpoint]
                self._wanted.remove(endpoint)
                self._used.remove(endpoint)

    def _recent(self, rates: DecayingRates, endpoint: str) -> float:
        """Return a number of permits in about the last second."""
        rate = rates.rate(endpoint, self._clock.elapsed())
        return rate * RECENT_TIME.total_seconds()

    def _bucket(self, endpoint: str) -> PermitBucket:
        now = self._clock.elapsed()
        bucket = self._buckets.get(endpoint)
        if bucket is None:
            bucket = self._buckets[endpoint] = PermitBucket(now)
        bucket.set_rate(self._own_rate(endpoint), now)
        return bucket

    def _own_rate(self, endpoint: str) -> float:
        """Return the requests per second for which this gateway lends permits."""
        endpoint_zone = self._endpoint_zone(endpoint)
        rate = self._limits.rate_limit(endpoint)
        if endpoint_zone is None or rate is None:
            return 0.0
        share = self._share or 0.0
        return share * zone_rate(rate, self._zone, endpoint_zone, self._zones)

    def _usable_loan(self, endpoint: str) -> int:
        return self._borrowed[endpoint] if self._loan_is_fresh() else 0

    def _loan_is_fresh(self) -> bool:
        return self._clock.elapsed() - self._borrowed_at <= PERMIT_TIMEOUT
