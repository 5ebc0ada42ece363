"""Tests of the circuit breaker."""

from datetime import timedelta
from random import Random

from sassafrasdale.clock import ManualClock
from sassafrasdale.coordination.breaker import (
    FAILURES_TO_OPEN,
    MAX_DELAY,
    CircuitBreaker,
)


def test_rejects_calls_after_failures_except_one_probe():
    """Guards against every caller waiting for the full timeout in an outage.

    Of a hundred callers one is let through as a probe; the others are rejected
    immediately with a delay before the retry.
    """
    clock = ManualClock()
    breaker = CircuitBreaker(clock, Random(1))
    for _ in range(FAILURES_TO_OPEN):
        assert breaker.check() is None
        breaker.record_failure()
    delay = breaker.check()
    assert delay is not None
    clock.advance(delay)
    assert [breaker.check() is None for _ in range(100)].count(True) == 1
    breaker.record_success()
    assert breaker.check() is None


def test_delay_grows_to_a_maximum():
    clock = ManualClock()
    breaker = CircuitBreaker(clock, Random(1))
    for _ in range(20):
        breaker.record_failure()
    assert breaker.retry_after <= MAX_DELAY * 1.2


def test_lost_probe_does_not_keep_the_breaker_open():
    """The probing task is killed and records neither success nor failure."""
    clock = ManualClock()
    breaker = CircuitBreaker(clock, Random(1))
    for _ in range(FAILURES_TO_OPEN):
        breaker.record_failure()
    clock.advance(timedelta(seconds=10))
    assert breaker.check() is None
    clock.advance(timedelta(seconds=10))
    assert breaker.check() is None
