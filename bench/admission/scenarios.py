"""The replayed situations, each with its load."""

from collections.abc import Mapping, Sequence
from dataclasses import replace
from random import Random

from bench.admission.fleets import (
    MODEL_SHAPE,
    RECORDS_SHAPE,
    EndpointShape,
    Policy,
    make_endpoints,
    make_entries,
)
from bench.admission.replay import Replay, Result
from bench.admission.traces import (
    ENTRIES,
    GENERATION,
    LOOKUP,
    Source,
    WorkKind,
    constant,
    make_trace,
)
from sassafrasdale.decisions.admission import CustomerShare

SHAPES = {GENERATION: MODEL_SHAPE, LOOKUP: RECORDS_SHAPE}
DURATIONS = {GENERATION: 60.0, LOOKUP: 5.0}
FIVE_CUSTOMERS = ("large-1", "large-2", "small-1", "small-2", "small-3")
FIVE_SHARES = (0.4, 0.3, 0.1, 0.1, 0.1)
SEED = 1


def capacity_rate(kind: WorkKind) -> float:
    """Return the requests per second that the endpoints of ``kind`` can handle."""
    return SHAPES[kind].capacity / kind.work


def play(
    policy: Policy,
    sources: Sequence[Source],
    kind: WorkKind,
    duration: float,
    *,
    customers: Mapping[str, CustomerShare] | None = None,
    entry_weights: Sequence[float] = (1.0,) * ENTRIES,
    stated_capacity: int | None = None,
    shape: EndpointShape | None = None,
    prepare=lambda endpoints: None,
    caller_tries: int = 1,
    seed: int = SEED,
) -> Result:
    """Replay sources through the entries of a policy.

    :param stated_capacity: capacity that the configuration states, if it is not the
        true one.
    :param prepare: called with the endpoints before the replay.
    """
    trace = make_trace(sources, kind, duration, seed, entry_weights)
    shape = shape or SHAPES[kind]
    endpoints = make_endpoints(shape, policy)
    prepare(endpoints)
    shares = customers or {source.customer: CustomerShare() for source in sources}
    names = frozenset(endpoint.name for endpoint in endpoints)
    entries = make_entries(policy, stated_capacity or shape.capacity, names, shares)
    fixed_capacity = stated_capacity is not None
    similar_work = kind is LOOKUP
    return Replay(
        trace, entries, endpoints, duration, caller_tries, fixed_capacity, similar_work
    ).run()


def overload(policy: Policy, kind: WorkKind, load: float, **others) -> Result:
    """Replay a constant load, as a multiple of the capacity."""
    rate = capacity_rate(kind) * load
    sources = [
        constant(name, rate * share)
        for name, share in zip(FIVE_CUSTOMERS, FIVE_SHARES, strict=True)
    ]
    return play(policy, sources, kind, DURATIONS[kind], **others)


def one_customer_bursts(policy: Policy, urgent: bool, **others) -> Result:
    """Replay two large customers above their share and eight small ones below it.

    :param urgent: whether the large ones send all requests with the highest priority.
    """
    rate = capacity_rate(GENERATION)
    options = {"priorities": ((0, 1.0),)} if urgent else {}
    sources = [constant(f"large-{n}", rate * 0.8, **options) for n in (1, 2)]
    sources += [constant(f"small-{n}", rate * 0.05) for n in range(1, 9)]
    return play(policy, sources, GENERATION, DURATIONS[GENERATION], **others)


def long_work(policy: Policy, **others) -> Result:
    """Replay a customer whose requests take eight times as long as the other four's."""
    rate = capacity_rate(GENERATION)
    sources = [constant("long", rate * 0.1, work=4.0)]
    sources += [constant(f"short-{n}", rate * 0.4, work=0.5) for n in range(1, 5)]
    return play(policy, sources, GENERATION, DURATIONS[GENERATION], **others)


SKEWED_WEIGHTS = (0.4, 0.2, 0.12, 0.1, 0.08, 0.06, 0.04)
"""Share of the requests that an uneven load balancer gives each entry."""


def skewed(policy: Policy, load: float, **others) -> Result:
    """Replay a load that reaches the entries unevenly."""
    return overload(policy, GENERATION, load, entry_weights=SKEWED_WEIGHTS, **others)


def wrong_capacity(policy: Policy, factor: float, **others) -> Result:
    """Replay 1.5 times the true capacity when the configuration states another."""
    stated_capacity = round(MODEL_SHAPE.capacity * factor)
    return overload(policy, GENERATION, 1.5, stated_capacity=stated_capacity, **others)


def silent_queue(policy: Policy, kind: WorkKind, load: float, **others) -> Result:
    """Replay endpoints that never refuse but queue without a bound."""
    shape = replace(SHAPES[kind], queue=float("inf"))
    return overload(policy, kind, load, shape=shape, **others)


def launch_day(policy: Policy, **others) -> Result:
    """Replay a launch: from 0.3 to 3 times the capacity within 20 s, then 1.2."""
    rate = capacity_rate(GENERATION)

    def load(at: float) -> float:
        if at < 30:
            return 0.3
        if at < 50:
            return 0.3 + 2.7 * (at - 30) / 20
        return 3.0 if at < 90 else 1.2

    sources = [
        Source(name, lambda at, share=share: rate * load(at) * share, rate * 3 * share)
        for name, share in zip(FIVE_CUSTOMERS, FIVE_SHARES, strict=True)
    ]
    return play(policy, sources, GENERATION, 120.0, **others)


DOWN, UP = 30.0, 60.0
"""Seconds at which a zone fails and recovers."""


def zone_fails(
    policy: Policy,
    load: float,
    kind: WorkKind = GENERATION,
    zones: str = "a",
    cold_factor: float = 4.0,
    **others,
) -> Result:
    """Replay the loss of zones, with callers that send a request up to three times.

    :param zones: names of the zones that fail.
    :param cold_factor: factor on the work of an endpoint that has just restarted.
    """

    def prepare(endpoints):
        for endpoint in endpoints:
            if endpoint.zone in zones:
                endpoint.down_from, endpoint.up_from = DOWN, UP
                endpoint.warm_up, endpoint.cold_factor = 10.0, cold_factor

    rate = capacity_rate(kind) * load
    sources = [
        constant(name, rate * share)
        for name, share in zip(FIVE_CUSTOMERS, FIVE_SHARES, strict=True)
    ]
    return play(policy, sources, kind, 120.0, prepare=prepare, caller_tries=3, **others)


def failing_responses(policy: Policy, load: float, share: float, **others) -> Result:
    """Replay endpoints that fail a share of requests for 30 s, after their work."""

    def prepare(endpoints):
        for index, endpoint in enumerate(endpoints):
            endpoint.down_from, endpoint.up_from = DOWN, UP
            endpoint.error_share = share
            endpoint.rng = Random(index)

    return overload(policy, GENERATION, load, prepare=prepare, caller_tries=3, **others)


def retrying_callers(policy: Policy, **others) -> Result:
    """Replay a burst of eight times the capacity whose callers retry."""
    rate = capacity_rate(GENERATION)

    def load(at: float) -> float:
        return 8.0 if 20 <= at < 25 else 0.5

    sources = [
        Source(name, lambda at, share=share: rate * load(at) * share, rate * 8 * share)
        for name, share in zip(FIVE_CUSTOMERS, FIVE_SHARES, strict=True)
    ]
    return play(policy, sources, GENERATION, 90.0, caller_tries=3, **others)


def slow_endpoint(policy: Policy, **others) -> Result:
    """Replay half the capacity with one of the lookup endpoints ten times slower."""

    def prepare(endpoints):
        endpoints[0].slow_factor = 10.0

    return overload(policy, LOOKUP, 0.4, prepare=prepare, **others)
