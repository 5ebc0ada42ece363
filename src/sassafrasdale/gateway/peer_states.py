"""Messages between gateways: reports, group totals, clock readings, stored values.

Messages are MessagePack arrays, validated field by field when they are decoded. New
fields are only appended and always have a default, so that gateways of two versions
interoperate during a rolling restart.
"""

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from typing import Annotated, Generic, TypeVar

from msgspec import DecodeError, Meta, Struct, field
from msgspec.msgpack import Decoder, Encoder
from msgspec.structs import replace

from sassafrasdale.decisions.load_reports import ReportedLoad
from sassafrasdale.gateway.canary_reports import CanaryReport, Count, without_rows
from sassafrasdale.gateway.quarantine.replication import StrikeUpdate
from sassafrasdale.gateway.streams.messages import StreamUpdate
from sassafrasdale.gateway.usage import ClockReading
from sassafrasdale.structures import Address

# Bounded on decoding, so that an invalid report cannot make a total negative.
NonNegative = Annotated[float, Meta(ge=0)]
Value = TypeVar("Value")
FiniteRate = Annotated[float, Meta(ge=0, le=1e9)]
Fraction = Annotated[float, Meta(ge=0, le=1)]


class Message(Struct, frozen=True, array_like=True):
    """Base class of all messages."""


class Contact(Message):
    """Address and identity of a gateway.

    :param zone: its availability zone.
    :param incarnation: start number of the process, higher for later starts; 0 for a
        gateway that is only known from the store.
    :param leaving: whether it is shutting down.
    :param cpu_cores: CPU seconds per second that it may use.
    :param takes_datagrams: whether it takes datagrams at its address; earlier versions
        don't.
    """

    name: str
    zone: str
    host: str
    port: int
    incarnation: int = 0
    leaving: bool = False
    cpu_cores: float = 1.0
    takes_datagrams: bool = False

    @property
    def address(self) -> Address:
        """Address that accepts messages from other gateways."""
        return Address(self.host, self.port)


class EndpointLoad(Message):
    """Requests and prefill tokens in flight at an endpoint."""

    in_flight: Count
    prefill_tokens: Count


class DutyClaim(Message):
    """Claim of a gateway to be the leader, under a fencing number."""

    fencing_number: int


class LimitUsage(Message):
    """A gateway's usage of one customer's limit, in the limit's unit.

    :param demand: amount requested per second, refused requests included.
    :param admitted: amount admitted since the gateway started.
    :param counted: how much of ``admitted`` an aggregator has already counted.
    :param used: amount by which the limit's token bucket is below full, as the gateway
        sees it.
    :param share: fraction of the limit that it would use if it were partitioned now.
    :param recent_demand: like ``demand``, averaged over a shorter time; None from a
        gateway of an earlier version.
    """

    demand: NonNegative
    admitted: float
    counted: float
    used: NonNegative
    share: Fraction
    recent_demand: NonNegative | None = None


class GroupLimitUsage(Message):
    """Usage of one customer's limit, summed over a group.

    :param admitted: amount admitted since the aggregator began to count the group.
    :param share: fractions of the limit used by the gateways in touch.
    :param reserved: fractions reserved for silent gateways, which may be partitioned
        and still admit requests.
    :param recent_demand: like ``demand``, averaged over a shorter time; None from an
        aggregator of an earlier version.
    """

    demand: NonNegative
    admitted: float
    used: NonNegative
    share: NonNegative
    reserved: NonNegative
    recent_demand: NonNegative | None = None


def recent_demand(usage: LimitUsage | GroupLimitUsage) -> float:
    """Return the demand of the last moments, or the longer average if it is unknown."""
    return usage.demand if usage.recent_demand is None else usage.recent_demand


class BeliefReport(Message, Generic[Value]):
    """What a gateway knows of something that an endpoint says of itself.

    :param value: None if the endpoint no longer says it.
    :param age_s: time since the last evidence, in seconds.
    """

    value: Value | None
    age_s: NonNegative


class EndpointReports(Message):
    """What a gateway knows of the endpoints, by endpoint.

    :param limits: rate limits that they have named.
    :param departures: whether they have said that they are leaving.
    :param brittleness: rejections within a second beyond which they fail.
    """

    limits: dict[str, BeliefReport[FiniteRate]] = field(default_factory=dict)
    departures: dict[str, BeliefReport[bool]] = field(default_factory=dict)
    brittleness: dict[str, BeliefReport[FiniteRate]] = field(default_factory=dict)


class PermitRequest(Message):
    """Request for permits to send requests to an endpoint with a rate limit.

    :param wanted: permits wanted until the next report.
    :param returned: permits of the last loan that were not used.
    """

    wanted: Count
    returned: Count = 0


class UsageRow(Message):
    """Requests started by one incarnation of a gateway in a window.

    :param counts: by customer. They only grow, so rows merge by taking the maximum.
    """

    gateway: str
    incarnation: int
    window: Count
    counts: dict[str, Count]


class MemberState(Message):
    """State of one gateway at one moment.

    :param revisions: last known store revision of each prefix.
    :param loads: its requests in flight, by endpoint.
    :param limit_usage: by customer.
    :param engine_time: engine time that its requests take per second, by service.
    :param follows_store: whether it watches the store and gets responses.
    :param prefill_times: prefill time per prompt token, in seconds and by service,
        where it has enough samples.
    :param canary_reports: results of canary versions.
    """

    contact: Contact
    time: ClockReading
    revisions: dict[str, int] = field(default_factory=dict)
    loads: dict[str, EndpointLoad] = field(default_factory=dict)
    limit_usage: dict[str, LimitUsage] = field(default_factory=dict)
    engine_time: dict[str, NonNegative] = field(default_factory=dict)
    duty: DutyClaim | None = None
    follows_store: bool = True
    prefill_times: dict[str, NonNegative] = field(default_factory=dict)
    canary_reports: tuple[CanaryReport, ...] = ()


class GroupState(Message):
    """Totals over the gateways of a zone that report to one aggregator.

    :param epoch: with the aggregator's incarnation, identifies a run of the counters
        between two resets.
    :param gateways: number of gateways in touch.
    :param silent: number of listed gateways without a recent report.
    :param oldest_incarnation: lowest incarnation among the gateways in touch.
    :param complete_since: every gateway in touch has reported at or after this time,
        in seconds since 1970.
    :param follows_store: whether any of them watches the store and gets responses.
    :param prefill_times: means of the values reported by its gateways.
    :param counting_s: time since the counters were reset, in seconds.
    :param canary_reports: results of canary versions.
    """

    aggregator: Contact
    epoch: int
    gateways: Count
    silent: Count
    loads: dict[str, EndpointLoad]
    limit_usage: dict[str, GroupLimitUsage]
    engine_time: dict[str, NonNegative]
    leader: DutyClaim | None
    oldest_incarnation: int
    complete_since: float
    follows_store: bool
    prefill_times: dict[str, NonNegative] = field(default_factory=dict)
    counting_s: NonNegative = 0.0
    canary_reports: tuple[CanaryReport, ...] = ()

    @property
    def counter_id(self) -> tuple[str, int, int]:
        """Key of the limit usage counters; it changes when they are reset."""
        return (self.aggregator.name, self.aggregator.incarnation, self.epoch)


class ReceivedGroup(Message):
    """A group's totals and the time since they were received."""

    state: GroupState
    age_s: float = 0.0

    @property
    def age(self) -> timedelta:
        """Time since they were received."""
        return timedelta(seconds=self.age_s)

    def without_canary_counts(self) -> "ReceivedGroup":
        """Return a copy without the canary counts, which only aggregators need."""
        if not self.state.canary_reports:
            return self
        concluded = replace(
            self.state, canary_reports=without_rows(self.state.canary_reports)
        )
        return ReceivedGroup(concluded, self.age_s)


class Report(Message):
    """Report of a gateway to its aggregator.

    :param roster_digest: digest of the zone's gateways that it knows.
    :param roster: these gateways, if the aggregator's digest differed.
    :param usage: rows that changed since the last report to this aggregator.
    :param open_attempts: numbers of its attempts in flight that the aggregator
        assigned.
    :param leaves_group: whether it reports to another aggregator from now on.
    :param strikes: strikes against requests that the aggregator may lack.
    :param endpoints: what is known of the endpoints.
    :param permit_requests: by endpoint.
    """

    state: MemberState
    roster_digest: int
    roster: tuple[Contact, ...] = ()
    usage: tuple[UsageRow, ...] = ()
    open_attempts: tuple[int, ...] = ()
    leaves_group: bool = False
    strikes: StrikeUpdate | None = None
    endpoints: EndpointReports = field(default_factory=EndpointReports)
    permit_requests: dict[str, PermitRequest] = field(default_factory=dict)


class ReportReply(Message):
    """An aggregator's reply to a report: the state of the other gateways.

    :param groups: the aggregator's group without that member, then the other groups.
    :param interval_s: time until the next report.
    :param roster: gateways of the zone, if the member's digest differed.
    :param clocks: current readings of other gateways' clocks.
    :param strikes: strikes against requests that the member may lack.
    :param endpoints: what is known of the endpoints.
    :param permits: permits lent until the next report, by endpoint.
    :param versions: versions at which streams may begin, by service.
    """

    sender: Contact
    time: ClockReading
    revisions: dict[str, int]
    groups: tuple[ReceivedGroup, ...]
    interval_s: float
    roster_digest: int
    roster: tuple[Contact, ...] = ()
    clocks: dict[str, ClockReading] = field(default_factory=dict)
    strikes: StrikeUpdate | None = None
    endpoints: EndpointReports = field(default_factory=EndpointReports)
    permits: dict[str, Count] = field(default_factory=dict)
    versions: dict[str, tuple[str, ...]] = field(default_factory=dict)


class GroupUpdate(Message):
    """State that two aggregators exchange, as request and as response.

    :param aggregators: other aggregators whose updates the sender got recently.
    :param usage: rows that the receiver may lack.
    :param usage_complete_since: time up to which these rows are complete, in seconds
        since 1970; None if the update has no rows.
    :param usage_version: version of the sender's counts after these rows.
    :param usage_received: last such version that the sender got from the receiver.
    :param members: names of the group's gateways, sent within the zone only.
    :param strikes: strikes against requests that the receiver may lack.
    :param endpoints: what is known of the endpoints.
    :param streams: streams of the sender's zone that the receiver may lack.
    :param versions: versions at which streams may begin, by service.
    :param missing_permits: that the sender's zone lacks, by endpoint.
    :param given_permits: that the receiver's zone is given, by endpoint.
    """

    sender: Contact
    time: ClockReading
    revisions: dict[str, int]
    group: GroupState
    aggregators: tuple[Contact, ...] = ()
    usage: tuple[UsageRow, ...] = ()
    usage_complete_since: float | None = None
    usage_version: int = 0
    usage_received: int = 0
    members: tuple[str, ...] = ()
    strikes: StrikeUpdate | None = None
    endpoints: EndpointReports = field(default_factory=EndpointReports)
    streams: StreamUpdate | None = None
    versions: dict[str, tuple[str, ...]] = field(default_factory=dict)
    missing_permits: dict[str, Count] = field(default_factory=dict)
    given_permits: dict[str, Count] = field(default_factory=dict)


class Redirect(Message):
    """Response of a gateway that is not an aggregator, naming its own aggregator."""

    aggregator: Contact


class UsageTotal(Message):
    """All gateways' counts of a window.

    :param complete_since: every gateway in touch has reported at or after this time.
    """

    counts: dict[str, Count]
    complete_since: float


class StoreValues(Message):
    """Raw values below a prefix of the store, as of a revision.

    :param changed_revision: revision of the last change among them.
    :param revisions: revision of each value's last change.
    :param deleted: deleted keys with the revisions of their deletion; empty if
        ``is_complete``.
    :param is_complete: whether these are all values below the prefix.
    """

    revision: int
    changed_revision: int
    values: dict[str, bytes]
    revisions: dict[str, int] = field(default_factory=dict)
    deleted: dict[str, int] = field(default_factory=dict)
    is_complete: bool = True


encode = Encoder().encode
CONTACT = Decoder(Contact)
REPORT = Decoder(Report)
REPORT_REPLY = Decoder(ReportReply)
GROUP_UPDATE = Decoder(GroupUpdate)
REDIRECT = Decoder(Redirect)
USAGE_TOTAL = Decoder(UsageTotal)
STORE_VALUES = Decoder(StoreValues)
MessageMalformed = DecodeError


def loads_by_endpoint(groups: Iterable[ReceivedGroup]) -> dict[str, ReportedLoad]:
    """Return the total load of the groups at each endpoint."""
    in_flight: Counter[str] = Counter()
    prefill: Counter[str] = Counter()
    weighted_ages: Counter[str] = Counter()
    for group in groups:
        for endpoint, load in group.state.loads.items():
            in_flight[endpoint] += load.in_flight
            prefill[endpoint] += load.prefill_tokens
            weighted_ages[endpoint] += load.prefill_tokens * group.age_s
    return {
        endpoint: ReportedLoad(
            count,
            prefill[endpoint],
            timedelta(seconds=weighted_ages[endpoint] / max(prefill[endpoint], 1)),
        )
        for endpoint, count in in_flight.items()
    }
