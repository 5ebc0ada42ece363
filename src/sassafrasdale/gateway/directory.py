"""Registered endpoints, with this gateway's connections and load at each."""

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from functools import partial
from random import Random

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.health import Health, HealthSettings
from sassafrasdale.deployment import Endpoint, EndpointState
from sassafrasdale.http.connections import ConnectionPool, HttpConnection

log = Logger("directory")

# Endpoints are milliseconds away, and a lost SYN packet would be sent again only after
# a second, so a connection that isn't open by now won't open soon. A request to an
# unreachable endpoint is retried at another one after this time, and still meets an
# objective of half a second; with 0.4 s it was late.
CONNECT_LIMIT = timedelta(milliseconds=200)
# Registrations that expired during an outage of the store are back within two seconds
# of its return, if their endpoints are alive.
EXPIRY_GRACE = timedelta(seconds=2.5)
# An outage of the store that explains an expired registration may have been noticed
# this long ago.
OUTAGE_WINDOW = timedelta(seconds=6)
# Time after which a registration that was written has come here, and time after which
# an endpoint that has crashed has registered again, unless the store was out.
REGISTRATION_DELAY = timedelta(seconds=2)
RESTART_TIME = timedelta(seconds=5)
# Endpoints that fail a third more of their requests than the others are avoided.
HEALTH_SETTINGS = HealthSettings(failure_cost=3.0)


class EndpointRecord:
    """An endpoint with its connections and this gateway's requests there.

    :param endpoint: its current registration.
    :param pool: idle connections to it.
    :param registered_at: elapsed time at which it was first seen.
    :param says_leaving: returns whether it has said in a response that it is leaving.
    :param former: its record until it was known to have restarted.
    :ivar connections: connections that are in use by requests.
    :ivar is_unreachable: whether its registration has expired and connections to its
        address get no reply.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        pool: ConnectionPool,
        registered_at: timedelta = timedelta(),
        says_leaving: Callable[[], bool] = lambda: False,
        former: "EndpointRecord | None" = None,
    ) -> None:
        self._former = former
        self.endpoint = endpoint
        self.pool = pool
        self.registered_at = registered_at
        self._says_leaving = says_leaving
        self.connections: set[HttpConnection] = set()
        self.is_unreachable = False
        self.in_flight = 0
        self.prefill_tokens = 0
        self._doubted_at: timedelta | None = None
        self._reached_by_peer_at: timedelta | None = None

    @property
    def name(self) -> str:
        """Name of the endpoint."""
        return self.endpoint.name

    @property
    def unlisted_in_flight(self) -> int:
        """Requests sent before it was known to have restarted.

        Those sent since it listens again are running there.
        """
        return 0 if self._former is None else self._former.in_flight

    @property
    def known_version(self) -> str:
        """Version of its software; empty if it is not known for sure."""
        return "" if self.is_doubted else self.endpoint.version

    @property
    def responded_at(self) -> timedelta | None:
        """Elapsed time of its last sign of response, here or at a peer; None if none.

        What a peer reports says nothing of the link from here, unlike the pool's bytes.
        """
        times = (self.pool.received_at, self._reached_by_peer_at)
        return max((at for at in times if at is not None), default=None)

    def note_reached_by_peer(self, now: timedelta) -> None:
        """Record that a peer has passed on a response, or has reached it in a check."""
        self._reached_by_peer_at = now

    @property
    def is_doubted(self) -> bool:
        """Whether it may have restarted since it registered."""
        return self._doubted_at is not None

    def forget_former(self) -> None:
        """Drop the record of an earlier start."""
        self._former = None

    def doubt_version(self, now: timedelta) -> None:
        """Record a sign that it may have restarted since it registered.

        One without a start time never restarts under its name.
        """
        if self.endpoint.born is not None:
            self._doubted_at = now

    def confirm_version(self, before: timedelta) -> None:
        """Record that a restart before a time would be known by now."""
        if self._doubted_at is not None and self._doubted_at < before:
            self._doubted_at = None

    @property
    def is_ready(self) -> bool:
        """Whether it is registered as ready for requests, and doesn't say otherwise."""
        return self.endpoint.state is EndpointState.READY and not self._says_leaving()


class Directory:
    """Endpoints by name and service.

    :param clock: source of elapsed time.
    :param rng: source of randomness for health.
    :param drain_time: time within which requests to a leaving endpoint must stop.
    :param since_outage: returns the time since the store last failed; None if it never
        did.
    :param on_open: called for each connection that is opened.
    :param on_restart: called with the name of each endpoint that has restarted.
    :param on_expiry: called with each endpoint whose registration has disappeared while
        it was ready.
    :param says_leaving: returns whether an endpoint has said in a response that it is
        leaving.
    :param on_registration: called with the name and the start time of each endpoint
        that is registered anew.
    """

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        drain_time: timedelta,
        since_outage: Callable[[], timedelta | None] = lambda: None,
        on_open: Callable[[], None] = lambda: None,
        on_restart: Callable[[str], None] = lambda name: None,
        on_expiry: Callable[[EndpointRecord], None] = lambda record: None,
        says_leaving: Callable[[str], bool] = lambda name: False,
        on_registration: Callable[[str, int | None], None] = lambda name, born: None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._drain_time = drain_time
        self._since_outage = since_outage
        self._on_open = on_open
        self._on_restart = on_restart
        self._on_expiry = on_expiry
        self._says_leaving = says_leaving
        self._on_registration = on_registration
        self._records: dict[str, EndpointRecord] = {}
        self._services: dict[str, list[EndpointRecord]] = {}
        self._versions: dict[str, set[str]] = {}
        self._doubted: set[EndpointRecord] = set()
        self._change_count = 0
        self._fallback: dict[str, tuple[EndpointRecord, timedelta]] = {}
        self._health: dict[str, Health] = {}

    @property
    def records(self) -> Mapping[str, EndpointRecord]:
        """All registered endpoints by name."""
        return self._records

    @property
    def change_count(self) -> int:
        """Number of changes so far of the services and their endpoints' versions."""
        return self._change_count

    @property
    def services(self) -> list[str]:
        """Names of the services that have registered endpoints."""
        return list(self._services)

    def versions_of(self, service: str) -> set[str]:
        """Return the versions of a service's registered endpoints."""
        return self._versions.get(service, set())

    def of_service(self, service: str) -> list[EndpointRecord]:
        """Return the endpoints of a service that are ready.

        If there are none, return those whose registrations disappeared a moment ago: a
        registration also expires while the store is out, though its endpoint still
        serves.
        """
        ready = [rec for rec in self._services.get(service, ()) if rec.is_ready]
        if ready:
            return ready
        now = self._clock.elapsed()
        return [
            record
            for record, expires_at in self._fallback.values()
            if record.endpoint.service == service
            and now < expires_at
            and record.is_ready
        ]

    def all_of_service(self, service: str) -> list[EndpointRecord]:
        """Return all registered endpoints of a service, including leaving ones."""
        return list(self._services.get(service, ()))

    def zone_of(self, name: str) -> str | None:
        """Return the zone of an endpoint; None if it is not registered."""
        record = self._records.get(name)
        return None if record is None else record.endpoint.availability_zone

    def since_receipt(self) -> timedelta | None:
        """Return the time since bytes came from any endpoint; None if none ever did."""
        times = [record.pool.received_at for record in self._records.values()]
        times = [at for at in times if at is not None]
        return self._clock.elapsed() - max(times) if times else None

    def waited_elsewhere(self, record: EndpointRecord) -> timedelta:
        """Return the longest time for which a request waits at another endpoint."""
        now = self._clock.elapsed()
        sent = [
            connection.sent_at
            for other in self._records.values()
            if other is not record
            for connection in other.connections
            if connection.sent_at is not None
        ]
        return now - min(sent, default=now)

    def health_of(self, service: str) -> Health:
        """Return the health of a service's endpoints."""
        health = self._health.get(service)
        if health is None:
            health = self._health[service] = Health(self._rng, HEALTH_SETTINGS)
        return health

    def is_draining(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is known to drain, and has not restarted since."""
        record = self._records.get(endpoint.name)
        if record is None or _has_restarted(record.endpoint, endpoint):
            return False
        return record.endpoint.state is EndpointState.DRAINING

    def put(self, endpoint: Endpoint, *, is_restored: bool = False) -> bool:
        """Add an endpoint or update its registration.

        An endpoint that crashed may restart under the same name. Its connections are
        dead then, and its load and failures no longer count.

        :param is_restored: whether the registration comes from a restored store, so
            that it may be older than the known one.
        :returns: whether it has restarted since it was last seen here.
        """
        record = self._records.get(endpoint.name)
        former = None
        if is_restored and record is not None and _is_older(endpoint, record.endpoint):
            # Writes that aren't restored come in order, also after the endpoint's
            # clock was set back, so their start times are not compared.
            log.info(
                "older registration ignored",
                born=endpoint.born,
                held=record.endpoint.born,
                held_software=record.endpoint.version or None,
                **_log_fields(endpoint),
            )
            return False
        self._fallback.pop(endpoint.name, None)
        has_restarted = record is not None and _has_restarted(record.endpoint, endpoint)
        if has_restarted:
            log.info(
                "endpoint started anew",
                born=endpoint.born,
                before=record.endpoint.born,
                in_flight=record.in_flight,
                **_log_fields(endpoint),
            )
            record.pool.close()
            self.health_of(endpoint.service).forget(endpoint.name)
            self._on_restart(endpoint.name)
            record.forget_former()
            former, record = record, None
        if record is None or record.endpoint.address != endpoint.address:
            record = EndpointRecord(
                endpoint,
                self._pool(endpoint),
                self._clock.elapsed(),
                partial(self._says_leaving, endpoint.name),
                former,
            )
            self._records[endpoint.name] = record
            self._on_registration(endpoint.name, endpoint.born)
            if is_restored:
                # A later registration may have been lost.
                self.doubt_version(record)
            log.info("endpoint listed", restored=is_restored, **_log_fields(endpoint))
        elif record.endpoint.state is not endpoint.state:
            log.info("endpoint changed state", **_log_fields(endpoint))
        record.confirm_version(self._clock.elapsed() - REGISTRATION_DELAY)
        record.endpoint = endpoint
        self._index()
        return has_restarted

    def remove(self, name: str) -> None:
        """Remove an endpoint whose registration is gone."""
        record = self._records.pop(name, None)
        if record is None:
            return
        outage = self._since_outage()
        expired = outage is not None and outage <= OUTAGE_WINDOW
        if record.is_ready:
            grace = EXPIRY_GRACE if expired else self._drain_time / 2
            self._fallback[name] = (record, self._clock.elapsed() + grace)
            self._on_expiry(record)
        log.info(
            "endpoint removed", during_outage=expired, **_log_fields(record.endpoint)
        )
        self._index()

    def drop_expired(self) -> None:
        """Drop endpoints whose registration has not come back in time."""
        now = self._clock.elapsed()
        for name, (record, expires_at) in list(self._fallback.items()):
            if now >= expires_at and not record.in_flight:
                record.pool.close()
                del self._fallback[name]

    def doubt_version(self, record: EndpointRecord) -> None:
        """Record a sign that an endpoint may have restarted since it registered."""
        record.doubt_version(self._clock.elapsed())
        if record.is_doubted:
            self._doubted.add(record)

    def confirm_versions(self) -> None:
        """Take versions for known where a restart would have been registered."""
        now = self._clock.elapsed()
        outage = self._since_outage()
        if outage is not None and outage < RESTART_TIME:
            return
        for record in list(self._doubted):
            record.confirm_version(now - RESTART_TIME)
            if not record.is_doubted or self._records.get(record.name) is not record:
                self._doubted.discard(record)

    def _pool(self, endpoint: Endpoint) -> ConnectionPool:
        return ConnectionPool(
            endpoint.address, CONNECT_LIMIT, self._clock, self._on_open
        )

    def _index(self) -> None:
        services: dict[str, list[EndpointRecord]] = {}
        versions: dict[str, set[str]] = {}
        for record in self._records.values():
            endpoint = record.endpoint
            services.setdefault(endpoint.service, []).append(record)
            versions.setdefault(endpoint.service, set()).add(endpoint.version)
        self._services = services
        if versions != self._versions:
            self._change_count += 1
        self._versions = versions
        for service, records in services.items():
            self.health_of(service).set_endpoints(_names(records))


def _has_restarted(before: Endpoint, now: Endpoint) -> bool:
    if before.born is None or now.born is None:
        return False
    return before.born != now.born


def _is_older(endpoint: Endpoint, known: Endpoint) -> bool:
    if endpoint.born is None or known.born is None:
        return False
    return endpoint.born < known.born


def _names(records: Iterable[EndpointRecord]) -> frozenset[str]:
    return frozenset(record.name for record in records)


def _log_fields(endpoint: Endpoint) -> dict[str, object]:
    return {
        "endpoint": endpoint.name,
        "service": endpoint.service,
        "zone": endpoint.availability_zone,
        "state": str(endpoint.state),
        "reclaimable": endpoint.reclaimable,
        "software": endpoint.version or None,
    }
