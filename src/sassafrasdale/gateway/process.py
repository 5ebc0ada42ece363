"""One gateway process: its parts and tasks, and how they are joined."""

import os
import random
import signal
import socket
import sys
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta

from logbook import Logger

from sassafrasdale.charts import Lifecycle, load_chart
from sassafrasdale.clock import Clock, SuspendAwareClock
from sassafrasdale.coordination.leases import LeaseHolder
from sassafrasdale.decisions.ordering import PlannedService
from sassafrasdale.decisions.paces import EnginePaces
from sassafrasdale.deployment import GatewaySettings
from sassafrasdale.gateway.asking import Asking
from sassafrasdale.gateway.assignment import Ask, Assigned, Notes
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.gateway.directory import Directory
from sassafrasdale.gateway.dispatcher import Dispatcher
from sassafrasdale.gateway.drain import Drain
from sassafrasdale.gateway.fleet import WORK_WINDOW, Fleet
from sassafrasdale.gateway.frontend import Frontend
from sassafrasdale.gateway.knowledge import Knowledge
from sassafrasdale.gateway.metering import USAGE_FORM, USAGE_RECORD, UsageReporter
from sassafrasdale.gateway.peer_calls import OwnState, PeerCalls, Shared
from sassafrasdale.gateway.peer_states import (
    Contact,
    DutyClaim,
    EndpointLoad,
    HeardGroup,
    MemberState,
)
from sassafrasdale.gateway.peering import Peering
from sassafrasdale.gateway.placement import CacheBelief, Placement
from sassafrasdale.gateway.planning import planned_services
from sassafrasdale.gateway.quotas import Quotas
from sassafrasdale.gateway.records import DutyRecord
from sassafrasdale.gateway.registration import Registration
from sassafrasdale.gateway.roster import Roster
from sassafrasdale.gateway.scaling import ORDERS_FORM, ORDERS_RECORD, Scaler
from sassafrasdale.gateway.usage import (
    ClockReading,
    TrueTime,
    UsageCounts,
    UsageLedger,
)
from sassafrasdale.green import adopt, listen, sleep, spawn
from sassafrasdale.http.messages import Request
from sassafrasdale.http.server import HttpServer, ServerConnection, ServerLimits
from sassafrasdale.late_metrics import LateMetrics
from sassafrasdale.logs import start_logs
from sassafrasdale.platform.duties import DutyClient
from sassafrasdale.platform.early import take_opened
from sassafrasdale.platform.exceptions import AdapterError
from sassafrasdale.platform.store import PlatformStore
from sassafrasdale.structures import Address
from sassafrasdale.tasks import run_for_good

log = Logger("gateway")

DUTIES = "duties"
# Pause between two looks at signals and at what has run out.
TICK = timedelta(milliseconds=100)
# Time to live of the duties' lease, as a part of the time in which holders must not
# alternate. A holder that is killed leaves no order for that long, and endpoints take
# seconds more to start: with the whole of it, a reclaim that met a kill was answered
# after five to six seconds. A holder that lost the duties rests for the whole time.
LEASE_PART = 0.5
# Time after its start for which a gateway leaves the duties to an older one. It has
# not yet seen which endpoints are listed and what requests began in past windows.
LEFT_TO_OLDER = timedelta(seconds=3)


class Gateway:
    """All tasks of one gateway process.

    :param settings: settings of the process.
    :param reload_settings: reads the settings anew.
    :param metrics_address: where metrics are served.
    :param clock: source of time.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        reload_settings: Callable[[], GatewaySettings],
        metrics_address: Address | None = None,
        *,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._reload_settings = reload_settings
        self._metrics_address = metrics_address
        self._clock = clock or SuspendAwareClock()
        self._rng = rng or random.Random()
        self._life = Lifecycle(load_chart("entry"))
        self._must_stop = False
        self._must_reload = False
        self._drain: Drain | None = None
        self._build()

    def _build(self) -> None:
        settings = self._settings
        clock = self._clock
        bounds = settings.bounds
        self._started_at = clock.elapsed()
        self._incarnation = int(clock.now().timestamp() * 1000)
        self._metrics = LateMetrics(settings.name, settings.availability_zone)
        self._store_health = Dependency("store", clock)
        self._store = PlatformStore(settings.store, clock)
        self._directory = Directory(
            clock,
            self._rng,
            bounds.endpoint_drain,
            lambda: self._store_health.since_failure,
            lambda: self._metrics.count("endpoint connection opened"),
        )
        self._time = TrueTime(clock)
        self._usage = UsageCounts(bounds.usage_window, self._time)
        self._cache = CacheBelief()
        self._paces = EnginePaces()
        self._knowledge = Knowledge(
            self._store,
            self._store_health,
            self._directory,
            self._forget_engine,
            lambda *asked: self._peering.fetch(*asked),
            clock,
            self._rng,
            settings.availability_zones,
            lambda: self._peering.should_watch(),
        )
        contact = self._contact()
        shared = Shared(
            OwnState(
                self._make_state,
                self._knowledge.revisions,
                self._usage.report,
                self._knowledge.values_since,
                lambda: self._asking.open_sends,
            ),
            Roster(contact, clock),
            UsageLedger(),
            self,
            self._time,
            WORK_WINDOW,
            clock,
        )
        calls = PeerCalls(shared.roster, clock)
        zones = len(settings.availability_zones)
        self._peering = Peering(shared, zones, self._rng, calls)
        self._asking = Asking(
            contact, self._peering.dispatcher, calls.ask, calls.tell, clock
        )
        self._quotas = Quotas(
            bounds,
            self._peering.count,
            clock,
            self._peering.told_spent,
            self._peering.unseen_time,
            self._rng,
        )
        self._fleet = Fleet(
            self._directory,
            Placement(settings.availability_zone, self._cache, self._paces, self._rng),
            self._cache,
            self._paces,
            self._peering,
            self._usage,
            lambda: self._knowledge.configuration,
            bounds,
            clock,
            self._asking,
        )
        self._dispatcher = Dispatcher(self._fleet, clock)
        self._frontend = Frontend(
            lambda: self._knowledge.routes,
            self._fleet,
            self._quotas,
            self._metrics,
            clock,
            self._rng,
            may_serve=self._may_serve,
            last_end=self._last_end,
        )
        self._registration = Registration(
            contact,
            self._store,
            self._peering,
            self._store_health,
            self._rng,
        )
        self._lease = LeaseHolder(
            self._store,
            DUTIES,
            settings.name,
            clock,
            self._rng,
            max(bounds.lease * LEASE_PART, bounds.shortest_lease),
            self._duty_is_taken,
            rest=bounds.lease,
        )

    def _forget_engine(self, name: str) -> None:
        self._cache.forget(name)
        self._paces.forget(name)

    def run(self) -> None:
        """Serve until the process is told to stop."""
        settings = self._settings
        server = HttpServer(
            self._listener(settings.address),
            self._frontend.answer,
            self._clock,
            limits=self._caller_limits,
            is_draining=lambda: self._life.state == "draining",
        )
        spawn(server.serve)
        self._serve(settings.ready_address, self._answer_ready)
        self._serve(settings.peer_address, self._peering.answer)
        if self._metrics_address is not None:
            self._serve(self._metrics_address, self._answer_metrics)
        signal.signal(signal.SIGTERM, lambda number, frame: self._ask_stop())
        signal.signal(signal.SIGINT, lambda number, frame: self._ask_stop())
        signal.signal(signal.SIGHUP, lambda number, frame: self._ask_reload())
        tasks = self._knowledge.tasks()
        tasks += [self._registration.run, self._peering.run, self._asking.run]
        tasks += self._duty_tasks()
        for task in tasks:
            spawn(run_for_good, task)
        log.info(
            "gateway started",
            address=str(settings.address),
            incarnation=self._incarnation,
        )
        while not self._must_stop:
            self._tick()
            sleep(TICK)
        self._stop(server)

    def _listener(self, address: Address) -> socket.socket:
        opened = take_opened(str(address))
        return listen(address) if opened is None else adopt(opened)

    def _serve(
        self, address: Address, handle: Callable[[ServerConnection, Request], None]
    ) -> None:
        spawn(HttpServer(listen(address), handle, self._clock).serve)

    def _duty_tasks(self) -> list[Callable[[], None]]:
        settings = self._settings
        if settings.cloud is None:
            return []
        tasks: list[Callable[[], None]] = [self._lease.run]
        client = DutyClient(settings.cloud, settings.name, self._clock)
        if settings.reports_usage:
            reporter = UsageReporter(
                self._lease,
                client,
                DutyRecord(self._store, USAGE_RECORD, USAGE_FORM),
                self._peering.usage,
                self._time,
                self._clock,
                settings.bounds.usage_window,
                settings.bounds.usage_delay,
            )
            tasks.append(reporter.run)
        if settings.orders_endpoints:
            scaler = Scaler(
                self._lease,
                client,
                DutyRecord(self._store, ORDERS_RECORD, ORDERS_FORM),
                self._planned_services,
                self._clock,
                checks_fencing=settings.bounds.checks_fencing,
            )
            tasks.append(scaler.run)
        return tasks

    def _tick(self) -> None:
        if self._must_reload:
            self._must_reload = False
            self._reload()
        self._fleet.refresh_peer_loads()
        self._dispatcher.forget_silent()
        if not self._peering.is_aggregator:
            self._dispatcher.lay_down()
        self._directory.forget_lapsed()
        self._time.keep()
        self._may_serve()

    def _become_ready(self) -> None:
        self._life.fire("prepare")
        log.notice(
            "gateway ready",
            version=self._knowledge.configuration.version,
            endpoints=len(self._directory.records),
        )

    def _knows_enough(self) -> bool:
        # Without the list of gateways, each of many that start at once would take all
        # of the customers' limits for itself.
        return self._knowledge.is_complete and self._registration.has_listed

    def _stop(self, server: HttpServer) -> None:
        self._life.fire("leave")
        self._peering.leave()
        log.notice("gateway stopping", busy=server.busy_connections)
        spawn(self._hand_duties_back)
        spawn(self._peering.tell_all)
        self._drain = Drain(server, self._settings.bounds.stop_grace, self._clock)
        self._drain.run()
        self._peering.tell_all()
        self._life.fire("drained")
        log.notice("gateway stopped", busy=server.busy_connections)

    def _may_serve(self) -> bool:
        if self._life.state == "starting" and self._knows_enough():
            self._become_ready()
        return self._life.state != "starting"

    def _last_end(self) -> timedelta | None:
        return self._drain.last_end if self._drain else None

    def _hand_duties_back(self) -> None:
        self._lease.release()
        self._registration.release()

    def _ask_stop(self) -> None:
        self._must_stop = True

    def _ask_reload(self) -> None:
        self._must_reload = True

    def _reload(self) -> None:
        try:
            self._settings = self._reload_settings()
        except AdapterError as error:
            log.error("settings not reloaded, the old ones stay", why=str(error))
            return
        log.notice("settings reloaded")

    def _caller_limits(self) -> ServerLimits:
        limits = self._knowledge.caller_limits
        return ServerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout,
            limits.idle_timeout,
        )

    def hear_groups(self, groups: Sequence[HeardGroup]) -> None:
        """Take the sums over all other gateways."""
        self._quotas.hear_groups(groups)

    def hear_clock(self, name: str, reading: ClockReading) -> None:
        """Take another gateway's clock as it shows now."""
        self._time.hear(name, reading)

    def hear_revisions(self, peer: str, revisions: Mapping[str, int]) -> None:
        """Take how far another gateway has followed the store."""
        self._knowledge.hear(peer, revisions)

    def hear_sends(self, member: Contact, open_sends: tuple[int, ...]) -> None:
        """Take which sends of a member are under way that were named here."""
        self._dispatcher.reconcile(member.name, member.incarnation, open_sends)

    def assign(self, ask: Ask) -> Assigned | None:
        """Return the endpoint for another gateway's send."""
        return self._dispatcher.assign(ask)

    def note(self, notes: Notes) -> None:
        """Take what became of another gateway's sends."""
        self._dispatcher.note(notes)

    def _contact(self) -> Contact:
        settings = self._settings
        address = settings.peer_address
        return Contact(
            settings.name,
            settings.availability_zone,
            address.host,
            address.port,
            self._incarnation,
            power=settings.power,
        )

    def _make_state(self, contact: Contact) -> MemberState:
        holds = self._lease.state != "seeking"
        return MemberState(
            contact=contact,
            time=self._time.reading(),
            revisions=self._knowledge.revisions(),
            loads={
                record.name: EndpointLoad(record.in_flight, record.unread_tokens)
                for record in self._directory.records.values()
                if record.in_flight
            },
            spending=self._quotas.report(),
            work=dict(self._fleet.work()),
            duty=DutyClaim(self._lease.fencing_number) if holds else None,
            follows_store=self._follows_store(),
            token_times=self._fleet.token_times(),
        )

    def _follows_store(self) -> bool:
        return self._store_health.is_reached and self._peering.should_watch()

    def _duty_is_taken(self) -> bool:
        """Return whether another gateway has the duties or should take them."""
        if self._peering.names_holder():
            return True
        age = self._clock.elapsed() - self._started_at
        return age < LEFT_TO_OLDER and self._peering.may_have_older(self._incarnation)

    def _planned_services(self) -> tuple[PlannedService, ...]:
        return planned_services(
            self._knowledge.configuration, self._directory, self._load
        )

    def _load(self, service: str) -> float:
        own = self._fleet.work().get(service, 0.0)
        return own + self._peering.work(service)

    def _answer_ready(self, connection: ServerConnection, request: Request) -> None:
        ready = self._life.state == "ready"
        connection.answer(200 if ready else 503)

    def _answer_metrics(self, connection: ServerConnection, request: Request) -> None:
        headers = [("content-type", self._metrics.content_type)]
        connection.answer(200, headers, self._metrics.metrics_page())


def run_gateway(
    read_settings: Callable[[], GatewaySettings],
    *,
    metrics_port: int | None = None,
    log_level: str = "info",
) -> None:
    """Run a gateway process until it is told to stop.

    :param read_settings: reads the settings, now and at each reload.
    :raises AdapterError: if the settings can't be used.
    """
    settings = read_settings()
    logs = start_logs(settings.name, log_level, sys.stdout)
    metrics_address = None
    if metrics_port is not None:
        metrics_address = Address(settings.peer_address.host, metrics_port)
    Gateway(settings, read_settings, metrics_address).run()
    logs.close()
    # The hub may still hold idle connections; nothing of value is left in them.
    os._exit(0)
