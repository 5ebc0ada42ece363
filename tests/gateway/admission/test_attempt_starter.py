"""Attempts that wait for an endpoint: at the dispatcher, or without it."""

import pytest

from sassafrasdale.gateway.admission.attempt_queues import POSITION_TIMEOUT
from sassafrasdale.gateway.dispatcher import RECONCILE_GRACE
from sassafrasdale.gateway.dispatcher_messages import (
    HOLD_TIME,
    AssignmentRequest,
    AttemptReport,
)
from sassafrasdale.gateway.exceptions import RequestRefused
from sassafrasdale.green import sleep
from tests.gateway.admission.zones import MS, OBJECTIVE, WaitingZone, terms
from tests.gateway.test_dispatcher import prompt

# Two holds of a call by the dispatcher.
HOLDS = 2 * HOLD_TIME + 40 * MS


class CallerLeft(Exception):
    """Raised by the check of a request whose caller has left."""


@pytest.fixture
def zone():
    return WaitingZone()


@pytest.fixture
def running(zone):
    """Return the attempt that occupies the engine."""
    return zone.request(0)


def busy_counts(zone):
    """Return how many attempts are counted at the dispatcher and by each gateway."""
    return [
        sum(gateway.in_flight_counts()) for gateway in (zone.central, *zone.gateways)
    ]


def test_an_attempt_waits_at_the_dispatcher(zone, running):
    waiting = zone.request_soon(1)
    sleep(HOLDS)
    assert not waiting.dead
    assert len(zone.central.queues) == 1
    zone.finish(0, running)
    attempt = waiting.wait()
    assert attempt.assigned_by == "central"
    assert busy_counts(zone) == [1, 0, 0]
    assert [len(gateway.queues) for gateway in zone.gateways] == [0, 0]
    zone.finish(1, attempt)
    assert busy_counts(zone) == [0, 0, 0]


@pytest.mark.parametrize("fields", [{"is_retry": True}, {"terms": None}])
def test_retries_and_resumed_streams_do_not_wait(zone, running, fields):
    """Guards against a caller that waits twice, or a gap in a stream that has begun."""
    attempt = zone.request(1, **fields)
    assert attempt.assigned_by == "central"
    assert len(zone.central.queues) == 0


def test_a_request_that_would_be_too_late_is_refused(zone, running):
    with pytest.raises(RequestRefused) as error:
        zone.request(1, terms=terms(zone.clock, deadline=1 * MS))
    assert error.value.status == 503
    assert error.value.retry_after is not None
    # What the dispatcher decided by reaches the logs of the caller's gateway.
    assert "ahead" in error.value.inputs
    assert len(zone.central.queues) == 0


@pytest.mark.parametrize("is_dispatcher", [False, True])
def test_an_assignment_that_comes_too_late_is_given_back(is_dispatcher):
    """Guards against a run that nobody waits for, and a caller told so by a timeout."""
    zone = WaitingZone()
    zone.reply_time = 60 * MS
    if is_dispatcher:
        zone.contact = None
        zone.gateways[1].queues.request = _delayed(
            zone, zone.gateways[1].queues.request
        )
    with pytest.raises(RequestRefused) as error:
        zone.request(1, terms=terms(zone.clock, deadline=150 * MS))
    assert error.value.status == 503
    assert error.value.retry_after <= 90 * MS
    assert "left 0.090 s" in error.value.inputs
    zone.send_results()
    assert busy_counts(zone) == [0, 0, 0]


def _delayed(zone, request):
    def after_delay(*args):
        outcome = request(*args)
        zone.clock.advance(zone.reply_time)
        return outcome

    return after_delay


def test_a_caller_that_leaves_gives_up_its_place(zone, running):
    """Guards against an endpoint that is assigned to nobody."""
    left = []

    def check():
        if left:
            raise CallerLeft

    waiting = zone.request_soon(1, check=check)
    sleep(HOLDS)
    left.append(1)
    with pytest.raises(CallerLeft):
        waiting.wait()
    zone.send_results()
    assert len(zone.central.queues) == 0
    zone.finish(0, running)
    assert busy_counts(zone) == [0, 0, 0]


def test_without_any_endpoint_a_request_ends_at_once():
    zone = WaitingZone(endpoints=0)
    assert zone.request(0) is None
    assert zone.numbers == [1]


def test_a_killed_dispatcher_is_done_without(zone, running):
    """Guards against requests that are lost with the dispatcher's queue."""
    waiting = zone.request_soon(1)
    zone.responds = False
    attempt = waiting.wait()
    assert attempt.assigned_by == ""
    assert busy_counts(zone) == [1, 0, 1]


def test_a_gateway_whose_dispatcher_does_not_respond_chooses_at_once(zone):
    """Guards against requests that wait by reports that are out of date."""
    zone.responds = False
    attempts = [zone.request(1), zone.request(1)]
    assert [attempt.assigned_by for attempt in attempts] == ["", ""]
    assert busy_counts(zone) == [0, 0, 2]


def test_a_waiting_request_is_sent_once_its_dispatcher_stops_responding(zone, running):
    """Guards against a place in the queue of a dispatcher that was killed."""
    waiting = zone.request_soon(1)
    assert len(zone.central.queues) == 1
    zone.loses_replies = True
    assert waiting.wait().assigned_by == ""
    zone.send_results()
    assert len(zone.central.queues) == 0
    assert busy_counts(zone) == [1, 0, 1]


def test_an_assignment_whose_reply_is_lost_is_given_back(zone):
    """Guards against an engine that is busy with an attempt that nobody makes.

    The dispatcher is paused while it assigns, and answers too late.
    """
    zone.loses_replies = True
    assert zone.request(0).assigned_by == ""
    assert busy_counts(zone) == [1, 1, 0]
    zone.send_results()
    assert busy_counts(zone) == [0, 1, 0]


def test_requests_wait_on_at_a_new_dispatcher(zone, running):
    """Guards against requests that are lost when the dispatcher changes.

    The former one still holds a call; its reply counts for nothing.
    """
    waiting = zone.request_soon(1)
    sleep(HOLD_TIME / 2)
    former = zone.central
    zone.replace_dispatcher()
    occupying = zone.central.fleet.start_local_attempt(
        "models", prompt(100), (), (), is_retry=False
    )
    zone.gateways[1].directory.records["i-0"].in_flight = 1
    sleep(2 * HOLDS)
    assert len(zone.central.queues) == 1
    zone.clock.advance(POSITION_TIMEOUT + 60 * MS)
    former.queues.step()
    assert len(former.queues) == 0
    zone.central.fleet.finish_local_attempt(occupying)
    zone.dispatcher.record_report(AttemptReport("g-1", 1))
    assert waiting.wait().assigned_by == "next"
    assert sum(zone.central.in_flight_counts()) == 1


def test_a_dispatcher_of_an_earlier_version_assigns_at_once(zone, running):
    zone.dispatcher_waits = False
    assert zone.request(1).assigned_by == "central"


def test_a_gateway_of_an_earlier_version_is_assigned_at_once(zone, running):
    call = AssignmentRequest.of("g-old", 1, 1, "models", prompt(100), ())
    assert zone.dispatcher.assign(call).endpoint == "i-0"
    assert len(zone.central.queues) == 0


def test_an_assignment_to_a_gateway_that_is_gone_is_dropped(zone, running):
    """Guards against an engine that counts as busy for a gateway that was killed."""
    waiting = zone.request_soon(1)
    zone.finish(0, running)
    waiting.wait()
    assert busy_counts(zone)[0] == 1
    zone.clock.advance(2 * RECONCILE_GRACE)
    zone.dispatcher.reconcile("g-1", 2, ())
    assert busy_counts(zone)[0] == 0


def test_the_dispatcher_queues_its_own_callers_requests_too(zone):
    """Guards against a dispatcher whose own callers overtake those of its zone."""
    zone.contact = None
    attempt = zone.request(0)
    waiting = zone.request_soon(0, terms=terms(zone.clock, objective=OBJECTIVE))
    assert len(zone.gateways[0].queues) == 1
    zone.gateways[0].fleet.finish_attempt(attempt)
    zone.gateways[0].queues.step()
    assert waiting.wait().assigned_by == ""


def test_a_held_call_of_a_gateway_that_has_restarted_counts_for_nothing(zone, running):
    """Guards against an attempt of a gone process, and lost ones of its successor."""
    waiting = zone.request_soon(1)
    again = AssignmentRequest.of("g-1", 2, 1, "models", prompt(100), ())
    zone.dispatcher.assign(again)
    assert busy_counts(zone) == [2, 0, 0]
    zone.central.directory.records["i-0"].in_flight -= 1
    zone.finish(0, running)
    sleep()
    zone.central.directory.records["i-0"].in_flight += 1
    zone.dispatcher.reconcile("g-1", 2, (1,))
    assert busy_counts(zone)[0] == 1
    waiting.kill()
