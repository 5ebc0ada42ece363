"""Tests of the number of endpoints of each kind that are ordered."""

from dataclasses import replace
from datetime import timedelta
from math import inf, nan

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrasdale.decisions.load_history import LoadVariation
from sassafrasdale.decisions.ordering import (
    MAX_UTILIZATION,
    MIN_ENDPOINTS,
    MIN_ON_DEMAND,
    MIN_ON_DEMAND_ALONE,
    OrderKey,
    PlannedService,
    plan_orders,
)
from sassafrasdale.deployment import ScaleBounds

BOUNDS = ScaleBounds(1, 4, timedelta(seconds=4), 0.22, {"a": 0.85, "b": 1.2, "c": 1.0})


def key(zone: str, reclaimable: bool) -> OrderKey:
    return OrderKey("models", zone, reclaimable)


def planned(load: float, running=None, bounds: ScaleBounds = BOUNDS) -> PlannedService:
    return PlannedService("models", bounds, running or {}, load)


def planned_by_value(load: float, running=None, **options) -> PlannedService:
    """Return a service whose routes name an objective; options replace its fields."""
    service = PlannedService(
        "models",
        ScaleBounds(1, 8, BOUNDS.start_time, 0.22, BOUNDS.zone_prices),
        running or {},
        load,
        objective=timedelta(seconds=2),
        request_time=timedelta(seconds=0.25),
        variation=LoadVariation(2.0, 0.1, 2.2, 0.0),
    )
    return replace(service, **options)


def on_demand_total(plan) -> int:
    return sum(plan.orders[key(zone, False)] for zone in "abc")


def total(plan) -> int:
    return sum(plan.orders.values())


def test_low_load_keeps_one_on_demand_endpoint_in_the_cheapest_zone():
    plan = plan_orders(planned(0.0), unavailable=())
    assert plan.orders[key("a", False)] == MIN_ON_DEMAND
    assert total(plan) >= MIN_ENDPOINTS


def test_more_load_needs_more():
    totals = [total(plan_orders(planned(load), ())) for load in (0.2, 1.0, 2.0, 3.0)]
    assert totals == sorted(totals)
    assert totals[0] < totals[-1]


def test_endpoints_that_take_a_limited_rate_get_others_beside_them():
    """Guards against a limited endpoint that counts as one that carries load."""
    sound = plan_orders(planned(0.3), ())
    impaired = plan_orders(replace(planned(0.3), limited=3), ())
    assert total(impaired) >= total(sound) + 3


@settings(derandomize=True)
@given(
    load=st.floats(0, 4),
    running=st.fixed_dictionaries({zone: st.integers(0, 3) for zone in "abc"}),
    unavailable=st.sets(st.sampled_from("abc")),
)
def test_load_is_carried_without_any_one_zone(load, running, unavailable):
    """Guards against requests that queue at the few remaining endpoints.

    The cloud reclaims a zone's reclaimable endpoints, then those of another, and has
    none available; the load stays, and new endpoints take seconds to start.
    """
    reclaimable = {key(zone, True): count for zone, count in running.items()}
    wide_bounds = ScaleBounds(1, 20, BOUNDS.start_time, 0.22, BOUNDS.zone_prices)
    plan = plan_orders(
        planned(load, reclaimable, wide_bounds),
        {key(zone, True) for zone in unavailable},
    )
    on_demand = sum(plan.orders[key(zone, False)] for zone in "abc")
    assert on_demand >= MIN_ON_DEMAND
    for lost in "abc":
        left = sum(count for zone, count in running.items() if zone != lost)
        assert on_demand + left >= load / MAX_UTILIZATION


def test_few_on_demand_endpoints_while_reclaimable_ones_suffice():
    """On-demand endpoints cost several times as much as reclaimable ones."""
    reclaimable = {key(zone, True): 2 for zone in "abc"}
    plan = plan_orders(planned(1.8, reclaimable), ())
    assert sum(plan.orders[key(zone, False)] for zone in "abc") == MIN_ON_DEMAND


@pytest.mark.parametrize("zones", ["a", "abc"])
def test_on_demand_endpoints_carry_the_load_once_a_zone_is_unavailable(zones):
    """Guards against requests that queue at a single endpoint for seconds.

    The cloud reclaims one zone's reclaimable endpoints and has no more; seconds later
    those of the next zone, and then the last ones.
    """
    reclaimable = {key(zone, True): 2 for zone in "abc"}
    plan = plan_orders(planned(2.0, reclaimable), {key(zone, True) for zone in zones})
    on_demand = sum(plan.orders[key(zone, False)] for zone in "abc")
    assert on_demand >= 2.0 / MAX_UTILIZATION


def test_on_demand_endpoints_carry_an_unknown_load():
    """Guards against a single endpoint, or five expensive ones, when callers start.

    A deployment starts with on-demand endpoints, seconds before its callers. Two of
    them stay until two reclaimable ones run outside any one zone, then one. Six at a
    fifth of the price each replace one at 1.1 of the price.
    """
    none = PlannedService("models", BOUNDS, {}, 0.1, load_known=False)
    reclaimable = {key(zone, True): 2 for zone in "abc"}
    started = PlannedService("models", BOUNDS, reclaimable, 0.1, load_known=False)
    for service, expected in ((none, MIN_ON_DEMAND_ALONE), (started, MIN_ON_DEMAND)):
        plan = plan_orders(service, ())
        on_demand = sum(plan.orders[key(zone, False)] for zone in "abc")
        assert on_demand == expected


def test_on_demand_endpoints_get_the_places_of_unavailable_ones():
    """Guards against a fleet without endpoints while on-demand ones are available.

    The load fills each zone's bound with reclaimable endpoints, which are reclaimed.
    """
    unavailable = {key(zone, True) for zone in "abc"}
    plan = plan_orders(planned(7.0), unavailable)
    assert all(plan.orders[key(zone, False)] == 3 for zone in "abc")
    assert all(plan.orders[key(zone, True)] == 1 for zone in "abc")


def test_one_on_demand_endpoint_stays_though_reclaimable_ones_fill_all_places():
    """Guards against no endpoint at all once two zones are reclaimed in turn.

    The load needs as many reclaimable endpoints as fit into the zones. They took the
    last place of the one endpoint that cannot be reclaimed.
    """
    tight_bounds = ScaleBounds(1, 3, timedelta(seconds=4), 0.22, BOUNDS.zone_prices)
    reclaimable = {key(zone, True): 3 for zone in "abc"}
    for load in (2.2, 4.5):
        plan = plan_orders(planned(load, reclaimable, tight_bounds), ())
        assert plan.orders[key("a", False)] == MIN_ON_DEMAND
        assert plan.orders[key("a", True)] == 2


def test_on_demand_endpoints_go_where_there_is_room_though_few_are_needed():
    """Guards against requests that queue at one endpoint for ten seconds.

    After low load, reclaimable endpoints take three of four places of the cheapest
    zone, more than are needed. The reclaim of another zone requires two on-demand
    endpoints; both were ordered in the cheapest zone, which had room for one.
    """
    running = {key("a", True): 3, key("c", True): 4, key("a", False): 1}
    plan = plan_orders(planned(0.3, running), {key("b", True)})
    assert plan.orders[key("a", False)] == 1
    assert plan.orders[key("c", False)] + plan.orders[key("b", False)] == 1


def test_serving_endpoints_are_not_released_for_ordered_ones():
    """Guards against four endpoints instead of nine for four seconds at peak load.

    Reclaimable endpoints can be ordered again after having been unavailable. Both kinds
    share three places per zone; five on-demand endpoints run, and four reclaimable ones
    so far.
    """
    tight_bounds = ScaleBounds(1, 3, timedelta(seconds=4), 0.22, BOUNDS.zone_prices)
    running = {key("a", True): 1, key("b", True): 2, key("c", True): 1}
    running |= {key("a", False): 2, key("b", False): 1, key("c", False): 2}
    plan = plan_orders(planned(2.7, running, tight_bounds), ())
    on_demand = sum(plan.orders[key(zone, False)] for zone in "abc")
    assert on_demand >= 2.7 / MAX_UTILIZATION - 2


def test_the_cheapest_zones_are_filled_first():
    unavailable = {key(zone, True) for zone in "abc"}
    plan = plan_orders(planned(2.4), unavailable)
    on_demand = {zone: plan.orders[key(zone, False)] for zone in "abc"}
    assert on_demand["a"] >= on_demand["c"] >= on_demand["b"]


@settings(derandomize=True)
@given(
    load=st.floats(0, 30),
    min_endpoints=st.integers(0, 2),
    max_endpoints=st.integers(2, 8),
    unavailable=st.sets(st.sampled_from("abc")),
    running=st.integers(0, 4),
)
def test_bounds_hold_for_both_kinds_together(
    load, min_endpoints, max_endpoints, unavailable, running
):
    bounds = ScaleBounds(
        min_endpoints, max_endpoints, timedelta(4), 0.2, BOUNDS.zone_prices
    )
    view = planned(load, {key("a", True): running}, bounds)
    plan = plan_orders(view, {key(zone, True) for zone in unavailable})
    for zone in "abc":
        both = plan.orders[key(zone, False)] + plan.orders[key(zone, True)]
        assert min_endpoints <= both <= max(max_endpoints, min_endpoints)
        assert plan.orders[key(zone, False)] >= 0


def test_without_an_objective_the_plan_follows_utilizations():
    """Guards against changed orders for services whose routes name no objective."""
    variation = LoadVariation(2.0, 0.1, 2.2, 0.0)
    without = replace(planned(2.0), variation=variation)
    assert plan_orders(without, ()) == plan_orders(planned(2.0), ())
    assert total(plan_orders(without, ())) == 9


@pytest.mark.parametrize(
    "unknown",
    [
        {"variation": None},
        {"load_known": False},
        {"objective": timedelta()},
        {"variation": LoadVariation(nan, 0.1, 2.2, 0.0)},
        {"bounds": replace(BOUNDS, reclaimable_price=-1.0)},
    ],
)
def test_the_plan_follows_utilizations_while_its_inputs_are_unknown(unknown):
    """Guards against a decision on a load, an objective or a price that isn't known."""
    service = planned_by_value(2.0, **unknown)
    expected = replace(service, objective=None)
    assert plan_orders(service, ()) == plan_orders(expected, ())


@pytest.mark.parametrize("load", [nan, inf, -1.0])
def test_an_invalid_load_counts_as_the_highest_of_the_last_minute(load):
    """Guards against a release of endpoints because of one invalid report."""
    plan = plan_orders(planned_by_value(load), ())
    assert total(plan) >= total(plan_orders(planned_by_value(2.0), ()))


def test_a_steady_load_is_carried_at_a_lower_price_than_by_utilizations():
    """Guards against idle endpoints that cost more than they save callers."""
    running = {key(zone, True): 3 for zone in "abc"} | {key("a", False): 1}
    by_value = plan_orders(planned_by_value(2.0, running), ())
    by_utilization = plan_orders(planned_by_value(2.0, running, objective=None), ())
    assert on_demand_total(by_value) == MIN_ON_DEMAND
    assert 2.2 < total(by_value) < total(by_utilization)


def test_on_demand_endpoints_replace_the_reclaimed_zone_until_it_runs_again():
    """Guards against a shortage while the reclaimed endpoints are ordered again."""
    running = {key("b", True): 1, key("c", True): 2, key("a", False): 1}
    plan = plan_orders(planned_by_value(2.0, running), ())
    assert on_demand_total(plan) > MIN_ON_DEMAND
    assert plan.orders[key("a", True)] >= 2


def test_on_demand_endpoints_carry_the_load_while_none_are_reclaimable():
    """Guards against the loss of the next zones while none are available."""
    running = {key(zone, True): 2 for zone in "abc"}
    dry = plan_orders(planned_by_value(2.0, running), {key("a", True)})
    assert on_demand_total(dry) >= 3
    normal = plan_orders(planned_by_value(2.0, running), ())
    for zone in "abc":
        assert dry.orders[key(zone, True)] == normal.orders[key(zone, True)]


def test_on_demand_endpoints_are_released_once_reclaimable_ones_run_again():
    """Guards against on-demand endpoints that stay after a zone was unavailable.

    They must not count as a reason to have fewer reclaimable ones.
    """
    few = {key(zone, True): 1 for zone in "abc"}
    ordered = {key(zone, True): 2 for zone in "abc"} | {key("a", False): 4}
    plan = plan_orders(planned_by_value(2.0, few, ordered=ordered), ())
    assert plan.orders[key("a", True)] == plan.orders[key("c", True)] == 2
    many = {key(zone, True): 2 for zone in "abc"}
    plan = plan_orders(planned_by_value(2.0, many, ordered=ordered), ())
    assert on_demand_total(plan) <= MIN_ON_DEMAND + 1


def test_another_service_without_reclaimable_endpoints_changes_nothing():
    """Guards against on-demand endpoints for a service that lost none."""
    other = OrderKey("records", "a", True)
    service = planned_by_value(2.0)
    assert plan_orders(service, {other}) == plan_orders(service, ())


def orders_over_time(base: float, *, remembers: bool) -> list[int]:
    """Return the endpoints ordered in turn for a load that changes a little.

    :param remembers: whether a plan knows what was ordered before.
    """
    ordered = {}
    totals = []
    for factor in (1.0, 1.04, 0.97, 1.03, 0.96, 1.0) * 3:
        load = base * factor
        service = planned_by_value(
            load,
            {key(zone, True): 6 for zone in "abc"},
            ordered=ordered if remembers else {},
            variation=LoadVariation(load, 0.1, load + 0.2, 0.0),
        )
        ordered = plan_orders(service, ()).orders
        totals.append(sum(ordered.values()))
    return totals[6:]


def test_small_changes_of_the_load_keep_the_orders():
    """Guards against orders that go back and forth with the load.

    Without the margin for what was ordered, they would at some of these loads.
    """
    loads = [0.5 + 0.25 * step for step in range(24)]
    for load in loads:
        assert len(set(orders_over_time(load, remembers=True))) == 1
    changing = [len(set(orders_over_time(load, remembers=False))) > 1 for load in loads]
    assert any(changing)


def test_endpoints_far_from_their_worth_are_not_kept():
    """Guards against a margin that keeps all that was ever ordered."""
    ordered = {key(zone, True): 8 for zone in "abc"}
    plan = plan_orders(planned_by_value(2.0, ordered, ordered=ordered), ())
    assert total(plan) < 12


def test_the_reason_names_the_inputs():
    """Guards against orders that can't be explained from the logs."""
    reason = plan_orders(planned_by_value(2.0), ()).reason
    for text in ("load 2.00", "mean", "deviation", "maximum 2.20", "rise", "objective"):
        assert text in reason
    assert "0.2500 s measured" in reason
    unknown = plan_orders(planned_by_value(2.0, request_time=None), ()).reason
    assert "assumed" in unknown


@settings(derandomize=True, deadline=None)
@given(
    load=st.floats(0, 30),
    min_endpoints=st.integers(0, 2),
    max_endpoints=st.integers(2, 8),
    unavailable=st.sets(st.sampled_from("abc")),
    running=st.integers(0, 4),
    ordered=st.integers(0, 30),
)
def test_bounds_hold_for_a_plan_by_value(
    load, min_endpoints, max_endpoints, unavailable, running, ordered
):
    """Guards against orders that the platform doesn't accept."""
    bounds = replace(BOUNDS, min_endpoints=min_endpoints, max_endpoints=max_endpoints)
    service = planned_by_value(
        load,
        {key("a", True): running},
        bounds=bounds,
        ordered={key("b", True): ordered, key("c", False): ordered},
        variation=LoadVariation(load, 0.3, load + 1, 0.5),
    )
    plan = plan_orders(service, {key(zone, True) for zone in unavailable})
    for zone in "abc":
        both = plan.orders[key(zone, False)] + plan.orders[key(zone, True)]
        assert min_endpoints <= both <= max_endpoints
        assert plan.orders[key(zone, False)] >= 0
