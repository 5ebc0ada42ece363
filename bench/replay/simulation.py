"""The replay of one trace under one scenario with one way of routing."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from random import Random

from bench.replay.engines import MODEL, PLAIN, FakeEngine, Job
from bench.replay.entries import OURS, Entry, Flight, LoadReport
from bench.replay.events import EventQueue
from bench.replay.structures import BLOCK, ZONES, Scenario, TraceRequest, User
from bench.replay.zones import ZoneReclaim
from sassafrasdale.decisions.structures import ReclaimPolicy, RoutingPolicy

ENTRIES = 6
MODEL_REPLICAS = 6
PLAIN_REPLICAS = 3

REPORT_INTERVAL = 1.0
"""Time between an engine's load reports, in seconds."""

TOKENS_OBSERVED = 16
"""Tokens of a stream after which an entry takes the time between them."""

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
        self.scenario = scenario
        self.way = way
        self._speed = speed
        self._policy = policy or policy_of(user)
        self._reclaim = ZoneReclaim(self, reclaims or ReclaimPolicy())
        self.events = EventQueue()
        self._losses = Random(7 + 2 * seed)
        self._balancer = Random(11 + 2 * seed)
        self.leaving: set[str] = set()
        self.gone: set[str] = set()
        self._computed: set[int] = set()
        self._outcome = Outcome()
        self.entries: list[Entry] = []
        for number in range(ENTRIES):
            zone = ZONES[number % len(ZONES)]
            self.entries.append(
                Entry(number, zone, user, way, self._policy, self.entries)
            )
        self.models = [self._engine("model", n) for n in range(MODEL_REPLICAS)]
        self.plains = [self._engine("plain", n) for n in range(PLAIN_REPLICAS)]
        self.set_endpoints()

    def run(self) -> Outcome:
        """Replay the whole trace and return the outcome."""
        for request in self._trace:
            entry = self._balancer.choice(self.entries)
            self.events.at(request.at / self._speed, self.send, entry, Flight(request))
        self._end = self._trace[-1].at / self._speed + 60
        self.events.at(0.0, self._report)
        self._plan_faults()
        self.events.run()
        return self._outcome

    def _engine(self, kind: str, number: int) -> FakeEngine:
        shape = MODEL if kind == "model" else PLAIN
        zone = ZONES[number % len(ZONES)]
        name = f"{kind}-{number}"
        return FakeEngine(name, zone, shape, self.events, self._cache_event)

    def set_endpoints(self) -> None:
        """Tell the entries which model engines stay."""
        names = [e.name for e in self.models if e.name not in self.leaving]
        for entry in self.entries:
            entry.set_endpoints(names)

    def _plan_faults(self) -> None:
        scenario = self.scenario
        if scenario.reclaimed_zone:
            at = scenario.reclaim_at / self._speed
            self.events.at(at, self._reclaim.notify)
            self.events.at(at + scenario.notice, self._reclaim.leave)
            self.events.at(scenario.return_at / self._speed, self._reclaim.come_back)
        if scenario.slow_endpoint:
            slow = next(e for e in self.models if e.name == scenario.slow_endpoint)
            for when, factor in (
                (scenario.slow_from, scenario.slow_factor),
                (scenario.slow_until, 1.0),
            ):
                self.events.at(when / self._speed, setattr, slow, "slowness", factor)

    # Requests

    def send(self, entry: Entry, flight: Flight) -> None:
        """Have an entry choose an engine for a request, and send it."""
        request = flight.request
        engines = self.plains if request.is_lookup else self.models
        routed = entry.route(request, engines, self.leaving, self.events.now)
        if routed is None:
            self.events.after(RETRY_PAUSE, self.send, entry, flight)
            return
        engine, view = routed
        flight.expected_tokens = max(0, request.prompt_tokens - view.cached_tokens)
        known = view.cached_tokens >= entry.home_trust.share * request.prompt_tokens
        flight.unknown_at_home = entry.is_home(request, engine) and not known
        if not request.is_lookup:
            entry.index.record(engine.name, request.blocks)
        self.submit(entry, flight, engine, ready=False)

    def submit(
        self, entry: Entry, flight: Flight, engine: FakeEngine, ready: bool
    ) -> None:
        """Send a request to an engine.

        :param ready: whether its KV cache is there already.
        """
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
                timedelta(seconds=self.events.now),
                timedelta(seconds=compute + 2 * entry.distance(engine)),
            )
        self._count(entry, engine, 1)
        self.events.after(entry.distance(engine), self._arrive, entry, flight)

    def _arrive(self, entry: Entry, flight: Flight) -> None:
        if flight.engine.name in self.gone:
            self.lost(entry, flight)
            return
        flight.engine.submit(flight.job)

    def _prefill(self, flight: Flight, uncached: int, missing: Sequence[int]) -> None:
        self._outcome.prefilled_tokens += uncached
        flight.cached_tokens = flight.job.prompt_tokens - uncached
        again = sum(1 for block in missing if block in self._computed)
        self._outcome.recomputed_tokens += again * BLOCK
        if uncached:
            self._outcome.recomputed_tokens += flight.generated
        self._computed.update(missing)

    def _first(self, entry: Entry, flight: Flight) -> None:
        engine = flight.engine
        now = self.events.now
        self._settle_tokens(entry, flight)
        at = timedelta(seconds=now)
        entry.queues.answered(engine.name, str(flight.request.number), at)
        if flight.first_at is None and not flight.request.is_lookup:
            flight.first_at = now
            taken = now - flight.request.at / self._speed + entry.distance(engine)
            self._outcome.first_tokens[flight.request.number] = taken
        tokens = min(TOKENS_OBSERVED, flight.job.tokens)
        pause = tokens * flight.job.token_delay
        self.events.after(pause, self._observe, entry, engine, flight.job)

    def _observe(self, entry: Entry, engine: FakeEngine, job: Job) -> None:
        if not job.dropped:
            at = timedelta(seconds=self.events.now)
            entry.delays.observe(engine.name, timedelta(seconds=job.token_delay), at)

    def _done(self, entry: Entry, flight: Flight) -> None:
        engine = flight.engine
        self._count(entry, engine, -1)
        del entry.flights[flight.request.number]
        if flight.unknown_at_home:
            entry.home_trust.observe(flight.cached_tokens, flight.job.prompt_tokens)
        self._outcome.finished += 1
        if flight.request.is_lookup:
            taken = self.events.now - flight.request.at / self._speed
            taken += entry.distance(engine)
            self._outcome.lookups[flight.request.number] = taken

    def _count(self, entry: Entry, engine: FakeEngine, step: int) -> None:
        at = timedelta(seconds=self.events.now)
        entry.in_flight[engine.name].change(at, step)

    def _settle_tokens(self, entry: Entry, flight: Flight) -> None:
        entry.own_tokens[flight.engine.name] -= flight.expected_tokens
        flight.expected_tokens = 0

    # Load reports and cache events

    def _report(self) -> None:
        now = self.events.now
        at = timedelta(seconds=now)
        for engine in (*self.models, *self.plains):
            for entry in self.entries:
                own = entry.in_flight[engine.name].at(at)
                report = LoadReport(engine.load, own, now)
                lag = self.scenario.report_lag
                self.events.after(lag, self._hear_report, entry, engine.name, report)
        if now < self._end:
            self.events.after(REPORT_INTERVAL, self._report)

    def _hear_report(self, entry: Entry, engine: str, report: LoadReport) -> None:
        if engine not in self.gone:
            entry.reports[engine] = report

    def _cache_event(self, engine: str, stored: list[int], removed: list[int]) -> None:
        """Publish cache events; each may get lost on its own."""
        if self.way != OURS:
            return
        loss, draw = self.scenario.event_loss, self._losses.random
        published = len(stored) + len(removed)
        stored = [block for block in stored if draw() >= loss]
        removed = [block for block in removed if draw() >= loss]
        delay = self.scenario.event_delay
        heard = (engine, stored, removed, published)
        self.events.after(delay, self._hear_cache, *heard)

    def _hear_cache(
        self, engine: str, stored: list[int], removed: list[int], published: int
    ) -> None:
        if engine in self.gone:
            return
        for entry in self.entries:
            entry.home_trust.hear(len(stored) + len(removed), published)
            for block in stored:
                entry.index.stored(engine, block)
            for block in removed:
                entry.index.removed(engine, block)

    def take_off(self, entry: Entry, flight: Flight) -> None:
        """End a flight's job at its engine, and keep the tokens it has."""
        flight.generated += flight.job.generated(self.events.now)
        flight.generated = min(flight.generated, flight.request.max_tokens - 1)
        flight.engine.drop(flight.job)
        flight.job.dropped = True
        self._settle_tokens(entry, flight)
        number = str(flight.request.number)
        entry.queues.withdrawn(flight.engine.name, number)
        self._count(entry, flight.engine, -1)
        entry.flights.pop(flight.request.number, None)

    def lost(self, entry: Entry, flight: Flight) -> None:
        """Send a request elsewhere, whose engine is gone."""
        self.take_off(entry, flight)
        self.send(entry, flight)


def policy_of(user: User) -> RoutingPolicy:
    """Return the constants with a user's weights."""
    return RoutingPolicy(
        latency_cost=user.latency_cost, recomputed_tokens=user.recomputed_tokens
    )
