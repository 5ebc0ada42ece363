"""Tests of aggregator selection, report intervals and store watchers."""

from datetime import timedelta

import pytest

from sassafrasdale.decisions.aggregators import (
    MAX_REPORT_INTERVAL,
    MIN_REPORT_INTERVAL,
    rank_aggregators,
    report_interval,
    store_watchers,
)


def cpu_cores(count: int) -> dict[str, float]:
    return dict.fromkeys((f"g-{number}" for number in range(count)), 1.0)


def test_order_does_not_depend_on_the_input_order():
    names = cpu_cores(9)
    backwards = dict(reversed(names.items()))
    assert rank_aggregators("a", names) == rank_aggregators("a", backwards)


def test_zones_prefer_different_gateways():
    firsts = {rank_aggregators(zone, cpu_cores(50))[0] for zone in "abcdefgh"}
    assert len(firsts) > 4


def test_loss_of_one_does_not_reorder_the_others():
    names = cpu_cores(20)
    first, second, *rest = rank_aggregators("a", names)
    del names[first]
    assert rank_aggregators("a", names) == [second, *rest]


@pytest.mark.parametrize(
    ("reporting", "interval"),
    [
        (3, MIN_REPORT_INTERVAL),
        (39, timedelta(milliseconds=390)),
        (300, MAX_REPORT_INTERVAL),
    ],
)
def test_report_interval_limits_the_load_of_an_aggregator(reporting, interval):
    assert report_interval(reporting) == interval


@pytest.mark.parametrize(("gateways", "zones"), [(3, 3), (20, 3), (39, 5), (100, 1)])
def test_enough_gateways_watch_the_store_and_not_more(gateways, zones):
    """Guards against watches that all fail together, or a call each per change."""
    names = cpu_cores(gateways)
    watching = len(store_watchers("a", names, zones))
    assert watching * zones >= min(8, gateways * zones)
    assert watching * zones <= 10
