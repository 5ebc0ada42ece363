"""Tests of hedging idempotent calls."""

import random
from dataclasses import dataclass, field
from datetime import timedelta

from sassafrasdale.clock import SystemClock
from sassafrasdale.decisions.budgets import RetryBudget
from sassafrasdale.decisions.hedging import HEDGE_MINIMUM_SAMPLES
from sassafrasdale.endpoints.adapters import EndpointRequest, EndpointResponse
from sassafrasdale.endpoints.exceptions import NotSent, ResponseLost
from sassafrasdale.green import sleep
from sassafrasdale.requests.execution import IdempotentExecution
from sassafrasdale.requests.gate import Gate
from sassafrasdale.requests.hedges import Hedger
from sassafrasdale.requests.structures import (
    Answered,
    Call,
    NotRun,
    Outcome,
    ServiceCall,
    Unknown,
)
from tests.requests.fakes import Choices, endpoint

QUICK = timedelta(milliseconds=2)
SLOW = timedelta(seconds=2)
USUAL = timedelta(milliseconds=5)


@dataclass
class DelayedAdapter:
    """Connections to a service that responds or fails after a delay."""

    delay: timedelta
    error: Exception | None = None
    requests: list[EndpointRequest] = field(default_factory=list)

    def send(self, request: EndpointRequest, limit: timedelta) -> EndpointResponse:
        self.requests.append(request)
        sleep(self.delay)
        if self.error is not None:
            raise self.error
        return EndpointResponse(200, (), str(self.delay).encode())


def _run(*adapters: DelayedAdapter, observed: int = HEDGE_MINIMUM_SAMPLES) -> Outcome:
    clock = SystemClock()
    gate = Gate(64, 1, {}, clock, random.Random(1))
    hedger = Hedger(gate, clock)
    for _ in range(observed):
        hedger.observe(USUAL)
    about = Call("id", "lab", "records", clock.elapsed() + timedelta(seconds=10), 0)
    call = ServiceCall(about, "GET", "/lookups/7", (), b"")
    endpoints = [endpoint(f"e{n}", adapter) for n, adapter in enumerate(adapters)]
    execution = IdempotentExecution(
        call,
        Choices(*endpoints),
        lambda endpoint, *, ok, latency=None: None,
        RetryBudget(),
        hedger,
        clock,
    )
    return execution.run()


def test_a_slow_lookup_is_answered_by_a_second_endpoint():
    """Every lookup that is sent to a slow endpoint is slow.

    The other endpoints of the service respond within milliseconds.
    """
    began = SystemClock().elapsed()
    outcome = _run(DelayedAdapter(SLOW), DelayedAdapter(QUICK))
    assert isinstance(outcome, Answered)
    assert outcome.body == str(QUICK).encode()
    assert SystemClock().elapsed() - began < SLOW


def test_a_quick_lookup_is_sent_once():
    second = DelayedAdapter(QUICK)
    assert isinstance(_run(DelayedAdapter(timedelta()), second), Answered)
    assert second.requests == []


def test_no_hedge_before_latencies_are_known():
    second = DelayedAdapter(QUICK)
    delay = timedelta(milliseconds=50)
    assert isinstance(_run(DelayedAdapter(delay), second, observed=0), Answered)
    assert second.requests == []


def test_a_failed_hedge_leaves_the_first_attempt():
    delay = timedelta(milliseconds=200)
    failing = DelayedAdapter(QUICK, NotSent("gone"))
    outcome = _run(DelayedAdapter(delay), failing)
    assert isinstance(outcome, Answered)
    assert outcome.body == str(delay).encode()


def test_both_attempts_lost_is_unknown():
    lost = ResponseLost("silent")
    slow = DelayedAdapter(timedelta(milliseconds=100), lost)
    assert isinstance(_run(slow, DelayedAdapter(QUICK, lost)), Unknown)


def test_nothing_sent_is_not_run():
    gone = NotSent("gone")
    outcome = _run(DelayedAdapter(QUICK, gone), DelayedAdapter(QUICK, gone))
    assert isinstance(outcome, NotRun)


def test_one_attempt_lost_and_one_not_sent_is_unknown():
    """A caller gets "not run" for a lookup that has run.

    The first endpoint's response is lost, then the second can't be reached. If only
    the later failure counts, the outcome is wrong.
    """
    slow = DelayedAdapter(timedelta(milliseconds=100), ResponseLost("silent"))
    later = DelayedAdapter(timedelta(milliseconds=300), NotSent("gone"))
    assert isinstance(_run(slow, later), Unknown)
