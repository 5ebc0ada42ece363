"""Tests of admission control with a queue."""

import random
from datetime import timedelta

from sassafrasdale.clock import ManualClock
from sassafrasdale.decisions.admission import Admission
from sassafrasdale.decisions.tickets import Ticket
from sassafrasdale.green import sleep, spawn
from sassafrasdale.requests.gate import Gate
from sassafrasdale.requests.structures import Answered, Call, NotRun, Unknown

SECOND = timedelta(seconds=1)
ANSWERED = Answered(200, (), b"")


def _gate(clock: ManualClock, capacity: int = 1) -> Gate:
    return Gate(capacity, 1, {}, clock, random.Random(1))


def _call(clock: ManualClock, seconds: float = 60) -> Call:
    return Call("id", "lab", "reports", clock.elapsed() + seconds * SECOND, 3)


def test_a_waiting_request_is_admitted_when_one_ends():
    clock = ManualClock()
    gate = _gate(clock)
    first = gate.enter(_call(clock))
    second = spawn(gate.enter, _call(clock))
    sleep()
    assert gate.admission.waiting == 1
    gate.leave(first, ANSWERED)
    assert isinstance(second.wait(), Ticket)


def test_a_request_whose_deadline_nears_is_refused_at_once():
    """A request waits in the queue until its deadline, without any chance.

    It is queued behind a long one. As soon as its deadline can no longer be met, it
    is refused as "not run" with a retry-after.
    """
    clock = ManualClock()
    gate = _gate(clock)
    gate.enter(_call(clock))
    waiting = spawn(gate.enter, _call(clock, seconds=2))
    sleep()
    clock.advance(1.95 * SECOND)
    gate.sweep()
    refused = waiting.wait()
    assert isinstance(refused, NotRun)
    assert refused.retry_after >= SECOND


def test_latency_excludes_the_time_in_the_queue(monkeypatch):
    """Under load, fewer and fewer requests are admitted.

    If the time in the queue counts as latency, the limit treats its own queue as an
    overloaded endpoint and decreases.
    """
    latencies = []
    monkeypatch.setattr(
        Admission,
        "finish",
        lambda self, ticket, now, ok, latency: latencies.append(latency),
    )
    monkeypatch.setattr(Admission, "expire", lambda self, now: ())
    clock = ManualClock()
    gate = _gate(clock)
    ticket = gate.enter(_call(clock))
    spawn(gate.enter, _call(clock))
    sleep()
    clock.advance(5 * SECOND)
    gate.admission.cancel(ticket)
    gate.sweep()
    sleep()
    second = Ticket(2, "lab", 3, timedelta(), 60 * SECOND)
    clock.advance(SECOND)
    gate.leave(second, ANSWERED)
    assert latencies == [SECOND]


def test_a_crashed_endpoint_does_not_lower_the_limit():
    """After an endpoint crashes, fewer and fewer requests are admitted.

    If each request lost with it counts as a refusal for lack of capacity, the limit
    decreases although the other endpoints have capacity.
    """
    clock = ManualClock()
    gate = _gate(clock, capacity=8)
    for _ in range(20):
        gate.leave(gate.enter(_call(clock)), Unknown("lost", SECOND))
        clock.advance(SECOND)
    assert gate.admission.limit == 8


def test_refusals_for_lack_of_capacity_lower_the_limit():
    clock = ManualClock()
    gate = _gate(clock, capacity=8)
    for _ in range(20):
        refused = NotRun("full", SECOND, overloaded=True)
        gate.leave(gate.enter(_call(clock)), refused)
        clock.advance(SECOND)
    assert gate.admission.limit < 8
