"""Tests of ejection, probation and slow start."""

from datetime import timedelta
from random import Random

from sassafrasdale.decisions.health import Health, HealthSettings

NOW = timedelta()
SECOND = timedelta(seconds=1)
SETTINGS = HealthSettings()
NAMES = tuple("abcdef")


def make_health(seed: int = 1) -> Health:
    health = Health(Random(seed))
    health.set_endpoints(frozenset(NAMES))
    return health


def fail(health: Health, name: str, at: timedelta = NOW) -> None:
    for _ in range(SETTINGS.failures):
        health.observe(name, ok=False, now=at)


def test_ejects_after_consecutive_failures_only():
    health = make_health()
    for _ in range(SETTINGS.failures - 1):
        health.observe("a", ok=False, now=NOW)
    health.observe("a", ok=True, now=NOW)
    health.observe("a", ok=False, now=NOW)
    assert health.weights(NOW)["a"] == 1
    fail(health, "a")
    assert health.weights(NOW)["a"] == 0


def test_recovers_through_a_slow_start():
    """Guards against a recovered endpoint failing again under its full load."""
    health = make_health()
    fail(health, "a")
    back = NOW + 2 * SETTINGS.ejection
    early = health.weights(back)["a"]
    middle = health.weights(back + SETTINGS.slow_start / 2)["a"]
    assert early == SETTINGS.smallest_weight
    assert early < middle < 1
    assert health.weights(back + SETTINGS.slow_start)["a"] == 1


def test_one_failure_on_probation_ejects_again():
    health = make_health()
    fail(health, "a")
    back = NOW + 2 * SETTINGS.ejection
    assert health.weights(back)["a"] > 0
    health.observe("a", ok=False, now=back)
    assert health.weights(back)["a"] == 0


def test_entries_do_not_readmit_together():
    """Guards against all entries sending to a recovered endpoint at the same time."""
    readmitted = set()
    for seed in range(10):
        health = make_health(seed)
        fail(health, "a")
        steps = range(100, 201)
        times = [SETTINGS.ejection * step / 100 for step in steps]
        readmitted.add(next(at for at in times if health.weights(at)["a"] > 0))
    assert len(readmitted) > 5


def test_failures_of_all_endpoints_leave_some_in_use():
    """Guards against a service outage due to one customer's failing requests.

    Requests that failed on every endpoint counted against each of them, until none was
    left.
    """
    health = make_health()
    for name in NAMES:
        fail(health, name)
    weights = health.weights(NOW)
    assert sum(weight > 0 for weight in weights.values()) == 2


def test_forgets_endpoints_that_left():
    health = make_health()
    fail(health, "a")
    health.set_endpoints(frozenset("bc"))
    health.observe("a", ok=False, now=NOW)
    assert set(health.weights(NOW)) == {"b", "c"}


def test_slow_endpoint_gets_less():
    """Guards against lookups that take ten times as long, though none fails.

    A slow endpoint never fails, so it is never ejected, and at low load it has few
    requests in flight, so it looks idle.
    """
    health = make_health()
    for name in NAMES:
        latency = SECOND * (10 if name == "a" else 1)
        for _ in range(20):
            health.observe(name, ok=True, now=NOW, latency=latency)
    weights = health.weights(NOW)
    assert SETTINGS.smallest_weight <= weights["a"] <= 0.2
    assert all(weights[name] == 1 for name in NAMES[1:])


def test_endpoint_that_fails_some_requests_loses_weight():
    """Guards against repeated failures of requests that may only run once.

    One of three endpoints fails every other request, its health check succeeds, and it
    never has enough consecutive failures to be ejected.
    """
    health = Health(Random(1), HealthSettings(failure_cost=3.0))
    health.set_endpoints(frozenset({"a", "b", "c"}))
    now = timedelta()
    for number in range(20):
        now += timedelta(milliseconds=50)
        for name in ("a", "b"):
            health.observe(name, ok=True, now=now)
        health.observe("c", ok=bool(number % 2), now=now)
    weights = health.weights(now)
    assert weights["a"] == weights["b"] == 1.0
    assert weights["c"] < 0.4
    assert health.weights(now + timedelta(seconds=15))["c"] > 0.8


def test_equal_failure_rates_reduce_no_weight():
    health = Health(Random(1), HealthSettings(failure_cost=3.0))
    health.set_endpoints(frozenset({"a", "b", "c"}))
    now = timedelta()
    for number in range(40):
        now += timedelta(milliseconds=50)
        for name in ("a", "b", "c"):
            health.observe(name, ok=number % 3 != 0, now=now)
    assert set(health.weights(now).values()) == {1.0}


def test_only_an_ejected_endpoint_may_not_serve():
    """Guards against evaluating all endpoints for each request that names one."""
    health = Health(Random(1))
    health.set_endpoints(frozenset({"a", "b", "c"}))
    for _ in range(HealthSettings().failures):
        health.observe("a", ok=False, now=timedelta())
    for seconds in (0.0, 3.0, 11.0, 30.0):
        now = timedelta(seconds=seconds)
        weights = health.weights(now)
        for name in "abc":
            assert health.may_serve(name, now) == (weights[name] > 0)
    assert health.may_serve("gone", timedelta())
