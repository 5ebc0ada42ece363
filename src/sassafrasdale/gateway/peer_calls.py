"""RPC client for other gateways, and the state shared by both sides of reports."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol, TypeVar

from logbook import Logger
from msgspec import Struct
from msgspec.msgpack import Decoder

from sassafrasdale.clock import Clock
from sassafrasdale.gateway.advertisements.endpoint_gate import EndpointGate
from sassafrasdale.gateway.dispatcher_messages import (
    ASSIGNMENT,
    ASSIGNMENT_REJECTED,
    HOLD_TIME,
    NO_ASSIGNMENT,
    Assignment,
    AssignmentRejected,
    AssignmentReply,
    AssignmentRequest,
    AttemptReport,
    Queued,
)
from sassafrasdale.gateway.peer_states import (
    REDIRECT,
    USAGE_TOTAL,
    Contact,
    MemberState,
    MessageMalformed,
    ReceivedGroup,
    Redirect,
    StoreValues,
    UsageTotal,
    encode,
)
from sassafrasdale.gateway.quarantine.replication import StrikeReplicator
from sassafrasdale.gateway.roster import Roster
from sassafrasdale.gateway.streams.lookup import LOOKUP_TIMEOUT
from sassafrasdale.gateway.streams.messages import (
    STREAM_ANSWER,
    STREAM_QUERY_TARGET,
    STREAMS_TARGET,
    StreamAnswer,
    StreamQuery,
    StreamRows,
)
from sassafrasdale.gateway.streams.replication import StreamReplicator
from sassafrasdale.gateway.usage import ClockReading, ClusterTime, UsageLedger
from sassafrasdale.gateway.value_transfers import ACCEPTS_CODING, read_values
from sassafrasdale.http.connections import HttpClient
from sassafrasdale.http.exceptions import HttpError
from sassafrasdale.http.messages import Request, Response

log = Logger("peers")

# Timeout of a call whose response is short. A report takes a few milliseconds, and
# instances with half a core may stall for as long again. A longer timeout would delay
# the updates of a whole zone.
CALL_TIMEOUT = timedelta(milliseconds=500)
# Timeout of a call that fetches values of the store, which may be long, as long as data
# arrives. If it were dropped earlier, all that had arrived would be sent again.
VALUES_TIMEOUT = timedelta(seconds=10)
REPORT_TARGET = "/report"
GROUP_UPDATE_TARGET = "/news"
USAGE_TARGET = "/usage/"
VALUES_TARGET = "/values/"
ASSIGNMENT_TARGET = "/ask"
ATTEMPT_REPORT_TARGET = "/notes"
# An assignment takes a millisecond or two. Waiting longer costs a request more than a
# better endpoint saves. A call of an attempt that waits for its turn is held besides.
ASSIGNMENT_TIMEOUT = timedelta(milliseconds=40)

Decoded = TypeVar("Decoded", bound=Struct)


class PeerListener(Protocol):
    """Receives the state and the calls of other gateways."""

    def receive_groups(self, groups: tuple[ReceivedGroup, ...]) -> None:
        """Receive the totals over all other gateways."""

    def receive_clock(self, name: str, reading: ClockReading) -> None:
        """Receive a current reading of another gateway's clock."""

    def receive_revisions(self, peer: str, revisions: dict[str, int]) -> None:
        """Receive the store revisions that a directly connected gateway knows."""

    def receive_versions(self, versions: dict[str, tuple[str, ...]]) -> None:
        """Receive the versions at which streams may begin, by service."""

    def receive_open_attempts(
        self, member: Contact, open_attempts: tuple[int, ...]
    ) -> None:
        """Receive which attempts assigned here are still in flight at a member."""

    def assign(self, request: AssignmentRequest) -> AssignmentReply | None:
        """Return the endpoint for another gateway's attempt, or why there is none."""

    def receive_attempt_report(self, report: AttemptReport) -> None:
        """Receive the outcomes of another gateway's attempts."""


@dataclass(frozen=True, slots=True)
class LocalState:
    """Access to the state that this gateway reports.

    :param build: returns its current state for a contact.
    :param revisions: returns the last known store revision of each prefix.
    :param usage: returns its own counts, by window and customer.
    :param values_since: returns the raw values below a prefix that changed since a
        revision.
    :param open_attempts: returns its attempts in flight that the dispatcher counts.
    :param versions: returns the versions at which streams may begin, by service.
    """

    build: Callable[[Contact], MemberState]
    revisions: Callable[[], dict[str, int]]
    usage: Callable[[], dict[int, dict[str, int]]]
    values_since: Callable[[str, int], StoreValues | None]
    open_attempts: Callable[[], tuple[int, ...]] = tuple
    versions: Callable[[], dict[str, tuple[str, ...]]] = dict


@dataclass(frozen=True, slots=True)
class PeerContext:
    """Dependencies of both the reporter and the aggregator.

    :param ledger: usage counts of all gateways.
    :param time: cluster time and the clocks of the other gateways.
    :param work_window: period over which each gateway averages its engine time.
    :param strikes: strikes against requests, sent and received.
    :param gate: what endpoints advertise, and permits, lent or borrowed.
    :param streams: streams that have begun, reported and received.
    """

    local_state: LocalState
    roster: Roster
    ledger: UsageLedger
    listener: PeerListener
    time: ClusterTime
    work_window: timedelta
    clock: Clock
    strikes: StrikeReplicator
    gate: EndpointGate
    streams: StreamReplicator


class PeerCalls:
    """Calls to other gateways over persistent connections.

    :param roster: notified of gateways that do not respond.
    :param clock: source of elapsed time.
    """

    def __init__(self, roster: Roster, clock: Clock) -> None:
        self._roster = roster
        self._clock = clock
        self._clients: dict[str, HttpClient] = {}
        self._assignment_clients: dict[str, HttpClient] = {}

    def send(
        self, contact: Contact, target: str, message: Struct, decoder: Decoder[Decoded]
    ) -> Decoded | Redirect | None:
        """Return the response to a message; None if the call failed.

        A gateway whose call failed is avoided for a while.
        """
        request = Request("POST", target, body=encode(message))
        try:
            response = self._call(contact, request)
            if response.status == 409:
                return REDIRECT.decode(response.body)
            if response.status != 200:
                self._roster.record_failure(contact, f"status {response.status}")
                return None
            return decoder.decode(response.body)
        except (HttpError, MessageMalformed) as error:
            self._roster.record_failure(contact, str(error))
            return None

    def fetch_values(
        self, contact: Contact, prefix: str, since: int
    ) -> StoreValues | None:
        """Return the changes below a prefix of the store; None if the call failed."""
        target = f"{VALUES_TARGET}{since}/{prefix}"
        request = Request("GET", target, (ACCEPTS_CODING,))
        return self._get(contact, request, read_values, VALUES_TIMEOUT)

    def fetch_usage(self, contact: Contact, window: int) -> UsageTotal | None:
        """Return an aggregator's counts of a window for all gateways."""
        request = Request("GET", f"{USAGE_TARGET}{window}")
        return self._get(
            contact, request, lambda response: USAGE_TOTAL.decode(response.body)
        )

    def request_assignment(
        self, contact: Contact, request: AssignmentRequest
    ) -> AssignmentReply | None:
        """Return the reply of a dispatcher; None if the call failed.

        If no endpoint is available there, the assignment names none.
        """
        call = Request("POST", ASSIGNMENT_TARGET, body=encode(request))
        limit = ASSIGNMENT_TIMEOUT + (HOLD_TIME if request.is_queued else timedelta())
        try:
            response = self._client(
                contact, self._assignment_clients, ASSIGNMENT_TIMEOUT
            ).call(call, limit)
            return assignment_reply(response)
        except (HttpError, MessageMalformed) as error:
            log.debug("assignment request failed", peer=contact.name, why=str(error))
            return None

    def send_attempt_report(self, contact: Contact, report: AttemptReport) -> bool:
        """Report outcomes of attempts to a dispatcher; return whether it got them."""
        try:
            self._call(
                contact, Request("POST", ATTEMPT_REPORT_TARGET, body=encode(report))
            )
        except HttpError as error:
            log.debug("attempt report failed", peer=contact.name, why=error.message)
            return False
        return True

    def report_streams(self, contact: Contact, rows: StreamRows) -> bool:
        """Report streams to an aggregator, and return whether it confirmed them."""
        request = Request("POST", STREAMS_TARGET, body=encode(rows))
        try:
            return self._call(contact, request).status == 200
        except HttpError as error:
            log.debug("streams not reported", peer=contact.name, why=error.message)
            return False

    def query_stream(self, contact: Contact, query: StreamQuery) -> StreamAnswer | None:
        """Return an aggregator's answer to a query; None if the call failed."""
        request = Request("POST", STREAM_QUERY_TARGET, body=encode(query))
        return self._get(
            contact,
            request,
            lambda response: STREAM_ANSWER.decode(response.body),
            LOOKUP_TIMEOUT,
        )

    def close_unlisted(self) -> None:
        """Close the connections to gateways that the roster no longer lists."""
        for clients in (self._clients, self._assignment_clients):
            for name in list(clients):
                if self._roster.get(name) is None:
                    clients.pop(name).close()

    def _get(
        self,
        contact: Contact,
        request: Request,
        decode: Callable[[Response], Decoded],
        limit: timedelta = CALL_TIMEOUT,
    ) -> Decoded | None:
        try:
            response = self._call(contact, request, limit)
            return decode(response) if response.status == 200 else None
        except (HttpError, MessageMalformed) as error:
            log.info(
                "call to peer failed",
                peer=contact.name,
                target=request.target,
                why=str(error),
            )
            return None

    def _call(
        self, contact: Contact, request: Request, limit: timedelta = CALL_TIMEOUT
    ) -> Response:
        client = self._client(contact, self._clients, CALL_TIMEOUT)
        return client.call(request, limit, idle_limit=CALL_TIMEOUT)

    def _client(
        self, contact: Contact, clients: dict[str, HttpClient], limit: timedelta
    ) -> HttpClient:
        client = clients.get(contact.name)
        if client is None or client.address != contact.address:
            if client is not None:
                client.close()
            client = HttpClient(contact.address, self._clock, limit)
            clients[contact.name] = client
        return client


def assignment_reply(response: Response) -> AssignmentReply | None:
    """Return a dispatcher's reply; None for a status that none has.

    :raises MessageMalformed: if its body can't be decoded.
    """
    match response.status:
        case 200:
            return ASSIGNMENT.decode(response.body)
        case 202:
            return Queued()
        case 404:
            return NO_ASSIGNMENT
        case 503:
            return ASSIGNMENT_REJECTED.decode(response.body)
        case _:
            return None


def assignment_response(reply: AssignmentReply | None) -> Response:
    """Return the response with a dispatcher's reply."""
    match reply:
        case Assignment():
            return Response(200, body=encode(reply))
        case Queued():
            return Response(202)
        case AssignmentRejected():
            return Response(503, body=encode(reply))
        case _:
            return Response(404)
