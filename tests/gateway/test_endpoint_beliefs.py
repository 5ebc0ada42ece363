"""Rate limits that endpoints name in their responses."""

from datetime import timedelta

from sassafrasdale.clock import ManualClock
from sassafrasdale.deployment import EndpointSignals
from sassafrasdale.gateway.endpoint_beliefs import EndpointLimits
from tests.gateway.fleets import single_gate
from tests.gateway.world import ScriptedEndpoint, World, request, respond_with

SECOND = timedelta(seconds=1)
NAMED = EndpointSignals(rate_limit=2.0)
SILENT = EndpointSignals()


def new_limits(clock: ManualClock) -> EndpointLimits:
    return single_gate(clock).limits


def test_a_response_names_a_limit_and_a_later_one_without_it_ends_it():
    clock = ManualClock()
    limits = new_limits(clock)
    limits.observe("i-1", NAMED, clock.elapsed())
    assert limits.rate_limit("i-1") == 2.0
    clock.advance(SECOND)
    limits.observe("i-1", SILENT, clock.elapsed())
    assert limits.rate_limit("i-1") is None


def test_an_earlier_request_s_response_ends_no_limit():
    clock = ManualClock()
    limits = new_limits(clock)
    sent_at = clock.elapsed()
    clock.advance(SECOND)
    limits.observe("i-1", NAMED, clock.elapsed())
    limits.observe("i-1", SILENT, sent_at)
    assert limits.rate_limit("i-1") == 2.0


def test_a_malformed_limit_changes_nothing():
    clock = ManualClock()
    limits = new_limits(clock)
    limits.observe(
        "i-1",
        EndpointSignals(has_malformed_limit=True, malformed=("x",)),
        clock.elapsed(),
    )
    assert limits.rate_limit("i-1") is None
    limits.observe("i-1", NAMED, clock.elapsed())
    clock.advance(SECOND)
    limits.observe(
        "i-1",
        EndpointSignals(has_malformed_limit=True, malformed=("x",)),
        clock.elapsed(),
    )
    assert limits.rate_limit("i-1") == 2.0


def test_a_restarted_endpoint_has_no_limit():
    clock = ManualClock()
    limits = new_limits(clock)
    limits.observe("i-1", NAMED, clock.elapsed())
    limits.mark_restarted("i-1")
    assert limits.rate_limit("i-1") is None


def test_every_kind_of_response_is_read():
    names = "Server-Limit: 3\r\n"
    for status, rate in (
        ("200 OK", 3.0),
        ("500 Failed", 3.0),
        ("503 Full", 3.0),
        ("429 Full", 3.0),
        ("421 Other", None),
    ):
        world = World()
        endpoint = ScriptedEndpoint(respond_with(status=status, extra=names))
        world.add("i-1", "records", endpoint)
        world.ask(request("/certificates/7"))
        assert world.limits.rate_limit("i-1") == rate, status
