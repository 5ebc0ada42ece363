"""Endpoints that ask a gateway for back-off get it, from all that it sends."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.deployment import RequestTraits
from sassafrasdale.gateway.admission.attempt_starter import AttemptRequest
from sassafrasdale.gateway.advertisements.backoffs import MAX_BACKOFF, Backoffs
from tests.gateway.world import (
    CLOCK,
    ScriptedEndpoint,
    World,
    header,
    request,
    respond_with,
)

SECOND = timedelta(seconds=1)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def backoffs(clock: ManualClock) -> Backoffs:
    return Backoffs(clock, lambda name, **labels: None)


def test_a_backoff_ends_by_itself(backoffs, clock):
    backoffs.begin("i-1", 3 * SECOND)
    clock.advance(2 * SECOND)
    assert backoffs.is_active("i-1")
    assert backoffs.time_left("i-1") == SECOND
    clock.advance(SECOND)
    assert not backoffs.is_active("i-1")


def test_a_shorter_backoff_does_not_end_a_longer_one(backoffs, clock):
    backoffs.begin("i-1", 3 * SECOND)
    clock.advance(SECOND)
    backoffs.begin("i-1", SECOND)
    assert backoffs.time_left("i-1") == 2 * SECOND


def test_a_backoff_of_a_year_is_cut_short(backoffs):
    """Guards against one bad value that ends a service for good."""
    backoffs.begin("i-1", timedelta(days=365))
    assert backoffs.time_left("i-1") == MAX_BACKOFF


def test_a_restarted_endpoint_has_no_backoff(backoffs):
    backoffs.begin("i-1", 3 * SECOND)
    backoffs.end("i-1")
    assert not backoffs.is_active("i-1")


def test_ended_backoffs_are_forgotten(backoffs, clock):
    backoffs.begin("i-1", SECOND)
    clock.advance(2 * SECOND)
    backoffs.remove_ended()
    assert backoffs.time_left("i-1") == timedelta()


BACKOFF = "Not-Run: 1\r\nRetry-After: 3\r\n"


def refusing() -> ScriptedEndpoint:
    return ScriptedEndpoint(respond_with(status="503 Full", extra=BACKOFF))


def retry_after(response: bytes) -> float:
    return float(header(response, "retry-after"))


def test_callers_are_refused_at_once_while_all_endpoints_are_backed_off():
    """Guards against requests that wait for, or add to, what can't serve them."""
    world = World()
    endpoint = refusing()
    world.add("i-1", "records", endpoint)
    world.ask(request("/certificates/1"))
    answers = [world.ask(request("/certificates/2")) for _ in range(8)]
    assert len(endpoint.requests) == 1
    assert all(answer.startswith(b"HTTP/1.1 503") for answer in answers)
    pauses = [retry_after(answer) for answer in answers]
    assert all(2.5 <= pause <= 6.0 for pause in pauses)
    # Spread, so that they don't come back all at once.
    assert max(pauses) - min(pauses) > 0.5


def test_another_endpoint_gets_the_requests_meanwhile():
    world = World()
    refuser, sound = refusing(), ScriptedEndpoint(respond_with())
    world.add("i-1", "records", refuser)
    world.ask(request("/certificates/1"))
    world.add("i-2", "records", sound)
    for _ in range(5):
        assert world.ask(request("/certificates/2")).startswith(b"HTTP/1.1 200")
    assert (len(refuser.requests), len(sound.requests)) == (1, 5)


def test_a_failing_endpoint_does_not_get_what_a_backed_off_one_would():
    """Guards against an ejected endpoint chosen as the others are backed off."""
    world = World()
    refuser, failing = refusing(), ScriptedEndpoint(respond_with())
    world.add("i-1", "records", refuser)
    world.add("i-2", "records", failing)
    health = world.directory.health_of("records")
    for _ in range(50):
        health.observe("i-2", ok=False, now=CLOCK.elapsed())
        health.observe("i-1", ok=True, now=CLOCK.elapsed())
    weights = health.weights(CLOCK.elapsed())
    assert weights["i-2"] == 0
    world.gate.backoffs.begin("i-1", timedelta(seconds=3))
    assert world.ask(request("/certificates/1")).startswith(b"HTTP/1.1 503")
    assert not failing.requests


def test_an_attempt_is_not_sent_after_a_backoff_was_asked_for_since_its_choice():
    """Guards against a choice that is older than the refusal."""
    world = World()
    world.add("i-1", "records", refusing())
    attempt = world.starter.start(AttemptRequest("records", RequestTraits("r-1"), ()))
    assert world.fleet.may_send(attempt)
    world.gate.backoffs.begin("i-1", timedelta(seconds=3))
    assert not world.fleet.may_send(attempt)


def test_an_endpoint_that_is_backed_off_is_no_alternative():
    """Guards against a response that is dropped for a retry that nothing takes."""
    world = World()
    world.add("i-1", "records", refusing())
    assert world.fleet.has_alternative("records", RequestTraits("r-1"), ())
    world.gate.backoffs.begin("i-1", timedelta(seconds=3))
    assert not world.fleet.has_alternative("records", RequestTraits("r-1"), ())
