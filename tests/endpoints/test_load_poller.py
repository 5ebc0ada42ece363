"""Tests of polling engines for their load."""

import random
from datetime import timedelta

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.endpoints.directory import Directory, Endpoint
from sassafrasdale.endpoints.load_poller import LoadPoller
from sassafrasdale.structures import Address, Instance, Role

SECOND = timedelta(seconds=1)


class FakeEngine:
    """An adapter that returns a fixed load, measured ``lag`` ago."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.lag: timedelta | None = timedelta()

    def ask(self, method, target, *, document=None, limit=None):
        load = {"running": 7, "waiting": 2}
        if self.lag is not None:
            load["measured_at"] = (self._clock.now() - self.lag).isoformat()
        return load


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def engine(clock):
    instance = Instance("e1", Role.ENDPOINT, "a", Address("127.0.0.1", 1))
    return Endpoint(instance, FakeEngine(clock))


@pytest.fixture
def poller(clock):
    return LoadPoller(Directory(clock), lambda _: True, clock, random.Random(1))


def test_a_delayed_load_uses_the_own_count_at_its_measurement(clock, engine, poller):
    """Every few seconds one replica is overloaded while the others are idle.

    Load reports are 10 s old. If each entry subtracts its present requests from the
    earlier load, all of them choose the replica that was idle then.
    """
    engine.adapter.lag = 10 * SECOND
    for own in (1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12):
        engine.in_flight = own
        poller.poll(engine)
        clock.advance(SECOND)
    poller.poll(engine)
    assert engine.reported_load == 9
    assert engine.own_load_at_report == 3
    assert clock.elapsed() - engine.reported_at == 10 * SECOND


@pytest.mark.parametrize("lag", [None, timedelta(), -30 * SECOND])
def test_a_load_without_an_age_counts_as_current(clock, engine, poller, lag):
    engine.adapter.lag = lag
    engine.in_flight = 4
    poller.poll(engine)
    assert engine.own_load_at_report == 4
    assert engine.reported_at == clock.elapsed()
