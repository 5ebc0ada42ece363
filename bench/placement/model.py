"""Engines that prefill prompts, and gateways that choose on stale load reports.

Time advances from arrival to arrival. An engine prefills one prompt at a time, by
priority and then in order of arrival; a prompt of higher priority preempts the current
one. What an engine has prefilled stays in its KV cache. Each gateway chooses by the
package's own placement, from its own attempts and the loads that the others reported
in the last exchange.
"""

import heapq
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from sassafrasdale.decisions.step_times import EngineStepTimes
from sassafrasdale.deployment import (
    Endpoint,
    EndpointState,
    RequestTraits,
)
from sassafrasdale.gateway.directory import EndpointRecord
from sassafrasdale.gateway.placement import CacheEstimate, Placement
from sassafrasdale.structures import Address

# Time from the end of a prompt's prefill until the caller has the first event, s.
FIRST_EVENT = 0.035
# Prompt tokens that are prefilled in the time of a gap between two events.
GAP_TOKENS = 1600
# Time from a stream's first event to its end, s.
STREAM_TIME = 0.8


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request.

    :param rate: requests per second.
    :param objective: maximum time to the first event that counts as on time, s.
    :param mean: mean of the tokens of the part that is not shared.
    :param sigma: standard deviation of the logarithm of these tokens.
    :param max_tokens: maximum of these tokens.
    :param shared: tokens and number of variants of each level of shared parts.
    :param priority: priority at the engine, lowest value first.
    :param credit: credit for a request on time.
    """

    name: str
    rate: float
    objective: float
    mean: float
    sigma: float
    max_tokens: float
    shared: tuple[tuple[int, int], ...]
    priority: int
    credit: float


REPORTS = RequestKind(
    "report", 13.2, 0.8, 6610, 1.1, 54_600, ((512, 1), (4870, 117)), 1, 5.2
)
QUERIES = RequestKind(
    "query", 29.2, 0.5, 1800, 1.0, 6870, ((341, 8), (227, 388)), 0, 1.6
)


@dataclass(slots=True)
class RunSettings:
    """The parameters of a run.

    :param slowness: of each engine, relative to the fastest.
    :param token_time: time that the fastest engine takes to prefill a token, s.
    :param report_interval: time between two exchanges of load reports, s.
    :param batch_size: mean number of requests that arrive together.
    """

    gateways: int = 8
    slowness: Sequence[float] = (1.0, 1.0, 1.3, 1.0, 1.0, 1.3)
    token_time: float = 1 / 100_000
    report_interval: float = 0.4
    batch_size: float = 3.0
    seconds: float = 60.0
    load: float = 1.0
    kinds: tuple[RequestKind, ...] = (REPORTS, QUERIES)


class Engine:
    """One engine's prefill queue.

    :param computed: names of the parts that any engine has prefilled.
    """

    def __init__(
        self, name: str, slowness: float, setting: RunSettings, computed: set[str]
    ) -> None:
        self._computed = computed
        self.name = name
        self.token_time = setting.token_time * slowness
        self.cached: set[str] = set()
        self.read_again = 0
        self._now = 0.0
        self._queue: list[list] = []

    def enqueue(self, now: float, number: int, job: "Job", source: "Engine | None"):
        """Queue a prompt; parts that are not cached here are fetched or prefilled."""
        self.advance(now)
        tokens = job.traits.prompt_tokens
        extra = 0.0
        for part in job.traits.parts[:-1]:
            if part.name in self.cached:
                tokens -= part.tokens
            elif source is not None and part.name in source.cached:
                tokens -= part.tokens
                extra = 0.005
            else:
                self.read_again += part.tokens if part.name in self._computed else 0
            self._computed.add(part.name)
            self.cached.add(part.name)
        work = tokens * self.token_time + extra
        heapq.heappush(self._queue, [job.kind.priority, number, work, job])

    def gaps(self) -> list[timedelta]:
        """Return the gaps between the events of a stream."""
        return [timedelta(seconds=self.token_time * GAP_TOKENS)] * 20

    def advance(self, now: float) -> list["Job"]:
        """Prefill until ``now`` and return the jobs whose prefill ended."""
        done = []
        while self._queue and self._now < now:
            first = self._queue[0]
            took = min(first[2], now - self._now)
            first[2] -= took
            self._now += took
            if first[2] <= 1e-12:
                heapq.heappop(self._queue)
                first[3].first_at = self._now + FIRST_EVENT
                done.append(first[3])
        self._now = now
        return done


@dataclass(slots=True)
class Job:
    """A request in progress."""

    kind: RequestKind
    traits: RequestTraits
    gateway: "Gateway"
    record: EndpointRecord
    prefill_tokens: int
    sent_at: float
    first_at: float = 0.0


@dataclass(slots=True)
class Outcome:
    """The results of a run.

    :param late: fraction of late requests, for each kind.
    :param credit: credit earned, as a fraction of that for all requests on time;
        late ones earn a tenth.
    :param recomputed_tokens: tokens of shared parts that engines prefilled though
        another engine had before.
    """

    late: dict[str, float] = field(default_factory=dict)
    credit: float = 0.0
    recomputed_tokens: int = 0


class Gateway:
    """One gateway's view of the engines."""

    def __init__(self, engines: Sequence[Engine], rng: Random) -> None:
        self.records = {
            engine.name: EndpointRecord(
                Endpoint(
                    engine.name, "m", Address("127.0.0.1", 1), "a", EndpointState.READY
                ),
                pool=None,
            )
            for engine in engines
        }
        self.cache = CacheEstimate()
        self.step_times = EngineStepTimes()
        self.placement = Placement("a", self.cache, self.step_times, rng)

    def loads(self) -> dict[str, tuple[int, int]]:
        """Return this gateway's requests and prefill tokens at each engine."""
        return {
            name: (record.in_flight, record.prefill_tokens)
            for name, record in self.records.items()
        }
