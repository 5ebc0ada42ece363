"""Engines that read prompts, gateways that choose among them, and old news.

Time advances from arrival to arrival. An engine reads one prompt at a time, the most
urgent first and otherwise in the order of arrival; a prompt that is more urgent than
the one being read goes ahead of it. What an engine has read stays in its memory. Each
gateway chooses by the package's own placement, with its own sends and what the others
told it at the last exchange.
"""

import heapq
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from sassafrasdale.decisions.paces import EnginePaces
from sassafrasdale.deployment import (
    Endpoint,
    EndpointState,
    RequestTraits,
)
from sassafrasdale.gateway.directory import EndpointRecord
from sassafrasdale.gateway.placement import CacheBelief, Placement
from sassafrasdale.structures import Address

# Time from the end of a prompt's reading until the caller has the first event, s.
FIRST_EVENT = 0.035
# Prompt tokens that are read in the time of a pause between two events.
PAUSE_TOKENS = 1600
# Time that a stream runs on after its first event, s.
STREAM_TIME = 0.8


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request.

    :param rate: requests a second.
    :param objective: time to the first event that is still on time, s.
    :param mean: tokens of the request's own part, on average.
    :param sigma: spread of the logarithm of that.
    :param shared: tokens and number of each level of shared parts.
    :param priority: rank at the engine, 0 first.
    :param worth: what a request on time is worth.
    """

    name: str
    rate: float
    objective: float
    mean: float
    sigma: float
    most: float
    shared: tuple[tuple[int, int], ...]
    priority: int
    worth: float


REPORTS = Kind("report", 13.2, 0.8, 6610, 1.1, 54_600, ((512, 1), (4870, 117)), 1, 5.2)
QUERIES = Kind("query", 29.2, 0.5, 1800, 1.0, 6870, ((341, 8), (227, 388)), 0, 1.6)


@dataclass(slots=True)
class Setting:
    """What a run plays.

    :param slowness: of each engine, against the fastest.
    :param token_time: time that the fastest takes for a prompt token, s.
    :param news: time between two exchanges, s.
    :param clump: mean number of requests that come together.
    """

    gateways: int = 8
    slowness: Sequence[float] = (1.0, 1.0, 1.3, 1.0, 1.0, 1.3)
    token_time: float = 1 / 100_000
    news: float = 0.4
    clump: float = 3.0
    seconds: float = 60.0
    load: float = 1.0
    kinds: tuple[Kind, ...] = (REPORTS, QUERIES)


class Engine:
    """One engine's reading queue.

    :param ever: shared parts that any engine has read.
    """

    def __init__(
        self, name: str, slowness: float, setting: Setting, ever: set[str]
    ) -> None:
        self._ever = ever
        self.name = name
        self.token_time = setting.token_time * slowness
        self.held: set[str] = set()
        self.read_again = 0
        self._now = 0.0
        self._queue: list[list] = []

    def take(self, now: float, number: int, job: "Job", source: "Engine | None"):
        """Queue a prompt; what it lacks is fetched or read."""
        self.advance(now)
        tokens = job.traits.prompt_tokens
        extra = 0.0
        for part in job.traits.parts[:-1]:
            if part.name in self.held:
                tokens -= part.tokens
            elif source is not None and part.name in source.held:
                tokens -= part.tokens
                extra = 0.005
            else:
                self.read_again += part.tokens if part.name in self._ever else 0
            self._ever.add(part.name)
            self.held.add(part.name)
        work = tokens * self.token_time + extra
        heapq.heappush(self._queue, [job.kind.priority, number, work, job])

    def pauses(self) -> list[timedelta]:
        """Return the pauses between the events of a stream."""
        return [timedelta(seconds=self.token_time * PAUSE_TOKENS)] * 20

    def advance(self, now: float) -> list["Job"]:
        """Read until a moment."""
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
    """A request under way."""

    kind: Kind
    traits: RequestTraits
    gateway: "Gateway"
    record: EndpointRecord
    unread: int
    sent_at: float
    first_at: float = 0.0


@dataclass(slots=True)
class Outcome:
    """What a run gave.

    :param late: late requests of each kind, as a part of them.
    :param credit: worth of the requests on time, a tenth for late ones, as a part.
    :param read_again: tokens of shared parts that engines read.
    """

    late: dict[str, float] = field(default_factory=dict)
    credit: float = 0.0
    read_again: int = 0


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
        self.cache = CacheBelief()
        self.paces = EnginePaces()
        self.placement = Placement("a", self.cache, self.paces, rng)

    def loads(self) -> dict[str, tuple[int, int]]:
        """Return what this gateway has under way."""
        return {
            name: (record.in_flight, record.unread_tokens)
            for name, record in self.records.items()
        }
