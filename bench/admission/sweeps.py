"""Sweeps of the constants of the policies, one at a time."""

from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from datetime import timedelta
from functools import partial
from typing import Any

from bench.admission.catalogue import MEASURES, SCENARIOS
from bench.admission.fleets import OURS, Policy
from bench.admission.rates import SPREADS, RatePolicy, replay_rate
from sassafrasdale.decisions.budgets import (
    BUDGET_DEPTH,
    RETRY_FLOOR_PER_SECOND,
    RETRY_SHARE,
    RetryBudget,
)
from sassafrasdale.decisions.hedging import (
    HEDGE_FLOOR_PER_SECOND,
    HEDGE_MINIMUM_SAMPLES,
    HEDGE_QUANTILE,
    HEDGE_SHARE,
    HEDGE_WINDOW,
    Hedging,
)
from sassafrasdale.decisions.limits import BURST
from sassafrasdale.decisions.shares import DEMAND_WINDOW, EVEN_WEIGHT

WORKERS = 4
"""Number of processes that replay in parallel."""


@dataclass(frozen=True, slots=True)
class Sweep:
    """Values of one constant, and the situations that it affects.

    :param chosen: value in use.
    :param apply: returns the policy with a value in place of the chosen one.
    """

    name: str
    unit: str
    chosen: Any
    values: Sequence[Any]
    apply: Callable[[Any], Policy]
    situations: Sequence[str]


def _admission(name: str, value: Any) -> Policy:
    return replace(OURS, admission=replace(OURS.admission, **{name: value}))


def _limits(name: str, value: Any) -> Policy:
    return replace(OURS, limits=replace(OURS.limits, **{name: value}))


def _health(name: str, value: Any) -> Policy:
    return replace(OURS, health=replace(OURS.health, **{name: value}))


def _budget(name: str, value: Any) -> Policy:
    return replace(OURS, budget=partial(RetryBudget, **{name: value}))


def make_hedging(
    *,
    share: float = HEDGE_SHARE,
    floor: float = HEDGE_FLOOR_PER_SECOND,
    quantile: float = HEDGE_QUANTILE,
    window: int = HEDGE_WINDOW,
    minimum: int = HEDGE_MINIMUM_SAMPLES,
) -> Hedging:
    """Return hedging with the values in use, except for those given."""
    return Hedging(RetryBudget(share, floor), quantile, window, minimum)


def _hedging(name: str, value: Any) -> Policy:
    return replace(OURS, hedging=partial(make_hedging, **{name: value}))


def _seconds(*values: float) -> tuple[timedelta, ...]:
    return tuple(timedelta(seconds=value) for value in values)


BUSY = ("generations at 2x", "lookups at 2x", "callers come back")
EDGE = ("generations at 1x", "generations at 2x", "lookups at 2x")
UNEVEN = ("uneven entries at 0.9x", "half the capacity stated", "lookups at 2x")
SILENT = ("no refusals, generations at 2x", "uneven entries at 0.9x")
FAILING = ("zone fails at 0.9x", "two zones fail at 0.6x", "half of the answers fail")
HEDGED = ("slow endpoint, hedged", "lookups at 0.8x, hedged")

_ADMISSION = (
    ("queue_per_slot", "requests per slot", (1.0, 2.0, 4.0, 8.0), BUSY),
    ("latency_smoothing", "1", (0.02, 0.05, 0.1, 0.3), ("long work", *BUSY)),
    ("latency_window", "requests", (20, 50, 100, 400), EDGE),
    ("latency_quantile", "1", (0.5, 0.8, 0.9, 0.95, 0.98), EDGE),
    ("wait_share", "1", (0.1, 0.2, 0.3, 0.5, 1.0), EDGE),
    ("standing", "1", (0.0, 0.25, 0.5, 1.0, 2.0), ("large and urgent", *BUSY)),
    ("demand_window", "mean latencies", (0.01, 1.0, 5.0, 20.0), EDGE),
    ("longest_retry_after", "s", _seconds(1, 5, 10, 30, 60), BUSY[2:]),
    ("retry_after_spread", "1", (0.0, 0.5, 1.0, 2.0), BUSY[2:]),
    ("initial_latency", "s", _seconds(0.01, 0.1, 1.0, 5.0), EDGE),
)
_LIMITS = (
    ("smallest", "requests", (1, 2, 4), UNEVEN),
    ("increase", "1", (0.05, 0.15, 0.3, 0.45, 0.6), UNEVEN),
    ("decrease", "1", (0.6, 0.7, 0.8, 0.9), UNEVEN),
    ("borrow", "1", (1.0, 2.0, 4.0, 7.0), (*UNEVEN, *SILENT[:1])),
    ("tolerance", "1", (1.25, 1.5, 2.0, 3.0, 100.0), SILENT),
    ("samples", "requests", (5, 10, 20, 50), SILENT),
    ("ageing", "1", (0.0, 0.02, 0.1, 0.5), SILENT),
    ("cooldown", "usual latencies", (0.03, 0.1, 0.25, 1.0), UNEVEN),
)
_HEALTH = (
    ("failures", "requests", (2, 3, 5, 10), FAILING),
    ("ejection", "s", _seconds(1, 2, 5, 10, 20), FAILING),
    ("slow_start", "s", _seconds(0.001, 1, 2, 5, 10), FAILING[:2]),
    ("smallest_weight", "1", (0.02, 0.1, 0.3), FAILING[:2]),
    ("most_ejected", "1", (0.2, 0.34, 0.5, 0.7, 1.0), FAILING),
    ("slow_factor", "1", (1.5, 2.0, 3.0, 1000.0), ("slow endpoint",)),
    ("latency_smoothing", "1", (0.05, 0.1, 0.2), ("slow endpoint",)),
)
_BUDGET = (
    ("share", "1", RETRY_SHARE, (0.02, 0.05, 0.1, 0.2, 0.5), FAILING),
    ("floor", "1/s", RETRY_FLOOR_PER_SECOND, (0.0, 0.1, 0.5, 2.0), FAILING),
    ("depth", "requests", BUDGET_DEPTH, (2.0, 5.0, 10.0, 30.0), FAILING),
)
_HEDGING = (
    ("quantile", "1", HEDGE_QUANTILE, (0.8, 0.9, 0.95, 0.99)),
    ("share", "1", HEDGE_SHARE, (0.02, 0.05, 0.1, 0.2)),
    ("floor", "1/s", HEDGE_FLOOR_PER_SECOND, (0.0, 0.1, 1.0)),
    ("window", "requests", HEDGE_WINDOW, (50, 200, 1000)),
    ("minimum", "requests", HEDGE_MINIMUM_SAMPLES, (5, 20, 100)),
)


def _spare_share(value: float) -> Policy:
    return replace(_admission("spare_share", value), hedging=Hedging)


def make_sweeps() -> Iterator[Sweep]:
    """Yield the sweeps of all constants."""
    for name, unit, values, situations in _ADMISSION:
        chosen = getattr(OURS.admission, name)
        apply = partial(_admission, name)
        yield Sweep(f"admission {name}", unit, chosen, values, apply, situations)
    for name, unit, values, situations in _LIMITS:
        chosen = getattr(OURS.limits, name)
        apply = partial(_limits, name)
        yield Sweep(f"limits {name}", unit, chosen, values, apply, situations)
    for name, unit, values, situations in _HEALTH:
        chosen = getattr(OURS.health, name)
        apply = partial(_health, name)
        yield Sweep(f"health {name}", unit, chosen, values, apply, situations)
    for name, unit, chosen, values, situations in _BUDGET:
        apply = partial(_budget, name)
        yield Sweep(f"budget {name}", unit, chosen, values, apply, situations)
    for name, unit, chosen, values in _HEDGING:
        apply = partial(_hedging, name)
        yield Sweep(f"hedging {name}", unit, chosen, values, apply, HEDGED[:1])
    chosen = OURS.admission.spare_share
    values = (0.6, 1.2, 1.8, 4.0)
    yield Sweep("admission spare_share", "1", chosen, values, _spare_share, HEDGED)


@dataclass(frozen=True, slots=True)
class Row:
    """Figures of one value of a constant in one situation."""

    sweep: Sweep
    value: Any
    situation: str
    figures: tuple[float, ...]


def run_sweeps(only: str = "") -> Iterator[Row]:
    """Replay the sweeps whose names begin with ``only``.

    :param only: beginning of the names of the sweeps.
    """
    jobs = [
        (sweep, value, situation)
        for sweep in make_sweeps()
        if sweep.name.startswith(only)
        for situation in sweep.situations
        for value in sweep.values
    ]
    with ProcessPoolExecutor(WORKERS) as pool:
        yield from pool.map(_run, jobs)


def _run(job) -> Row:
    sweep, value, situation = job
    result = SCENARIOS[situation](sweep.apply(value))
    figures = tuple(measure(result) for measure in MEASURES.values())
    return Row(sweep, value, situation, figures)


_RATE_FIELDS = (
    ("borrow", "1", (None, 1.0, 1.5, 3.0)),
    ("lag", "s", (1.0, 5.0, 10.0)),
    ("interval", "s", (1.0, 5.0, 10.0)),
    ("burst", "s", _seconds(1, 2, 5, 10)),
    ("window", "s", _seconds(1, 2, 5, 10)),
    ("even_weight", "1", (0.01, 0.05, 0.1, 0.3, 1.0)),
)
_RATE_CHOSEN = {"burst": BURST, "window": DEMAND_WINDOW, "even_weight": EVEN_WEIGHT}


@dataclass(frozen=True, slots=True)
class RateRow:
    """Figures of one value of a constant of the rate limits.

    :param figures: share of requests allowed at 0.8 of the limit, and allowed rate as a
        multiple of the limit at three times the limit, for each spread.
    """

    name: str
    unit: str
    value: Any
    is_chosen: bool
    rate: float
    figures: tuple[float, ...]


def run_rate_sweeps() -> Iterator[RateRow]:
    """Replay the rate limits with each value of their constants."""
    for name, unit, values in _RATE_FIELDS:
        for value in values:
            policy = replace(RatePolicy(), **{name: value})
            chosen = value == _RATE_CHOSEN.get(name, getattr(RatePolicy(), name))
            for rate in (10.0, 2.0):
                figures = tuple(_rate_figures(policy, rate))
                yield RateRow(name, unit, value, chosen, rate, figures)


def _rate_figures(policy: RatePolicy, rate: float) -> Iterator[float]:
    for spread in SPREADS.values():
        yield replay_rate(policy, 0.8, spread, rate).allowed
        yield replay_rate(policy, 3.0, spread, rate).excess
