"""Tests of the number of endpoints that are worth their price."""

from dataclasses import replace
from datetime import timedelta
from math import inf, nan
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrasdale.decisions.endpoint_value import (
    KEEP_MARGIN,
    MIN_ENDPOINTS,
    MIN_ON_DEMAND,
    MIN_ON_DEMAND_ALONE,
    ON_TIME_AFTER_LOSS,
    ServiceDemand,
    is_priced,
    missed_share,
    target_fleet,
)
from sassafrasdale.decisions.load_history import LoadVariation
from sassafrasdale.deployment import ScaleBounds

SECOND = timedelta(seconds=1)
BOUNDS = ScaleBounds(1, 8, 4 * SECOND, 0.22, {"a": 0.85, "b": 1.2, "c": 1.0})


def demand(load=2.0, deviation=0.0, maximum=None, rise=0.0, **options):
    """Return a demand whose mean is the load; options replace its fields."""
    variation = LoadVariation(load, deviation, maximum or load, rise)
    base = ServiceDemand(load, variation, 2 * SECOND, SECOND / 4)
    return replace(base, **options)


def total(target):
    return target.on_demand + sum(target.reclaimable.values())


def left(target):
    return total(target) - max(target.reclaimable.values())


def price(target, bounds=BOUNDS):
    reclaimable = sum(
        count * bounds.zone_prices[zone] * bounds.reclaimable_price
        for zone, count in target.reclaimable.items()
    )
    return target.on_demand * min(bounds.zone_prices.values()) + reclaimable


def simulated_share(endpoints, load, places):
    """Return the fraction blocked in a simulated queue with Poisson arrivals."""
    rng = Random(7)
    in_system = blocked = arrivals = 0
    for _ in range(200_000):
        served = min(in_system, endpoints)
        if rng.random() * (load + served) < load:
            arrivals += 1
            if in_system < endpoints + places:
                in_system += 1
            else:
                blocked += 1
        else:
            in_system -= 1
    return blocked / arrivals


@pytest.mark.parametrize(
    ("endpoints", "load", "places"),
    [(1, 0.5, 0), (3, 2.0, 2), (3, 3.0, 4), (4, 9.0, 6), (6, 4.0, 3)],
)
def test_missed_share_agrees_with_a_simulated_queue(endpoints, load, places):
    """Guards against a wrong formula, also where the load is at or above capacity."""
    expected = simulated_share(endpoints, load, places)
    assert missed_share(endpoints, load, places) == pytest.approx(expected, abs=0.01)


@settings(derandomize=True)
@given(load=st.floats(0, 1e6), places=st.floats(0, 1e4))
def test_missed_share_falls_with_endpoints(load, places):
    """Guards against an estimate that overflows, or is worse with more endpoints."""
    shares = [missed_share(count, load, places * count) for count in range(12)]
    assert all(0 <= share <= 1 for share in shares)
    assert all(b <= a + 1e-9 for a, b in zip(shares, shares[1:], strict=False))


def test_steady_load_needs_few_spare_endpoints():
    """Guards against idle endpoints at a steady load, and against too few for it."""
    target = target_fleet(demand(4.0), BOUNDS)
    assert left(target) > 4.0
    assert total(target) <= 4.0 / 0.35
    assert target.on_demand == MIN_ON_DEMAND


@settings(derandomize=True, deadline=None)
@given(
    load=st.floats(0, 10),
    deviation=st.floats(0, 2),
    rise=st.floats(0, 3),
    request_time=st.none() | st.floats(0, 4).map(lambda s: timedelta(seconds=s)),
)
def test_enough_is_left_without_any_one_zone(load, deviation, rise, request_time):
    """Guards against callers that wait until the endpoints of a zone are replaced."""
    wide = ScaleBounds(1, 30, 4 * SECOND, 0.22, BOUNDS.zone_prices)
    service = demand(load, deviation, load + deviation, rise, request_time=request_time)
    target = target_fleet(service, wide)
    places = service.waiting_places() * left(target)
    missed = missed_share(left(target), load + rise, places)
    assert missed <= 1 - ON_TIME_AFTER_LOSS + 1e-9
    assert total(target) >= MIN_ENDPOINTS
    assert target.on_demand >= MIN_ON_DEMAND
    assert target.on_demand_alone >= MIN_ON_DEMAND_ALONE


def test_bursts_need_more_endpoints_than_a_steady_load():
    """Guards against a plan for the mean of a load with bursts of 2.6 times."""
    steady = target_fleet(demand(4.0), BOUNDS)
    service = demand(4.0, deviation=1.3, maximum=10.4)
    bursts = target_fleet(service, BOUNDS)
    assert total(bursts) > total(steady)
    places = service.waiting_places() * total(bursts)
    assert missed_share(total(bursts), 10.4, places) < 0.1


def test_a_peak_of_the_last_minute_counts_though_the_deviation_is_small():
    """Guards against a plan that ignores bursts of which the mean shows little."""
    steady = target_fleet(demand(4.0, deviation=0.3, maximum=4.3), BOUNDS)
    peaks = target_fleet(demand(4.0, deviation=0.3, maximum=13.0), BOUNDS)
    assert total(peaks) > total(steady)


def test_rising_load_needs_endpoints_before_it_is_there():
    """Guards against endpoints that serve a start time after the load has risen."""
    steady = target_fleet(demand(2.0), BOUNDS)
    rising = target_fleet(demand(2.0, rise=2.0), BOUNDS)
    assert total(rising) > total(steady)


def test_long_requests_need_more_endpoints():
    """Guards against few endpoints where a request takes much of its objective."""
    short = target_fleet(demand(3.0, request_time=SECOND / 50), BOUNDS)
    long = target_fleet(demand(3.0, request_time=1.5 * SECOND), BOUNDS)
    assert total(long) > total(short)


def test_a_short_objective_needs_more_endpoints():
    """Guards against a plan that doesn't depend on what callers need."""
    lax = target_fleet(demand(3.0, objective=20 * SECOND), BOUNDS)
    strict = target_fleet(demand(3.0, objective=SECOND / 3), BOUNDS)
    assert total(strict) > total(lax)


def test_an_unknown_request_time_counts_as_a_long_one():
    """Guards against too few endpoints while requests have not been measured."""
    unknown = target_fleet(demand(4.0, request_time=None), BOUNDS)
    short = target_fleet(demand(4.0, request_time=SECOND / 50), BOUNDS)
    assert total(unknown) >= total(short)


def test_fewer_endpoints_are_worth_five_times_the_price():
    """Guards against a plan that doesn't depend on the price of an endpoint.

    The requests are long, so that spare endpoints save some of them. Where reclaimable
    endpoints cost as much as others, they are not worth it.
    """
    service = demand(3.0, 0.8, 6.0, request_time=1.5 * SECOND)
    cheap = target_fleet(service, replace(BOUNDS, reclaimable_price=0.2))
    dear = target_fleet(service, replace(BOUNDS, reclaimable_price=1.0))
    assert total(dear) < total(cheap)
    assert left(dear) >= dear.required


def test_a_zone_at_five_times_the_price_gets_the_minimum():
    """Guards against an equal number of endpoints in a zone that costs far more."""
    dear_zone = replace(BOUNDS, zone_prices={"a": 1.0, "b": 5.0, "c": 1.0})
    target = target_fleet(demand(3.0), dear_zone)
    assert target.reclaimable["b"] == 1
    assert left(target) >= target.required


def test_equal_prices_spread_endpoints_over_the_zones():
    """Guards against a zone whose loss takes most of the endpoints."""
    equal = replace(BOUNDS, zone_prices=dict.fromkeys("abc", 1.0))
    counts = target_fleet(demand(5.0), equal).reclaimable.values()
    assert max(counts) - min(counts) <= 1


@pytest.mark.parametrize("load", [0.0, 1e-9, 0.02])
def test_tiny_loads_get_the_minimum(load):
    """Guards against no endpoint at all, or many, without requests."""
    target = target_fleet(demand(load), BOUNDS)
    assert target.on_demand == MIN_ON_DEMAND
    assert target.reclaimable == {"a": 1, "b": 1, "c": 1}
    assert target.on_demand_alone == MIN_ON_DEMAND_ALONE


def test_one_zone_has_enough_on_demand_endpoints():
    """Guards against no endpoint after the reclaim of the only zone."""
    one = replace(BOUNDS, zone_prices={"a": 1.0})
    target = target_fleet(demand(2.0), one)
    assert target.on_demand >= target.required > 2


def test_limited_endpoints_get_others_beside_them():
    """Guards against a limited endpoint that counts as one that carries load."""
    sound = target_fleet(demand(2.0), BOUNDS)
    impaired = target_fleet(demand(2.0, limited=2), BOUNDS)
    assert left(impaired) >= left(sound) + 2
    assert impaired.on_demand_alone >= sound.on_demand_alone + 2


@settings(derandomize=True, deadline=None)
@given(load=st.floats(0, 12), deviation=st.floats(0, 2))
def test_kept_endpoints_include_the_worthwhile_ones(load, deviation):
    """Guards against a margin that releases endpoints which are worth their price."""
    service = demand(load, deviation, load + deviation)
    target = target_fleet(service, BOUNDS)
    kept = target_fleet(service, BOUNDS, KEEP_MARGIN)
    assert kept.required >= target.required
    assert kept.on_demand_alone >= target.on_demand_alone
    assert total(kept) >= total(target)


@settings(derandomize=True, deadline=None)
@given(
    load=st.floats(0, 1e5),
    max_endpoints=st.integers(1, 12),
    min_endpoints=st.integers(0, 3),
    zone_price=st.floats(0, 10),
    reclaimable_price=st.floats(0, 5),
)
def test_targets_are_finite(
    load, max_endpoints, min_endpoints, zone_price, reclaimable_price
):
    """Guards against a planning step that fails or doesn't end for odd settings."""
    bounds = ScaleBounds(
        min(min_endpoints, max_endpoints),
        max_endpoints,
        4 * SECOND,
        reclaimable_price,
        {"a": zone_price, "b": 1.0},
    )
    target = target_fleet(demand(load), bounds)
    assert total(target) <= 4 * max_endpoints + 1


@pytest.mark.parametrize(
    "invalid",
    [
        {"load": nan},
        {"load": -1.0},
        {"objective": timedelta()},
        {"variation": LoadVariation(1.0, nan, 1.0, 0.0)},
        {"variation": LoadVariation(1.0, 0.0, inf, 0.0)},
    ],
)
def test_invalid_inputs_are_recognized(invalid):
    """Guards against a decision that is based on what is no number."""
    assert demand().is_valid
    assert not demand(**({"load": 2.0} | invalid)).is_valid


@pytest.mark.parametrize(
    "invalid",
    [
        {"zone_prices": {}},
        {"zone_prices": {"a": nan}},
        {"zone_prices": {"a": -1.0}},
        {"reclaimable_price": nan},
        {"reclaimable_price": -0.1},
    ],
)
def test_unusable_prices_are_recognized(invalid):
    """Guards against a decision by value without a usable price."""
    assert is_priced(BOUNDS)
    assert not is_priced(replace(BOUNDS, **invalid))
