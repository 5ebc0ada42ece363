"""The situations and the figures of their results, by name."""

from collections.abc import Callable, Mapping
from dataclasses import replace
from types import MappingProxyType

from bench.admission.fleets import Policy
from bench.admission.measures import (
    held_share,
    held_until_shed,
    in_time_share,
    jain,
    latency,
    useful_share,
)
from bench.admission.replay import Result
from bench.admission.scenarios import (
    failing_responses,
    launch_day,
    long_work,
    one_customer_bursts,
    overload,
    retrying_callers,
    silent_queue,
    skewed,
    slow_endpoint,
    wrong_capacity,
    zone_fails,
)
from bench.admission.traces import GENERATION, LOOKUP
from sassafrasdale.decisions.hedging import Hedging


def _hedged(policy: Policy) -> Policy:
    return policy if policy.hedging else replace(policy, hedging=Hedging)


Scenario = Callable[[Policy], Result]

SCENARIOS: Mapping[str, Scenario] = MappingProxyType(
    {
        "generations at 1x": lambda p: overload(p, GENERATION, 1.0),
        "generations at 1.5x": lambda p: overload(p, GENERATION, 1.5),
        "generations at 2x": lambda p: overload(p, GENERATION, 2.0),
        "generations at 4x": lambda p: overload(p, GENERATION, 4.0),
        "lookups at 1x": lambda p: overload(p, LOOKUP, 1.0),
        "lookups at 2x": lambda p: overload(p, LOOKUP, 2.0),
        "lookups at 4x": lambda p: overload(p, LOOKUP, 4.0),
        "large customers": lambda p: one_customer_bursts(p, urgent=False),
        "large and urgent": lambda p: one_customer_bursts(p, urgent=True),
        "long work": long_work,
        "uneven entries at 0.7x": lambda p: skewed(p, 0.7),
        "uneven entries at 0.9x": lambda p: skewed(p, 0.9),
        "uneven entries at 1.5x": lambda p: skewed(p, 1.5),
        "half the capacity stated": lambda p: wrong_capacity(p, 0.5),
        "twice the capacity stated": lambda p: wrong_capacity(p, 2.0),
        "no refusals, generations at 2x": lambda p: silent_queue(p, GENERATION, 2.0),
        "no refusals, lookups at 2x": lambda p: silent_queue(p, LOOKUP, 2.0),
        "launch day": launch_day,
        "zone fails at 0.6x": lambda p: zone_fails(p, 0.6),
        "zone fails at 0.9x": lambda p: zone_fails(p, 0.9),
        "two zones fail at 0.6x": lambda p: zone_fails(p, 0.6, zones="ab"),
        "half of the answers fail": lambda p: failing_responses(p, 0.9, 0.5),
        "callers come back": retrying_callers,
        "slow endpoint": slow_endpoint,
        "slow endpoint, hedged": lambda p: slow_endpoint(_hedged(p)),
        "lookups at 0.8x, hedged": lambda p: overload(_hedged(p), LOOKUP, 0.8),
    }
)


def _priority(value: int) -> Callable[[Result], float]:
    return lambda result: in_time_share(
        result, lambda request: request.priority == value
    )


def _small(result: Result) -> float:
    return in_time_share(result, lambda req: req.customer.startswith("s"))


MEASURES: Mapping[str, Callable[[Result], float]] = MappingProxyType(
    {
        "useful": useful_share,
        "in time": in_time_share,
        "u=1": _priority(1),
        "u=3": _priority(3),
        "u=6": _priority(6),
        "small": _small,
        "jain": jain,
        "held": held_share,
        "held p99": lambda result: held_until_shed(result, 0.99),
        "p50": lambda result: latency(result, 0.5),
        "p99": lambda result: latency(result, 0.99),
        "sends": lambda result: len(result.attempts) / len(result.outcomes),
        "refusals": lambda result: float(result.refusals),
    }
)
