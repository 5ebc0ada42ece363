"""Messages between gateways."""

from datetime import timedelta

import pytest

from sassafrasdale.decisions.load_reports import ReportedLoad
from sassafrasdale.gateway.peer_states import (
    REPORT,
    EndpointLoad,
    MessageMalformed,
    ReceivedGroup,
    Report,
    encode,
    loads_by_endpoint,
)
from tests.gateway.fleets import contact, group_of, limit_usage, member

SECOND = timedelta(seconds=1)


def test_loads_add_up():
    loads = loads_by_endpoint(
        [
            ReceivedGroup(
                group_of(member("b", loads={"i": EndpointLoad(2, 100)})), 1.0
            ),
            ReceivedGroup(
                group_of(
                    member(
                        "c",
                        loads={"i": EndpointLoad(1, 300), "j": EndpointLoad(1, 0)},
                    )
                ),
                2.0,
            ),
        ]
    )
    assert loads == {
        "i": ReportedLoad(3, 400, SECOND * 1.75),
        "j": ReportedLoad(1, 0, timedelta()),
    }


def test_messages_survive_encoding():
    state = member("b", limit_usage={"lab": limit_usage(3.0, 9.0, share=0.5)})
    report = Report(state, 7, (contact("c"),))
    assert REPORT.decode(encode(report)) == report


def test_a_newer_version_may_add_fields():
    """During a rolling restart, gateways get messages with fields they do not know."""
    written = encode(Report(member("b"), 7))
    longer = bytes([written[0] + 1]) + written[1:] + encode("a field of tomorrow")
    assert REPORT.decode(longer).roster_digest == 7


@pytest.mark.parametrize(
    "state",
    [
        member("b", loads={"i": EndpointLoad(-1, 0)}),
        member("b", limit_usage={"lab": limit_usage(share=1.5)}),
        member("b", engine_time={"models": -1.0}),
    ],
)
def test_amounts_out_of_bounds_are_refused(state):
    """A gateway that reports a negative amount would lower the totals of all others."""
    with pytest.raises(MessageMalformed):
        REPORT.decode(encode(Report(state, 0)))
