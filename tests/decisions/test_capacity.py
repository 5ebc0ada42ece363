"""Tests of the capacity plan."""

from collections import Counter
from datetime import timedelta

from sassafrasdale.decisions.capacity import plan_capacity
from sassafrasdale.decisions.structures import (
    CapacityPolicy,
    InstanceOffer,
    RefusedStart,
    ReleaseInstance,
    RunningInstance,
    ServiceDemand,
    StartInstance,
)

ZONES = ("a", "b", "c")
POLICY = CapacityPolicy(headroom=1.0)
DEMAND = ServiceDemand("drafts", load=40.0, availability_zones=ZONES)
OFFERS = [
    InstanceOffer(zone, "large", reclaimable, price, 10.0)
    for zone, cheap in zip(ZONES, (0.30, 0.40, 0.35), strict=True)
    for reclaimable, price in ((True, cheap), (False, 1.0))
]


def _running(**counts: int) -> list[RunningInstance]:
    return [
        RunningInstance(f"{zone}{n}", zone, "large", True)
        for zone, count in counts.items()
        for n in range(count)
    ]


def _refused(zone: str, refusals: int = 1, age: int = 1) -> list[RefusedStart]:
    seconds = timedelta(seconds=age)
    return [RefusedStart(zone, "large", kind, refusals, seconds) for kind in (0, 1)]


def _plan(instances, refused=(), demand=DEMAND, round_id="r1"):
    return plan_capacity(demand, instances, OFFERS, refused, POLICY, round_id)


def _starts(plan) -> Counter:
    return Counter(order.availability_zone for order in plan.orders)


def test_provides_for_the_loss_of_any_zone():
    plan = _plan([])
    assert _starts(plan) == {"a": 2, "b": 2, "c": 2}
    assert all(order.reclaimable for order in plan.orders)
    assert plan.shortfall == 0.0


def test_uses_the_other_zones_when_one_is_refused():
    """Guards against a service that lacks capacity for hours after one zone runs out.

    The plan ordered in the cheapest zone again and again, was refused each time and
    never used the others.
    """
    plan = _plan(_running(b=2), _refused("a"))
    assert _starts(plan) == {"c": 2}


def test_orders_in_a_zone_again_after_its_backoff():
    assert "a" not in _starts(_plan([], _refused("a", refusals=3, age=70)))
    assert "a" in _starts(_plan([], _refused("a", refusals=3, age=81)))


def test_orders_on_demand_instances_when_reclaimable_ones_are_refused():
    refused = [RefusedStart(zone, "large", True, 1, timedelta()) for zone in ZONES]
    plan = _plan([], refused)
    assert len(plan.orders) == 6
    assert not any(order.reclaimable for order in plan.orders)


def test_replaces_a_zone_that_is_being_reclaimed():
    leaving = [
        RunningInstance(f"a{n}", "a", "large", True, leaving=True) for n in range(2)
    ]
    plan = _plan([*leaving, *_running(b=2, c=2)], _refused("a"))
    assert plan.orders == ()
    grown = ServiceDemand("drafts", 60.0, availability_zones=ZONES)
    plan = _plan([*leaving, *_running(b=2, c=2)], _refused("a"), grown)
    assert sum(_starts(plan).values()) == 2


def test_reports_the_shortfall():
    refused = [*_refused("a"), *_refused("b"), *_refused("c")]
    plan = _plan(_running(a=1), refused)
    assert plan.orders == ()
    assert plan.shortfall == 30.0


def test_releases_the_most_expensive_instance_one_per_round():
    plan = _plan(_running(a=3, b=3, c=3))
    assert plan.orders == (ReleaseInstance("b0"),)


def test_releases_nothing_within_the_margin():
    assert _plan(_running(a=2, b=2, c=2)).orders == ()


def test_two_leaders_order_the_same_instance_once():
    """Guards against instances that are started, and billed, twice.

    A leader was paused past its lease. It and its successor order the same start; the
    request id is derived from the order, so the second is a duplicate.
    """
    first, second = _plan([]), _plan([])
    assert first == second
    ids = [order.request_id for order in first.orders]
    assert len(set(ids)) == len(ids)
    assert all(isinstance(order, StartInstance) for order in first.orders)


def test_plans_for_the_load_at_the_time_that_a_new_instance_serves():
    growing = ServiceDemand("drafts", 40.0, growth=1.0, availability_zones=ZONES)
    assert sum(_starts(_plan([], demand=growing)).values()) == 15


def test_releases_an_overpriced_instance_only_after_its_replacement_serves():
    """Guards against a lack of capacity after each price change.

    On-demand instances were started while reclaimable ones were refused. The plan
    released them as soon as their replacements were ordered, a minute before these
    served.
    """
    dear = RunningInstance("dear", "a", "large", False)
    running = [dear, *_running(a=1, b=2, c=2)]
    plan = _plan(running)
    assert [order.reclaimable for order in plan.orders] == [True]
    starting = RunningInstance("new", "a", "large", True, serving=False)
    assert _plan([*running, starting]).orders == ()
    serving = RunningInstance("new", "a", "large", True)
    assert _plan([*running, serving]).orders == (ReleaseInstance("dear"),)
