"""What callers get where endpoints send bytes without end."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.decisions.silence import STALL_TIME
from sassafrasdale.deployment import RequestTraits
from sassafrasdale.green import sleep
from standins.gateway_endpoints import Endless
from standins.gateway_fleet import status_of, wait_for
from tests.gateway.test_exchange import STREAM, body_of, only_reports
from tests.gateway.test_hedges import END, StalledStream, healthy
from tests.gateway.world import (
    ScriptedEndpoint,
    World,
    chunk,
    event,
    header,
    request,
    respond_with,
    stream_head,
    streamed,
)
from tests.http.wires import RawCaller
from tests.platform.documents import configuration

CLOCK = SystemClock()
# A plain service tells nothing of its bodies, so only their size can be too much.
MALFORMED = [
    Endless.STATUS_LINE,
    Endless.HEAD,
    Endless.INTERIM,
    Endless.CHUNKED,
    Endless.UNFRAMED,
    Endless.TINY_CHUNKS,
]


def endless(kind: Endless, *, status: bytes = b"200 OK", extra: str = ""):
    """Return a script that sends without end, as fast as it is read."""

    def script(sock, raw):
        headers = [("request-id", header(raw, "request-id"))]
        headers += [("replica-stamp", "stamp")] if not extra else [(extra, "1")]
        first, part = kind.bytes_for(headers)
        sock.sendall(first.replace(b"200 OK", status))
        while True:
            sock.sendall(part)
            sleep()

    return script


@pytest.mark.parametrize("kind", MALFORMED)
def test_a_request_that_may_not_be_repeated_fails_at_once(kind):
    """Guards against callers that wait until the deadline for bytes without end."""
    routes = [{**route, "timeoutMs": 8000} for route in configuration()["routes"]]
    world = World(routes=routes)
    endpoint = ScriptedEndpoint(endless(kind))
    world.add("i-1", "records", endpoint)
    began_at = CLOCK.elapsed()
    response = world.ask(request("/certificates/7", deadline_ms="8000"))
    assert status_of(response) == 502
    assert CLOCK.elapsed() - began_at < timedelta(seconds=3)
    assert len(endpoint.requests) == 1


@pytest.mark.parametrize("kind", MALFORMED)
def test_an_endpoint_that_sends_without_end_is_soon_ejected(kind):
    """Guards against one endpoint whose endless responses cost many requests."""
    routes = [{**route, "timeoutMs": 8000} for route in configuration()["routes"]]
    world = World(routes=routes)
    failing = ScriptedEndpoint(endless(kind))
    world.add("i-1", "records", failing)
    world.add("i-2", "records", ScriptedEndpoint(respond_with()))
    for number in range(10):
        response = world.ask(
            request("/reports/open/7", f"r-{number}", deadline_ms="8000")
        )
        assert status_of(response) == 200
    assert len(failing.requests) <= 2


@pytest.mark.parametrize("kind", [Endless.CHUNKED, Endless.COMMENTS])
def test_a_stream_of_bytes_without_end_goes_on_elsewhere(kind):
    """Guards against streams that an engine keeps busy and never brings further."""
    world = World(routes=only_reports())
    world.add("i-0", "models", ScriptedEndpoint(endless(kind)))
    world.add("i-1", "models", ScriptedEndpoint(streamed(1, 2)))
    began_at = CLOCK.elapsed()
    response = world.ask(request("/reports/7", **STREAM))
    assert body_of(response).endswith(event(1) + event(2))
    assert response.endswith(END)
    assert CLOCK.elapsed() - began_at < timedelta(seconds=3)


def sending_now_and_then(part: bytes, *, events: int = 1):
    """Return a script: some events, and then a part again and again."""

    def script(sock, raw):
        sock.sendall(stream_head(raw))
        for number in range(1, events + 1):
            sock.sendall(chunk(event(number)))
        while True:
            sock.sendall(chunk(part))
            sleep(timedelta(milliseconds=50))

    return script


@pytest.mark.parametrize("part", [b": filler\n\n", event(1), b"x", b"data: x\n\n"])
def test_bytes_now_and_then_are_no_progress_of_a_stream(part):
    """Guards against comments and repeated events that keep a stalled stream alive."""
    began_at = CLOCK.elapsed()
    stream = StalledStream(healthy(sending_now_and_then(part)), healthy(streamed(2, 3)))
    response = stream.read()
    assert response.endswith(END)
    assert event(2) + event(3) in body_of(response)
    assert CLOCK.elapsed() - began_at < 3 * STALL_TIME


def test_part_of_a_first_event_is_not_waited_for_for_ever():
    """Guards against engines that begin an event and never end it."""
    began_at = CLOCK.elapsed()
    stream = StalledStream(
        healthy(sending_now_and_then(b"x", events=0)), healthy(streamed(1, 2))
    )
    response = stream.read()
    assert response.endswith(END)
    assert body_of(response) == event(1) + event(2)
    assert CLOCK.elapsed() - began_at < 3 * STALL_TIME


def test_keep_alive_comments_of_a_prefill_start_no_hedge():
    """Guards against a second run of each prompt that takes long to prefill."""

    def prefilling(sock, raw):
        sock.sendall(stream_head(raw))
        for _ in range(20):
            sock.sendall(chunk(b": filler\n\n"))
            sleep(timedelta(milliseconds=100))
        sock.sendall(chunk(event(1)) + END)

    stream = StalledStream(healthy(prefilling), healthy(streamed(1)))
    assert body_of(stream.read()).endswith(event(1))
    assert not [raw for raw in stream.second.requests if b"/reports/" in raw]


def test_a_refusal_with_a_body_without_end_is_a_refusal():
    """Guards against a request that has not run and is taken for one that may have."""
    world = World()
    refusing = endless(Endless.CHUNKED, status=b"503 Busy", extra="not-run")
    world.add("i-1", "records", ScriptedEndpoint(refusing))
    response = world.ask(request("/certificates/7"))
    assert status_of(response) == 503


def sending_without_end_after(*numbers: int):
    """Return a script: some events, a pause, and then bytes that end no event."""

    def script(sock, raw):
        sock.sendall(stream_head(raw) + b"".join(chunk(event(n)) for n in numbers))
        sleep(timedelta(milliseconds=200))
        while True:
            sock.sendall(chunk(b"x" * 65_536))
            sleep()

    return script


def spend_retries(world: World, service: str) -> None:
    """Spend all retries that the budget of a service allows."""
    while world.fleet.retry_budgets.allow_retry(service, spend=True):
        pass


def resuming(sock, raw):
    """Send the events up to the second that the caller does not have."""
    streamed(*range(int(header(raw, "last-event-id") or 0) + 1, 3))(sock, raw)


def broken_stream(
    world: World, *events: int, **headers: str
) -> tuple[RawCaller, ScriptedEndpoint]:
    """Return the caller of a stream that has failed, and an endpoint that is up."""
    bad = ScriptedEndpoint(sending_without_end_after(*events))
    other = ScriptedEndpoint(resuming)
    world.add("i-0", "models", bad)
    spend_retries(world, "models")
    caller = world.caller()
    caller.send(request("/reports/7", **STREAM, **headers))
    wait_for(lambda: bad.requests, "not sent")
    world.add("i-1", "models", other)
    wait_for(lambda: bad.ended, "not failed")
    return caller, other


def save_retry(world: World, service: str) -> None:
    """Have other requests save up one retry."""
    while not world.fleet.retry_budgets.left(service):
        world.fleet.retry_budgets.count_attempt(service, is_retry=False)


@pytest.mark.parametrize("events", [(), (1,)])
def test_a_stream_that_breaks_the_protocol_waits_for_a_retry(events):
    """Guards against streams broken off for a retry that is allowed soon after."""
    world = World(routes=only_reports())
    caller, _ = broken_stream(world, *events)
    sleep(timedelta(milliseconds=200))
    save_retry(world, "models")
    response = caller.read(4 * STALL_TIME)
    assert response.endswith(END)
    assert body_of(response) == event(1) + event(2)


def test_a_stream_without_a_retry_ends_before_its_deadline():
    """Guards against callers that wait until the deadline for a retry in vain."""
    world = World(routes=only_reports())
    began_at = CLOCK.elapsed()
    caller, other = broken_stream(world, 1, deadline_ms="3000")
    assert not caller.read(timedelta(seconds=5)).endswith(END)
    assert CLOCK.elapsed() - began_at < timedelta(seconds=3)
    assert not other.requests


def test_a_stream_that_waits_for_a_retry_ends_with_its_caller():
    """Guards against retries that are spent on callers who have left."""
    world = World(routes=only_reports())
    caller, other = broken_stream(world, 1, deadline_ms="3000")
    caller.close()
    sleep(timedelta(milliseconds=300))
    save_retry(world, "models")
    sleep(timedelta(milliseconds=300))
    assert world.fleet.retry_budgets.left("models") == 1
    assert not other.requests


@pytest.mark.parametrize("has_failed", [True, False])
def test_a_retry_goes_to_an_endpoint_that_has_responded(has_failed):
    """Guards against a last attempt at a second endpoint that sends without end."""
    world = World()
    names = ("i-0", "i-1", "i-2")
    for name in names:
        world.add(name, "records", ScriptedEndpoint(respond_with()))
    health = world.directory.health_of("records")
    health.observe("i-1", ok=True, now=CLOCK.elapsed())
    world.directory.records["i-1"].in_flight = 3
    if has_failed:
        health.observe("i-2", ok=False, now=CLOCK.elapsed())
    assert chosen(world, is_retry=True) == "i-1"
    assert chosen(world, is_retry=False) == "i-2"


@pytest.mark.parametrize("is_known", [True, False])
def test_a_retry_goes_to_any_endpoint_where_none_that_responded_is_left(is_known):
    """Guards against requests that end for want of an endpoint known to respond."""
    world = World()
    for name in ("i-0", "i-2"):
        world.add(name, "records", ScriptedEndpoint(respond_with()))
    if is_known:
        health = world.directory.health_of("records")
        health.observe("i-2", ok=False, now=CLOCK.elapsed())
    assert chosen(world, is_retry=True) == "i-2"


def chosen(world: World, *, is_retry: bool) -> str:
    """Return the endpoint of a request that was sent to i-0 before."""
    traits = RequestTraits("r-1")
    attempt = world.fleet.start_local_attempt(
        "records", traits, {"i-0"}, (), is_retry=is_retry
    )
    world.fleet.finish_attempt(attempt)
    return attempt.record.name
