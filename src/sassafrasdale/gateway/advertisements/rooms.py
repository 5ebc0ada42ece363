"""Room at brittle endpoints, as far as this gateway may use it."""

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.rooms import (
    LINGER_TIME,
    TAKEOVER_TIME,
    reserved_slots,
    usable_slots,
    zone_slots,
)
from sassafrasdale.gateway.advertisements.endpoint_beliefs import BrittleEndpoints
from sassafrasdale.gateway.directory import EndpointRecord

# Endpoints count their rejections over this time.
REJECTION_WINDOW = timedelta(seconds=1)
# Most rejections of an endpoint that are remembered.
MAX_REJECTIONS = 100


class Rooms:
    """Decides whether brittle endpoints have room for another request.

    :param brittle: which endpoints are.
    :param zone: availability zone of this gateway.
    :param zones: all availability zones of the deployment.
    :param peer_in_flight: returns the requests in flight at an endpoint that other
        gateways last reported.
    :param zone_in_flight: returns those that other gateways of this zone last reported,
        by endpoint.
    :param clock: source of elapsed time.
    """

    def __init__(
        self,
        brittle: BrittleEndpoints,
        zone: str,
        zones: Sequence[str],
        peer_in_flight: Callable[[str], int],
        zone_in_flight: Callable[[], Mapping[str, int]],
        clock: Clock,
    ) -> None:
        self._brittle = brittle
        self._zone = zone
        self._zones = zones
        self._peer_in_flight = peer_in_flight
        self._zone_in_flight = zone_in_flight
        self._clock = clock
        self._share: float | None = None
        self._taken_over_at = -TAKEOVER_TIME
        self._former: Mapping[str, int] = {}
        self._lingering: dict[str, list[timedelta]] = {}
        self._rejected_at: dict[str, deque[timedelta]] = {}

    def set_share(self, share: float | None) -> None:
        """Set the fraction of the zone's gateways that this one assigns for.

        :param share: None if another gateway assigns.
        """
        if share is not None and self._share is None:
            self._taken_over_at = self._clock.elapsed()
            self._former = self._zone_in_flight()
        self._share = share

    def has_brittle(self, endpoints: Sequence[EndpointRecord]) -> bool:
        """Return whether any of some endpoints is brittle."""
        return bool(self._brittle) and any(
            self._brittle.is_brittle(record.name) for record in endpoints
        )

    def may_open(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint may get requests from here, now or later."""
        if not self._brittle.is_brittle(record.name):
            return True
        return self._share is not None and self._slots(record, self._share) > 0

    def is_open(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint may get another request, assigned here."""
        if not self._brittle.is_brittle(record.name):
            return True
        now = self._clock.elapsed()
        since_takeover = now - self._taken_over_at
        if self._share is None or since_takeover < TAKEOVER_TIME:
            return False
        room = self._slots(record, self._share)
        in_flight = record.in_flight + record.unlisted_in_flight
        in_flight += self._lingering_at(record.name, now)
        everywhere = in_flight + self._peer_in_flight(record.name)
        former = reserved_slots(self._former.get(record.name, 0), since_takeover)
        # Members of the zone count what a former dispatcher had assigned.
        in_zone = in_flight + max(self._zone_in_flight().get(record.name, 0), former)
        return in_zone < room and everywhere < usable_slots(record.endpoint.slots)

    def _slots(self, record: EndpointRecord, share: float) -> int:
        """Return the requests that may be in flight at an endpoint from here."""
        endpoint = record.endpoint
        return zone_slots(
            endpoint.slots,
            self._zone,
            endpoint.availability_zone,
            self._zones,
            share,
        )

    def record_incomplete(self, endpoint: str) -> None:
        """Record an attempt that ended without a whole response."""
        if self._brittle.is_brittle(endpoint):
            ends = self._lingering.setdefault(endpoint, [])
            ends.append(self._clock.elapsed() + LINGER_TIME)

    def record_rejection(self, endpoint: str) -> None:
        """Record that a brittle endpoint has rejected a request; ignored for others."""
        if self._brittle.is_brittle(endpoint):
            rejected_at = self._rejected_at.setdefault(
                endpoint, deque(maxlen=MAX_REJECTIONS)
            )
            rejected_at.append(self._clock.elapsed())

    def may_be_overloaded(self, endpoint: str, at: timedelta) -> bool:
        """Return whether an endpoint may have failed because of what it rejected.

        It may if it has rejected as many requests of this gateway alone as it
        tolerates. It may, too, shortly after this gateway learned that it is brittle:
        until then, gateways send more than it can take.

        :param at: elapsed time at which it failed.
        """
        tolerated = self._brittle.value(endpoint)
        if tolerated is None:
            return False
        if abs(at - self._brittle.began_at(endpoint)) <= REJECTION_WINDOW:
            return True
        rejected_at = self._rejected_at.get(endpoint, ())
        recent = sum(abs(at - time) <= REJECTION_WINDOW for time in rejected_at)
        return recent >= max(min(tolerated, MAX_REJECTIONS), 1)

    def remove_ended(self) -> None:
        """Forget attempts that have surely ended, and what is no longer brittle."""
        for endpoint in list(self._rejected_at):
            if not self._brittle.is_brittle(endpoint):
                del self._rejected_at[endpoint]
        now = self._clock.elapsed()
        for endpoint in list(self._lingering):
            self._lingering_at(endpoint, now)

    def _lingering_at(self, endpoint: str, now: timedelta) -> int:
        if endpoint not in self._lingering:
            return 0
        left = [end for end in self._lingering[endpoint] if end > now]
        if left:
            self._lingering[endpoint] = left
        else:
            del self._lingering[endpoint]
        return len(left)
