"""One entry process: its tasks, how they are joined, its start and its stop."""

import os
import random
import signal
from datetime import timedelta

from logbook import Logger

from sassafrasdale.callers.administration import Administration
from sassafrasdale.callers.app import CallerApp, error_answer
from sassafrasdale.callers.messages import HttpAnswer, HttpRequest, problem
from sassafrasdale.callers.routes import Router
from sassafrasdale.callers.server import CallerServer
from sassafrasdale.charts import Lifecycle, load_chart
from sassafrasdale.clock import Clock, SystemClock
from sassafrasdale.endpoints.directory import Directory
from sassafrasdale.endpoints.reports import LoadReader
from sassafrasdale.green import Event, Queue, listen, sleep, spawn
from sassafrasdale.platform.clouds import (
    CloudClient,
    InstancesListed,
    InstanceWatcher,
    NoticeGiven,
    NoticeWatcher,
    PricesListed,
    PriceWatcher,
)
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
from sassafrasdale.requests.registry import Registry
from sassafrasdale.requests.selection import Selector
from sassafrasdale.requests.structures import OutcomeName
from sassafrasdale.settings import EntrySettings
from sassafrasdale.text.current import CurrentText
from sassafrasdale.text.exceptions import TextError
from sassafrasdale.text.structures import ServiceKind

log = Logger("entry")

# Pause between two looks at what is held: deadlines and unread answers.
SWEEP_INTERVAL = timedelta(milliseconds=100)
# Time for the balancer to see that the entry is not ready any more.
UNREADY_LEAD = timedelta(seconds=1)
DRAIN_POLL = timedelta(milliseconds=50)


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
        self._current = CurrentText()
        self._listed = False
        self._directory = Directory(self._clock)
        store = EtcdStore(settings.store, self._clock)
        self._register = TextRegister(store, self._clock)
        self._cloud = CloudClient(settings.cloud)
        self._selector = Selector(
            self._directory,
            self._current,
            settings.availability_zone,
            self._clock,
            self._rng,
        )
        self._gates = Gates(self._directory, self._clock, self._rng)
        self._dispatcher = Dispatcher(
            settings.name,
            selector=self._selector,
            gates=self._gates,
            registry=Registry(self._clock),
            claims=Claims(store, self._clock),
            is_alive=lambda name: True,
            clock=self._clock,
            rng=self._rng,
        )
        self._server = CallerServer(
            self._answer,
            name=settings.name,
            max_body_bytes=settings.max_body_bytes,
            body_limit=settings.header_timeout,
        )
        self._router = Router([*self._callers().routes(), *self._operators().routes()])

    def run(self) -> None:
        """Serve until the process is told to stop."""
        listener = listen(self._settings.address)
        signal.signal(signal.SIGTERM, lambda number, frame: self._stop())
        signal.signal(signal.SIGINT, lambda number, frame: self._stop())
        for task in (
            TextWatcher(self._register, self._inbox, self._rng).run,
            InstanceWatcher(self._cloud, self._inbox, self._rng).run,
            NoticeWatcher(self._cloud, self._inbox, self._rng).run,
            PriceWatcher(self._cloud, self._inbox, self._rng).run,
            LoadReader(self._directory, self._is_engine, self._clock, self._rng).run,
            self._heed_messages,
            self._sweep,
        ):
            spawn(task)
        server = spawn(self._server.serve, listener)
        log.info("listening on {}", self._settings.address)
        self._stopped.wait()
        self._drain(listener)
        server.kill()

    def _callers(self) -> CallerApp:
        return CallerApp(
            current=self._current,
            dispatcher=self._dispatcher,
            is_ready=lambda: self._life.state == "ready",
            relay=lambda request, request_id: None,
            clock=self._clock,
            rng=self._rng,
        )

    def _operators(self) -> Administration:
        return Administration(
            current=self._current,
            register=self._register,
            accept=self._accept,
            status=self._status,
            burn=dict,
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
                self._accept(record)
            case InstancesListed(instances):
                self._directory.replace(instances)
                self._listed = True
                self._refresh()
            case PricesListed(prices):
                self._selector.set_prices(prices)
            case NoticeGiven(notice):
                self._directory.heed(notice)
                self._refresh()
        self._prepare()

    def _accept(self, record: TextRecord) -> None:
        try:
            accepted = self._current.accept(record)
        except TextError as error:
            log.error("revision {} is faulty: {}", record.revision, error)
            return
        if accepted:
            self._gates.set_text(self._current.text)
            log.info("revision {} is in force", record.revision)

    def _refresh(self) -> None:
        """Take over what the directory knows now."""
        self._selector.refresh()
        self._gates.refresh()

    def _is_engine(self, service: str) -> bool:
        text = self._current.text
        found = text.services.get(service) if text else None
        return found is not None and found.kind is ServiceKind.MODEL

    def _prepare(self) -> None:
        """Become ready once there is a text and a list of instances."""
        if self._current.text and self._listed and self._life.allows("prepare"):
            self._life.fire("prepare")
            log.info("ready")

    def _sweep(self) -> None:
        while True:
            sleep(SWEEP_INTERVAL)
            self._dispatcher.registry.sweep()
            self._gates.sweep()

    def _stop(self) -> None:
        """Begin to leave; runs as a signal handler, so it only posts."""
        if not self._stopped.ready():
            self._stopped.send(None)

    def _drain(self, listener) -> None:
        """Finish what is in flight, with no new work coming in."""
        self._life.fire("leave")
        log.info("leaving")
        until = self._clock.elapsed() + self._settings.drain_timeout
        sleep(UNREADY_LEAD)
        self._server.close_connections()
        listener.close()
        while self._clock.elapsed() < until and self._busy():
            sleep(DRAIN_POLL)
        self._life.fire("drained")
        log.info("stopped")

    def _busy(self) -> bool:
        return bool(self._server.open_answers or self._dispatcher.registry.running)

    def _status(self) -> dict:
        return {
            "entry": self._settings.name,
            "availability_zone": self._settings.availability_zone,
            "state": self._life.state,
            "revision": self._current.revision,
            "peers": [],
            "endpoints": [
                {
                    "name": endpoint.name,
                    "service": endpoint.instance.service,
                    "availability_zone": endpoint.instance.availability_zone,
                    "state": endpoint.state,
                    "in_flight": endpoint.in_flight,
                }
                for endpoint in self._directory.endpoints
            ],
            "requests_in_flight": {
                "generations": len(self._dispatcher.registry.running),
                "calls": self._dispatcher.calls_running,
            },
        }


def run_entry(settings: EntrySettings) -> None:
    """Run an entry process until it is told to stop.

    :param settings: settings of the process.
    """
    Entry(settings).run()
    # The hub may still hold idle connections; nothing of value is left in them.
    os._exit(0)
