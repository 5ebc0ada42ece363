"""Replay of a launch day at the interface of the capacity plan.

Load is a number that is spread over the instances; there are no single requests.

Usage::

    python -m bench.replay.capacity
    python -m bench.replay.capacity --constant headroom 1 1.25 1.5
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from itertools import count
from random import Random
from statistics import fmean

from cyclopts import App

from bench.traces.generate import DURATION, share_of_peak
from sassafrasdale.decisions.capacity import plan_capacity
from sassafrasdale.decisions.structures import (
    CapacityPlan,
    CapacityPolicy,
    InstanceOffer,
    RefusedStart,
    ReleaseInstance,
    RunningInstance,
    ServiceDemand,
    StartInstance,
)

ZONES = ("a", "b", "c")
STEP = 5
"""Time between plans, in seconds."""

DAY = 3600
"""Length of the day, in seconds."""

PEAK = 120.0
"""Load at the peak, in requests in flight."""

START_TIME = 60
"""Time until a started instance serves, in seconds."""

NOTICE = 10
"""Time from a reclaim's notice until the instances end, in seconds."""

SMOOTHING = 60
"""Time over which the planner is given the mean of the load, in seconds."""

RECLAIM_AT, RETURN_AT = 1080, 2250
"""Times at which zone a is reclaimed and available again, in seconds."""

SHORTAGE = (900, 1080)
"""Times between which zone c refuses all starts, in seconds."""

OFFERS = (
    InstanceOffer("a", "large", True, 0.30, 10.0),
    InstanceOffer("b", "large", True, 0.36, 10.0),
    InstanceOffer("c", "large", True, 0.33, 10.0),
    InstanceOffer("a", "small", True, 0.17, 5.0),
    InstanceOffer("b", "small", True, 0.17, 5.0),
    InstanceOffer("c", "small", True, 0.17, 5.0),
    InstanceOffer("a", "large", False, 1.00, 10.0),
    InstanceOffer("b", "large", False, 1.05, 10.0),
    InstanceOffer("c", "large", False, 1.00, 10.0),
)
OFFERS_BY_KIND = {
    (o.availability_zone, o.instance_class, o.reclaimable): o for o in OFFERS
}

Planner = Callable[
    [float, float, list[RunningInstance], list[RefusedStart], int], CapacityPlan
]

app = App(help="Replay the capacity plan.")


@dataclass(slots=True)
class ReplayInstance:
    """An instance of the replay; times in seconds."""

    view: RunningInstance
    serves_at: int
    ends_at: int | None = None


@dataclass(slots=True)
class DayFigures:
    """The figures of a day.

    :param cost: price of all instances over the day.
    :param served: share of the load that was within capacity.
    :param worst: lowest such share at any step.
    :param refusals: starts that were refused.
    :param starts: starts that were accepted.
    """

    cost: float = 0.0
    served: float = 0.0
    worst: float = 1.0
    refusals: int = 0
    starts: int = 0


def load_at(at: int) -> float:
    """Return the load at a time of the day: the launch, twelve times as long.

    Arrivals are random, so the level varies by its square root.
    """
    level = PEAK * share_of_peak(at / DAY * DURATION)
    return max(1.0, level + Random(at).gauss(0, level**0.5))


def replay(planner: Planner) -> DayFigures:
    """Run a day under a planner."""
    figures = DayFigures()
    numbers = count()
    instances = [
        _new_instance(numbers, OFFERS_BY_KIND["abc"[n % 3], "large", True], 0)
        for n in range(6)
    ]
    refused: dict[tuple, tuple[int, int]] = {}
    offered = total_served = 0.0
    for at in range(0, DAY, STEP):
        _reclaim(instances, at)
        instances = [m for m in instances if m.ends_at is None or m.ends_at > at]
        load = load_at(at)
        mean = _mean_load(at)
        growth = (mean - _mean_load(max(0, at - SMOOTHING))) / SMOOTHING
        plan = planner(
            mean,
            growth,
            [replace(m.view, serving=m.serves_at <= at) for m in instances],
            [
                RefusedStart(*k, n, timedelta(seconds=at - t))
                for k, (n, t) in refused.items()
            ],
            at,
        )
        for order in plan.orders:
            _carry_out(order, instances, refused, numbers, at, figures)
        capacity = sum(_capacity(m) for m in instances if m.serves_at <= at)
        served = min(load, capacity)
        offered += load
        total_served += served
        figures.worst = min(figures.worst, served / load)
        figures.cost += sum(_price(m) for m in instances) * STEP / 3600
    figures.served = total_served / offered
    return figures


def _mean_load(at: int) -> float:
    """Return the mean of the load over the last ``SMOOTHING`` seconds."""
    times = range(0, SMOOTHING, STEP)
    return fmean(load_at(max(0, at - back)) for back in times)


def ours(policy: CapacityPolicy) -> Planner:
    """Return the planner of the package."""

    def plan(load, growth, running, refused, at):
        demand = ServiceDemand("drafts", load, growth, ZONES, 2)
        return plan_capacity(demand, running, OFFERS, refused, policy, f"{at}")

    return plan


def fixed(load, growth, running, refused, at) -> CapacityPlan:
    """Keep enough on-demand instances for the peak with any one zone lost."""
    wanted = 18 - sum(1 for instance in running if not instance.reclaimable)
    orders = [
        StartInstance(f"{at}-{n}", "drafts", ZONES[n % 3], "large", False)
        for n in range(wanted if at == 0 else 0)
    ]
    released = [
        ReleaseInstance(instance.name)
        for instance in running
        if instance.reclaimable and at > START_TIME
    ]
    return CapacityPlan((*orders, *released))


def cheapest(load, growth, running, refused, at) -> CapacityPlan:
    """Follow the load with the cheapest instances, all in one zone."""
    return _follow(load, running, at, ("a",))


def spread(load, growth, running, refused, at) -> CapacityPlan:
    """Follow the load in all zones in turn, without spare capacity for a loss."""
    return _follow(load, running, at, ZONES)


def _follow(load, running, at, zones) -> CapacityPlan:
    staying = [instance for instance in running if not instance.leaving]
    missing = load * 1.25 - sum(
        OFFERS_BY_KIND[_key(instance)].capacity for instance in staying
    )
    if missing < -10:
        return CapacityPlan((ReleaseInstance(staying[-1].name),))
    starts = max(0, -int(-missing // 10))
    return CapacityPlan(
        tuple(
            StartInstance(
                f"{at}-{n}",
                "drafts",
                zones[(at // STEP + n) % len(zones)],
                "large",
                True,
            )
            for n in range(starts)
        )
    )


def min_cost() -> float:
    """Return the price of serving exactly the load on the cheapest instances.

    No planner reaches it, as it knows the load and the losses in advance and
    keeps no spare capacity.
    """
    cost = 0.0
    for at in range(0, DAY, STEP):
        prices = [
            offer.price_per_hour / offer.capacity
            for offer in OFFERS
            if not (offer.availability_zone == "a" and RECLAIM_AT <= at < RETURN_AT)
        ]
        cost += load_at(at) * min(prices) * STEP / 3600
    return cost


PLANNERS = {
    "fixed": fixed,
    "cheapest": cheapest,
    "spread": spread,
    "ours": ours(CapacityPolicy()),
}


@app.default
def main(*values: float, constant: str = "") -> None:
    """Print the table of the planners, or of the values of one constant.

    :param values: values to try; seconds for times.
    :param constant: name of a field of the capacity policy.
    """
    print("| planner | cost | load served | worst moment | starts | refused |")
    print("| --- | ---: | ---: | ---: | ---: | ---: |")
    if not constant:
        for name, planner in PLANNERS.items():
            print(_row(name, replay(planner)))
        print(f"| least cost | {min_cost():.2f} | 100.00% | 100.0% | - | - |")
    for value in values:
        print(_row(f"{constant} {value:g}", replay(ours(_policy(constant, value)))))


def _row(name: str, figures: DayFigures) -> str:
    return (
        f"| {name} | {figures.cost:.2f} | {figures.served:.2%} | {figures.worst:.1%} "
        f"| {figures.starts} | {figures.refusals} |"
    )


def _policy(constant: str, value: float) -> CapacityPolicy:
    default = getattr(CapacityPolicy(), constant)
    if isinstance(default, timedelta):
        return replace(CapacityPolicy(), **{constant: timedelta(seconds=value)})
    return replace(CapacityPolicy(), **{constant: value})


def _new_instance(
    numbers: "count[int]", offer: InstanceOffer, serves_at: int
) -> ReplayInstance:
    view = RunningInstance(
        f"i{next(numbers)}",
        offer.availability_zone,
        offer.instance_class,
        offer.reclaimable,
    )
    return ReplayInstance(view, serves_at)


def _reclaim(instances: list[ReplayInstance], at: int) -> None:
    """Give notice to the reclaimable instances of zone a."""
    if at != RECLAIM_AT:
        return
    for instance in instances:
        if instance.view.availability_zone == "a" and instance.view.reclaimable:
            instance.view = replace(instance.view, leaving=True)
            instance.ends_at = at + NOTICE


def _carry_out(order, instances, refused, numbers, at, figures) -> None:
    if isinstance(order, ReleaseInstance):
        instances[:] = [m for m in instances if m.view.name != order.name]
        return
    kind = (order.availability_zone, order.instance_class, order.reclaimable)
    if _refuses(order, at):
        figures.refusals += 1
        if refused.get(kind, (0, -1))[1] != at:
            refused[kind] = (refused.get(kind, (0, 0))[0] + 1, at)
        return
    refused.pop(kind, None)
    figures.starts += 1
    instances.append(_new_instance(numbers, OFFERS_BY_KIND[kind], at + START_TIME))


def _refuses(order: StartInstance, at: int) -> bool:
    in_shortage = order.availability_zone == "c" and SHORTAGE[0] <= at < SHORTAGE[1]
    reclaimed = order.availability_zone == "a" and RECLAIM_AT <= at < RETURN_AT
    return in_shortage or (reclaimed and order.reclaimable)


def _key(instance: RunningInstance) -> tuple[str, str, bool]:
    return (instance.availability_zone, instance.instance_class, instance.reclaimable)


def _capacity(instance: ReplayInstance) -> float:
    return OFFERS_BY_KIND[_key(instance.view)].capacity


def _price(instance: ReplayInstance) -> float:
    return OFFERS_BY_KIND[_key(instance.view)].price_per_hour


if __name__ == "__main__":
    app()
