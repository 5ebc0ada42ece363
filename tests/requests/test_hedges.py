"""Tests of idempotent calls: a slow one goes to a second endpoint too."""

import random
from dataclasses import dataclass, field
from datetime import timedelta

from sassafrasdale.clock import SystemClock
from sassafrasdale.decisions.budgets import RetryBudget
from sassafrasdale.decisions.hedging import HEDGE_MINIMUM_SAMPLES
from sassafrasdale.endpoints.adapters import EndpointAnswer, EndpointRequest
from sassafrasdale.endpoints.exceptions import AnswerLost, NotSent
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
class PausingAdapter:
    """Connections to a service that answers after a pause, or fails then."""

    pause: timedelta
    error: Exception | None = None
    asked: list[EndpointRequest] = field(default_factory=list)

    def send(self, request: EndpointRequest, limit: timedelta) -> EndpointAnswer:
        self.asked.append(request)
        sleep(self.pause)
        if self.error is not None:
            raise self.error
        return EndpointAnswer(200, (), str(self.pause).encode())


def _run(*adapters: PausingAdapter, observed: int = HEDGE_MINIMUM_SAMPLES) -> Outcome:
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
    """A pour waited two seconds for a lookup.

    One of three record services was slow. Its lookups took its time, although
    the others answered in milliseconds.
    """
    began = SystemClock().elapsed()
    outcome = _run(PausingAdapter(SLOW), PausingAdapter(QUICK))
    assert isinstance(outcome, Answered)
    assert outcome.body == str(QUICK).encode()
    assert SystemClock().elapsed() - began < SLOW


def test_a_quick_lookup_is_sent_once():
    second = PausingAdapter(QUICK)
    assert isinstance(_run(PausingAdapter(timedelta()), second), Answered)
    assert second.asked == []


def test_no_hedge_before_anything_is_known():
    second = PausingAdapter(QUICK)
    pause = timedelta(milliseconds=50)
    assert isinstance(_run(PausingAdapter(pause), second, observed=0), Answered)
    assert second.asked == []


def test_a_failed_hedge_leaves_the_first_attempt():
    pause = timedelta(milliseconds=200)
    failing = PausingAdapter(QUICK, NotSent("gone"))
    outcome = _run(PausingAdapter(pause), failing)
    assert isinstance(outcome, Answered)
    assert outcome.body == str(pause).encode()


def test_both_attempts_lost_is_unknown():
    lost = AnswerLost("silent")
    slow = PausingAdapter(timedelta(milliseconds=100), lost)
    assert isinstance(_run(slow, PausingAdapter(QUICK, lost)), Unknown)


def test_nothing_sent_is_not_run():
    gone = NotSent("gone")
    outcome = _run(PausingAdapter(QUICK, gone), PausingAdapter(QUICK, gone))
    assert isinstance(outcome, NotRun)


def test_one_attempt_lost_and_one_not_sent_is_unknown():
    """A caller was told "not run" of a lookup that had run.

    The first endpoint lost its answer, then the second could not be reached. The
    later failure alone was looked at.
    """
    slow = PausingAdapter(timedelta(milliseconds=100), AnswerLost("silent"))
    later = PausingAdapter(timedelta(milliseconds=300), NotSent("gone"))
    assert isinstance(_run(slow, later), Unknown)
