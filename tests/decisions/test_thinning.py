"""Which requests of a customer beyond its limit are admitted."""

from collections import Counter
from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.decisions.thinning import (
    EVEN_FRACTION,
    PriorityThinner,
    RequestThinner,
    fractions_by_priority,
)


@pytest.mark.parametrize("fraction", [0.0, 0.1, 0.37, 1.0])
def test_admitted_fraction_is_evenly_distributed(fraction):
    """Guards against two hundred gateways that each admit their first request."""
    gateways = [RequestThinner(number / 100 + 0.005) for number in range(100)]
    first = sum(thinner.admits(fraction) for thinner in gateways)
    later = sum(thinner.admits(fraction) for thinner in gateways for _ in range(99))
    assert abs(first - 100 * fraction) <= 1
    assert abs(first + later - 10_000 * fraction) <= 100


@pytest.mark.parametrize("fraction", [0.0, 0.05, 0.2, 0.5, 0.9, 1.0])
def test_fractions_of_priorities_add_up(fraction):
    """Guards against a limit that is overdrawn or left unused."""
    demand = {0: 30.0, 1: 50.0, 2: 120.0}
    fractions = fractions_by_priority(fraction, demand)
    admitted = sum(demand[key] * fractions[key] for key in demand)
    assert admitted == pytest.approx(fraction * 200)
    assert list(fractions.values()) == sorted(fractions.values(), reverse=True)
    assert fractions[2] >= fraction * EVEN_FRACTION


def test_urgent_requests_use_the_limit_first():
    """Guards against a customer whose urgent requests are refused for patient ones."""
    rng = Random(1)
    thinners = [PriorityThinner(rng.random) for _ in range(20)]
    asked, admitted = Counter(), Counter()
    for step in range(20_000):
        now = timedelta(milliseconds=step)
        priority = rng.choice((0, 1, 1, 1))
        thinner = rng.choice(thinners)
        thinner.record(priority, 1, now)
        asked[priority] += 1
        admitted[priority] += thinner.admits(priority, 0.3, now)
    assert admitted[0] / asked[0] >= 0.9
    assert admitted.total() / asked.total() == pytest.approx(0.3, abs=0.03)
