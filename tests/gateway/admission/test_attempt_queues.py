"""Requests that wait at the gateway that assigns endpoints."""

from dataclasses import replace
from datetime import timedelta

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.decisions.endpoint_delays import MIN_OBSERVATIONS
from sassafrasdale.decisions.prefill_speeds import PrefillSpeed
from sassafrasdale.decisions.queued_requests import Rejection
from sassafrasdale.deployment import EndpointState
from sassafrasdale.gateway.admission.attempt_queues import (
    POSITION_TIMEOUT,
    Started,
    Unavailable,
    Waiting,
)
from sassafrasdale.green import sleep, spawn
from tests.gateway.admission.zones import MS, one_slot_engines, pending, terms
from tests.gateway.test_dispatcher import Gateway

NO_HOLD = timedelta()
LONG_HOLD = timedelta(seconds=20)


@pytest.fixture
def clock():
    clock = ManualClock()
    clock.advance(timedelta(seconds=1))
    return clock


@pytest.fixture
def gateway(clock):
    """Return a gateway with one engine that runs one request at a time."""
    return Gateway("central", clock, configuration=one_slot_engines(), endpoints=1)


@pytest.fixture
def running(gateway, clock):
    """Return the attempt that occupies the engine."""
    return gateway.queues.request(pending(clock, 1), NO_HOLD).attempt


def hold(gateway, request):
    """Return the task that waits for a request's turn."""
    task = spawn(gateway.queues.request, request, LONG_HOLD)
    sleep()
    return task


def drain(gateway, name):
    endpoint = gateway.directory.records[name].endpoint
    gateway.directory.put(replace(endpoint, state=EndpointState.DRAINING))


def release(gateway, attempt):
    gateway.fleet.finish_local_attempt(attempt)
    gateway.queues.place()


def test_a_request_starts_at_once_where_an_endpoint_has_room(gateway, clock):
    assert isinstance(gateway.queues.request(pending(clock, 1), NO_HOLD), Started)
    assert len(gateway.queues) == 0


def test_a_request_waits_until_an_endpoint_has_room(gateway, clock, running):
    assert gateway.queues.request(pending(clock, 2), NO_HOLD) == Waiting()
    task = hold(gateway, pending(clock, 2))
    release(gateway, running)
    assert isinstance(task.wait(), Started)
    assert gateway.in_flight_counts() == [1]


def test_the_delays_of_each_priority_are_observed(gateway, clock):
    """Guards against less urgent requests that are always late at their engines."""
    times = gateway.fleet.endpoint_times
    usual = times.delay_of("models", 0)
    for number in range(MIN_OBSERVATIONS):
        attempt = gateway.queues.request(pending(clock, number), NO_HOLD).attempt
        gateway.fleet.record_local_first_token(attempt, 2 * usual)
        gateway.fleet.finish_local_attempt(attempt)
    assert times.delay_of("models", 1) > usual
    assert times.delay_of("models", 0) == usual


def test_a_place_that_nobody_asks_for_is_dropped(gateway, clock, running):
    """Guards against a queue that grows by the requests of a killed gateway."""
    gateway.queues.request(pending(clock, 2), NO_HOLD)
    clock.advance(POSITION_TIMEOUT)
    gateway.queues.step()
    assert len(gateway.queues) == 1
    clock.advance(60 * MS)
    gateway.queues.step()
    assert len(gateway.queues) == 0


def test_a_place_that_nobody_asks_for_now_keeps_nobody_waiting(gateway, clock, running):
    """Guards against an idle engine behind the requests of a gateway that is paused."""
    for number in range(2, 22):
        gateway.queues.request(pending(clock, number, "paused"), NO_HOLD)
    task = hold(gateway, pending(clock, 30))
    release(gateway, running)
    sleep()
    assert task.dead
    assert isinstance(task.wait(), Started)


def test_nothing_is_tried_while_no_endpoint_has_room(gateway, clock, running):
    """Guards against a dispatcher that is too busy to answer under overload.

    With 100 requests waiting, each call of a gateway tried all endpoints twice.
    """
    tasks = [hold(gateway, pending(clock, number)) for number in range(2, 5)]
    tried = []
    choose = gateway.fleet.start_local_attempt
    gateway.fleet.start_local_attempt = lambda *args, **fields: (
        tried.append(args) or choose(*args, **fields)
    )
    for number in range(5, 25):
        gateway.queues.request(pending(clock, number), NO_HOLD)
        gateway.queues.step()
    assert not tried
    release(gateway, running)
    sleep()
    assert [task.dead for task in tasks] == [True, False, False]
    for task in tasks[1:]:
        task.kill()


def test_an_interrupted_call_leaves_nothing(gateway, clock, running):
    """Guards against an engine that counts as busy for ever, and a place kept so."""
    waiting, started = (hold(gateway, pending(clock, n)) for n in (2, 3))
    waiting.kill()
    gateway.fleet.finish_local_attempt(running)
    gateway.queues.place()
    # The attempt has started, but its task has not run since.
    started.kill()
    assert len(gateway.queues) == 0
    assert gateway.in_flight_counts() == [0]


def test_a_request_without_any_endpoint_does_not_wait(gateway, clock):
    drain(gateway, "i-0")
    assert gateway.queues.request(pending(clock, 1), LONG_HOLD) == Unavailable()


@pytest.mark.parametrize("field", ["tried", "backed_off"])
def test_a_request_that_may_use_no_endpoint_does_not_wait(
    gateway, clock, running, field
):
    """Guards against requests that are held until their deadlines in vain."""
    request = pending(clock, 2, **{field: frozenset({"i-0"})})
    assert gateway.queues.request(request, LONG_HOLD) == Unavailable()
    assert len(gateway.queues) == 0


def test_requests_whose_endpoints_are_removed_do_not_wait_on(gateway, clock, running):
    task = hold(gateway, pending(clock, 2))
    drain(gateway, "i-0")
    gateway.fleet.refresh_peer_loads()
    gateway.queues.step()
    assert task.wait() == Unavailable()


def test_an_endpoint_that_is_added_gets_waiting_requests(gateway, clock, running):
    task = hold(gateway, pending(clock, 2))
    gateway.add_endpoint(1)
    gateway.fleet.refresh_peer_loads()
    gateway.queues.step()
    assert task.wait().attempt.record.name == "i-1"


def test_a_waiting_request_that_misses_its_deadline_is_rejected(
    gateway, clock, running
):
    task = hold(gateway, pending(clock, 2, terms=terms(clock, deadline=600 * MS)))
    clock.advance(700 * MS)
    gateway.queues.step()
    rejection = task.wait()
    assert isinstance(rejection, Rejection)
    assert len(gateway.queues) == 0


def test_a_removed_request_is_not_placed(gateway, clock, running):
    task = hold(gateway, pending(clock, 2))
    gateway.queues.remove(("g-9", 1, 2))
    release(gateway, running)
    assert gateway.in_flight_counts() == [0]
    assert len(gateway.queues) == 0
    task.kill()


def test_an_engine_that_is_slow_gets_a_shorter_queue(clock):
    """Guards against a queue of a slow engine that is taken for half as long."""
    gateway = Gateway("central", clock, configuration=one_slot_engines(9), endpoints=2)
    for name, gap in (("i-0", 40), ("i-1", 20)):
        for _ in range(3):
            gateway.step_times.observe_low_gap(name, gap * MS)
    for record in gateway.directory.records.values():
        record.in_flight = 1
        # 100 ms at the usual speed, of the 125 ms that a queue may last.
        record.prefill_tokens = int(100 * MS / PrefillSpeed().token_time)
    outcome = gateway.queues.request(pending(clock, 1), NO_HOLD)
    assert outcome.attempt.record.name == "i-1"
    gateway.directory.records["i-1"].in_flight = 9
    assert gateway.queues.request(pending(clock, 2), NO_HOLD) == Waiting()


def test_a_request_that_waits_is_counted_once(clock):
    """Guards against a metric that counts the calls of a request instead."""
    counted = []
    gateway = Gateway("central", clock, configuration=one_slot_engines(), endpoints=1)
    gateway.queues._count = lambda name, **labels: counted.append((name, labels))
    gateway.queues.request(pending(clock, 1), NO_HOLD)
    for _ in range(3):
        gateway.queues.request(pending(clock, 2), MS)
    hold(gateway, pending(clock, 3)).kill()
    assert counted == 2 * [("request waits", {"service": "models"})]


def test_operators_see_who_waits(gateway, clock, running):
    gateway.queues.request(pending(clock, 2), NO_HOLD)
    clock.advance(100 * MS)
    [state] = gateway.queues.describe()
    assert (state["service"], state["waiting"], state["oldest_ms"]) == (
        "models",
        {1: 1},
        100,
    )
    [customer] = state["customers"]
    assert (customer["customer"], customer["waiting"]) == ("lab", 1)
