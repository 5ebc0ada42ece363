"""The components of one gateway and their wiring."""

import random
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.quarantine import StrikeLedger
from sassafrasdale.decisions.step_times import EngineStepTimes
from sassafrasdale.deployment import GatewaySettings
from sassafrasdale.gateway.admission.attempt_queues import AttemptQueues
from sassafrasdale.gateway.admission.attempt_starter import AttemptStarter
from sassafrasdale.gateway.advertisements.departure_checks import DepartureChecks
from sassafrasdale.gateway.advertisements.endpoint_gate import EndpointGate
from sassafrasdale.gateway.datagrams import ReportDatagrams
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.gateway.directory import Directory
from sassafrasdale.gateway.dispatcher import Dispatcher
from sassafrasdale.gateway.dispatcher_client import DispatcherClient
from sassafrasdale.gateway.dispatcher_messages import (
    AssignmentReply,
    AssignmentRequest,
    AttemptReport,
)
from sassafrasdale.gateway.duties import Duties
from sassafrasdale.gateway.fleet import WORK_WINDOW, Fleet
from sassafrasdale.gateway.forwarding.checks import LinkChecks
from sassafrasdale.gateway.forwarding.forwarders import Forwarders
from sassafrasdale.gateway.forwarding.links import LinkMonitor
from sassafrasdale.gateway.forwarding.paths import EndpointPaths
from sassafrasdale.gateway.forwarding.receiver import ForwardingReceiver
from sassafrasdale.gateway.frontend import Frontend
from sassafrasdale.gateway.peer_calls import LocalState, PeerCalls, PeerContext
from sassafrasdale.gateway.peer_states import (
    Contact,
    EndpointLoad,
    MemberState,
    ReceivedGroup,
)
from sassafrasdale.gateway.peering import Peering
from sassafrasdale.gateway.placement import CacheEstimate, Placement
from sassafrasdale.gateway.planning import planned_services
from sassafrasdale.gateway.poller import Poller
from sassafrasdale.gateway.quarantine.quarantine import RequestQuarantine
from sassafrasdale.gateway.quarantine.records import StrikeRecords
from sassafrasdale.gateway.quarantine.replication import StrikeReplicator
from sassafrasdale.gateway.quarantine.soundness import SoundParts
from sassafrasdale.gateway.quarantine.trials import Trials
from sassafrasdale.gateway.quotas import Quotas
from sassafrasdale.gateway.registration import Registration
from sassafrasdale.gateway.rollouts import Rollouts
from sassafrasdale.gateway.roster import Roster
from sassafrasdale.gateway.store_view import StoreView
from sassafrasdale.gateway.streams.continuations import StreamContinuations
from sassafrasdale.gateway.streams.lookup import StreamLookup
from sassafrasdale.gateway.streams.messages import StreamRows
from sassafrasdale.gateway.streams.records import StreamRecords
from sassafrasdale.gateway.streams.replication import StreamReplicator
from sassafrasdale.gateway.streams.version_register import VersionRegister
from sassafrasdale.gateway.usage import (
    ClockReading,
    ClusterTime,
    UsageCounts,
    UsageLedger,
)
from sassafrasdale.http.messages import Request
from sassafrasdale.http.server import ServerConnection
from sassafrasdale.lazy_metrics import LazyMetrics
from sassafrasdale.platform.store import PlatformStore


class GatewayComponents:
    """All components of one gateway.

    Their references are circular, so some of them are looked up only on use.

    :param settings: settings of the process.
    :param may_serve: whether the gateway knows enough to take requests.
    :param last_end: returns the elapsed time by which new requests must end; None if
        there is no limit.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        rng: random.Random,
        may_serve: Callable[[], bool],
        last_end: Callable[[], timedelta | None],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self.incarnation = int(clock.now().timestamp() * 1000)
        self.metrics = LazyMetrics(settings.name, settings.availability_zone)
        self.time = ClusterTime(clock)
        self._cache = CacheEstimate()
        self._step_times = EngineStepTimes()
        self._usage = UsageCounts(settings.bounds.usage_window, self.time)
        self.datagrams = ReportDatagrams(
            settings.peer_address, self.receive_attempt_report
        )
        self.takes_datagrams = self.datagrams.open()
        self._contact = self._own_contact()
        self._build_store()
        self._build_quarantine()
        self._build_gate()
        self._build_store_view()
        self._build_peering()
        self._build_serving(may_serve, last_end)
        self._build_duties()

    def _build_store(self) -> None:
        clock = self._clock
        self._store = PlatformStore(self._settings.store, clock)
        # Watches sent during an outage never get a response. They are dropped and sent
        # again as soon as the store responds to any call.
        self._store_health = Dependency("store", clock, self._store.drop_watches)

    def _build_quarantine(self) -> None:
        clock = self._clock
        sound_parts = SoundParts(clock)
        self._strikes = StrikeLedger(
            now=lambda: self.time.seconds, is_sound=sound_parts.is_sound
        )
        self._trials = Trials(self._store, self.time, clock)
        self.quarantine = RequestQuarantine(
            self._settings.name,
            self._strikes,
            sound_parts,
            self._trials,
            self.time,
            clock,
            self.metrics.count,
            lambda record: self.links.confirm_crash(record),
            lambda endpoint, at: self.gate.rooms.may_be_overloaded(endpoint, at),
        )

    def _build_gate(self) -> None:
        self.gate = EndpointGate.build(
            self._settings.availability_zone,
            self._settings.availability_zones,
            lambda name: self.directory.zone_of(name),
            self._clock,
            self._rng,
            self.metrics.count,
            lambda name: self.fleet.peer_in_flight(name),
            lambda: self.peering.zone_in_flight(),
        )

    def _build_store_view(self) -> None:
        settings = self._settings
        clock = self._clock
        self.directory = Directory(
            clock,
            self._rng,
            settings.bounds.endpoint_drain,
            lambda: self._store_health.since_failure,
            lambda: self.metrics.count("endpoint connection opened"),
            self.quarantine.record_crash,
            self.quarantine.handle_expiry,
            self.gate.departures.is_leaving,
            self.gate.record_registration,
        )
        self.rollouts = Rollouts(
            settings.bounds.canary_share,
            self.directory.of_service,
            self.time,
            clock,
            self._rng,
            settings.bounds.lease,
            self.metrics.count,
        )
        self.store_view = StoreView(
            self._store,
            self._store_health,
            self.directory,
            self.rollouts,
            self._forget_engine,
            lambda *args: self.peering.fetch_values(*args),
            clock,
            self._rng,
            settings.availability_zones,
            lambda: self.peering.should_watch(),
        )

    def _build_peering(self) -> None:
        clock = self._clock
        local_state = LocalState(
            self._build_state,
            self.store_view.revisions,
            self._usage.report,
            self.store_view.values_since,
            lambda: self.dispatcher_client.open_attempts,
            lambda: self.version_register.registered(),
        )
        self._stream_records = StreamRecords(clock)
        self._stream_replicator = StreamReplicator(
            self._settings.name, self.incarnation, self._stream_records, clock
        )
        context = PeerContext(
            local_state,
            Roster(self._contact, clock),
            UsageLedger(),
            self,
            self.time,
            WORK_WINDOW,
            clock,
            StrikeReplicator(self._strikes, self.incarnation),
            self.gate,
            self._stream_replicator,
        )
        calls = self._calls = PeerCalls(context.roster, clock)
        zones = len(self._settings.availability_zones)
        self.peering = Peering(context, zones, self._rng, calls)
        self.dispatcher_client = DispatcherClient(
            self._contact,
            self.peering.dispatcher,
            calls.request_assignment,
            self._send_attempt_report,
            clock,
        )
        self._build_forwarding(context.roster)

    def _build_forwarding(self, roster: Roster) -> None:
        clock = self._clock
        settings = self._settings
        forwarders = Forwarders(roster, clock, self._rng)
        checks = LinkChecks(
            self.directory,
            self.store_view.service,
            self.gate.brittle.is_brittle,
            clock,
            self._rng,
        )
        self.links = LinkMonitor(
            self.directory,
            forwarders,
            checks,
            self.store_view.service,
            clock,
            self._rng,
            self.metrics.count,
        )
        self._paths = EndpointPaths(
            self.links, forwarders, self._cluster_time, clock, self.metrics.count
        )
        self.forwarding_receiver = ForwardingReceiver(
            self.directory,
            self.gate,
            self.quarantine,
            self.links,
            roster.own_zone_contacts,
            lambda: not roster.own.leaving,
            self._cluster_time,
            settings.cpu_cores,
            clock,
            self._rng,
            self.metrics.count,
        )

    def _cluster_time(self) -> float:
        return self.time.seconds

    def handle_peer(self, connection: ServerConnection, request: Request) -> None:
        """Respond to another gateway's request."""
        if self.forwarding_receiver.handles(request.target):
            self.forwarding_receiver.handle(connection, request)
        else:
            self.peering.handle(connection, request)

    def report_streams(self) -> None:
        """Report the streams of this gateway's callers until the task is killed."""
        self._stream_replicator.run(self._stream_aggregator, self._send_streams)

    def _stream_aggregator(self) -> tuple[str, int] | None:
        contact = self.peering.dispatcher()
        return None if contact is None else (contact.name, contact.incarnation)

    def _send_streams(self, rows: StreamRows) -> bool:
        contact = self.peering.dispatcher()
        return contact is not None and self._calls.report_streams(contact, rows)

    def _build_streams(self) -> None:
        clock = self._clock
        self.version_register = VersionRegister(
            self._store,
            self._store_health,
            self.directory,
            clock,
            self._rng,
            self.store_view.read_versions,
            lambda: self.store_view.is_loaded,
        )
        lookup = StreamLookup(
            self._stream_records,
            self._stream_replicator,
            self.peering.aggregators,
            self._calls.query_stream,
        )
        self._continuations = StreamContinuations(
            self._stream_replicator,
            lookup,
            self.version_register.only_version,
            clock,
            self.metrics.count,
        )

    def _build_serving(
        self,
        may_serve: Callable[[], bool],
        last_end: Callable[[], timedelta | None],
    ) -> None:
        settings = self._settings
        clock = self._clock
        self._build_streams()
        self._quotas = Quotas(
            settings.bounds,
            self.peering.gateway_count,
            clock,
            self.peering.counted_usage,
            self.peering.propagation_time,
            self._rng,
        )
        self.fleet = Fleet(
            self.directory,
            Placement(
                settings.availability_zone, self._cache, self._step_times, self._rng
            ),
            self._cache,
            self._step_times,
            self.peering,
            self._usage,
            lambda: self.store_view.configuration,
            settings.bounds,
            clock,
            self.rollouts,
            self.gate,
            self.dispatcher_client,
            self.version_register.may_begin,
        )
        self.queues = AttemptQueues(
            self.fleet,
            self._customer_weight,
            clock,
            self._rng,
            self.metrics.count,
        )
        self.dispatcher = Dispatcher(self.fleet, self.queues, clock)
        self.frontend = Frontend(
            lambda: self.store_view.routes,
            self.fleet,
            AttemptStarter(self.fleet, self.queues, clock, self.dispatcher_client),
            self._quotas,
            self.quarantine,
            self._paths,
            self._continuations,
            self.metrics,
            clock,
            self._rng,
            may_serve=may_serve,
            last_end=last_end,
        )

    def _build_duties(self) -> None:
        bounds = self._settings.bounds
        self.registration = Registration(
            self._contact,
            self._store,
            self.peering,
            self._store_health,
            self._clock,
            self._rng,
        )
        self.strike_records = StrikeRecords(
            self._settings.name,
            self._store,
            self._store_health,
            self._strikes,
            self._trials,
            self.peering,
            self.time,
            self._clock,
            self._rng,
        )
        self.departure_checks = DepartureChecks(
            self.gate.departures,
            self.directory,
            lambda: self.store_view.configuration,
            lambda: self.peering.is_aggregator,
            self._clock,
        )
        self.poller = Poller(
            self.store_view.followers(),
            self._store,
            self.peering.poll_slot,
            self.time,
            min(bounds.configuration_delay, bounds.endpoint_drain),
        )
        self.duties = Duties(
            self._settings,
            self._store,
            self.peering,
            lambda: planned_services(
                self.store_view.configuration,
                self.directory,
                self._load,
                self.rollouts,
                self.gate.is_limited,
                self.fleet.request_time,
            ),
            self.rollouts,
            self.time,
            self._clock,
            self._rng,
            self.incarnation,
        )

    def _forget_engine(self, name: str) -> None:
        self._cache.forget(name)
        self._step_times.forget(name)
        self.fleet.forget(name)

    def receive_groups(self, groups: Sequence[ReceivedGroup]) -> None:
        """Receive the totals over all other gateways."""
        self._quotas.receive_groups(groups)
        self.rollouts.receive_groups(groups)

    def receive_clock(self, name: str, reading: ClockReading) -> None:
        """Receive a current reading of another gateway's clock."""
        self.time.add_reading(name, reading)

    def receive_revisions(self, peer: str, revisions: Mapping[str, int]) -> None:
        """Receive the store revisions that another gateway knows."""
        self.store_view.receive_revisions(peer, revisions)

    def receive_versions(self, versions: dict[str, tuple[str, ...]]) -> None:
        """Receive the versions at which streams may begin, by service."""
        self.version_register.learn(versions)

    def receive_open_attempts(
        self, member: Contact, open_attempts: tuple[int, ...]
    ) -> None:
        """Receive which attempts assigned here are still in flight at a member."""
        self.dispatcher.reconcile(member.name, member.incarnation, open_attempts)

    def assign(self, request: AssignmentRequest) -> AssignmentReply | None:
        """Return the endpoint for another gateway's attempt, or why there is none."""
        return self.dispatcher.assign(request)

    def receive_attempt_report(self, report: AttemptReport) -> None:
        """Receive the outcomes of another gateway's attempts."""
        self.dispatcher.record_report(report)

    def _send_attempt_report(self, contact: Contact, report: AttemptReport) -> bool:
        return self.datagrams.send(contact, report) or self._calls.send_attempt_report(
            contact, report
        )

    def _own_contact(self) -> Contact:
        settings = self._settings
        address = settings.peer_address
        return Contact(
            settings.name,
            settings.availability_zone,
            address.host,
            address.port,
            self.incarnation,
            cpu_cores=settings.cpu_cores,
            takes_datagrams=self.takes_datagrams,
        )

    def _build_state(self, contact: Contact) -> MemberState:
        return MemberState(
            contact=contact,
            time=self.time.reading(),
            revisions=self.store_view.revisions(),
            loads={
                record.name: EndpointLoad(record.in_flight, record.prefill_tokens)
                for record in self.directory.records.values()
                if record.in_flight
            },
            limit_usage=self._quotas.report(),
            engine_time=dict(self.fleet.work()),
            duty=self.duties.claim(),
            follows_store=self._follows_store(),
            prefill_times=self.fleet.token_times(),
            canary_reports=self.rollouts.canary_reports(),
        )

    def _follows_store(self) -> bool:
        return self._store_health.is_reachable and self.peering.should_watch()

    def describe_queues(self) -> dict[str, object]:
        """Return the requests that wait here, for operators."""
        dispatcher = self.peering.dispatcher()
        return {
            "gateway": self._settings.name,
            "dispatcher": dispatcher.name if dispatcher else self._settings.name,
            "queues": self.queues.describe(),
        }

    def _customer_weight(self, customer: str) -> float:
        return self.store_view.configuration.weight(customer)

    def _load(self, service: str) -> float:
        own = self.fleet.work().get(service, 0.0)
        return own + self.peering.engine_time(service)
