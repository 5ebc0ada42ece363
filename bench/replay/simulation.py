"""The replay of one trace under one scenario with one way of routing."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from random import Random

from bench.replay.engines import MODEL, PLAIN, FakeEngine, Job
from bench.replay.entries import LIMIT, OURS, Entry, Flight, LoadReport
from bench.replay.events import EventQueue
from bench.replay.structures import ZONES, Scenario, TraceRequest, User
from sassafrasdale.decisions.reclaims import plan_streams
from sassafrasdale.decisions.structures import (
    MoveCache,
    ReclaimPolicy,
    Recompute,
    RoutingPolicy,
    StreamTarget,
    StreamView,
)

ENTRIES = 6
MODEL_REPLICAS = 6
PLAIN_REPLICAS = 3

REPORT_INTERVAL = 1.0
"""Time between an engine's load reports, in seconds."""

RETRY_PAUSE = 0.5
"""Pause of a request that finds no endpoint, in seconds."""


@dataclass(slots=True)
class Outcome:
    """What a replay gave; times in seconds.

    :param first_tokens: time to the first token of each generation, by number.
    :param lookups: time of each lookup, by number.
    :param recomputed_tokens: tokens computed again after they were lost or missed.
    :param prefilled_tokens: all prompt tokens computed.
    :param finished: generations and lookups that ended.
    """

    first_tokens: dict[int, float] = field(default_factory=dict)
    lookups: dict[int, float] = field(default_factory=dict)
    recomputed_tokens: int = 0
    prefilled_tokens: int = 0
    finished: int = 0


class Replay:
    """Replays a trace.

    :param user: whose trace it is.
    :param trace: the requests.
    :param scenario: what goes wrong.
    :param way: how the entries route.
    :param speed: by how much the trace is compressed in time.
    :param policy: constants of the routing.
    :param reclaims: constants of the reclaims.
    :param seed: seed of the balancer and of the lost events.
    """

    def __init__(
        self,
        user: User,
        trace: Sequence[TraceRequest],
        scenario: Scenario,
        way: str,
        speed: float = 1.0,
        policy: RoutingPolicy | None = None,
        reclaims: ReclaimPolicy | None = None,
        seed: int = 0,
    ) -> None:
        self._user = user
        self._trace = trace
        self._scenario = scenario
        self._way = way
        self._speed = speed
        self._policy = policy or policy_of(user)
        self._reclaims = reclaims or ReclaimPolicy()
        self._events = EventQueue()
        self._losses = Random(7 + 2 * seed)
        self._balancer = Random(11 + 2 * seed)
        self._leaving: set[str] = set()
        self._gone: set[str] = set()
        self._computed: set[int] = set()
        self._outcome = Outcome()
        self._entries: list[Entry] = []
        for number in range(ENTRIES):
            zone = ZONES[number % len(ZONES)]
            self._entries.append(
                Entry(number, zone, user, way, self._policy, self._entries)
            )
        self._models = [self._engine("model", n) for n in range(MODEL_REPLICAS)]
        self._plains = [self._engine("plain", n) for n in range(PLAIN_REPLICAS)]
        self._set_endpoints()

    def run(self) -> Outcome:
        """Replay the whole trace and return the outcome."""
        for request in self._trace:
            entry = self._balancer.choice(self._entries)
            self._events.at(
                request.at / self._speed, self._send, entry, Flight(request)
            )
        self._end = self._trace[-1].at / self._speed + 60
        self._events.at(0.0, self._report)
        self._plan_faults()
        self._events.run()
        return self._outcome

    def _engine(self, kind: str, number: int) -> FakeEngine:
        shape = MODEL if kind == "model" else PLAIN
        zone = ZONES[number % len(ZONES)]
        name = f"{kind}-{number}"
        return FakeEngine(name, zone, shape, self._events, self._cache_event)

    def _set_endpoints(self) -> None:
        names = [e.name for e in self._models if e.name not in self._leaving]
        for entry in self._entries:
            entry.set_endpoints(names)

    def _plan_faults(self) -> None:
        scenario = self._scenario
        if scenario.reclaimed_zone:
            at = scenario.reclaim_at / self._speed
            self._events.at(at, self._notice)
            self._events.at(at + scenario.notice, self._leave)
            self._events.at(scenario.return_at / self._speed, self._return)
        if scenario.slow_endpoint:
            slow = next(e for e in self._models if e.name == scenario.slow_endpoint)
            for when, factor in (
                (scenario.slow_from, scenario.slow_factor),
                (scenario.slow_until, 1.0),
            ):
                self._events.at(when / self._speed, setattr, slow, "slowness", factor)

    # Requests

    def _send(self, entry: Entry, flight: Flight) -> None:
        request = flight.request
        engines = self._plains if request.is_lookup else self._models
        routed = entry.route(request, engines, self._leaving, self._events.now)
        if routed is None:
            self._events.after(RETRY_PAUSE, self._send, entry, flight)
            return
        engine, view = routed
        flight.expected_tokens = max(0, request.prompt_tokens - view.cached_tokens)
        known = view.cached_tokens >= entry.home_trust.share * request.prompt_tokens
        flight.unknown_at_home = entry.is_home(request, engine) and not known
        if not request.is_lookup:
            entry.index.record(engine.name, request.blocks)
        self._submit(entry, flight, engine, ready=False)

    def _submit(
        self, entry: Entry, flight: Flight, engine: FakeEngine, ready: bool
    ) -> None:
        request = flight.request
        flight.engine = engine
        flight.job = Job(
            request.prompt_tokens + flight.generated,
            request.max_tokens - flight.generated,
            request.priority,
            request.blocks,
            partial(self._prefill, flight),
            partial(self._first, entry, flight),
            partial(self._done, entry, flight),
        )
        flight.job.ready = ready
        if ready:
            flight.expected_tokens = 0
        entry.flights[request.number] = flight
        entry.own_tokens[engine.name] += flight.expected_tokens
        if not request.is_lookup:
            compute = flight.expected_tokens / MODEL.prefill_rate
            entry.queues.sent(
                engine.name,
                str(request.number),
                timedelta(seconds=self._events.now),
                timedelta(seconds=compute + 2 * entry.distance(engine)),
            )
        self._count(entry, engine, 1)
        self._events.after(entry.distance(engine), self._arrive, entry, flight)

    def _arrive(self, entry: Entry, flight: Flight) -> None:
        if flight.engine.name in self._gone:
            self._lost(entry, flight)
            return
        flight.engine.submit(flight.job)

    def _prefill(self, flight: Flight, uncached: int, missing: Sequence[int]) -> None:
        self._outcome.prefilled_tokens += uncached
        flight.cached_tokens = flight.job.prompt_tokens - uncached
        again = sum(1 for block in missing if block in self._computed)
        self._outcome.recomputed_tokens += again * 64
        if uncached:
            self._outcome.recomputed_tokens += flight.generated
        self._computed.update(missing)

    def _first(self, entry: Entry, flight: Flight) -> None:
        engine = flight.engine
        now = self._events.now
        self._settle_tokens(entry, flight)
        at = timedelta(seconds=now)
        entry.queues.answered(engine.name, str(flight.request.number), at)
        if flight.first_at is None and not flight.request.is_lookup:
            flight.first_at = now
            taken = now - flight.request.at / self._speed + entry.distance(engine)
            self._outcome.first_tokens[flight.request.number] = taken
        tokens = min(16, flight.job.tokens)
        pause = tokens * flight.job.token_delay
        self._events.after(pause, self._observe, entry, engine, flight.job)

    def _observe(self, entry: Entry, engine: FakeEngine, job: Job) -> None:
        if not job.dropped:
            at = timedelta(seconds=self._events.now)
            entry.delays.observe(engine.name, timedelta(seconds=job.token_delay), at)

    def _done(self, entry: Entry, flight: Flight) -> None:
        engine = flight.engine
        self._count(entry, engine, -1)
        del entry.flights[flight.request.number]
        if flight.unknown_at_home:
            entry.home_trust.observe(flight.cached_tokens, flight.job.prompt_tokens)
        self._outcome.finished += 1
        if flight.request.is_lookup:
            taken = self._events.now - flight.request.at / self._speed
            taken += entry.distance(engine)
            self._outcome.lookups[flight.request.number] = taken

    def _count(self, entry: Entry, engine: FakeEngine, step: int) -> None:
        at = timedelta(seconds=self._events.now)
        entry.in_flight[engine.name].change(at, step)

    def _settle_tokens(self, entry: Entry, flight: Flight) -> None:
        entry.own_tokens[flight.engine.name] -= flight.expected_tokens
        flight.expected_tokens = 0

    # Load reports and cache events

    def _report(self) -> None:
        now = self._events.now
        at = timedelta(seconds=now)
        for engine in (*self._models, *self._plains):
            for entry in self._entries:
                own = entry.in_flight[engine.name].at(at)
                report = LoadReport(engine.load, own, now)
                lag = self._scenario.report_lag
                self._events.after(lag, self._hear_report, entry, engine.name, report)
        if now < self._end:
            self._events.after(REPORT_INTERVAL, self._report)

    def _hear_report(self, entry: Entry, engine: str, report: LoadReport) -> None:
        if engine not in self._gone:
            entry.reports[engine] = report

    def _cache_event(self, engine: str, stored: list[int], removed: list[int]) -> None:
        """Publish cache events; each may get lost on its own."""
        if self._way != OURS:
            return
        loss, draw = self._scenario.event_loss, self._losses.random
        published = len(stored) + len(removed)
        stored = [block for block in stored if draw() >= loss]
        removed = [block for block in removed if draw() >= loss]
        delay = self._scenario.event_delay
        heard = (engine, stored, removed, published)
        self._events.after(delay, self._hear_cache, *heard)

    def _hear_cache(
        self, engine: str, stored: list[int], removed: list[int], published: int
    ) -> None:
        if engine in self._gone:
            return
        for entry in self._entries:
            entry.home_trust.hear(len(stored) + len(removed), published)
            for block in stored:
                entry.index.stored(engine, block)
            for block in removed:
                entry.index.removed(engine, block)

    # Reclaims

    def _zone_engines(self) -> list[FakeEngine]:
        zone = self._scenario.reclaimed_zone
        return [e for e in (*self._models, *self._plains) if e.zone == zone]

    def _notice(self) -> None:
        engines = self._zone_engines()
        self._leaving = {engine.name for engine in engines}
        self._set_endpoints()
        if self._way not in (OURS, LIMIT):
            return
        for engine in engines:
            for entry in self._entries:
                self._save(entry, engine)

    def _save(self, entry: Entry, engine: FakeEngine) -> None:
        """Plan the streams of an entry on a leaving engine, and act on the plan."""
        flights = [f for f in entry.flights.values() if f.engine is engine]
        flights = [f for f in flights if not f.request.is_lookup]
        if not flights:
            return
        now = self._events.now
        by_id = {str(flight.request.number): flight for flight in flights}
        targets: dict[str, FakeEngine] = {}

        def choose_target(stream: StreamView) -> StreamTarget | None:
            request = by_id[stream.request_id].request
            routed = entry.route(request, self._models, self._leaving, now)
            if routed is None:
                return None
            targets[stream.request_id] = routed[0]
            return StreamTarget(routed[0].name, routed[1].cached_tokens)

        share = len(flights) / max(len(flights), engine.load)
        plans = plan_streams(
            [self._stream(flight) for flight in flights],
            timedelta(seconds=self._scenario.notice),
            choose_target,
            self._reclaims,
            share,
        )
        for request_id, plan in plans.items():
            flight = by_id[request_id]
            match plan:
                case MoveCache():
                    self._move(entry, flight, targets[request_id])
                case Recompute():
                    self._take_off(entry, flight)
                    self._send(entry, flight)

    def _stream(self, flight: Flight) -> StreamView:
        job = flight.job
        done = job.generated(self._events.now)
        return StreamView(
            str(flight.request.number),
            job.prompt_tokens + done if job.first_at is not None else 0,
            job.tokens - done,
            timedelta(seconds=job.token_delay or MODEL.token_delay * 1.4),
        )

    def _take_off(self, entry: Entry, flight: Flight) -> None:
        """End a flight's job at its engine, and keep the tokens it has."""
        flight.generated += flight.job.generated(self._events.now)
        flight.generated = min(flight.generated, flight.request.max_tokens - 1)
        flight.engine.drop(flight.job)
        flight.job.dropped = True
        self._settle_tokens(entry, flight)
        number = str(flight.request.number)
        entry.queues.withdrawn(flight.engine.name, number)
        self._count(entry, flight.engine, -1)
        entry.flights.pop(flight.request.number, None)

    def _move(self, entry: Entry, flight: Flight, target: FakeEngine) -> None:
        source = flight.engine
        context = flight.job.prompt_tokens + flight.job.generated(self._events.now)
        done_at = source.move_done_at(context)
        self._events.at(done_at, self._moved, entry, flight, flight.job, target)

    def _moved(
        self, entry: Entry, flight: Flight, job: Job, target: FakeEngine
    ) -> None:
        if flight.job is not job or job.dropped:
            return
        if entry.flights.get(flight.request.number) is not flight:
            return
        self._take_off(entry, flight)
        self._submit(entry, flight, target, ready=True)

    def _leave(self) -> None:
        engines = self._zone_engines()
        self._gone = {engine.name for engine in engines}
        # The engines stop first: a request taken off one that runs would start
        # the next that waits, which then counts as computed there.
        for engine in engines:
            engine.leave()
            for entry in self._entries:
                entry.forget(engine)
        for entry in self._entries:
            lost = [f for f in entry.flights.values() if f.engine in engines]
            for flight in lost:
                self._lost(entry, flight)

    def _lost(self, entry: Entry, flight: Flight) -> None:
        self._take_off(entry, flight)
        self._send(entry, flight)

    def _return(self) -> None:
        self._gone = set()
        self._leaving = set()
        self._set_endpoints()


def policy_of(user: User) -> RoutingPolicy:
    """Return the constants with a user's weights."""
    return RoutingPolicy(
        latency_cost=user.latency_cost, recomputed_tokens=user.recomputed_tokens
    )
