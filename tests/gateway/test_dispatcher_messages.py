"""Messages between a gateway and its dispatcher, across clocks and versions."""

from datetime import timedelta

import pytest

from sassafrasdale.gateway.dispatcher_messages import (
    ASSIGNMENT_REJECTED,
    ASSIGNMENT_REQUEST,
    ATTEMPT_REPORT,
    AssignmentRejected,
    AssignmentRequest,
    AttemptEnded,
    AttemptReport,
    AttemptResult,
    FirstToken,
)
from sassafrasdale.gateway.peer_states import MessageMalformed, encode

SECOND = timedelta(seconds=1)
INVALID = [float("inf"), float("-inf"), float("nan"), 1e300]


def request(**fields):
    return AssignmentRequest("g-1", 1, 7, "models", 100, (), **fields)


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
