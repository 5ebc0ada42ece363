"""Decides which endpoints take a request now, by what they advertise."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.endpoint_rates import permit_interval
from sassafrasdale.deployment import EndpointSignals
from sassafrasdale.gateway.advertisements.backoffs import Backoffs
from sassafrasdale.gateway.advertisements.endpoint_beliefs import (
    BrittleEndpoints,
    Departures,
    EndpointLimits,
    MalformedSignalLog,
)
from sassafrasdale.gateway.advertisements.permits import Permits
from sassafrasdale.gateway.advertisements.rooms import Rooms
from sassafrasdale.gateway.directory import EndpointRecord
from sassafrasdale.gateway.peer_states import Contact, EndpointReports

# Retry-After if no endpoint is available.
NO_ENDPOINT_RETRY_AFTER = timedelta(milliseconds=300)
# Longest Retry-After in relation to the shortest, where many callers wait for the same.
RETRY_AFTER_SPREAD = 2.0
# Most endpoints whose start times are remembered, those that are gone included.
MAX_REMEMBERED = 10_000


@dataclass(frozen=True, slots=True)
class Unavailability:
    """Why no endpoint takes a request.

    :param retry_after: time after which one may.
    """

    reason: str
    retry_after: timedelta


class EndpointGate:
    """What endpoints advertise, and which of them take a request now.

    :param limits: rate limits that endpoints advertise.
    :param permits: permits to send to such endpoints.
    :param departures: endpoints that have signalled that they drain.
    :param backoffs: endpoints that have requested back-off from this gateway.
    :param brittle: endpoints that fail if they have to reject much.
    :param rooms: room at such endpoints.
    :param clock: source of elapsed time.
    :param rng: source of randomness for Retry-After.
    """

    def __init__(
        self,
        limits: EndpointLimits,
        permits: Permits,
        departures: Departures,
        backoffs: Backoffs,
        brittle: BrittleEndpoints,
        rooms: Rooms,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._rooms = rooms
        self._brittle = brittle
        self._limits = limits
        self._permits = permits
        self._departures = departures
        self._backoffs = backoffs
        self._rng = rng
        self._malformed = MalformedSignalLog(clock)
        self._born: dict[str, int] = {}
        self._has_received = False

    @classmethod
    def build(
        cls,
        zone: str,
        zones: Sequence[str],
        endpoint_zone: Callable[[str], str | None],
        clock: Clock,
        rng: Random,
        count: Callable[..., None] = lambda name, **labels: None,
        peer_in_flight: Callable[[str], int] = lambda endpoint: 0,
        zone_in_flight: Callable[[], Mapping[str, int]] = dict,
    ) -> "EndpointGate":
        """Return the gate of a gateway that knows nothing of any endpoint yet.

        :param zone: availability zone of the gateway.
        :param zones: all availability zones of the deployment.
        :param endpoint_zone: returns the zone of a registered endpoint; None if it is
            not registered.
        :param count: counts an event by name, for metrics.
        :param peer_in_flight: returns the requests in flight at an endpoint that other
            gateways last reported.
        :param zone_in_flight: returns those that other gateways of this zone last
            reported, by endpoint.
        """

        def is_registered(endpoint: str) -> bool:
            return endpoint_zone(endpoint) is not None

        limits = EndpointLimits("limit", is_registered, clock, count)
        brittle = BrittleEndpoints("brittleness", is_registered, clock, count)
        return cls(
            limits,
            Permits(limits, zone, zones, endpoint_zone, clock),
            Departures("departure", is_registered, clock, count),
            Backoffs(clock, count),
            brittle,
            Rooms(brittle, zone, zones, peer_in_flight, zone_in_flight, clock),
            clock,
            rng,
        )

    @property
    def has_received(self) -> bool:
        """Whether another gateway has reported what it knows since the start."""
        return self._has_received

    @property
    def limits(self) -> EndpointLimits:
        """Rate limits that endpoints advertise."""
        return self._limits

    @property
    def brittle(self) -> BrittleEndpoints:
        """Endpoints that fail if they have to reject much."""
        return self._brittle

    @property
    def rooms(self) -> Rooms:
        """Room at brittle endpoints."""
        return self._rooms

    @property
    def permits(self) -> Permits:
        """Permits to send to endpoints with a limit."""
        return self._permits

    @property
    def departures(self) -> Departures:
        """Endpoints that have signalled that they drain."""
        return self._departures

    @property
    def backoffs(self) -> Backoffs:
        """Endpoints that have requested back-off from this gateway."""
        return self._backoffs

    def observe(
        self, endpoint: str, signals: EndpointSignals, sent_at: timedelta
    ) -> None:
        """Apply what an endpoint advertises in a response.

        :param sent_at: elapsed time at which the request was sent.
        """
        self._malformed.record(endpoint, signals)
        self._limits.observe(endpoint, signals, sent_at)
        self._departures.observe(endpoint, signals)
        self._brittle.observe(endpoint, signals, sent_at)
        if signals.backoff is not None:
            self._backoffs.begin(endpoint, signals.backoff)

    def report_for(self, receiver: Contact) -> EndpointReports:
        """Return what another gateway may lack of what endpoints advertise."""
        return EndpointReports(
            self._limits.report_for(receiver),
            self._departures.report_for(receiver),
            self._brittle.report_for(receiver),
        )

    def receive(self, reports: EndpointReports) -> None:
        """Receive what another gateway knows of the endpoints."""
        self._has_received = True
        self._limits.receive(reports.limits)
        self._departures.receive(reports.departures)
        self._brittle.receive(reports.brittleness)

    def record_registration(self, endpoint: str, born: int | None) -> None:
        """Record that an endpoint is registered anew.

        What it advertised before its last start is void. One whose registration had
        only expired still is what it was. Being brittle is no matter of one start.

        :param born: its start time; None if it is not known.
        """
        before = self._born.get(endpoint)
        if born is not None:
            self._born[endpoint] = born
        if before is None or born is None or before == born:
            return
        self._limits.mark_restarted(endpoint)
        self._departures.mark_restarted(endpoint)
        self._backoffs.end(endpoint)

    def remove_gone(self) -> None:
        """Forget what is over, and endpoints that are gone."""
        while len(self._born) > MAX_REMEMBERED:
            del self._born[next(iter(self._born))]
        self._limits.remove_gone()
        self._departures.remove_gone()
        self._brittle.remove_gone()
        self._permits.remove_ended()
        self._rooms.remove_ended()
        self._backoffs.remove_ended()

    def is_limited(self, record: EndpointRecord) -> bool:
        """Return whether a request to an endpoint needs a permit."""
        return self._limits.rate_limit(record.name) is not None

    def is_open(self, record: EndpointRecord) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        return self.may_open(record) and self._rooms.is_open(record)

    def may_open(self, record: EndpointRecord) -> bool:
        """Return whether a request may be sent to an endpoint once it has room."""
        if self.is_backed_off(record) or not self._rooms.may_open(record):
            return False
        return self._permits.is_open(record.name)

    def is_backed_off(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint wants no requests from this gateway now."""
        return self._backoffs.is_active(record.name)

    def backed_off(self) -> frozenset[str]:
        """Return the names of the endpoints that want no requests from this gateway."""
        return self._backoffs.endpoints()

    def with_permit(
        self, candidates: Sequence[EndpointRecord]
    ) -> Sequence[EndpointRecord]:
        """Return the candidates that have room, and a permit if they need one.

        For the others with a limit, permits are asked for.
        """
        if self._brittle:
            candidates = [rec for rec in candidates if self._rooms.is_open(rec)]
        if not self._limits:
            return candidates
        for record in candidates:
            if self.is_limited(record):
                self._permits.count_demand(record.name)
        return [record for record in candidates if self._permits.is_open(record.name)]

    def take(self, record: EndpointRecord) -> bool:
        """Use a permit for a request to an endpoint, if it needs one.

        :returns: whether there was one, or none is needed.
        """
        return self._permits.take(record.name)

    def set_share(self, share: float | None) -> None:
        """Set the part of the zone's permits and room that this gateway hands out.

        :param share: fraction of the zone's gateways that report to this one; None if
            another one hands them out.
        """
        self._permits.set_share(share)
        self._rooms.set_share(share)

    def _unavailability_by_room(
        self, endpoints: Sequence[EndpointRecord]
    ) -> Unavailability:
        if not self._rooms.has_brittle(endpoints):
            return Unavailability("no endpoint", NO_ENDPOINT_RETRY_AFTER)
        # Spread, so that the callers don't come back all at once.
        spread = self._rng.uniform(1, RETRY_AFTER_SPREAD)
        return Unavailability("no room at endpoints", NO_ENDPOINT_RETRY_AFTER * spread)

    def unavailability(
        self, endpoints: Sequence[EndpointRecord], gateways: int
    ) -> Unavailability:
        """Return why none of a service's endpoints takes a request, and until when.

        :param gateways: number of gateways that share the endpoints.
        """
        waits = [self._backoffs.time_left(record.name) for record in endpoints]
        waits = [wait for wait in waits if wait]
        limits = [self._limits.rate_limit(record.name) for record in endpoints]
        limits = [limit for limit in limits if limit is not None]
        if not waits and not limits:
            return self._unavailability_by_room(endpoints)
        pauses = [permit_interval(limits, gateways)] if limits else []
        pause = min([*waits, *pauses])
        reason = "endpoints at their limits" if limits else "endpoints backed off"
        # Spread, so that the callers don't come back all at once.
        spread = self._rng.uniform(1, RETRY_AFTER_SPREAD)
        return Unavailability(reason, pause * spread)
