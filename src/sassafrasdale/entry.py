"""One entry process: its tasks, how they are joined, its start and its stop."""

import os
import random
import signal
import socket
from collections.abc import Callable
from contextlib import suppress
from datetime import datetime, timedelta

from logbook import Logger

from sassafrasdale.callers.administration import Administration
from sassafrasdale.callers.app import CallerApp, error_answer
from sassafrasdale.callers.messages import HttpAnswer, HttpRequest, problem
from sassafrasdale.callers.relays import Relay
from sassafrasdale.callers.routes import Router
from sassafrasdale.callers.server import CallerServer
from sassafrasdale.charts import Lifecycle, load_chart
from sassafrasdale.clock import Clock, SystemClock
from sassafrasdale.duties.capacity import DUTY, CapacityDuty
from sassafrasdale.duties.demand import FleetView
from sassafrasdale.endpoints.directory import Directory, Endpoint
from sassafrasdale.endpoints.reports import LoadReader
from sassafrasdale.green import Event, GreenThread, Queue, listen, sleep, spawn
from sassafrasdale.logs import start_logs
from sassafrasdale.metrics import Metrics
from sassafrasdale.peers.node import PeerNode
from sassafrasdale.peers.structures import (
    FindAsked,
    HandOverOffered,
    Member,
    MembersChanged,
    MemberState,
    NoticeHeard,
    TextOffered,
)
from sassafrasdale.platform.clouds import (
    CloudClient,
    InstancesListed,
    InstanceWatcher,
    NoticeGiven,
    NoticeWatcher,
    Price,
    PricesListed,
    PriceWatcher,
)
from sassafrasdale.platform.exceptions import StoreError
from sassafrasdale.platform.gathering import GatheringStore
from sassafrasdale.platform.leases import LeaseHolder
from sassafrasdale.platform.stores import EtcdStore
from sassafrasdale.platform.texts import (
    TextAccepted,
    TextRecord,
    TextRegister,
    TextWatcher,
)
from sassafrasdale.requests.claims import Claims
from sassafrasdale.requests.dispatcher import Dispatcher
from sassafrasdale.requests.gates import Gates
from sassafrasdale.requests.ledger import Ledger
from sassafrasdale.requests.mover import Mover
from sassafrasdale.requests.registry import Registry
from sassafrasdale.requests.selection import Selector
from sassafrasdale.requests.structures import OutcomeName
from sassafrasdale.requests.transfers import Transfers
from sassafrasdale.settings import EntrySettings
from sassafrasdale.structures import Address, Instance, InstanceState, Notice
from sassafrasdale.text.current import CurrentText
from sassafrasdale.text.exceptions import TextError
from sassafrasdale.text.structures import ServiceKind

log = Logger("entry")

# Pause between two looks at what is held: deadlines and unread answers.
SWEEP_INTERVAL = timedelta(milliseconds=100)
# Time for the balancer to see that the entry is not ready any more.
UNREADY_LEAD = timedelta(seconds=1)
# Share of a short notice that the lead takes at most.
LEAD_SHARE = 0.25
# Pause before a task that failed is started again.
TASK_PAUSE = timedelta(seconds=1)
DRAIN_POLL = timedelta(milliseconds=50)
# What is left this long before the end of a stop is handed over.
HAND_OVER_RESERVE = timedelta(seconds=2)
# What is relayed is ended this long before, and callers go on through others.
RELAY_RESERVE = timedelta(seconds=1)
# Whoever still waits is told what is known this long before.
ANSWER_RESERVE = timedelta(milliseconds=300)
# Pause between two plans for the streams of leaving endpoints.
REVIEW_INTERVAL = timedelta(milliseconds=500)
# A connection that was accepted last still gets its answer within this time.
LAST_CALL = timedelta(milliseconds=100)
# A text that came from a peer is trusted to be the newest after this time, in
# which every peer has been probed or has told of a newer one.
PEER_TEXT_SETTLE = timedelta(seconds=3)


class Entry:
    """All tasks of one entry process.

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
        self._life = Lifecycle(load_chart("entry"))
        self._inbox: Queue = Queue()
        self._stopped = Event()
        self._leave_by: datetime | None = None
        self._takes_work = True
        self._relay = Relay(self._find_holder)
        self._listed = False
        self._text_trusted_at: timedelta | None = None
        self._current = CurrentText()
        self._directory = Directory(self._clock)
        self._metrics = Metrics(settings.name, settings.availability_zone)
        self._ledger = Ledger(self._metrics, self._clock)
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
        self._gates = Gates(self._directory, self._clock, self._rng)
        store = EtcdStore(settings.store, self._clock)
        self._register = TextRegister(store, self._clock)
        self._prices: tuple[Price, ...] = ()
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
            claims=Claims(GatheringStore(store), self._clock),
            ledger=self._ledger,
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
            self._answer,
            name=settings.name,
            max_body_bytes=settings.max_body_bytes,
            body_limit=settings.header_timeout,
        )
        self._router = Router([*self._callers().routes(), *self._operators().routes()])

    def run(self) -> None:
        """Serve until the process is told to stop, then finish what is held."""
        listener = listen(self._settings.address)
        signal.signal(signal.SIGTERM, lambda number, frame: self._stop())
        signal.signal(signal.SIGINT, lambda number, frame: self._stop())
        self._peers.start()
        watched = (self._cloud, self._inbox, self._rng)
        for task in (
            TextWatcher(self._register, self._inbox, self._rng).run,
            InstanceWatcher(*watched).run,
            NoticeWatcher(*watched).run,
            PriceWatcher(*watched).run,
            LoadReader(self._directory, self._is_engine, self._clock, self._rng).run,
            self._heed_messages,
            self._sweep,
            self._review,
        ):
            spawn(_run_for_good, task)
        duties = [
            spawn(_run_for_good, task) for task in (self._lease.run, self._capacity.run)
        ]
        spawn(self._server.serve, listener)
        log.info("listening on {}", self._settings.address)
        self._stopped.wait()
        self._give_up(duties)
        self._drain(listener)
        self._peers.stop()

    def _callers(self) -> CallerApp:
        return CallerApp(
            current=self._current,
            dispatcher=self._dispatcher,
            is_ready=lambda: self._life.state == "ready",
            takes_work=lambda: self._takes_work and self._life.state != "starting",
            relay=self._relay,
            metrics=self._metrics,
            clock=self._clock,
            rng=self._rng,
        )

    def _operators(self) -> Administration:
        return Administration(
            current=self._current,
            register=self._register,
            accept=self._accept_from_store,
            status=self._status,
            burn=self._burn,
            rng=self._rng,
        )

    def _answer(self, request: HttpRequest) -> HttpAnswer:
        try:
            return self._router.answer(request)
        except Exception as error:
            answer = error_answer(error)
            if answer is not None:
                return answer
            log.exception("unforeseen error at {} {}", request.method, request.path)
            return problem(
                500,
                "Internal error",
                "an unforeseen error; the outcome is not known",
                outcome=OutcomeName.UNKNOWN,
            )

    def _heed_messages(self) -> None:
        """Take messages of the other tasks, one after the other."""
        while True:
            message = self._inbox.get()
            try:
                self._heed(message)
            except Exception:
                log.exception("message {} was not heeded", type(message).__name__)

    def _heed(self, message: object) -> None:
        match message:
            case TextAccepted(record):
                self._accept_from_store(record)
            case TextOffered(record):
                self._heed_peer_text(record)
            case InstancesListed(instances):
                self._heed_instances(instances)
            case PricesListed(prices):
                self._prices = prices
                self._selector.set_prices(prices)
            case NoticeGiven(notice):
                self._heed_notice(notice)
                self._peers.spread_notice(notice)
            case NoticeHeard(notice):
                self._heed_notice(notice)
            case MembersChanged(members):
                self._heed_members(members)
            case HandOverOffered(handover, reply):
                stays = self._life.state == "ready"
                self._transfers.take(handover, reply, stays=stays)
            case FindAsked(request_id, reply):
                reply(self._dispatcher.registry.holds(request_id))

    def _heed_peer_text(self, record: TextRecord) -> None:
        if self._text_trusted_at is None:
            self._text_trusted_at = self._clock.elapsed() + PEER_TEXT_SETTLE
        self._accept(record)

    def _heed_instances(self, instances: tuple[Instance, ...]) -> None:
        self._listed = True
        self._peers.set_candidates(instances)
        for endpoint in self._directory.replace(instances):
            self._mover.empty(endpoint)
        self._refresh()
        listed = {instance.name: instance for instance in instances}
        own = listed.get(self._settings.name)
        if own is not None and own.state is InstanceState.LEAVING:
            self._stop()

    def _heed_notice(self, notice: Notice) -> None:
        if notice.instance == self._settings.name:
            self._leave_by = notice.leaves_at
            self._stop()
            return
        endpoint = self._directory.heed(notice)
        if endpoint is None:
            return
        log.info("endpoint {} leaves at {}", endpoint.name, notice.leaves_at)
        self._refresh()
        self._mover.empty(endpoint)

    def _heed_members(self, members: tuple[Member, ...]) -> None:
        alive = sum(member.is_usable for member in members)
        self._gates.set_live_entries(alive + 1)
        for state in MemberState:
            count = sum(member.state is state for member in members)
            self._metrics.set_peers(state.name.lower(), count)

    def _accept_from_store(self, record: TextRecord) -> None:
        """Put an edit in force that the store holds or has just accepted."""
        self._text_trusted_at = self._clock.elapsed()
        self._accept(record)

    def _accept(self, record: TextRecord) -> None:
        """Put an accepted edit in force here, and tell the peers of it."""
        try:
            accepted = self._current.accept(record)
        except TextError as error:
            log.error("revision {} is faulty: {}", record.revision, error)
            return
        if not accepted:
            return
        self._gates.set_text(self._current.text)
        self._ledger.set_text(self._current.text)
        self._metrics.set_revision(record.revision)
        self._peers.offer_text(record)
        log.info("revision {} is in force", record.revision)

    def _refresh(self) -> None:
        """Take over what the directory knows now."""
        self._selector.refresh()
        self._gates.refresh()

    def _prepare(self) -> None:
        """Become ready once there is a list of instances and a trusted text.

        An entry that starts while the store is out takes the text from a peer,
        which may itself be behind; it is trusted once every peer had time to
        tell of a newer one.
        """
        if not self._life.allows("prepare"):
            return
        if self._current.text is None or not self._listed:
            return
        if self._clock.elapsed() < self._text_trusted_at:
            return
        self._life.fire("prepare")
        log.info("ready with revision {}", self._current.revision)

    def _sweep(self) -> None:
        while True:
            sleep(SWEEP_INTERVAL)
            self._prepare()
            self._dispatcher.registry.sweep()
            self._gates.sweep()

    def _review(self) -> None:
        while True:
            sleep(REVIEW_INTERVAL)
            self._mover.review()

    def _is_engine(self, service: str) -> bool:
        text = self._current.text
        found = text.services.get(service) if text else None
        return found is not None and found.kind is ServiceKind.MODEL

    def _is_alive(self, name: str) -> bool:
        return any(
            member.name == name and member.state is not MemberState.DEAD
            for member in self._peers.members()
        )

    def _find_holder(self, request_id: str) -> Address | None:
        member = self._peers.find(request_id)
        return member.address if member else None

    def _stop(self) -> None:
        """Begin to leave; runs as a signal handler too, so it only posts."""
        if not self._stopped.ready():
            self._stopped.send(None)

    def _give_up(self, duties: list[GreenThread]) -> None:
        """End the duties, and release the lease so that nobody waits for it."""
        for task in duties:
            task.kill()
        spawn(self._release_lease)

    def _release_lease(self) -> None:
        # If the store is out, the lease runs out by itself.
        with suppress(StoreError):
            self._lease.release()

    def _fleet_view(self) -> FleetView | None:
        """Return what the capacity duty plans by, or None before it is known."""
        if self._life.state != "ready":
            return None
        alive = sum(member.is_usable for member in self._peers.members())
        return FleetView(
            self._current.text, self._directory.endpoints, self._prices, alive + 1
        )

    def _drain(self, listener: socket.socket) -> None:
        """Finish what is in flight, hand over what doesn't fit.

        Connections are taken until the end: peers fetch here what this entry
        still holds, for callers who come back through them.
        """
        began = self._clock.elapsed()
        self._life.fire("leave")
        self._peers.announce_leaving()
        left = self._time_to_leave(began)
        log.info("leaving within {}", left)
        self._transfers.give_what_does_not_fit(left)
        sleep(min(UNREADY_LEAD, left * LEAD_SHARE))
        self._takes_work = False
        self._server.close_connections()
        while (left := self._time_to_leave(began)) and self._is_busy():
            if left < HAND_OVER_RESERVE:
                self._transfers.give_what_does_not_fit(timedelta())
            if left < RELAY_RESERVE:
                self._relay.release()
            if left < ANSWER_RESERVE:
                self._dispatcher.give_up_all()
            self._transfers.give_undelivered()
            sleep(DRAIN_POLL)
        listener.close()
        sleep(min(LAST_CALL, self._time_to_leave(began)))
        self._life.fire("drained")
        log.info("stopped")

    def _time_to_leave(self, began: timedelta) -> timedelta:
        """Return what is left of a stop that began at ``began``.

        A notice may come during a planned stop, and then counts if it is sooner.
        """
        left = began + self._settings.drain_timeout - self._clock.elapsed()
        if self._leave_by is not None:
            left = min(left, self._leave_by - self._clock.now())
        return max(timedelta(), left)

    def _is_busy(self) -> bool:
        registry = self._dispatcher.registry
        return bool(
            self._server.open_answers or registry.running or registry.undelivered
        )

    def _burn(self) -> dict:
        return {"entry": self._settings.name, **self._ledger.burn()}

    def _status(self) -> dict:
        return {
            "entry": self._settings.name,
            "availability_zone": self._settings.availability_zone,
            "state": self._life.state,
            "revision": self._current.revision,
            "duties": {DUTY: self._capacity.state},
            "peers": [_peer_status(member) for member in self._peers.members()],
            "endpoints": [
                _endpoint_status(endpoint) for endpoint in self._directory.endpoints
            ],
            "requests_in_flight": {
                "generations": len(self._dispatcher.registry.running),
                "calls": self._dispatcher.calls_running,
            },
        }


def _run_for_good(task: Callable[[], None]) -> None:
    """Run a task that must never end, also after an unforeseen error.

    Without this an error would end the task in silence, and the entry would go
    on without, for example, heeding notices.
    """
    while True:
        try:
            task()
        except Exception:
            log.exception("task {} failed and is started again", task.__qualname__)
        sleep(TASK_PAUSE)


def _peer_status(member: Member) -> dict:
    return {
        "name": member.name,
        "availability_zone": member.availability_zone,
        "address": str(member.address),
        "state": member.state.name.lower(),
        "revision": member.revision,
    }


def _endpoint_status(endpoint: Endpoint) -> dict:
    return {
        "name": endpoint.name,
        "service": endpoint.instance.service,
        "availability_zone": endpoint.instance.availability_zone,
        "state": endpoint.state,
        "in_flight": endpoint.in_flight,
    }


def run_entry(settings: EntrySettings) -> None:
    """Run an entry process until it is told to stop.

    :param settings: settings of the process.
    """
    logs = start_logs(settings.name, settings.log_level)
    Entry(settings).run()
    logs.close()
    # The hub may still hold idle connections; nothing of value is left in them.
    os._exit(0)
