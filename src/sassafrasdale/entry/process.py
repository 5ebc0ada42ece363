"""The entry process: creates its components and runs its tasks."""

import os
import random
import signal
from datetime import datetime, timedelta

from logbook import Logger

from sassafrasdale.callers.administration import Administration
from sassafrasdale.callers.app import CallerApp, error_response
from sassafrasdale.callers.messages import HttpRequest, HttpResponse, problem
from sassafrasdale.callers.relays import Relay
from sassafrasdale.callers.routes import Router
from sassafrasdale.callers.server import CallerServer
from sassafrasdale.charts import Lifecycle, load_chart
from sassafrasdale.clock import Clock, SystemClock
from sassafrasdale.coordination.batching import BatchingStore
from sassafrasdale.coordination.clouds import (
    CloudClient,
    InstanceWatcher,
    NoticeWatcher,
    PriceWatcher,
)
from sassafrasdale.coordination.etcd import EtcdStore
from sassafrasdale.coordination.leases import LeaseHolder
from sassafrasdale.coordination.texts import (
    TextRegister,
    TextWatcher,
)
from sassafrasdale.duties.capacity import DUTY, CapacityDuty
from sassafrasdale.duties.demand import FleetView
from sassafrasdale.endpoints.directory import Directory
from sassafrasdale.endpoints.load_poller import LoadPoller
from sassafrasdale.entry.coordinator import Coordinator
from sassafrasdale.entry.drain import Drain
from sassafrasdale.entry.status import StatusReport
from sassafrasdale.green import Event, GreenThread, Queue, listen, sleep, spawn
from sassafrasdale.logs import start_logs
from sassafrasdale.metrics import Metrics
from sassafrasdale.peers.node import PeerNode
from sassafrasdale.peers.structures import (
    MemberState,
)
from sassafrasdale.requests.claims import Claims
from sassafrasdale.requests.dispatcher import Dispatcher
from sassafrasdale.requests.gates import Gates
from sassafrasdale.requests.mover import Mover
from sassafrasdale.requests.registry import Registry
from sassafrasdale.requests.request_counters import RequestCounters
from sassafrasdale.requests.selection import Selector
from sassafrasdale.requests.structures import OutcomeName
from sassafrasdale.requests.transfers import Transfers
from sassafrasdale.settings import EntrySettings
from sassafrasdale.signals import handle_signals
from sassafrasdale.structures import Address
from sassafrasdale.tasks import run_forever
from sassafrasdale.text.current import CurrentText
from sassafrasdale.text.structures import ServiceKind

log = Logger("entry")

# Period at which held requests are checked for deadlines and unread responses.
SWEEP_INTERVAL = timedelta(milliseconds=100)
# Period at which the moves of streams off leaving endpoints are planned.
MOVE_PLAN_INTERVAL = timedelta(milliseconds=500)


class Entry:
    """One entry process, with all its tasks.

    :param settings: settings of the process.
    :param clock: source of time.
    :param rng: source of randomness.

    Usage::

        Entry(settings).run()
    """

    def __init__(
        self,
        settings: EntrySettings,
        *,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock or SystemClock()
        self._rng = rng or random.Random()
        self._lifecycle = Lifecycle(load_chart("entry"))
        self._inbox: Queue = Queue()
        self._stopped = Event()
        self._relay = Relay(self._find_holder)
        self._current = CurrentText()
        self._directory = Directory(self._clock)
        self._metrics = Metrics(settings.name, settings.availability_zone)
        self._counters = RequestCounters(self._metrics, self._clock)
        self._cloud = CloudClient(settings.cloud)
        self._peers = PeerNode(
            settings, self._clock, random.Random(self._rng.random()), self._inbox
        )
        self._selector = Selector(
            self._directory,
            self._current,
            settings.availability_zone,
            self._clock,
            self._rng,
        )
        self._gates = Gates(
            self._directory, self._selector.ejected, self._clock, self._rng
        )
        store = EtcdStore(settings.store, self._clock)
        self._register = TextRegister(store, self._clock)
        self._lease = LeaseHolder(
            store, DUTY, settings.name, self._clock, random.Random(self._rng.random())
        )
        self._capacity = CapacityDuty(
            self._lease,
            self._cloud,
            store,
            self._fleet_view,
            self._clock,
            random.Random(self._rng.random()),
        )
        self._dispatcher = Dispatcher(
            settings.name,
            selector=self._selector,
            gates=self._gates,
            registry=Registry(self._clock),
            claims=Claims(BatchingStore(store), self._clock),
            ledger=self._counters,
            is_alive=self._is_alive,
            clock=self._clock,
            rng=self._rng,
        )
        self._mover = Mover(self._dispatcher.registry, self._selector, self._clock)
        self._transfers = Transfers(
            settings.name,
            dispatcher=self._dispatcher,
            directory=self._directory,
            peers=self._peers,
            metrics=self._metrics,
            clock=self._clock,
        )
        self._server = CallerServer(
            self._handle,
            name=settings.name,
            max_body_bytes=settings.max_body_bytes,
            body_timeout=settings.header_timeout,
        )
        self._drain = self._make_drain()
        self._coordinator = self._make_coordinator()
        self._router = Router(
            [*self._make_caller_app().routes(), *self._make_administration().routes()]
        )

    def run(self) -> None:
        """Serve until the process is asked to stop, then shut down in order."""
        listener = listen(self._settings.address)
        handle_signals({signal.SIGTERM: self._stop, signal.SIGINT: self._stop})
        self._peers.start()
        watcher_arguments = (self._cloud, self._inbox, self._rng)
        for task in (
            TextWatcher(self._register, self._inbox, self._rng).run,
            InstanceWatcher(*watcher_arguments).run,
            NoticeWatcher(*watcher_arguments).run,
            PriceWatcher(*watcher_arguments).run,
            LoadPoller(self._directory, self._is_engine, self._clock, self._rng).run,
            self._coordinator.run,
            self._sweep,
            self._plan_moves,
        ):
            spawn(run_forever, task)
        duties = [
            spawn(run_forever, task) for task in (self._lease.run, self._capacity.run)
        ]
        spawn(self._server.serve, listener)
        log.info("listening on {}", self._settings.address)
        self._stopped.wait()
        self._stop_duties(duties)
        self._drain.run(listener)
        self._peers.stop()

    def _make_caller_app(self) -> CallerApp:
        return CallerApp(
            current=self._current,
            dispatcher=self._dispatcher,
            is_ready=lambda: self._lifecycle.state == "ready",
            accepts_requests=lambda: (
                self._drain.accepts_requests and self._lifecycle.state != "starting"
            ),
            relay=self._relay,
            metrics=self._metrics,
            clock=self._clock,
            rng=self._rng,
        )

    def _make_administration(self) -> Administration:
        report = StatusReport(
            settings=self._settings,
            lifecycle=self._lifecycle,
            current=self._current,
            directory=self._directory,
            peers=self._peers,
            dispatcher=self._dispatcher,
            capacity=self._capacity,
            counters=self._counters,
        )
        return Administration(
            current=self._current,
            register=self._register,
            accept=self._coordinator.accept_from_store,
            status=report.status,
            burn=report.burn,
            rng=self._rng,
        )

    def _make_coordinator(self) -> Coordinator:
        return Coordinator(
            self._settings.name,
            inbox=self._inbox,
            lifecycle=self._lifecycle,
            leave=self._leave,
            current=self._current,
            directory=self._directory,
            selector=self._selector,
            gates=self._gates,
            counters=self._counters,
            metrics=self._metrics,
            peers=self._peers,
            registry=self._dispatcher.registry,
            mover=self._mover,
            transfers=self._transfers,
            clock=self._clock,
        )

    def _make_drain(self) -> Drain:
        return Drain(
            self._settings.drain_timeout,
            lifecycle=self._lifecycle,
            server=self._server,
            relay=self._relay,
            peers=self._peers,
            dispatcher=self._dispatcher,
            transfers=self._transfers,
            clock=self._clock,
        )

    def _handle(self, request: HttpRequest) -> HttpResponse:
        try:
            return self._router.handle(request)
        except Exception as error:
            response = error_response(error)
            if response is not None:
                return response
            log.exception("unexpected error in {} {}", request.method, request.path)
            return problem(
                500,
                "Internal error",
                "an unforeseen error; the outcome is not known",
                outcome=OutcomeName.UNKNOWN,
            )

    def _sweep(self) -> None:
        while True:
            sleep(SWEEP_INTERVAL)
            self._coordinator.update_readiness()
            self._dispatcher.registry.sweep()
            self._gates.sweep()

    def _plan_moves(self) -> None:
        while True:
            sleep(MOVE_PLAN_INTERVAL)
            self._mover.update_plans()

    def _is_engine(self, service: str) -> bool:
        text = self._current.text
        known = text.services.get(service) if text else None
        return known is not None and known.kind is ServiceKind.MODEL

    def _is_alive(self, name: str) -> bool:
        return any(
            member.name == name and member.state is not MemberState.DEAD
            for member in self._peers.members()
        )

    def _find_holder(self, request_id: str) -> Address | None:
        member = self._peers.find(request_id)
        return member.address if member else None

    def _leave(self, leave_by: datetime | None) -> None:
        if leave_by is not None:
            self._drain.set_departure_time(leave_by)
        self._stop()

    def _stop(self) -> None:
        """Begin the shutdown; also a signal handler, so it only sends an event."""
        if not self._stopped.ready():
            self._stopped.send(None)

    def _stop_duties(self, duties: list[GreenThread]) -> None:
        """Stop the duties, and release the lease so that no entry waits for its end."""
        for task in duties:
            task.kill()
        spawn(self._lease.release)

    def _fleet_view(self) -> FleetView | None:
        """Return the input of the capacity duty, or None before this entry is ready."""
        if self._lifecycle.state != "ready":
            return None
        alive = sum(member.is_usable for member in self._peers.members())
        return FleetView(
            self._current.text,
            self._directory.endpoints,
            self._coordinator.prices,
            alive + 1,
        )


def run_entry(settings: EntrySettings) -> None:
    """Run an entry process until it is asked to stop.

    :param settings: settings of the process.
    """
    logs = start_logs(settings.name, settings.log_level)
    Entry(settings).run()
    logs.close()
    # The event loop may still have idle connections; they carry no requests.
    os._exit(0)
