"""Messages between a gateway and its dispatcher, across clocks and versions."""

from datetime import timedelta

import pytest

from sassafrasdale.deployment import RequestTraits
from sassafrasdale.gateway.admission.terms import AdmissionTerms
from sassafrasdale.gateway.dispatcher_messages import (
    ASSIGNMENT_REJECTED,
    ASSIGNMENT_REQUEST,
    ATTEMPT_REPORT,
    NO_ASSIGNMENT,
    Assignment,
    AssignmentRejected,
    AssignmentRequest,
    AttemptEnded,
    AttemptReport,
    AttemptResult,
    FirstToken,
    Queued,
)
from sassafrasdale.gateway.peer_calls import assignment_reply, assignment_response
from sassafrasdale.gateway.peer_states import Message, MessageMalformed, encode
from sassafrasdale.http.messages import Response

SECOND = timedelta(seconds=1)
INVALID = [float("inf"), float("-inf"), float("nan"), 1e300]


def request(**fields):
    return AssignmentRequest("g-1", 1, 7, "models", 100, (), **fields)


def test_terms_keep_their_times_between_two_clocks():
    """Guards against a dispatcher that takes another gateway's clock for its own."""
    sent_at, received_at = 1000 * SECOND, 5 * SECOND
    terms = AdmissionTerms(
        "lab", 2, sent_at - SECOND / 4, sent_at + SECOND / 2, sent_at + 3 * SECOND
    )
    message = request().with_terms(terms, sent_at, is_queued=True)
    received = ASSIGNMENT_REQUEST.decode(encode(message))
    assert received.is_queued
    assert received.terms(received_at) == AdmissionTerms(
        "lab",
        2,
        received_at - SECOND / 4,
        received_at + SECOND / 2,
        received_at + 3 * SECOND,
    )


def test_a_late_request_keeps_negative_times():
    now = 10 * SECOND
    terms = AdmissionTerms("", 0, 7 * SECOND, 9 * SECOND, 11 * SECOND)
    assert request().with_terms(terms, now, is_queued=False).terms(now) == terms


def test_requests_of_earlier_versions_do_not_wait():
    class EarlierRequest(Message):
        gateway: str
        incarnation: int
        number: int
        service: str
        prompt_tokens: int
        parts: tuple[tuple[str, int], ...]

    sent = EarlierRequest("g-1", 1, 7, "models", 100, ())
    assert ASSIGNMENT_REQUEST.decode(encode(sent)).terms(SECOND) is None
    message = AssignmentRequest.of("g-1", 1, 7, "models", RequestTraits("r"), ())
    assert message.terms(SECOND) is None


@pytest.mark.parametrize("seconds", INVALID)
@pytest.mark.parametrize("field", ["objective_s", "deadline_s", "waited_s"])
def test_times_that_are_none_are_malformed(field, seconds):
    """Guards against a call whose task fails without a response."""
    message = request(may_wait=True, **{field: seconds})
    with pytest.raises(MessageMalformed):
        ASSIGNMENT_REQUEST.decode(encode(message))


@pytest.mark.parametrize("seconds", INVALID)
def test_replies_and_reports_with_invalid_times_are_malformed(seconds):
    with pytest.raises(MessageMalformed):
        ASSIGNMENT_REJECTED.decode(encode(AssignmentRejected("late", seconds)))
    reports = (
        AttemptReport("g-1", 1, (FirstToken(1, seconds),)),
        AttemptReport("g-1", 1, (), (AttemptEnded(1, AttemptResult.FAILED, seconds),)),
    )
    for report in reports:
        with pytest.raises(MessageMalformed):
            ATTEMPT_REPORT.decode(encode(report))


@pytest.mark.parametrize(
    ("reply", "status"),
    [
        (Assignment("i-1", "i-2", 100, 50, has_permit=True), 200),
        (Queued(), 202),
        (AssignmentRejected("would miss its deadline", 0.25), 503),
        (AssignmentRejected("would miss its deadline", 0.25, "ahead 2.000 s"), 503),
    ],
)
def test_replies_are_told_apart_by_status(reply, status):
    response = assignment_response(reply)
    assert response.status == status
    assert assignment_reply(response) == reply


def test_no_endpoint_is_404():
    response = assignment_response(None)
    assert response.status == 404
    assert assignment_reply(response) == NO_ASSIGNMENT


def test_other_statuses_are_no_reply():
    assert assignment_reply(Response(400)) is None
    with pytest.raises(MessageMalformed):
        assignment_reply(Response(503, body=b"stopping"))
