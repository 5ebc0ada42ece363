"""Traces: requests with arrival times, generated reproducibly from a seed."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import log
from random import Random

ENTRIES = 7
"""Number of entries among which requests are balanced."""


@dataclass(frozen=True, slots=True)
class Request:
    """One logical request of a caller.

    :param arrival: seconds since the start of the trace.
    :param work: seconds for which the request occupies a slot.
    :param timeout: seconds within which the caller needs the response.
    :param entry: index of the entry that the load balancer picks.
    """

    arrival: float
    customer: str
    priority: int
    work: float
    timeout: float
    entry: int
    idempotent: bool = True


@dataclass(frozen=True, slots=True)
class WorkKind:
    """Kind of work of a service.

    :param work: mean seconds for which a request occupies a slot.
    :param sigma: standard deviation of the logarithm of the work.
    :param timeout: seconds within which callers need the response.
    """

    work: float
    sigma: float
    timeout: float


GENERATION = WorkKind(work=2.0, sigma=0.8, timeout=15.0)
LOOKUP = WorkKind(work=0.02, sigma=0.5, timeout=0.25)

PRIORITIES = ((1, 0.2), (3, 0.5), (6, 0.3))
"""Priorities and the share of requests with each."""


@dataclass(frozen=True, slots=True)
class Source:
    """One customer's source of requests.

    :param rate: requests per second as a function of the time in seconds.
    :param peak: upper bound of the rate.
    :param priorities: priorities and the share of requests with each.
    :param work: factor on the work of the kind.
    """

    customer: str
    rate: Callable[[float], float]
    peak: float
    priorities: Sequence[tuple[int, float]] = PRIORITIES
    work: float = 1.0


def constant(customer: str, rate: float, **others) -> Source:
    """Return a source with a constant rate."""
    return Source(customer, lambda _: rate, rate, **others)


def make_trace(
    sources: Sequence[Source],
    kind: WorkKind,
    duration: float,
    seed: int,
    entry_weights: Sequence[float] = (1.0,) * ENTRIES,
) -> list[Request]:
    """Return the requests of all sources in the order of arrival.

    :param duration: seconds.
    :param entry_weights: share of the requests that the load balancer gives each entry.
    """
    rng = Random(seed)
    requests = []
    for source in sources:
        requests.extend(_draw(source, kind, duration, rng, entry_weights))
    return sorted(requests, key=lambda request: request.arrival)


def _draw(source, kind, duration, rng, entry_weights):
    at = 0.0
    median_log = log(kind.work * source.work) - kind.sigma**2 / 2
    entries = range(len(entry_weights))
    values = [value for value, _ in source.priorities]
    shares = [share for _, share in source.priorities]
    while True:
        at += rng.expovariate(source.peak)
        if at >= duration:
            return
        if rng.random() * source.peak > source.rate(at):
            continue
        yield Request(
            arrival=at,
            customer=source.customer,
            priority=rng.choices(values, shares)[0],
            work=rng.lognormvariate(median_log, kind.sigma),
            timeout=kind.timeout,
            entry=rng.choices(entries, entry_weights)[0],
        )
