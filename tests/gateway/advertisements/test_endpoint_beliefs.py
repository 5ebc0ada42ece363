"""Rate limits that endpoints name in their responses."""

import socket
from dataclasses import replace
from datetime import timedelta

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.deployment import (
    Endpoint,
    EndpointSignals,
    EndpointState,
    RequestTraits,
)
from sassafrasdale.gateway.admission.attempt_starter import AttemptRequest
from sassafrasdale.gateway.advertisements.endpoint_beliefs import EndpointLimits
from standins.gateway_fleet import wait_for
from tests.gateway.fleets import Fleet, contact, single_gate
from tests.gateway.world import (
    ScriptedEndpoint,
    World,
    chunk,
    event,
    request,
    respond_with,
    stream_head,
)

SECOND = timedelta(seconds=1)
NAMED = EndpointSignals(rate_limit=2.0)
SILENT = EndpointSignals()
MALFORMED = EndpointSignals(has_malformed_limit=True, malformed=("x",))


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


@pytest.mark.parametrize(
    ("tolerated", "rejected_at", "expected"),
    [(0, [10.5], True), (0, [9], False), (2, [10.5], False), (2, [10.2, 10.6], True)],
)
def test_a_brittle_endpoint_may_fail_by_what_it_rejected(
    tolerated, rejected_at, expected
):
    """Guards against requests that are blamed for an endpoint that rejected others."""
    clock = ManualClock()
    gate = single_gate(clock)
    rooms = gate.rooms
    began_at = clock.elapsed()
    signals = EndpointSignals(brittleness=tolerated)
    gate.brittle.observe("i-1", signals, began_at)
    assert rooms.may_be_overloaded("i-1", began_at)
    assert not rooms.may_be_overloaded("i-2", began_at)
    for seconds in rejected_at:
        clock.advance(began_at + seconds * SECOND - clock.elapsed())
        rooms.record_rejection("i-1")
    assert rooms.may_be_overloaded("i-1", began_at + 11 * SECOND) is expected


def test_a_malformed_limit_changes_nothing():
    clock = ManualClock()
    limits = new_limits(clock)
    limits.observe(
        "i-1",
        MALFORMED,
        clock.elapsed(),
    )
    assert limits.rate_limit("i-1") is None
    limits.observe("i-1", NAMED, clock.elapsed())
    clock.advance(SECOND)
    limits.observe(
        "i-1",
        MALFORMED,
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


LEAVES = "Server-Leaving: 1\r\n"


def test_an_endpoint_that_says_it_leaves_gets_no_further_request():
    """Guards against a departure that only the registration could tell."""
    world = World()
    leaving = ScriptedEndpoint(respond_with(extra=LEAVES))
    world.add("i-1", "records", leaving)
    assert world.ask(request("/certificates/1")).startswith(b"HTTP/1.1 200")
    refused = world.ask(request("/certificates/2"))
    assert refused.startswith(b"HTTP/1.1 503")
    assert b"retry-after" in refused.lower()
    other = ScriptedEndpoint(respond_with())
    world.add("i-2", "records", other)
    assert world.ask(request("/certificates/3")).startswith(b"HTTP/1.1 200")
    assert (len(leaving.requests), len(other.requests)) == (1, 1)


@pytest.mark.parametrize("status", ["200 OK", "500 Failed", "503 Full", "429 Full"])
def test_every_kind_of_response_tells_of_a_departure(status: str):
    world = World()
    world.add(
        "i-1", "records", ScriptedEndpoint(respond_with(status=status, extra=LEAVES))
    )
    world.ask(request("/certificates/1"))
    assert world.gate.departures.is_leaving("i-1")


def test_another_endpoint_s_departure_is_not_the_intended_one_s():
    world = World()
    elsewhere = ScriptedEndpoint(respond_with(status="421 Other", extra=LEAVES))
    world.add("i-1", "records", elsewhere)
    world.ask(request("/certificates/1"))
    assert not world.gate.departures.is_leaving("i-1")


def test_a_stream_s_head_tells_of_a_departure_before_its_end():
    """Guards against a departure that is read at the end of a long stream."""
    world = World()

    def script(sock: socket.socket, data: bytes) -> None:
        head = stream_head(data).replace(
            b"\r\n\r\n", b"\r\n" + LEAVES.encode() + b"\r\n"
        )
        sock.sendall(head + chunk(event(1)))

    world.add("i-1", "models", ScriptedEndpoint(script))
    world.add("i-2", "models-next", ScriptedEndpoint(script))
    caller = world.caller()
    caller.send(request("/reports/1"))
    wait_for(
        lambda: any(map(world.gate.departures.is_leaving, ("i-1", "i-2"))),
        "the head was not read",
    )


def world_with_a_leaving_endpoint() -> tuple[World, Endpoint]:
    """Return a world and its endpoint, which says in its first response that it leaves.

    The later responses don't say so.
    """
    world = World()
    endpoint = ScriptedEndpoint(respond_with(extra=LEAVES), respond_with())
    registered = Endpoint(
        "i-1", "records", endpoint.address, "a", EndpointState.READY, 6, born=1
    )
    world.directory.put(registered)
    world.ask(request("/certificates/1"))
    return world, registered


def test_an_endpoint_that_restarts_under_its_name_is_used_again():
    """Guards against a departure that outlives the process that told of it."""
    world, registered = world_with_a_leaving_endpoint()
    world.directory.put(replace(registered, born=2))
    assert world.ask(request("/certificates/2")).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("born", [1, 2])
def test_a_registration_that_had_expired_voids_nothing_but_of_an_earlier_start(born):
    """Guards against a restarted endpoint left unused, and a leaving one in use."""
    world, registered = world_with_a_leaving_endpoint()
    world.directory.remove("i-1")
    world.directory.put(replace(registered, born=born))
    status = b"HTTP/1.1 503" if born == 1 else b"HTTP/1.1 200"
    assert world.ask(request("/certificates/2")).startswith(status)


def test_an_attempt_is_not_sent_to_an_endpoint_that_began_to_leave_since_its_choice():
    """Guards against a choice that is older than the departure."""
    world = World()
    world.add("i-1", "records", ScriptedEndpoint(respond_with()))
    attempt = world.starter.start(AttemptRequest("records", RequestTraits("r-1"), ()))
    assert world.fleet.may_send(attempt)
    world.gate.departures.set("i-1", True, "peer")
    assert not world.fleet.may_send(attempt)


def test_an_attempt_is_not_sent_over_a_limit_named_since_its_choice():
    """Guards against a choice that is older than the limit."""
    world = World()
    world.add("i-1", "records", ScriptedEndpoint(respond_with()))
    attempt = world.starter.start(AttemptRequest("records", RequestTraits("r-1"), ()))
    world.limits.set("i-1", 1.0, "peer")
    assert not world.fleet.may_send(attempt)


def test_all_gateways_learn_what_one_was_told():
    """Guards against gateways that each must be told by an endpoint itself."""
    fleet = Fleet({"a": 3, "b": 3, "c": 3})
    fleet.endpoint_zones["i-1"] = "a"
    fleet.play(3.0)
    told = fleet.nodes["b-1"]
    told.departures.set("i-1", True, "response")
    told.endpoint_limits.set("i-1", 2.0, "response")
    fleet.play(1.0)
    nodes = fleet.nodes.values()
    assert all(node.departures.is_leaving("i-1") for node in nodes)
    assert all(node.endpoint_limits.rate_limit("i-1") == 2.0 for node in nodes)
    fleet.nodes["c-0"].endpoint_limits.set("i-1", None, "response")
    fleet.play(1.0)
    assert all(node.endpoint_limits.rate_limit("i-1") is None for node in nodes)


def test_news_do_not_grow_younger_on_their_way():
    """Guards against two gateways that make each other's old evidence look later."""
    fleet = Fleet({"a": 3, "b": 3, "c": 3})
    fleet.endpoint_zones["i-1"] = "a"
    fleet.play(3.0)
    fleet.nodes["b-1"].departures.set("i-1", True, "response")
    at = fleet.clock.elapsed()
    fleet.play(30.0)
    for node in fleet.nodes.values():
        assert node.departures.confirmed_at("i-1") <= at + SECOND


def test_a_gateway_that_has_just_started_learns_what_the_others_know():
    """Guards against a restarted gateway that must be told by each endpoint again."""
    fleet = Fleet({"a": 3, "b": 3})
    fleet.endpoint_zones["i-1"] = "a"
    fleet.play(3.0)
    told = fleet.nodes["b-1"]
    told.departures.set("i-1", True, "response")
    told.endpoint_limits.set("i-1", 2.0, "response")
    fleet.play(10.0)
    fleet.kill("a-2")
    fleet.play(1.0)
    started = fleet.start("a-2", "a", incarnation=2)
    fleet.play(0.5)
    assert started.departures.is_leaving("i-1")
    assert started.endpoint_limits.rate_limit("i-1") == 2.0


def test_a_stale_report_of_a_limit_that_ended_is_contradicted():
    """Guards against a limit that a gateway keeps for seconds after its end."""
    clock = ManualClock()
    idle, active = new_limits(clock), new_limits(clock)
    for limits in (idle, active):
        limits.observe("i-1", NAMED, clock.elapsed())
    clock.advance(SECOND)
    active.observe("i-1", SILENT, clock.elapsed())
    # The idle gateway has learned of the end, and then gets a delayed report.
    clock.advance(SECOND / 5)
    idle.observe("i-1", NAMED, clock.elapsed())
    clock.advance(2 * SECOND)
    active.observe("i-1", SILENT, clock.elapsed())
    receiver = contact("idle")
    active.report_for(receiver)
    clock.advance(SECOND / 10)
    active.receive(idle.report_for(contact("active")))
    idle.receive(active.report_for(receiver))
    assert active.rate_limit("i-1") is None
    assert idle.rate_limit("i-1") is None


def test_an_ended_limit_is_forgotten_though_responses_go_on():
    """Guards against reports that grow with all limits that ever were."""
    clock = ManualClock()
    limits = new_limits(clock)
    limits.observe("i-1", NAMED, clock.elapsed())
    for _ in range(60):
        clock.advance(SECOND / 2)
        limits.observe("i-1", SILENT, clock.elapsed())
        limits.remove_gone()
    assert not limits
