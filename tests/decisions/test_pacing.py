"""What a gateway starts without its zone's dispatcher."""

from datetime import timedelta

import pytest

from sassafrasdale.decisions.pacing import BURST_TIME, Pacer

MS = timedelta(milliseconds=1)
COST = 50 * MS


def started(pacer: Pacer, seconds: int, capacity: float) -> timedelta:
    """Return the cost that a gateway with enough requests starts."""
    total = timedelta()
    for step in range(seconds * 1000):
        now = step * MS
        while pacer.may_start(now):
            pacer.record_start(COST, capacity, now)
            total += COST
    return total


@pytest.mark.parametrize("capacity", [0.2, 1.0, 3.0])
def test_a_gateway_keeps_to_its_part(capacity: float) -> None:
    """Guards against gateways that all fill the same endpoints."""
    most = capacity * (timedelta(seconds=4) + BURST_TIME) + COST
    assert 0.9 * most <= started(Pacer(), 4, capacity) <= most


def test_a_burst_within_its_part_starts_at_once() -> None:
    """Guards against waits while the endpoints have room for all."""
    pacer = Pacer()
    for _ in range(5):
        assert pacer.may_start(timedelta())
        pacer.record_start(COST, 1.5, timedelta())


def test_a_gateway_without_capacity_starts_one_request() -> None:
    """Guards against a division by zero, and against requests that never start."""
    pacer = Pacer()
    assert pacer.may_start(timedelta())
    pacer.record_start(COST, 0.0, timedelta())
    assert not pacer.may_start(timedelta(seconds=10))
