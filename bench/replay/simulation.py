"""The replay of one trace under one scenario with one routing strategy."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from random import Random

from bench.replay.engines import MODEL, PLAIN, FakeEngine, Job
from bench.replay.entries import OURS, Entry, LoadReport, PendingRequest
from bench.replay.events import EventQueue
from bench.replay.structures import BLOCK, ZONES, Scenario, TraceRequest, User
from bench.replay.zones import ZoneReclaim
from sassafrasdale.decisions.structures import ReclaimPolicy, RoutingPolicy

REPORT_INTERVAL = 1.0
"""Time between an engine's load reports, in seconds."""

TOKENS_OBSERVED = 16
"""Tokens of a stream after which an entry records the time between tokens."""

RETRY_DELAY = 0.5
"""Delay before a request that found no endpoint is routed again, in seconds."""


@dataclass(slots=True)
class Outcome:
    """The outcome of a replay; times in seconds.

    :param first_tokens: time to the first token of each generation, by number.
    :param lookups: time of each lookup, by number.
    :param recomputed_tokens: tokens computed again because a cache had lost or lacked
        them.
    :param prefilled_tokens: all prompt tokens computed.
    :param finished: generations and lookups that ended.
    """

    first_tokens: dict[int, float] = field(default_factory=dict)
    lookups: dict[int, float] = field(default_factory=dict)
    recomputed_tokens: int = 0
    prefilled_tokens: int = 0
    finished: int = 0


@dataclass(frozen=True, slots=True)
class Fleet:
    """Numbers of entries, model replicas and plain replicas."""

    entries: int = 6
    models: int = 6
    plains: int = 3


class Replay:
    """Replays a trace.

    :param user: the user whose trace it is.
    :param trace: the requests.
    :param scenario: the faults.
    :param strategy: the entries' routing strategy.
    :param speed: factor by which the trace is compressed in time.
    :param policy: constants of the routing.
    :param reclaims: constants of the reclaim decisions.
    :param seed: seed of the load balancer and of the event losses.
    :param fleet: numbers of entries and replicas.
    """

    def __init__(
        self,
        user: User,
        trace: Sequence[TraceRequest],
        scenario: Scenario,
        strategy: str,
        speed: float = 1.0,
        policy: RoutingPolicy | None = None,
        reclaims: ReclaimPolicy | None = None,
        seed: int = 0,
        fleet: Fleet | None = None,
    ) -> None:
        self._user = user
        self._trace = trace
        self.scenario = scenario
        self.strategy = strategy
        self._speed = speed
        self._policy = policy or policy_of(user)
        self._reclaim = ZoneReclaim(self, reclaims or ReclaimPolicy())
        self.events = EventQueue()
        self._loss_rng = Random(7 + 2 * seed)
        self._balancer_rng = Random(11 + 2 * seed)
        self.leaving: set[str] = set()
        self.terminated: set[str] = set()
        self._computed: set[int] = set()
        self._outcome = Outcome()
        self.entries: list[Entry] = []
        fleet = fleet or Fleet()
        for number in range(fleet.entries):
            zone = ZONES[number % len(ZONES)]
            self.entries.append(
                Entry(number, zone, user, strategy, self._policy, self.entries)
            )
        self.models = [self._engine("model", n) for n in range(fleet.models)]
        self.plains = [self._engine("plain", n) for n in range(fleet.plains)]
        self.set_endpoints()

    def run(self) -> Outcome:
        """Replay the whole trace and return the outcome."""
        for request in self._trace:
            entry = self._balancer_rng.choice(self.entries)
            self.events.at(
                request.at / self._speed, self.send, entry, PendingRequest(request)
            )
        self._report_until = self._trace[-1].at / self._speed + 60
        self.events.at(0.0, self._report)
        self._schedule_faults()
        self.events.run()
        return self._outcome

    def _engine(self, kind: str, number: int) -> FakeEngine:
        shape = MODEL if kind == "model" else PLAIN
        zone = ZONES[number % len(ZONES)]
        name = f"{kind}-{number}"
        return FakeEngine(name, zone, shape, self.events, self._cache_event)

    def set_endpoints(self) -> None:
        """Set the entries' model endpoints: those not being reclaimed."""
        names = [e.name for e in self.models if e.name not in self.leaving]
        for entry in self.entries:
            entry.set_endpoints(names)

    def _schedule_faults(self) -> None:
        scenario = self.scenario
        if scenario.reclaimed_zone:
            at = scenario.reclaim_at / self._speed
            self.events.at(at, self._reclaim.notify)
            self.events.at(at + scenario.notice, self._reclaim.terminate)
            self.events.at(scenario.return_at / self._speed, self._reclaim.restore)
        if scenario.slow_endpoint:
            slow = next(e for e in self.models if e.name == scenario.slow_endpoint)
            for when, factor in (
                (scenario.slow_from, scenario.slow_factor),
                (scenario.slow_until, 1.0),
            ):
                self.events.at(when / self._speed, setattr, slow, "slowness", factor)

    # Requests

    def send(self, entry: Entry, pending: PendingRequest) -> None:
        """Have an entry choose an engine for a request, and send it."""
        request = pending.request
        engines = self.plains if request.is_lookup else self.models
        routed = entry.route(request, engines, self.leaving, self.events.now)
        if routed is None:
            self.events.after(RETRY_DELAY, self.send, entry, pending)
            return
        engine, view = routed
        pending.expected_tokens = max(0, request.prompt_tokens - view.cached_tokens)
        known = view.cached_tokens >= entry.owner_cache.share * request.prompt_tokens
        pending.unknown_at_owner = entry.is_owner(request, engine) and not known
        if not request.is_lookup:
            entry.index.record(engine.name, request.blocks)
        self.submit(entry, pending, engine, has_kv_cache=False)

    def submit(
        self,
        entry: Entry,
        pending: PendingRequest,
        engine: FakeEngine,
        has_kv_cache: bool,
    ) -> None:
        """Send a request to an engine.

        :param has_kv_cache: whether the engine already has its KV cache.
        """
        request = pending.request
        pending.engine = engine
        pending.job = Job(
            request.prompt_tokens + pending.generated,
            request.max_tokens - pending.generated,
            request.priority,
            request.blocks,
            partial(self._on_prefill, pending),
            partial(self._on_first_token, entry, pending),
            partial(self._on_done, entry, pending),
        )
        pending.job.has_kv_cache = has_kv_cache
        if has_kv_cache:
            pending.expected_tokens = 0
        entry.pending_requests[request.number] = pending
        entry.prefill_tokens[engine.name] += pending.expected_tokens
        if not request.is_lookup:
            compute = pending.expected_tokens / MODEL.prefill_rate
            entry.queues.sent(
                engine.name,
                str(request.number),
                timedelta(seconds=self.events.now),
                timedelta(seconds=compute + 2 * entry.network_delay(engine)),
            )
        self._count(entry, engine, 1)
        self.events.after(entry.network_delay(engine), self._arrive, entry, pending)

    def _arrive(self, entry: Entry, pending: PendingRequest) -> None:
        if pending.engine.name in self.terminated:
            self.reroute(entry, pending)
            return
        pending.engine.submit(pending.job)

    def _on_prefill(
        self, pending: PendingRequest, uncached: int, missing: Sequence[int]
    ) -> None:
        self._outcome.prefilled_tokens += uncached
        pending.cached_tokens = pending.job.prompt_tokens - uncached
        recomputed = sum(1 for block in missing if block in self._computed)
        self._outcome.recomputed_tokens += recomputed * BLOCK
        if uncached:
            self._outcome.recomputed_tokens += pending.generated
        self._computed.update(missing)

    def _on_first_token(self, entry: Entry, pending: PendingRequest) -> None:
        engine = pending.engine
        now = self.events.now
        self._release_prefill_tokens(entry, pending)
        at = timedelta(seconds=now)
        entry.queues.answered(engine.name, str(pending.request.number), at)
        if pending.first_at is None and not pending.request.is_lookup:
            pending.first_at = now
            elapsed = (
                now - pending.request.at / self._speed + entry.network_delay(engine)
            )
            self._outcome.first_tokens[pending.request.number] = elapsed
        tokens = min(TOKENS_OBSERVED, pending.job.tokens)
        delay = tokens * pending.job.token_delay
        self.events.after(delay, self._observe, entry, engine, pending.job)

    def _observe(self, entry: Entry, engine: FakeEngine, job: Job) -> None:
        if not job.cancelled:
            at = timedelta(seconds=self.events.now)
            entry.delays.observe(engine.name, timedelta(seconds=job.token_delay), at)

    def _on_done(self, entry: Entry, pending: PendingRequest) -> None:
        engine = pending.engine
        self._count(entry, engine, -1)
        del entry.pending_requests[pending.request.number]
        if pending.unknown_at_owner:
            entry.owner_cache.observe(pending.cached_tokens, pending.job.prompt_tokens)
        self._outcome.finished += 1
        if pending.request.is_lookup:
            elapsed = self.events.now - pending.request.at / self._speed
            elapsed += entry.network_delay(engine)
            self._outcome.lookups[pending.request.number] = elapsed

    def _count(self, entry: Entry, engine: FakeEngine, step: int) -> None:
        at = timedelta(seconds=self.events.now)
        entry.in_flight[engine.name].change(at, step)

    def _release_prefill_tokens(self, entry: Entry, pending: PendingRequest) -> None:
        entry.prefill_tokens[pending.engine.name] -= pending.expected_tokens
        pending.expected_tokens = 0

    # Load reports and cache events

    def _report(self) -> None:
        now = self.events.now
        at = timedelta(seconds=now)
        for engine in (*self.models, *self.plains):
            for entry in self.entries:
                own = entry.in_flight[engine.name].at(at)
                report = LoadReport(engine.load, own, now)
                lag = self.scenario.report_lag
                self.events.after(lag, self._receive_report, entry, engine.name, report)
        if now < self._report_until:
            self.events.after(REPORT_INTERVAL, self._report)

    def _receive_report(self, entry: Entry, engine: str, report: LoadReport) -> None:
        if engine not in self.terminated:
            entry.reports[engine] = report

    def _cache_event(self, engine: str, stored: list[int], removed: list[int]) -> None:
        """Publish cache events; each may be lost independently."""
        if self.strategy != OURS:
            return
        loss, draw = self.scenario.event_loss, self._loss_rng.random
        published = len(stored) + len(removed)
        stored = [block for block in stored if draw() >= loss]
        removed = [block for block in removed if draw() >= loss]
        delay = self.scenario.event_delay
        event = (engine, stored, removed, published)
        self.events.after(delay, self._receive_cache_events, *event)

    def _receive_cache_events(
        self, engine: str, stored: list[int], removed: list[int], published: int
    ) -> None:
        if engine in self.terminated:
            return
        for entry in self.entries:
            entry.owner_cache.add_events(len(stored) + len(removed), published)
            for block in stored:
                entry.index.stored(engine, block)
            for block in removed:
                entry.index.removed(engine, block)

    def withdraw(self, entry: Entry, pending: PendingRequest) -> None:
        """Cancel a request's job at its engine, and keep its generated tokens."""
        pending.generated += pending.job.generated(self.events.now)
        pending.generated = min(pending.generated, pending.request.max_tokens - 1)
        pending.engine.cancel(pending.job)
        pending.job.cancelled = True
        self._release_prefill_tokens(entry, pending)
        number = str(pending.request.number)
        entry.queues.withdrawn(pending.engine.name, number)
        self._count(entry, pending.engine, -1)
        entry.pending_requests.pop(pending.request.number, None)

    def reroute(self, entry: Entry, pending: PendingRequest) -> None:
        """Send a request to another engine after its own was terminated."""
        self.withdraw(entry, pending)
        self.send(entry, pending)


def policy_of(user: User) -> RoutingPolicy:
    """Return the constants with a user's weights."""
    return RoutingPolicy(
        latency_cost=user.latency_cost, recomputed_tokens=user.recomputed_tokens
    )
