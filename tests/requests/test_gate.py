"""Tests of the gate: admission with waiting."""

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


def test_a_waiting_request_is_let_in_when_one_leaves():
    clock = ManualClock()
    gate = _gate(clock)
    first = gate.enter(_call(clock))
    second = spawn(gate.enter, _call(clock))
    sleep()
    assert gate.admission.waiting == 1
    gate.leave(first, ANSWERED)
    assert isinstance(second.wait(), Ticket)


def test_a_request_whose_deadline_nears_is_refused_at_once():
    """A caller was held until its deadline for an answer that could not come.

    It waited behind a long one; its time ran out in the queue. It is told "not
    run" with when to come back as soon as it can't be met any more.
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


def test_time_in_the_queue_is_no_part_of_the_latency(monkeypatch):
    """Under load, fewer and fewer requests were let in.

    Requests that had waited counted as slow ones, so the limit took its own
    queue for an overloaded endpoint and sank.
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


def test_a_dead_endpoint_is_not_taken_for_a_full_one():
    """After an endpoint died, an entry let in fewer and fewer requests.

    Each request that was lost with it counted as refused for want of room, so
    the limit sank, although the other endpoints had room.
    """
    clock = ManualClock()
    gate = _gate(clock, capacity=8)
    for _ in range(20):
        gate.leave(gate.enter(_call(clock)), Unknown("lost", SECOND))
        clock.advance(SECOND)
    assert gate.admission.limit == 8


def test_refusals_for_want_of_room_lower_the_limit():
    clock = ManualClock()
    gate = _gate(clock, capacity=8)
    for _ in range(20):
        refused = NotRun("full", SECOND, overloaded=True)
        gate.leave(gate.enter(_call(clock)), refused)
        clock.advance(SECOND)
    assert gate.admission.limit < 8
