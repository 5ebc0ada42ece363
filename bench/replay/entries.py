"""An entry of the replay: its partial knowledge of the engines, and its strategy."""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from bench.replay.engines import FakeEngine, Job
from bench.replay.structures import BLOCK, TraceRequest, User
from sassafrasdale.decisions.affinity import HashRing, PrefixIndex
from sassafrasdale.decisions.baselines import LeastRequests, PrefixHash, RoundRobin
from sassafrasdale.decisions.counts import InFlightCount
from sassafrasdale.decisions.delays import TokenDelays
from sassafrasdale.decisions.homes import OwnerCacheEstimate
from sassafrasdale.decisions.queues import QueueTimes
from sassafrasdale.decisions.routing import choose, draw_candidates
from sassafrasdale.decisions.structures import (
    EndpointView,
    RoutingPolicy,
    RoutingRequest,
)

ROUND_ROBIN = "round robin"
LEAST_REQUESTS = "least requests"
PREFIX_HASH = "prefix hash"
OURS = "ours"
LIMIT = "limit"
STRATEGIES = (ROUND_ROBIN, LEAST_REQUESTS, PREFIX_HASH, OURS, LIMIT)

ZONE_PRICES = {"a": 1.0, "b": 1.2, "c": 1.1}
"""Price of a replica per hour, in units."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's reported load; the time is in seconds."""

    load: int
    own_load: int
    measured_at: float


@dataclass(slots=True)
class PendingRequest:
    """A generation or lookup that an entry has not finished.

    :param request: the request.
    :param job: its current job at an engine.
    :param engine: the engine.
    :param expected_tokens: uncached prompt tokens expected when it was sent.
    :param cached_tokens: cached tokens found there.
    :param unknown_at_owner: whether it went to the owner without known cached tokens
        there.
    :param generated: tokens that the caller has from earlier engines.
    :param first_at: when the caller got the first token, in seconds.
    """

    request: TraceRequest
    job: Job | None = None
    engine: FakeEngine | None = None
    expected_tokens: int = 0
    cached_tokens: int = 0
    unknown_at_owner: bool = False
    generated: int = 0
    first_at: float | None = None


class Entry:
    """One entry.

    :param number: its place among the entries.
    :param zone: its availability zone.
    :param user: the user whose entry it is.
    :param strategy: how it routes.
    :param policy: constants of the package's own strategy.
    :param all_entries: all entries, for the strategy that has complete knowledge.
    """

    def __init__(
        self,
        number: int,
        zone: str,
        user: User,
        strategy: str,
        policy: RoutingPolicy,
        all_entries: Sequence["Entry"],
    ) -> None:
        self.zone = zone
        self.strategy = strategy
        self.index = PrefixIndex()
        self.delays = TokenDelays()
        self.queues = QueueTimes()
        self.owner_cache = OwnerCacheEstimate()
        self.pending_requests: dict[int, PendingRequest] = {}
        self.in_flight: dict[str, InFlightCount] = defaultdict(InFlightCount)
        self.prefill_tokens: dict[str, int] = defaultdict(int)
        self.reports: dict[str, LoadReport] = {}
        self._user = user
        self._policy = policy
        self._all_entries = all_entries
        self._rng = Random(number)
        self._ring = HashRing(())
        self._round_robin = {True: RoundRobin(number), False: RoundRobin(number)}
        self._least_requests = LeastRequests(Random(number))
        self._prefix_hash = PrefixHash()

    def set_endpoints(self, names: Sequence[str]) -> None:
        """Set the names of the model endpoints."""
        self._ring = HashRing(names)

    def forget(self, engine: FakeEngine) -> None:
        """Discard all state about an engine."""
        self.index.forget(engine.name)
        self.delays.forget(engine.name)
        self.queues.forget(engine.name)
        self.reports.pop(engine.name, None)

    def route(
        self,
        request: TraceRequest,
        engines: Sequence[FakeEngine],
        leaving: set[str],
        now: float,
    ) -> tuple[FakeEngine, EndpointView] | None:
        """Return the engine for a request, and the view of it that it was chosen by."""
        cached = self._cached(request, engines)
        if self.strategy == OURS:
            engines = self._candidates(request, engines, cached, leaving)
        views = [self._view(engine, cached, leaving, now) for engine in engines]
        chosen = self._choose(request, views)
        if chosen is None:
            return None
        engine = next(engine for engine in engines if engine.name == chosen.name)
        return engine, chosen

    def is_owner(self, request: TraceRequest, engine: FakeEngine) -> bool:
        """Return whether an engine is the owner of a request's thread."""
        return self._owners(request)[0] == engine.name

    def network_delay(self, engine: FakeEngine) -> float:
        """Return the one-way delay to an engine, in seconds."""
        return 0.0 if engine.zone == self.zone else self._user.zone_delay

    def _owners(self, request: TraceRequest) -> tuple[str, str]:
        return self._ring.owners(request.key) if request.continues else ("", "")

    def _candidates(
        self,
        request: TraceRequest,
        engines: Sequence[FakeEngine],
        cached: dict[str, int],
        leaving: set[str],
    ) -> list[FakeEngine]:
        """Return the candidate engines for a request."""
        staying = {e.name: e for e in engines if e.name not in leaving}
        known = {name: tokens for name, tokens in cached.items() if name in staying}
        owners = [owner for owner in self._owners(request) if owner in staying]
        policy = self._policy
        drawn = draw_candidates(list(staying), known, owners, policy, self._rng)
        return [staying[name] for name in drawn]

    def _choose(
        self, request: TraceRequest, views: Sequence[EndpointView]
    ) -> EndpointView | None:
        match self.strategy:
            case "round robin":
                return self._round_robin[request.is_lookup].choose(views)
            case "least requests":
                return self._least_requests.choose(views)
            case "prefix hash" if not request.is_lookup:
                return self._prefix_hash.choose(views, request.key)
            case "prefix hash":
                return self._prefix_hash.choose(views, request.number)
        owners = self._owners(request)
        routing_request = RoutingRequest(
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            priority=request.priority,
            entry_availability_zone=self.zone,
            owner=owners[0],
            fallback_owner=owners[1],
            owner_cached_share=0.0
            if self.strategy == LIMIT
            else self.owner_cache.share,
        )
        return choose(routing_request, views, self._policy, self._rng)

    def _view(
        self,
        engine: FakeEngine,
        cached: dict[str, int],
        leaving: set[str],
        now: float,
    ) -> EndpointView:
        name = engine.name
        knows_all = self.strategy == LIMIT
        own = self.in_flight[name].now
        report = self.reports.get(name)
        if knows_all:
            own = sum(entry.in_flight[name].now for entry in self._all_entries)
            report = LoadReport(own, own, now)
        tokens = self.prefill_tokens[name]
        if knows_all:
            tokens = sum(entry.prefill_tokens[name] for entry in self._all_entries)
        return EndpointView(
            name=name,
            availability_zone=engine.zone,
            in_flight=own,
            prefill_tokens=tokens,
            reported_load=report.load if report else 0,
            own_load_at_report=report.own_load if report else 0,
            report_age=_age(report, now),
            max_in_flight=engine.shape.slots,
            price_per_hour=ZONE_PRICES[engine.zone],
            network_delay=timedelta(seconds=self.network_delay(engine)),
            cached_tokens=cached.get(name, 0),
            leaving=name in leaving,
            queue_time=timedelta()
            if knows_all
            else self.queues.queue_time(name, timedelta(seconds=now)),
            slowness=engine.slowness
            if knows_all
            else self.delays.slowness(name, timedelta(seconds=now)),
        )

    def _cached(
        self, request: TraceRequest, engines: Sequence[FakeEngine]
    ) -> dict[str, int]:
        """Return the tokens of a prompt that each engine is assumed to have cached."""
        match self.strategy:
            case "limit":
                return {
                    engine.name: engine.cached_blocks(request.blocks) * BLOCK
                    for engine in engines
                }
            case "ours":
                return self.index.matches(request.blocks)
        return {}


def _age(report: LoadReport | None, now: float) -> timedelta | None:
    if report is None:
        return None
    return timedelta(seconds=now - report.measured_at)
