"""Fleets of gateways that exchange reports in process, without a network."""

from collections import Counter, deque
from collections.abc import Callable, Collection
from datetime import timedelta
from random import Random

from sassafrasdale.clock import Clock, ManualClock
from sassafrasdale.decisions.quarantine import StrikeLedger
from sassafrasdale.gateway.advertisements.endpoint_gate import EndpointGate
from sassafrasdale.gateway.groups import Group
from sassafrasdale.gateway.peer_calls import LocalState, PeerCalls, PeerContext
from sassafrasdale.gateway.peer_states import (
    Contact,
    DutyClaim,
    EndpointLoad,
    GroupState,
    LimitUsage,
    MemberState,
)
from sassafrasdale.gateway.peering import Peering
from sassafrasdale.gateway.quarantine.replication import StrikeReplicator
from sassafrasdale.gateway.quotas import Quotas
from sassafrasdale.gateway.rollouts import Rollouts
from sassafrasdale.gateway.roster import Roster
from sassafrasdale.gateway.streams.lookup import StreamLookup
from sassafrasdale.gateway.streams.records import StreamRecords
from sassafrasdale.gateway.streams.replication import StreamReplicator
from sassafrasdale.gateway.usage import ClockReading, ClusterTime, UsageLedger
from sassafrasdale.green import sleep
from sassafrasdale.http.exceptions import NotConnected, ResponseTimeout
from sassafrasdale.http.messages import Request, Response

WORK_WINDOW = timedelta(seconds=5)
STEP = timedelta(milliseconds=20)


def contact(name: str, zone: str = "a", incarnation: int = 1, **fields) -> Contact:
    """Return a gateway's contact."""
    return Contact(name, zone, "127.0.0.1", 7, incarnation, **fields)


def member(
    name: str, *, zone: str = "a", incarnation: int = 1, at: float = 0.0, **fields
) -> MemberState:
    """Return a gateway's state.

    :param at: cluster time of the state.
    """
    reading = ClockReading(at, at, 1.0)
    return MemberState(contact(name, zone, incarnation), reading, **fields)


def limit_usage(
    demand: float = 0.0,
    spent: float = 0.0,
    *,
    counted: float = 0.0,
    used: float = 0.0,
    share: float = 0.0,
) -> LimitUsage:
    """Return a gateway's usage of a customer's limit."""
    return LimitUsage(demand, spent, counted, used, share)


def group_of(*states: MemberState, clock: Clock | None = None) -> GroupState:
    """Return the totals over some gateways, the first of which is the aggregator."""
    group = Group(WORK_WINDOW, clock or ManualClock())
    for state in states:
        group.record_report(state)
    return group.totals(states[0].contact)


class RecordingListener:
    """Listener that records what a gateway receives."""

    def __init__(self, node: "Node | None" = None) -> None:
        self._node = node
        self.groups = ()
        self.clocks: dict[str, ClockReading] = {}
        self.revisions: dict[str, dict[str, int]] = {}
        self.open_attempts: dict[str, tuple[int, ...]] = {}
        self.versions: dict[str, tuple[str, ...]] = {}

    def receive_groups(self, groups) -> None:
        self.groups = groups
        if self._node is not None and self._node.limits is not None:
            self._node.limits.receive_groups(groups)

    def receive_clock(self, name: str, reading: ClockReading) -> None:
        self.clocks[name] = reading

    def receive_revisions(self, peer: str, revisions: dict[str, int]) -> None:
        self.revisions[peer] = revisions

    def receive_versions(self, versions) -> None:
        self.versions |= versions

    def receive_open_attempts(
        self, member: Contact, open_attempts: tuple[int, ...]
    ) -> None:
        self.open_attempts[member.name] = open_attempts


class LocalCalls(PeerCalls):
    """Calls that are dispatched directly to the other gateways of a fleet."""

    def __init__(self, fleet: "Fleet", name: str, roster: Roster, clock: Clock) -> None:
        super().__init__(roster, clock)
        self._fleet = fleet
        self._name = name

    def _call(self, to: Contact, request: Request, *limits: timedelta) -> Response:
        return self._fleet.deliver(self._name, to.name, request)


class Node:
    """One gateway of a fleet.

    Tests set its state: ``loads``, ``spent``, ``revision``. If ``limits`` is set, the
    gateway reports the usage of these limits, and they receive the others' totals.
    """

    def __init__(self, fleet: "Fleet", name: str, zone: str, incarnation: int) -> None:
        self.name = name
        self.zone = zone
        self.loads: dict[str, EndpointLoad] = {}
        self.spent = 0.0
        self.demand = 0.0
        self.share = 0.0
        self.revision = 0
        self.engine_time: dict[str, float] = {}
        self.duty: DutyClaim | None = None
        self.usage: dict[int, dict[str, int]] = {}
        self.follows_store = True
        self.limits: Quotas | None = None
        self.strikes = StrikeLedger()
        self.stream_records = StreamRecords(fleet.clock)
        self.streams = StreamReplicator(
            name, incarnation, self.stream_records, fleet.clock, query_polls=0
        )
        self.received = RecordingListener(self)
        self.due_at = fleet.clock.elapsed()
        self.time = ClusterTime(fleet.clock)
        own = contact(name, zone, incarnation)
        self.roster = Roster(own, fleet.clock)
        gate = EndpointGate.build(
            zone,
            tuple(fleet.zones),
            fleet.endpoint_zones.get,
            fleet.clock,
            Random(name),
            peer_in_flight=self.known_in_flight,
            zone_in_flight=lambda: self.peering.zone_in_flight(),
        )
        self.rooms = gate.rooms
        self.brittle = gate.brittle
        self.endpoint_limits = gate.limits
        self.permits = gate.permits
        self.departures = gate.departures
        context = PeerContext(
            LocalState(
                self._state,
                lambda: {"p/": self.revision},
                lambda: {number: dict(held) for number, held in self.usage.items()},
                lambda prefix, since: None,
            ),
            self.roster,
            UsageLedger(),
            self.received,
            self.time,
            WORK_WINDOW,
            fleet.clock,
            StrikeReplicator(self.strikes, incarnation),
            gate,
            self.streams,
        )
        calls = LocalCalls(fleet, name, self.roster, fleet.clock)
        self.calls = calls
        self.peering = Peering(context, len(fleet.zones), Random(name), calls)
        self.lookup = StreamLookup(
            self.stream_records,
            self.streams,
            self.peering.aggregators,
            calls.query_stream,
        )

    def _state(self, own: Contact) -> MemberState:
        counted = self.peering.counted_usage("lab")
        limit = limit_usage(self.demand, self.spent, counted=counted, share=self.share)
        usage = {"lab": limit} if self.demand or self.spent else {}
        if self.limits is not None:
            usage = self.limits.report()
        return MemberState(
            own,
            self.time.reading(),
            revisions={"p/": self.revision},
            loads=dict(self.loads),
            limit_usage=usage,
            engine_time=dict(self.engine_time),
            duty=self.duty,
            follows_store=self.follows_store,
        )

    def report_streams(self) -> None:
        """Report the streams that have begun here since the last step."""
        aggregator = self.peering.dispatcher()
        self.streams.step(
            aggregator and (aggregator.name, aggregator.incarnation),
            lambda rows: self.calls.report_streams(aggregator, rows),
        )

    def known_in_flight(self, endpoint: str) -> int:
        """Return the other gateways' requests in flight, as known here."""
        return sum(
            group.state.loads[endpoint].in_flight
            for group in self.peering.unexpired_groups()
            if endpoint in group.state.loads
        )

    def known_load(self, endpoint: str) -> int:
        """Return the other gateways' prefill tokens at an endpoint, as known here."""
        return sum(
            group.state.loads[endpoint].prefill_tokens
            for group in self.peering.unexpired_groups()
            if endpoint in group.state.loads
        )


class Fleet:
    """Gateways in several zones; names are ``ZONE-NUMBER``.

    :param zones: zones and how many gateways each has.
    """

    def __init__(self, zones: dict[str, int]) -> None:
        self.clock = ManualClock()
        self.zones = zones
        self.nodes: dict[str, Node] = {}
        self.endpoint_zones: dict[str, str] = {}
        self.down: set[str] = set()
        self.paused: set[str] = set()
        # Pairs of sender and receiver whose requests are lost.
        self.cuts: set[tuple[str, str]] = set()
        self.bytes: Counter[str] = Counter()
        self.cross_zone_bytes = 0
        self.calls: deque[tuple[str, str]] = deque(maxlen=10_000)
        for zone, count in zones.items():
            for number in range(count):
                self.start(f"{zone}-{number}", zone)

    def start(self, name: str, zone: str, incarnation: int = 1) -> Node:
        """Start a gateway that knows the running ones from the store."""
        node = self.nodes[name] = Node(self, name, zone, incarnation)
        self.down.discard(name)
        for other in self.nodes.values():
            if other.name not in self.down:
                node.peering.add_listed(contact(other.name, other.zone, 0))
        return node

    def kill(self, *names: str) -> None:
        """Kill gateways; connections to them are refused."""
        self.down.update(names)

    def cut(self, name: str) -> None:
        """Partition a gateway from all others, in both directions."""
        for other in self.nodes:
            self.cuts |= {(name, other), (other, name)}

    def split(self, some: Collection[str]) -> None:
        """Partition some gateways from all others, in both directions."""
        for one in some:
            for other in set(self.nodes) - set(some):
                self.cuts |= {(one, other), (other, one)}

    def heal(self) -> None:
        """End all partitions and pauses."""
        self.cuts.clear()
        self.paused.clear()

    def deliver(self, sender: str, receiver: str, request: Request) -> Response:
        """Deliver a request, and return the response."""
        if receiver in self.down:
            raise NotConnected("refused")
        lost = {(sender, receiver), (receiver, sender)} & self.cuts
        if lost or receiver in self.paused:
            raise ResponseTimeout("no answer in time")
        self.calls.append((sender, receiver))
        response = self.nodes[receiver].peering._handle(request)
        size = len(request.body) + len(response.body)
        self.bytes[sender] += size
        self.bytes[receiver] += size
        if self.nodes[sender].zone != self.nodes[receiver].zone:
            self.cross_zone_bytes += size
        return response

    def play(self, seconds: float) -> None:
        """Advance the clock, and run the gateways' rounds."""
        until = self.clock.elapsed() + timedelta(seconds=seconds)
        while self.clock.elapsed() < until:
            self.clock.advance(STEP)
            for node in list(self.nodes.values()):
                if node.name in self.down | self.paused:
                    continue
                node.report_streams()
                if self.clock.elapsed() >= node.due_at:
                    node.peering.run_round()
                    node.due_at = self.clock.elapsed() + node.peering.interval
            # Exchanges between aggregators run as separate tasks.
            for _ in range(3):
                sleep()

    def aggregators(self, zone: str) -> list[str]:
        """Return the running aggregators of a zone."""
        return [
            name
            for name, node in self.nodes.items()
            if node.zone == zone
            and name not in self.down
            and node.peering.is_aggregator
        ]


def no_rollouts(clock: Clock) -> Rollouts:
    """Return the rollouts of a gateway that knows of none."""
    return Rollouts(
        0.1,
        lambda service: [],
        ClusterTime(clock),
        clock,
        Random(1),
        timedelta(seconds=2.5),
    )


def single_gate(
    clock: Clock, count: Callable[..., None] = lambda name, **labels: None
) -> EndpointGate:
    """Return the gate of a gateway that lends itself all permits."""
    gate = EndpointGate.build("a", ("a",), lambda name: "a", clock, Random(1), count)
    gate.set_share(1.0)
    return gate


def single_peering(
    clock: Clock, rng: Random, gate: EndpointGate | None = None
) -> Peering:
    """Return the peering of a gateway without peers."""
    roster = Roster(contact("front-a-1"), clock)
    own = LocalState(
        lambda own: member(own.name), dict, dict, lambda prefix, since: None
    )
    time = ClusterTime(clock)
    strikes = StrikeReplicator(StrikeLedger(), roster.own.incarnation)
    context = PeerContext(
        own,
        roster,
        UsageLedger(),
        RecordingListener(),
        time,
        WORK_WINDOW,
        clock,
        strikes,
        gate or single_gate(clock),
        StreamReplicator(roster.own.name, 1, StreamRecords(clock), clock),
    )
    return Peering(context, 1, rng, PeerCalls(roster, clock))
