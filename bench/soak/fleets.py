"""The fleet of a soak: gateway processes, stand-ins, and their disruptions."""

from collections import deque
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager, suppress
from datetime import timedelta
from pathlib import Path
from random import Random

from logbook import Logger

from bench.capacity.usage import cpu_of, resident_bytes
from bench.soak.callers import Listener
from bench.soak.deployment import (
    CRASH_MARKER,
    CRASH_PART,
    LEAVING,
    MODELS,
    RECORDS,
    SETTINGS,
    STREAM_EVENTS,
    VERSIONS,
    ZONES,
    Configuration,
    is_plain,
)
from bench.soak.gateways import Gateway
from bench.soak.plans import (
    ClockStep,
    Disruption,
    EndlessResponses,
    EndpointCrash,
    EndpointDrain,
    EndpointLinkFault,
    EndpointPause,
    EndpointRelease,
    Kill,
    KillAll,
    NewRoute,
    Pause,
    Restart,
    Revocation,
    SoakPlan,
    StoreCompaction,
    StoreLinkFault,
    StoreOutage,
    StoreRestore,
)
from bench.soak.records import ConfigurationChange, DrainPeriod, Span, Usage
from bench.soak.stepping import PROGRAM, STEP_BACK, STEP_FORWARD
from sassafrasdale.clock import Clock
from sassafrasdale.green import GreenThread, sleep, spawn
from sassafrasdale.structures import Address
from standins.duty_calls import DutyCall
from standins.gateway_endpoints import (
    RESTART_DELAY,
    Endless,
    PartDefect,
    StandInEndpoint,
)
from standins.gateway_fleet import CONT, KILL, STOP, TERM, GatewayFleet, wait_for
from standins.kv_store import Copy, Fault
from standins.links import Link

log = Logger("soak")

# Gateways whose time of day can be stepped by signals.
GATEWAY_PROGRAM = ("-m", PROGRAM)
STOP_TIMEOUT = timedelta(seconds=20)
READY_TIMEOUT = timedelta(seconds=10)
# Time between two checks of a gateway's state.
POLL_INTERVAL = timedelta(milliseconds=50)
# Interval between copies of the store, and how many are kept.
COPY_INTERVAL = timedelta(milliseconds=200)
MAX_COPIES = 100
# Interval between measurements of what gateways use.
USAGE_INTERVAL = timedelta(milliseconds=250)
# Time that an endpoint says that it leaves, before it is replaced in a release.
RELEASE_LEAD = timedelta(seconds=2)
# Time after which operators and endpoints repeat what a restored store has lost.
REPEAT_DELAY = timedelta(milliseconds=700)


class SoakFleet:
    """The processes and stand-ins of a soak.

    :param plan: its disruptions.
    :param program: arguments of the interpreter that name the gateways' program.
    """

    def __init__(
        self, plan: SoakPlan, clock: Clock, program: Sequence[str] = GATEWAY_PROGRAM
    ) -> None:
        self._clock = clock
        self._rng = Random(plan.seed)
        self._program = program
        self.configuration = Configuration()
        self._fleet = GatewayFleet(SETTINGS, self.configuration.document())
        self.spans: list[Span] = []
        self.changes: list[ConfigurationChange] = []
        self.drains: list[DrainPeriod] = []
        self.usage: list[Usage] = []
        self._links: list[Link] = []
        self._draining: set[StandInEndpoint] = set()
        self.endpoints = [self._endpoint(n) for n in range(plan.endpoints)]
        self.gateways = [self._gateway(n) for n in range(plan.gateways)]
        self._tasks: list[GreenThread] = []
        self._copies: deque[tuple[timedelta, Copy]] = deque(maxlen=MAX_COPIES)
        spawn(self._take_copies)
        spawn(self._measure_usage)

    @property
    def duty_calls(self) -> list[DutyCall]:
        """Calls that leaders have made."""
        return self._fleet.duties.calls

    def start(self) -> None:
        """Start all gateways and wait until they accept callers."""
        for gateway in self.gateways:
            gateway.launch()
        for gateway in self.gateways:
            gateway.process.wait_until_ready()

    def close(self) -> None:
        """End all processes."""
        self._fleet.close()

    def pick_listener(self) -> Listener:
        """Return a running gateway's listener, as a load balancer would."""
        up = [gateway for gateway in self.gateways if not gateway.is_down]
        return self._rng.choice(up or self.gateways).listener

    def disrupt(self, disruption: Disruption) -> None:
        """Begin a disruption, and let it run concurrently with others."""
        log.info("disruption", what=str(disruption))
        self._tasks.append(spawn(self._carry_out, disruption))

    def wait_until_recovered(self) -> None:
        """Wait until all disruptions are over, and all gateways accept callers again.

        Gateways that are not ready in time are found by the final check.
        """
        for task in self._tasks:
            task.wait()
        deadline = self._clock.elapsed() + READY_TIMEOUT
        while self._clock.elapsed() < deadline and not self._all_are_ready():
            sleep(POLL_INTERVAL)

    def keep_logs(self, folder: Path) -> None:
        """Write each gateway's log and exit code to a folder."""
        folder.mkdir(parents=True, exist_ok=True)
        for gateway in self.gateways:
            code = gateway.process.exit_code()
            text = f"{gateway.process.output()}exit code {code}\n"
            path = folder / f"{gateway.process.name}.log"
            path.write_text(text, encoding="utf-8")

    def _all_are_ready(self) -> bool:
        return all(gateway.process.is_ready() for gateway in self.gateways)

    def _endpoint(self, number: int) -> StandInEndpoint:
        plain = is_plain(number)
        endpoint = self._fleet.add_endpoint(
            f"{'r' if plain else 'm'}-{number}",
            RECORDS if plain else MODELS,
            ZONES[number % len(ZONES)],
            streams=not plain,
            crash_marker=CRASH_MARKER,
            proxy=lambda address: _link_to(address, self._links),
            version=VERSIONS[number % len(VERSIONS)],
        )
        endpoint.names_version = True
        endpoint.events = STREAM_EVENTS
        if not plain:
            endpoint.part_defect = PartDefect(CRASH_PART, down_time=RESTART_DELAY)
        return endpoint

    def _gateway(self, number: int) -> Gateway:
        links: list[Link] = []
        process = self._fleet.add_gateway(
            f"front-{number}",
            ZONES[number % len(ZONES)],
            program=self._program,
            proxy=lambda address: _link_to(address, links),
        )
        return Gateway(number, process, links[0])

    def _carry_out(self, disruption: Disruption) -> None:
        match disruption:
            case Kill(number, duration):
                self._kill([self.gateways[number]], duration)
            case KillAll(duration):
                self._kill(self.gateways, duration)
            case Pause(number, duration):
                self._pause(self.gateways[number], duration)
            case Restart(number):
                self._restart(self.gateways[number])
            case StoreOutage(fault, duration):
                self._break_store(fault, duration)
            case StoreCompaction():
                self._fleet.store.compact_history()
            case StoreRestore(age, duration):
                self._restore_store(age, duration)
            case StoreLinkFault(number, link_fault, duration):
                with self._span("store link", number):
                    self.gateways[number].link.inject(link_fault, duration)
            case EndpointLinkFault(number, link_fault, duration):
                with self._span("endpoint link", endpoint=self.endpoints[number].name):
                    self._links[number].inject(link_fault, duration)
            case EndpointCrash(number):
                self.endpoints[number].crash()
            case EndpointRelease(number):
                self._release(self.endpoints[number], VERSIONS[(number + 1) % 2])
            case EndpointPause(numbers, duration):
                self._pause_endpoints([self.endpoints[n] for n in numbers], duration)
            case EndlessResponses(numbers, kind, duration):
                self._make_endless([self.endpoints[n] for n in numbers], kind, duration)
            case EndpointDrain(number, duration):
                self._drain(self.endpoints[number], duration)
            case ClockStep(number, ahead):
                self._step_clock(self.gateways[number], ahead=ahead)
            case NewRoute():
                self.configuration.routes += 1
                self._change(added_route=self.configuration.routes)
            case Revocation():
                self._revoke()

    @contextmanager
    def _span(
        self, what: str, gateway: int | None = None, endpoint: str = ""
    ) -> Iterator[None]:
        span = self._begin_span(what, gateway, endpoint)
        try:
            yield
        finally:
            span.ended = self._clock.elapsed()

    def _begin_span(self, what: str, gateway: int | None, endpoint: str = "") -> Span:
        span = Span(what, self._clock.elapsed(), gateway, endpoint=endpoint)
        self.spans.append(span)
        return span

    def _kill(self, gateways: list[Gateway], duration: timedelta) -> None:
        killed = [gateway for gateway in gateways if not gateway.is_down]
        for gateway in killed:
            self._mark_down(gateway, "kill")
            gateway.process.signal(KILL)
        sleep(duration)
        for gateway in killed:
            gateway.launch()

    def _restart(self, gateway: Gateway) -> None:
        if gateway.is_down:
            return
        self._mark_down(gateway, "restart")
        gateway.process.signal(TERM)
        wait_for(
            lambda: gateway.process.exit_code() is not None, "not stopped", STOP_TIMEOUT
        )
        gateway.launch()

    def _mark_down(self, gateway: Gateway, what: str) -> None:
        """Record a disruption that ends when the restarted gateway accepts callers."""
        gateway.is_down = True
        span = self._begin_span(what, gateway.number)
        spawn(self._end_when_restarted, gateway, gateway.incarnation, span)

    def _end_when_restarted(self, gateway: Gateway, before: int, span: Span) -> None:
        while gateway.incarnation == before or not gateway.process.is_ready():
            sleep(POLL_INTERVAL)
        span.ended = self._clock.elapsed()

    def _pause(self, gateway: Gateway, duration: timedelta) -> None:
        if gateway.is_down:
            return
        with self._span("pause", gateway.number):
            gateway.process.signal(STOP)
            sleep(duration)
            gateway.process.signal(CONT)

    def _step_clock(self, gateway: Gateway, *, ahead: bool) -> None:
        # Before it is ready, its process may not handle the signal yet.
        if gateway.is_down or not gateway.process.is_ready():
            return
        with self._span("clock step", gateway.number):
            gateway.process.signal(STEP_FORWARD if ahead else STEP_BACK)

    def _break_store(self, fault: Fault, duration: timedelta) -> None:
        with self._span("store out"):
            self._fleet.store.fault = fault
            sleep(duration)
            self._fleet.store.fault = Fault.NONE

    def _restore_store(self, age: timedelta, duration: timedelta) -> None:
        """Restore the store; operators and endpoints repeat what it has lost."""
        store = self._fleet.store
        copy = self._copy_of(self._clock.elapsed() - age)
        with self._span("store out"):
            store.fault = Fault.BUSY
            sleep(duration)
            store.restore(copy)
            store.fault = Fault.NONE
            sleep(REPEAT_DELAY)
            store.put("op/config", self.configuration.document())
            for endpoint in self.endpoints:
                endpoint.register_again()

    def _copy_of(self, at: timedelta) -> Copy:
        """Return the latest copy that was taken by a time."""
        older = [copy for taken_at, copy in self._copies if taken_at <= at]
        return older[-1] if older else self._copies[0][1]

    def _take_copies(self) -> None:
        while True:
            self._copies.append((self._clock.elapsed(), self._fleet.store.take_copy()))
            sleep(COPY_INTERVAL)

    def _measure_usage(self) -> None:
        while True:
            sleep(USAGE_INTERVAL)
            for gateway in self.gateways:
                # A process that has just ended has no memory any more.
                with suppress(KeyError, OSError):
                    self.usage.append(self._usage_of(gateway))

    def _usage_of(self, gateway: Gateway) -> Usage:
        pid = gateway.process.pid
        return Usage(
            gateway.number,
            gateway.incarnation,
            self._clock.elapsed(),
            resident_bytes(pid),
            cpu_of(pid),
        )

    def _pause_endpoints(
        self, endpoints: list[StandInEndpoint], duration: timedelta
    ) -> None:
        for endpoint in endpoints:
            endpoint.pause(duration)
        sleep(duration)

    def _make_endless(
        self, endpoints: list[StandInEndpoint], kind: Endless, duration: timedelta
    ) -> None:
        # Responses that have begun by then go on until their connections are closed.
        with ExitStack() as stack:
            for endpoint in endpoints:
                stack.enter_context(self._span("endless", endpoint=endpoint.name))
                endpoint.endless = kind
            sleep(duration)
            for endpoint in endpoints:
                endpoint.endless = None

    def _release(self, endpoint: StandInEndpoint, version: str) -> None:
        """Have an endpoint leave, and restart it at another version."""
        if endpoint in self._draining:
            return
        self._draining.add(endpoint)
        endpoint.register("draining")
        sleep(RELEASE_LEAD)
        endpoint.crash_into(version)
        self._draining.discard(endpoint)

    def _drain(self, endpoint: StandInEndpoint, duration: timedelta) -> None:
        if endpoint in self._draining:
            return
        self._draining.add(endpoint)
        crashes = len(endpoint.crashed_at)
        endpoint.register("draining")
        began = self._clock.elapsed()
        sleep(duration)
        # An endpoint that crashes meanwhile registers as ready when it restarts.
        if len(endpoint.crashed_at) == crashes:
            self.drains.append(DrainPeriod(endpoint.name, began, self._clock.elapsed()))
        endpoint.register("ready")
        self._draining.discard(endpoint)

    def _revoke(self) -> None:
        remaining = [k for k in LEAVING.keys if k not in self.configuration.revoked]
        if len(remaining) > 1:
            self.configuration.revoked.append(remaining[0])
            self._change(revoked_key=remaining[0])

    def _change(self, *, added_route: int = 0, revoked_key: str = "") -> None:
        self.configuration.version += 1
        self._fleet.store.put("op/config", self.configuration.document())
        self.changes.append(
            ConfigurationChange(self._clock.elapsed(), added_route, revoked_key)
        )


def _link_to(address: Address, links: list[Link]) -> Address:
    """Return the address of a new link to an address, and add it to the links."""
    link = Link(address)
    links.append(link)
    return link.address
