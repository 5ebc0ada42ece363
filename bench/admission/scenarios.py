"""The situations that are replayed, each with the load that it needs."""

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
    Kind,
    Source,
    constant,
    make_trace,
)
from sassafrasdale.decisions.admission import CustomerShare

SHAPES = {GENERATION: MODEL_SHAPE, LOOKUP: RECORDS_SHAPE}
DURATIONS = {GENERATION: 60.0, LOOKUP: 5.0}
FIVE = ("large-1", "large-2", "small-1", "small-2", "small-3")
FIVE_PARTS = (0.4, 0.3, 0.1, 0.1, 0.1)
SEED = 1


def capacity_rate(kind: Kind) -> float:
    """Return the requests per second that the endpoints of ``kind`` can answer."""
    return SHAPES[kind].capacity / kind.work


def play(
    policy: Policy,
    sources: Sequence[Source],
    kind: Kind,
    duration: float,
    *,
    customers: Mapping[str, CustomerShare] | None = None,
    entry_weights: Sequence[float] = (1.0,) * ENTRIES,
    stated: int | None = None,
    shape: EndpointShape | None = None,
    change=lambda endpoints: None,
    caller_tries: int = 1,
    seed: int = SEED,
) -> Result:
    """Replay sources through the entries of a policy.

    :param stated: capacity that the text states, if it is not the true one.
    :param change: called with the endpoints before the replay.
    """
    trace = make_trace(sources, kind, duration, seed, entry_weights)
    shape = shape or SHAPES[kind]
    endpoints = make_endpoints(shape, policy)
    change(endpoints)
    shares = customers or {source.customer: CustomerShare() for source in sources}
    names = frozenset(end.name for end in endpoints)
    entries = make_entries(policy, stated or shape.capacity, names, shares)
    keep = stated is not None
    even = kind is LOOKUP
    return Replay(trace, entries, endpoints, duration, caller_tries, keep, even).run()


def overload(policy: Policy, kind: Kind, load: float, **others) -> Result:
    """Replay a constant load, as a multiple of the capacity."""
    rate = capacity_rate(kind) * load
    sources = [
        constant(name, rate * part) for name, part in zip(FIVE, FIVE_PARTS, strict=True)
    ]
    return play(policy, sources, kind, DURATIONS[kind], **others)


def one_customer_bursts(policy: Policy, urgent: bool, **others) -> Result:
    """Replay two large customers over their share beside eight small ones under it.

    :param urgent: whether the large ones mark all their requests as most urgent.
    """
    rate = capacity_rate(GENERATION)
    marks = {"priorities": ((0, 1.0),)} if urgent else {}
    sources = [constant(f"large-{n}", rate * 0.8, **marks) for n in (1, 2)]
    sources += [constant(f"small-{n}", rate * 0.05) for n in range(1, 9)]
    return play(policy, sources, GENERATION, DURATIONS[GENERATION], **others)


def long_work(policy: Policy, **others) -> Result:
    """Replay a customer whose answers take eight times as long as the other four's."""
    rate = capacity_rate(GENERATION)
    sources = [constant("long", rate * 0.1, work=4.0)]
    sources += [constant(f"short-{n}", rate * 0.4, work=0.5) for n in range(1, 5)]
    return play(policy, sources, GENERATION, DURATIONS[GENERATION], **others)


SKEWED = (0.4, 0.2, 0.12, 0.1, 0.08, 0.06, 0.04)
"""Part of the requests that the balancer gives each entry when it is uneven."""


def skewed(policy: Policy, load: float, **others) -> Result:
    """Replay a load that reaches the entries unevenly."""
    return overload(policy, GENERATION, load, entry_weights=SKEWED, **others)


def wrong_capacity(policy: Policy, factor: float, **others) -> Result:
    """Replay 1.5 times the true capacity when the text states another."""
    stated = round(MODEL_SHAPE.capacity * factor)
    return overload(policy, GENERATION, 1.5, stated=stated, **others)


def silent_queue(policy: Policy, kind: Kind, load: float, **others) -> Result:
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
        Source(name, lambda at, part=part: rate * load(at) * part, rate * 3 * part)
        for name, part in zip(FIVE, FIVE_PARTS, strict=True)
    ]
    return play(policy, sources, GENERATION, 120.0, **others)


DOWN, UP = 30.0, 60.0
"""Seconds at which a zone fails and at which it is back."""


def zone_fails(
    policy: Policy,
    load: float,
    kind: Kind = GENERATION,
    zones: str = "a",
    cold: float = 4.0,
    **others,
) -> Result:
    """Replay the loss of zones, with callers that try three times.

    :param zones: names of the zones that fail.
    :param cold: factor on the work of an endpoint that has just come back.
    """

    def change(endpoints):
        for endpoint in endpoints:
            if endpoint.zone in zones:
                endpoint.down_from, endpoint.up_from = DOWN, UP
                endpoint.warm_up, endpoint.cold = 10.0, cold

    rate = capacity_rate(kind) * load
    sources = [
        constant(name, rate * part) for name, part in zip(FIVE, FIVE_PARTS, strict=True)
    ]
    return play(policy, sources, kind, 120.0, change=change, caller_tries=3, **others)


def answers_fail(policy: Policy, load: float, share: float, **others) -> Result:
    """Replay endpoints whose answers fail for 30 s after the work is done."""

    def change(endpoints):
        for index, endpoint in enumerate(endpoints):
            endpoint.down_from, endpoint.up_from = DOWN, UP
            endpoint.errors = share
            endpoint.rng = Random(index)

    return overload(policy, GENERATION, load, change=change, caller_tries=3, **others)


def comeback(policy: Policy, **others) -> Result:
    """Replay a burst of eight times the capacity whose callers come back."""
    rate = capacity_rate(GENERATION)

    def load(at: float) -> float:
        return 8.0 if 20 <= at < 25 else 0.5

    sources = [
        Source(name, lambda at, part=part: rate * load(at) * part, rate * 8 * part)
        for name, part in zip(FIVE, FIVE_PARTS, strict=True)
    ]
    return play(policy, sources, GENERATION, 90.0, caller_tries=3, **others)


def slow_endpoint(policy: Policy, **others) -> Result:
    """Replay half the capacity with one lookup endpoint ten times as slow."""

    def change(endpoints):
        endpoints[0].slow = 10.0

    return overload(policy, LOOKUP, 0.4, change=change, **others)
