"""Ways to an endpoint: a connection of this gateway's own, or one through a peer."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.gateway.directory import EndpointRecord
from sassafrasdale.gateway.failures import AttemptFailed, AttemptOutcome
from sassafrasdale.gateway.forwarding.forwarders import Forwarders
from sassafrasdale.gateway.forwarding.links import LinkMonitor
from sassafrasdale.gateway.forwarding.messages import (
    FORWARD_TARGET,
    ForwardedRequest,
    ForwardOutcome,
    encode,
    in_flight_at,
    is_from_forwarder,
    outcome_of,
    reason_in,
    without_own_headers,
)
from sassafrasdale.gateway.peer_states import Contact
from sassafrasdale.http.connections import ConnectionPool, HttpConnection
from sassafrasdale.http.exceptions import (
    ConnectionLost,
    HttpError,
    NotConnected,
)
from sassafrasdale.http.messages import Request, ResponseHead

log = Logger("forwarding")

# Peers that are tried for one attempt.
MAX_FORWARDERS = 3
# A non-idempotent request reuses only connections that were used this recently: if the
# server closes an idle connection at the same moment, it may have read the request.
NON_IDEMPOTENT_MAX_IDLE = timedelta(seconds=1.5)
FORWARDER_LOST = "forwarding gateway lost"


def max_idle_time(*, is_repeatable: bool) -> timedelta | None:
    """Return the maximum idle time of a reused connection; None for no limit."""
    return None if is_repeatable else NON_IDEMPOTENT_MAX_IDLE


class ForwarderLost(HttpError):
    """The connection to the forwarding gateway was lost; the request may have run."""


class ForwardFailed(HttpError):
    """The forwarding gateway got no response; the request may have run."""


class ForwarderRefused(AttemptFailed):
    """The forwarding gateway does not reach the endpoint, or takes no forwards."""


class ForwardWithheld(AttemptFailed):
    """The forwarding gateway holds back requests to the endpoint for now."""


@dataclass(frozen=True, slots=True)
class Hop:
    """What the forwarding gateway must know of an attempt.

    :param endpoint: name of the endpoint.
    :param fingerprint: returns the request's fingerprint, which costs a hash.
    :param is_repeatable: whether it may run more than once.
    :param deadline: elapsed time until which its response is of use.
    :param software: version that the endpoint must have; empty for any.
    :param is_trial: whether it is a trial of something that is quarantined.
    """

    endpoint: str
    fingerprint: Callable[[], str]
    is_repeatable: bool
    deadline: timedelta
    software: str = ""
    is_trial: bool = False


class DirectPath:
    """A connection of this gateway's own to an endpoint.

    :param record: the endpoint.
    :param connection: the connection.
    """

    def __init__(self, record: EndpointRecord, connection: HttpConnection) -> None:
        self._record = record
        self._connection = connection
        record.connections.add(connection)

    @property
    def forwarder(self) -> str:
        """Name of the peer that forwards; empty here."""
        return ""

    def while_reading(self, callback: Callable[[], timedelta] | None) -> None:
        """Set a callback that runs now and then while a task reads; None for none."""
        self._connection.while_reading(callback)

    def send(self, request: Request) -> None:
        """Send the request.

        :raises ConnectionLost: if the connection fails.
        """
        self._connection.send(request)

    def read_head(self, deadline: timedelta, echoed: tuple[str, str]) -> ResponseHead:
        """Return the head of the endpoint's response.

        :raises HttpError: if there is none.
        """
        return self._connection.read_head(deadline, echoed=echoed)

    def read_data(self, deadline: timedelta) -> bytes:
        """Return the next part of the body, or no bytes at its end."""
        return self._connection.read_data(deadline)

    def read_body(self, deadline: timedelta) -> bytes:
        """Return the whole body."""
        return self._connection.read_body(deadline)

    def skip_body(self, deadline: timedelta) -> None:
        """Skip a body that is of no use."""
        self._connection.skip_body(deadline)

    def check_complete(self, is_serving: Callable[[EndpointRecord], bool]) -> None:
        """Check that a response that was read to its end is complete.

        :param is_serving: returns whether an endpoint that has just closed a connection
            still serves.
        :raises ConnectionLost: if only the connection's end has ended it, and the
            endpoint may have crashed.
        """
        if self._connection.ends_with_connection and not is_serving(self._record):
            raise ConnectionLost("the endpoint may have crashed within the response")

    def close(self) -> None:
        """Close the connection, which cancels the request."""
        self._connection.close()

    def release(self) -> None:
        """End the use of the connection."""
        self._record.connections.discard(self._connection)
        self._record.pool.release(self._connection)


class ForwardedPath:
    """A connection to a peer that forwards to an endpoint.

    :param hop: what the peer must know of the attempt.
    :param record: the endpoint.
    :param contact: the peer.
    :param forwarders: what is known of it.
    :param pool: connections to it.
    :param connection: one of them.
    :param cluster_time: returns the cluster time, in seconds since 1970.
    :param clock: source of elapsed time.
    """

    def __init__(
        self,
        hop: Hop,
        record: EndpointRecord,
        contact: Contact,
        forwarders: Forwarders,
        pool: ConnectionPool,
        connection: HttpConnection,
        cluster_time: Callable[[], float],
        clock: Clock,
    ) -> None:
        self._hop = hop
        self._record = record
        self._contact = contact
        self._forwarders = forwarders
        self._pool = pool
        self._connection = connection
        self._cluster_time = cluster_time
        self._clock = clock
        self._is_cancelled = False
        forwarders.state_of(contact.name).in_flight += 1

    @property
    def forwarder(self) -> str:
        """Name of the peer that forwards."""
        return self._contact.name

    def while_reading(self, callback: Callable[[], timedelta] | None) -> None:
        """Set a callback that runs now and then while a task reads; None for none."""
        self._connection.while_reading(callback)

    def send(self, request: Request) -> None:
        """Send the request to the peer.

        :raises ForwarderLost: if the connection fails.
        """
        hop = self._hop
        left = (hop.deadline - self._clock.elapsed()).total_seconds()
        forwarded = ForwardedRequest(
            hop.endpoint,
            self._cluster_time() + left,
            left,
            hop.is_repeatable,
            request.method,
            request.target,
            request.headers,
            request.body,
            hop.fingerprint(),
            hop.software,
            hop.is_trial,
        )
        host = ("host", str(self._contact.address))
        wrapped = Request("POST", FORWARD_TARGET, (host,), encode(forwarded))
        try:
            self._connection.send(wrapped)
        except ConnectionLost as error:
            raise self._lost() from error

    def read_head(self, deadline: timedelta, echoed: tuple[str, str]) -> ResponseHead:
        """Return the head of the endpoint's response.

        :raises AttemptFailed: if the peer reports that there is none.
        :raises HttpError: if the peer does not respond.
        """
        try:
            head = self._connection.read_head(deadline, echoed=echoed)
        except ConnectionLost as error:
            raise self._lost() from error
        state = self._forwarders.state_of(self._contact.name)
        if not is_from_forwarder(head):
            # Of an earlier build, for example. It has sent nothing on.
            self._connection.close()
            state.avoid(self._clock.elapsed())
            raise ForwarderRefused(AttemptOutcome.NOT_SENT, "peer knows no forwards")
        state.reported = in_flight_at(head)
        outcome = outcome_of(head)
        if outcome is None:
            state.is_proven = True
            self._note_received()
            return ResponseHead(head.status, without_own_headers(head.headers))
        self._connection.skip_body(deadline)
        reason = reason_in(head)
        match outcome:
            case ForwardOutcome.UNKNOWN:
                raise ForwardFailed(reason)
            case ForwardOutcome.WITHHELD:
                raise ForwardWithheld(AttemptOutcome.WITHHELD, reason)
            case _:
                state.avoid(self._clock.elapsed())
                raise ForwarderRefused(AttemptOutcome.NOT_SENT, reason)

    def read_data(self, deadline: timedelta) -> bytes:
        """Return the next part of the body, or no bytes at its end."""
        try:
            data = self._connection.read_data(deadline)
        except ConnectionLost as error:
            raise self._lost() from error
        if data:
            self._note_received()
        else:
            self._check_end()
        return data

    def read_body(self, deadline: timedelta) -> bytes:
        """Return the whole body."""
        try:
            body = self._connection.read_body(deadline)
        except ConnectionLost as error:
            raise self._lost() from error
        self._check_end()
        return body

    def _check_end(self) -> None:
        """Check that the endpoint's body has ended, not just what the peer had of it.

        :raises ForwardFailed: if the peer lost the endpoint within the body.
        """
        end = ResponseHead(200, self._connection.trailers)
        if outcome_of(end) is not None:
            raise ForwardFailed(reason_in(end))

    def skip_body(self, deadline: timedelta) -> None:
        """Skip a body that is of no use."""
        self._connection.skip_body(deadline)

    def check_complete(self, is_serving: Callable[[EndpointRecord], bool]) -> None:
        """Do nothing: the peer has checked it, and the connection is the peer's."""

    def close(self) -> None:
        """Close the connection, which cancels the request."""
        self._is_cancelled = True
        self._connection.close()

    def release(self) -> None:
        """End the use of the connection."""
        self._forwarders.state_of(self._contact.name).in_flight -= 1
        self._pool.release(self._connection)

    def _note_received(self) -> None:
        """Record that bytes of the endpoint have come through the peer."""
        now = self._clock.elapsed()
        self._record.note_reached_by_peer(now)
        self._forwarders.state_of(self._contact.name).heard_at = now

    def _lost(self) -> ForwarderLost:
        if not self._is_cancelled:
            self._forwarders.state_of(self._contact.name).avoid(self._clock.elapsed())
        return ForwarderLost(FORWARDER_LOST)


Path = DirectPath | ForwardedPath


class EndpointPaths:
    """Opens the way to an endpoint.

    :param links: which links are lost.
    :param forwarders: peers that may forward.
    :param cluster_time: returns the cluster time, in seconds since 1970.
    :param clock: source of elapsed time.
    :param count: counts an event by name, for metrics.
    """

    def __init__(
        self,
        links: LinkMonitor,
        forwarders: Forwarders,
        cluster_time: Callable[[], float],
        clock: Clock,
        count: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._links = links
        self._forwarders = forwarders
        self._cluster_time = cluster_time
        self._clock = clock
        self._count = count

    def open(self, record: EndpointRecord, hop: Hop) -> Path:
        """Return a way to an endpoint.

        :param hop: what a forwarding peer must know of the attempt.
        :raises NotConnected: if there is none.
        """
        max_idle = max_idle_time(is_repeatable=hop.is_repeatable)
        if not self._links.is_partitioned(record):
            began_at = self._clock.elapsed()
            try:
                connection = record.pool.acquire(max_idle)
                return DirectPath(record, connection)
            except NotConnected:
                took = self._clock.elapsed() - began_at
                if not self._links.record_connect_failure(record, took):
                    raise
        elif self._links.has_live_connections(record):
            connection = record.pool.acquire_idle(max_idle)
            if connection is not None:
                return DirectPath(record, connection)
        return self._open_forwarded(record, hop)

    def is_partitioned(self, record: EndpointRecord) -> bool:
        """Return whether this gateway's own link to an endpoint is lost."""
        return self._links.is_partitioned(record)

    def begin_checks(self, records: Sequence[EndpointRecord]) -> None:
        """Begin checks whether endpoints respond, to this gateway or to a peer."""
        self._links.begin_checks(records)

    def can_check(self, record: EndpointRecord) -> bool:
        """Return whether a check shows that an endpoint responds."""
        return self._links.can_check(record)

    def record_stall(self, path: Path) -> None:
        """Record that the response on a path has stalled, for what is sent next."""
        if path.forwarder:
            state = self._forwarders.state_of(path.forwarder)
            state.avoid_if_silent(self._clock.elapsed())

    def record_lost_connection(self, record: EndpointRecord) -> None:
        """Record that a connection of this gateway's own was lost."""
        self._links.record_lost_connection(record)

    def _open_forwarded(self, record: EndpointRecord, hop: Hop) -> ForwardedPath:
        tried: set[str] = set()
        max_idle = max_idle_time(is_repeatable=hop.is_repeatable)
        while len(tried) < MAX_FORWARDERS:
            contact = self._forwarders.choose(tried)
            if contact is None:
                break
            tried.add(contact.name)
            pool = self._forwarders.pool_of(contact)
            try:
                connection = pool.acquire(max_idle)
            except NotConnected as error:
                now = self._clock.elapsed()
                self._forwarders.state_of(contact.name).avoid(now)
                log.info("forwarder not reached", peer=contact.name, why=error.message)
                continue
            self._count("attempt forwarded")
            return ForwardedPath(
                hop,
                record,
                contact,
                self._forwarders,
                pool,
                connection,
                self._cluster_time,
                self._clock,
            )
        raise NotConnected("no link, and no peer to forward")
