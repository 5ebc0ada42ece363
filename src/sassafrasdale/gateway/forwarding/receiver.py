"""The receiving side: forwards a peer's requests to endpoints."""

from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta
from random import Random

from logbook import Logger
from msgspec import DecodeError

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.forwarders import MAX_FORWARDS_PER_CORE
from sassafrasdale.gateway.advertisements.endpoint_gate import EndpointGate
from sassafrasdale.gateway.directory import Directory, EndpointRecord
from sassafrasdale.gateway.failures import CONNECTION_LOST, reason_of
from sassafrasdale.gateway.forwarding.links import LinkMonitor
from sassafrasdale.gateway.forwarding.messages import (
    CONTACTS_TARGET,
    FORWARD_TARGET,
    FORWARDED_REQUEST,
    REACHABILITY_TARGET,
    Contacts,
    EndpointReachability,
    ForwardedRequest,
    ForwardOutcome,
    encode,
    failure_headers,
    response_headers,
    without_own_headers,
)
from sassafrasdale.gateway.forwarding.paths import DirectPath, max_idle_time
from sassafrasdale.gateway.peer_states import Contact
from sassafrasdale.gateway.quarantine.fingerprints import (
    RequestFeatures,
    shared_part_features,
)
from sassafrasdale.gateway.quarantine.quarantine import (
    QUARANTINED,
    RequestQuarantine,
)
from sassafrasdale.gateway.quarantine.soundness import RunProgress
from sassafrasdale.http.exceptions import (
    CallerDisconnected,
    HttpError,
    NotConnected,
)
from sassafrasdale.http.messages import Request, ResponseHead
from sassafrasdale.http.server import ServerConnection
from sassafrasdale.platform.exceptions import ValueMalformed
from sassafrasdale.platform.headers import (
    REQUEST_ID,
    caller_headers,
    read_parts,
    with_time_left,
)
from sassafrasdale.platform.signals import read_signals

log = Logger("forwarding")

# Gateways of this zone that another zone's are told of: all of theirs may ask at once.
MAX_CONTACTS = 16


class _NotForwarded(Exception):
    """No response of the endpoint can be passed on.

    :param outcome: what is known of the request.
    """

    def __init__(self, outcome: ForwardOutcome, reason: str) -> None:
        super().__init__(reason)
        self.outcome = outcome
        self.reason = reason


class ForwardingReceiver:
    """Handles what peers ask that have lost links to endpoints.

    :param directory: the registered endpoints.
    :param gate: which endpoints take a request from this gateway now.
    :param quarantine: records endpoints that crash while they run a request.
    :param links: this gateway's own links.
    :param contacts: returns the gateways of this zone.
    :param may_forward: returns whether this gateway takes forwards.
    :param cluster_time: returns the cluster time, in seconds since 1970.
    :param cpu_cores: CPU seconds per second that this gateway may use.
    :param clock: source of elapsed time.
    :param rng: source of randomness.
    :param count: counts an event by name, for metrics.
    """

    def __init__(
        self,
        directory: Directory,
        gate: EndpointGate,
        quarantine: RequestQuarantine,
        links: LinkMonitor,
        contacts: Callable[[], list[Contact]],
        may_forward: Callable[[], bool],
        cluster_time: Callable[[], float],
        cpu_cores: float,
        clock: Clock,
        rng: Random,
        count: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._directory = directory
        self._gate = gate
        self._quarantine = quarantine
        self._links = links
        self._contacts = contacts
        self._may_forward = may_forward
        self._cluster_time = cluster_time
        self._max_in_flight = max(int(MAX_FORWARDS_PER_CORE * cpu_cores), 1)
        self._clock = clock
        self._rng = rng
        self._count = count
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Number of forwards in progress."""
        return self._in_flight

    def handles(self, target: str) -> bool:
        """Return whether a peer's request is one for this component."""
        return target in (FORWARD_TARGET, CONTACTS_TARGET) or target.startswith(
            REACHABILITY_TARGET
        )

    def handle(self, peer: ServerConnection, request: Request) -> None:
        """Respond to a peer's request."""
        target = request.target
        if target == FORWARD_TARGET:
            self._handle_forward(peer, request)
        elif target == CONTACTS_TARGET:
            peer.answer(200, body=encode(Contacts(tuple(self._sample_contacts()))))
        else:
            name = target.removeprefix(REACHABILITY_TARGET)
            answer = EndpointReachability(self._links.answer(name))
            peer.answer(200, body=encode(answer))

    def _sample_contacts(self) -> list[Contact]:
        contacts = self._contacts()
        return self._rng.sample(contacts, min(len(contacts), MAX_CONTACTS))

    def _handle_forward(self, peer: ServerConnection, request: Request) -> None:
        try:
            forwarded = FORWARDED_REQUEST.decode(request.body)
        except DecodeError as error:
            log.warning("malformed forward", why=str(error))
            peer.answer(400)
            return
        self._in_flight += 1
        try:
            self._forward(peer, forwarded)
        except _NotForwarded as failure:
            self._refuse(peer, forwarded, failure)
        finally:
            self._in_flight -= 1

    def _refuse(
        self,
        peer: ServerConnection,
        forwarded: ForwardedRequest,
        failure: _NotForwarded,
    ) -> None:
        log.info(
            "not forwarded",
            request_id=_id_of(forwarded),
            endpoint=forwarded.endpoint,
            outcome=str(failure.outcome),
            why=failure.reason,
        )
        headers = failure_headers(failure.outcome, failure.reason, self._in_flight)
        with suppress(CallerDisconnected):
            if peer.response_started:
                peer.end(headers)
            else:
                peer.answer(503, headers)

    def _forward(self, peer: ServerConnection, forwarded: ForwardedRequest) -> None:
        """Send a request to its endpoint, and pass the response on.

        There is one way to the endpoint here, a connection of this gateway's own.
        """
        time_left = self._time_left(forwarded)
        record = self._usable_record(forwarded)
        max_idle = max_idle_time(is_repeatable=forwarded.is_repeatable)
        began_at = self._clock.elapsed()
        try:
            connection = record.pool.acquire(max_idle)
        except NotConnected as error:
            took = self._clock.elapsed() - began_at
            self._links.record_connect_failure(record, took)
            raise _NotForwarded(ForwardOutcome.NOT_SENT, "not connected") from error
        path = DirectPath(record, connection)
        peer.on_disconnect(path.close)
        try:
            if peer.is_disconnected:
                raise CallerDisconnected
            if not self._takes_requests(record):
                raise _NotForwarded(ForwardOutcome.WITHHELD, "endpoint takes none now")
            if self._is_quarantined(forwarded):
                raise _NotForwarded(ForwardOutcome.WITHHELD, QUARANTINED)
            self._count("request forwarded for a peer")
            self._exchange(peer, forwarded, path, record, time_left)
        except CallerDisconnected:
            path.close()
        finally:
            peer.on_disconnect(None)
            path.release()

    def _exchange(
        self,
        peer: ServerConnection,
        forwarded: ForwardedRequest,
        path: DirectPath,
        record: EndpointRecord,
        time_left: timedelta,
    ) -> None:
        began_at = self._clock.elapsed()
        deadline = began_at + time_left
        headers = with_time_left(forwarded.headers, time_left)
        request = Request(forwarded.method, forwarded.target, headers, forwarded.body)
        progress = RunProgress()
        try:
            path.send(request)
            echoed = (REQUEST_ID, request.header(REQUEST_ID))
            head = path.read_head(deadline, echoed)
            signals = read_signals(head)
            if signals is not None:
                self._gate.observe(record.name, signals, began_at)
            self._pass_on(peer, path, head, deadline, progress)
        except HttpError as error:
            path.close()
            if isinstance(error, CallerDisconnected) or peer.is_disconnected:
                raise CallerDisconnected from error
            reason = reason_of(error)
            self._record_lost(forwarded, record, reason, progress)
            raise _NotForwarded(ForwardOutcome.UNKNOWN, reason) from error

    def _pass_on(
        self,
        peer: ServerConnection,
        path: DirectPath,
        head: ResponseHead,
        deadline: timedelta,
        progress: RunProgress,
    ) -> None:
        passed = ResponseHead(head.status, without_own_headers(caller_headers(head)))
        peer.begin(head.status, response_headers(passed.headers, self._in_flight))
        while data := path.read_data(deadline):
            progress.note_data(self._clock.elapsed())
            peer.write(data)
        path.check_complete(self._quarantine.is_serving)
        peer.end()

    def _record_lost(
        self,
        forwarded: ForwardedRequest,
        record: EndpointRecord,
        reason: str,
        progress: RunProgress,
    ) -> None:
        if reason != CONNECTION_LOST:
            return
        self._directory.doubt_version(record)
        self._links.record_lost_connection(record)
        registered = self._directory.records.get(record.name) is record
        self._quarantine.record_lost_connection(
            _features_of(forwarded),
            record,
            progress,
            registered=registered and record.is_ready,
        )

    def _time_left(self, forwarded: ForwardedRequest) -> timedelta:
        """Return the time left, less the time on the way."""
        left = min(forwarded.left_s, forwarded.expires_at - self._cluster_time())
        if left <= 0:
            raise _NotForwarded(ForwardOutcome.REFUSED, "no time left")
        return timedelta(seconds=left)

    def _usable_record(self, forwarded: ForwardedRequest) -> EndpointRecord:
        if not self._may_forward():
            raise _NotForwarded(ForwardOutcome.REFUSED, "stopping")
        if self._in_flight > self._max_in_flight:
            raise _NotForwarded(ForwardOutcome.REFUSED, "too many forwards")
        record = self._directory.records.get(forwarded.endpoint)
        if record is None:
            raise _NotForwarded(ForwardOutcome.REFUSED, "endpoint not registered")
        if not self._takes_requests(record):
            raise _NotForwarded(ForwardOutcome.WITHHELD, "endpoint takes none now")
        if forwarded.software and record.known_version != forwarded.software:
            raise _NotForwarded(ForwardOutcome.REFUSED, "endpoint at another version")
        if self._links.is_partitioned(record):
            raise _NotForwarded(ForwardOutcome.REFUSED, "link lost here, too")
        return record

    def _is_quarantined(self, forwarded: ForwardedRequest) -> bool:
        if forwarded.is_trial or self._quarantine.is_empty:
            return False
        return bool(self._quarantine.refused_feature(_features_of(forwarded)))

    def _takes_requests(self, record: EndpointRecord) -> bool:
        return record.is_ready and not self._gate.is_backed_off(record)


def _features_of(forwarded: ForwardedRequest) -> RequestFeatures:
    try:
        parts = read_parts(forwarded.headers)
    except ValueMalformed as error:
        log.warning("malformed forward", why=error.message)
        parts = ()
    return RequestFeatures(forwarded.fingerprint, shared_part_features(parts))


def _id_of(forwarded: ForwardedRequest) -> str:
    request = Request(forwarded.method, forwarded.target, forwarded.headers)
    return request.header(REQUEST_ID) or "none"
