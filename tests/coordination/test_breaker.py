"""The circuit breaker in front of the store."""

from datetime import timedelta
from random import Random

from sassafrasdale.clock import ManualClock
from sassafrasdale.coordination.breaker import FAILURES_TO_OPEN, LONGEST_PAUSE, Breaker


def test_refuses_after_failures_and_lets_one_probe_through():
    """The store is out and a hundred callers come.

    Were each let through, each would wait for the whole timeout. All but one probe
    are refused at once and told when to come back.
    """
    clock = ManualClock()
    breaker = Breaker(clock, Random(1))
    for _ in range(FAILURES_TO_OPEN):
        assert breaker.refusal() is None
        breaker.record_failure()
    pause = breaker.refusal()
    assert pause is not None
    clock.advance(pause)
    assert [breaker.refusal() is None for _ in range(100)].count(True) == 1
    breaker.record_success()
    assert breaker.refusal() is None


def test_pause_grows_to_a_bound():
    clock = ManualClock()
    breaker = Breaker(clock, Random(1))
    for _ in range(20):
        breaker.record_failure()
    assert breaker.pause <= LONGEST_PAUSE * 1.2


def test_lost_probe_does_not_keep_the_breaker_open():
    """The task that probes is killed half-way and reports neither way."""
    clock = ManualClock()
    breaker = Breaker(clock, Random(1))
    for _ in range(FAILURES_TO_OPEN):
        breaker.record_failure()
    clock.advance(timedelta(seconds=10))
    assert breaker.refusal() is None
    clock.advance(timedelta(seconds=10))
    assert breaker.refusal() is None
