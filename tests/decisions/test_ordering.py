"""How many endpoints of each kind are ordered."""

from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrasdale.decisions.ordering import (
    LEAST_ENDPOINTS,
    LEAST_KEPT,
    LEAST_KEPT_ALONE,
    STRAINED_USE,
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


def total(plan) -> int:
    return sum(plan.orders.values())


def test_a_low_load_keeps_one_that_is_not_reclaimable_in_the_cheapest_zone():
    plan = plan_orders(planned(0.0), dry=())
    assert plan.orders[key("a", False)] == LEAST_KEPT
    assert total(plan) >= LEAST_ENDPOINTS


def test_more_load_needs_more():
    totals = [total(plan_orders(planned(load), ())) for load in (0.2, 1.0, 2.0, 3.0)]
    assert totals == sorted(totals)
    assert totals[0] < totals[-1]


@settings(derandomize=True)
@given(
    load=st.floats(0, 4),
    running=st.fixed_dictionaries({zone: st.integers(0, 3) for zone in "abc"}),
    dry=st.sets(st.sampled_from("abc")),
)
def test_the_load_is_borne_without_any_one_zone(load, running, dry):
    """Requests would queue at the few endpoints that are left.

    The cloud takes a zone's reclaimable endpoints, then those of another, and has
    none to give; the load stays, and what is ordered now comes seconds later.
    """
    spots = {key(zone, True): count for zone, count in running.items()}
    wide = ScaleBounds(1, 20, BOUNDS.start_time, 0.22, BOUNDS.zone_prices)
    plan = plan_orders(planned(load, spots, wide), {key(zone, True) for zone in dry})
    kept = sum(plan.orders[key(zone, False)] for zone in "abc")
    assert kept >= LEAST_KEPT
    for lost in "abc":
        left = sum(count for zone, count in running.items() if zone != lost)
        assert kept + left >= load / STRAINED_USE


def test_little_is_kept_while_reclaimable_ones_suffice():
    """Endpoints that are kept cost several times as much as the others."""
    spots = {key(zone, True): 2 for zone in "abc"}
    plan = plan_orders(planned(1.8, spots), ())
    assert sum(plan.orders[key(zone, False)] for zone in "abc") == LEAST_KEPT


@pytest.mark.parametrize("zones", ["a", "abc"])
def test_others_bear_the_load_alone_once_a_zone_is_dry(zones):
    """Requests would queue at a single endpoint for seconds.

    The cloud takes one zone's reclaimable endpoints and has no more; some seconds
    later those of the next zone, and then the last ones.
    """
    spots = {key(zone, True): 2 for zone in "abc"}
    plan = plan_orders(planned(2.0, spots), {key(zone, True) for zone in zones})
    kept = sum(plan.orders[key(zone, False)] for zone in "abc")
    assert kept >= 2.0 / STRAINED_USE


def test_others_bear_a_load_that_is_not_known_yet():
    """Callers that begin at any moment would meet one engine, or five that cost most.

    Pattern: a deployment starts with endpoints that can't be reclaimed, seconds before
    its callers. Two of them stay until two reclaimable ones run that no reclaim of one
    zone takes, then one. Six that cost a fifth each replace one at 1.1 of the price.
    """
    none = PlannedService("models", BOUNDS, {}, 0.1, load_known=False)
    spots = {key(zone, True): 2 for zone in "abc"}
    started = PlannedService("models", BOUNDS, spots, 0.1, load_known=False)
    for service, expected in ((none, LEAST_KEPT_ALONE), (started, LEAST_KEPT)):
        plan = plan_orders(service, ())
        kept = sum(plan.orders[key(zone, False)] for zone in "abc")
        assert kept == expected


def test_others_get_the_places_of_those_that_are_not_to_be_had():
    """The fleet would stay without endpoints while the cloud has others to give.

    The load fills each zone's bound with reclaimable ones, which are taken.
    """
    dry = {key(zone, True) for zone in "abc"}
    plan = plan_orders(planned(7.0), dry)
    assert all(plan.orders[key(zone, False)] == 3 for zone in "abc")
    assert all(plan.orders[key(zone, True)] == 1 for zone in "abc")


def test_one_is_kept_though_reclaimable_ones_fill_all_places():
    """Callers would find nothing once two zones were reclaimed, one after the other.

    Pattern: a load that asks for as many reclaimable endpoints as fit the zones. They
    took the last place of the one endpoint that no reclaim takes.
    """
    tight = ScaleBounds(1, 3, timedelta(seconds=4), 0.22, BOUNDS.zone_prices)
    spots = {key(zone, True): 3 for zone in "abc"}
    for load in (2.2, 4.5):
        plan = plan_orders(planned(load, spots, tight), ())
        assert plan.orders[key("a", False)] == LEAST_KEPT
        assert plan.orders[key("a", True)] == 2


def test_kept_ones_go_where_there_is_room_though_few_are_needed():
    """Callers queued at one engine for ten seconds where the load had been low.

    Pattern: three of four places of the cheapest zone are taken by reclaimable ones,
    more than a low load needs. A reclaim of another zone calls for two kept ones; both
    were ordered in the cheapest zone, which had room for one.
    """
    running = {key("a", True): 3, key("c", True): 4, key("a", False): 1}
    plan = plan_orders(planned(0.3, running), {key("b", True)})
    assert plan.orders[key("a", False)] == 1
    assert plan.orders[key("c", False)] + plan.orders[key("b", False)] == 1


def test_endpoints_that_serve_are_not_given_back_for_ones_that_are_only_ordered():
    """Callers met four engines instead of nine for four seconds, at the highest load.

    Pattern: after a dry time reclaimable endpoints can be ordered again. Both kinds
    share three places a zone; five kept ones run, and four reclaimable ones so far.
    """
    tight = ScaleBounds(1, 3, timedelta(seconds=4), 0.22, BOUNDS.zone_prices)
    running = {key("a", True): 1, key("b", True): 2, key("c", True): 1}
    running |= {key("a", False): 2, key("b", False): 1, key("c", False): 2}
    plan = plan_orders(planned(2.7, running, tight), ())
    kept = sum(plan.orders[key(zone, False)] for zone in "abc")
    assert kept >= 2.7 / STRAINED_USE - 2


def test_the_cheapest_zones_are_filled_first():
    dry = {key(zone, True) for zone in "abc"}
    plan = plan_orders(planned(2.4), dry)
    kept = {zone: plan.orders[key(zone, False)] for zone in "abc"}
    assert kept["a"] >= kept["c"] >= kept["b"]


@settings(derandomize=True)
@given(
    load=st.floats(0, 30),
    least=st.integers(0, 2),
    most=st.integers(2, 8),
    dry=st.sets(st.sampled_from("abc")),
    running=st.integers(0, 4),
)
def test_bounds_hold_for_both_kinds_together(load, least, most, dry, running):
    bounds = ScaleBounds(least, most, timedelta(4), 0.2, BOUNDS.zone_prices)
    view = planned(load, {key("a", True): running}, bounds)
    plan = plan_orders(view, {key(zone, True) for zone in dry})
    for zone in "abc":
        both = plan.orders[key(zone, False)] + plan.orders[key(zone, True)]
        assert least <= both <= max(most, least)
        assert plan.orders[key(zone, False)] >= 0
