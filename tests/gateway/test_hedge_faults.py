"""Hedges that fail, are cancelled late, or have no reason."""

from datetime import timedelta
from unittest.mock import patch

from sassafrasdale.decisions.silence import STALL_TIME
from sassafrasdale.gateway.retry_budgets import KEPT_FOR_FAILURES
from sassafrasdale.green import sleep
from sassafrasdale.http.exceptions import NotConnected
from sassafrasdale.platform.signals import health_request
from standins.gateway_fleet import status_of, wait_for
from tests.gateway.forwarding.test_hop import Hop
from tests.gateway.test_exchange import STREAM, only_reports
from tests.gateway.test_hedges import (
    END,
    LONG_STALL,
    MILLISECOND,
    StalledStream,
    assert_whole,
    healthy,
    runs,
    stalling,
)
from tests.gateway.world import (
    CLOCK,
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
from tests.platform.documents import configuration

SECOND = timedelta(seconds=1)


def test_a_stream_goes_on_though_its_hedge_ends_before_its_first_event():
    """Guards against a sound run that is closed for a head without events."""
    stream = StalledStream(
        stalling(LONG_STALL, 2, 3), healthy(streamed(ends=False)), maxTries=2
    )
    assert_whole(stream.read(), 1, 2, 3)


def test_a_stream_goes_on_though_its_hedge_stalls_before_its_first_event():
    """Guards against a sound run that is closed for a hedge that is prefilled later."""

    def queued(sock, raw):
        sock.sendall(stream_head(raw))
        sleep(4 * STALL_TIME)
        sock.close()

    stream = StalledStream(stalling(LONG_STALL, 2, 3), healthy(queued), maxTries=2)
    assert_whole(stream.read(), 1, 2, 3)


def unframed(sock, raw):
    """Send a body that only the end of the connection ends."""
    head = (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {header(raw, 'request-id')}\r\n"
        "Replica-Stamp: stamp\r\n\r\n"
    )
    sock.sendall(head.encode() + b"hedge")
    sock.close()


def test_a_hedge_that_is_cancelled_as_it_ends_is_released():
    """Guards against endpoints that count requests that have long ended.

    The first attempt responds while it is checked whether the hedge's body is complete.
    """

    def slow(sock, raw):
        sock.sendall(stream_head(raw))
        sleep(2600 * MILLISECOND)
        sock.sendall(chunk(b"first") + b"0\r\n\r\n")

    route = {**configuration()["routes"][2], "timeoutMs": 4000}
    world = World(routes=[route])

    def is_serving(record):
        sleep(SECOND)
        return True

    world.quarantine.is_serving = is_serving
    first = ScriptedEndpoint(slow)
    world.add("i-0", "records", first)
    caller = world.caller()
    caller.send(request("/reports/open/7"))
    wait_for(lambda: runs(first), "not sent")
    second = ScriptedEndpoint(healthy(unframed))
    world.add("i-1", "records", second)
    response = caller.read(4 * STALL_TIME)
    assert status_of(response) == 200
    assert b"first" in response
    assert runs(second)
    sleep(2 * SECOND)
    records = world.directory.records
    assert {name: each.in_flight for name, each in records.items()} == {
        "i-0": 0,
        "i-1": 0,
    }
    # Its connection was returned to the pool, and may serve another request by now.
    assert [conn.is_closed for conn in records["i-0"].pool._idle] == [False]


def test_a_forwarded_request_is_not_hedged_for_the_link_it_does_not_use():
    """Guards against second runs of sound requests while a link is lost."""

    def slow(sock, raw):
        sleep(700 * MILLISECOND)
        respond_with()(sock, raw)

    hop = Hop()
    endpoints = [ScriptedEndpoint(healthy(slow)) for _ in range(2)]
    for number, endpoint in enumerate(endpoints):
        hop.add(f"i-{number}", "records", endpoint)
    response = hop.origin.ask(request("/reports/open/7"))
    assert status_of(response) == 200
    assert sum(len(runs(endpoint)) for endpoint in endpoints) == 1


def test_a_request_on_a_live_connection_of_a_lost_link_is_not_hedged():
    """Guards against prompts prefilled twice where only new connections are refused."""

    def busy(sock, raw):
        sock.sendall(stream_head(raw))
        sleep(700 * MILLISECOND)
        sock.sendall(chunk(event(1)))
        sock.sendall(END)

    world = World(routes=only_reports())
    first = ScriptedEndpoint(respond_with(), busy)
    world.add("i-0", "models", first)
    record = world.directory.records["i-0"]
    assert record.pool.check(health_request("/healthz"), SECOND)
    world.links.is_partitioned = lambda record: True
    caller = world.caller()
    world.links.has_live_connections = lambda record: True
    caller.send(request("/reports/7", **STREAM))
    wait_for(lambda: runs(first), "not sent")
    second = ScriptedEndpoint(healthy(streamed(2)))
    world.add("i-1", "models", second)
    assert world.directory.records["i-1"].pool.probe()
    caller.read(4 * STALL_TIME)
    assert not runs(second)


def test_a_stall_that_ends_between_two_checks_keeps_the_connections():
    """Guards against sound connections that are closed after each stall."""
    stalled = [True]

    def late(sock, raw):
        while stalled[0]:
            sleep(10 * MILLISECOND)
        respond_with()(sock, raw)

    world = World(routes=only_reports())
    endpoint = ScriptedEndpoint(late)
    world.add("i-0", "models", endpoint)
    record = world.directory.records["i-0"]
    record.pool.probe()
    record.pool.probe()
    kept = list(record.pool._idle)
    world.links.begin_checks([record])
    # The first check takes 400 ms.
    sleep(450 * MILLISECOND)
    stalled[0] = False
    sleep(300 * MILLISECOND)
    assert not kept[0].is_closed


def test_a_hedge_that_can_t_start_is_not_tried_again_at_once():
    """Guards against stalled requests that all ask the dispatcher all the time."""
    stream = StalledStream(stalling(3 * STALL_TIME, 2), healthy(streamed(2)))
    asked = []

    def start(request):
        asked.append(CLOCK.elapsed())

    stream.world.starter.start = start
    assert_whole(stream.read(), 1, 2)
    assert 1 <= len(asked) <= 6


def goes_on(sock, raw):
    """Send one event, stall for longer than a hedge waits, and send the others."""
    sock.sendall(stream_head(raw) + chunk(event(1)))
    sleep(STALL_TIME + 300 * MILLISECOND)
    sock.sendall(chunk(event(2)))
    sleep(3 * SECOND)
    sock.sendall(END)


def assert_relayed_at_once(stream):
    """Check that the second event is read soon after it has been sent."""
    sent_by = CLOCK.elapsed() + STALL_TIME + 300 * MILLISECOND
    received = b""
    while event(2) not in received:
        received += stream._caller.read_some()
    assert CLOCK.elapsed() - sent_by < 300 * MILLISECOND


def test_events_are_relayed_while_a_hedge_waits_for_its_assignment():
    """Guards against a stream that goes on, and whose gateway does not read it."""
    stream = StalledStream(goes_on, healthy(streamed(2)))
    stream.world.starter.start = lambda request: sleep(SECOND)
    assert_relayed_at_once(stream)


def test_events_are_relayed_while_a_hedge_can_t_connect():
    """Guards against a stream that is not read as new connections get no reply."""
    stream = StalledStream(goes_on, healthy(streamed(2)))
    paths = stream.world.paths
    open_path = paths.open

    def open_slowly(record, hop):
        if record.name == "i-0":
            return open_path(record, hop)
        sleep(SECOND)
        raise NotConnected("timed out")

    paths.open = open_slowly
    assert_relayed_at_once(stream)


def test_a_hedge_never_responds_after_the_stream_has_gone_on():
    """Guards against events that come twice: the hedge goes on after the first one."""

    def slowly(sock, raw):
        sock.sendall(stream_head(raw) + chunk(event(1)))
        sleep(LONG_STALL)
        sock.sendall(chunk(event(2)))
        sleep(SECOND)
        sock.sendall(chunk(event(3)) + END)

    def late(sock, raw):
        sleep(LONG_STALL - STALL_TIME + 300 * MILLISECOND)
        streamed(2, 3)(sock, raw)

    stream = StalledStream(slowly, healthy(late))
    assert_whole(stream.read(), 1, 2, 3)
    assert len(runs(stream.second)) == 1


def test_a_failure_of_a_hedge_is_not_the_callers():
    """Guards against a 5xx of a hedge that ends a sound run."""
    failing = respond_with(status="500 Internal Server Error")
    stream = StalledStream(stalling(LONG_STALL, 2, 3), healthy(failing))
    assert_whole(stream.read(), 1, 2, 3)
    assert len(runs(stream.second)) == 1


def test_a_quarantined_request_is_not_hedged():
    """Guards against a request that crashes one engine after the other by hedges."""
    stream = StalledStream(stalling(LONG_STALL, 2), healthy(streamed(2)))
    quarantine = type(stream.world.quarantine)
    with (
        patch.object(quarantine, "is_empty", property(lambda self: False)),
        patch.object(quarantine, "refused_feature", lambda self, features: "f"),
    ):
        assert_whole(stream.read(), 1, 2)
    assert not runs(stream.second)


def test_an_engine_that_alone_has_stalled_blames_neither_request_nor_version():
    """Guards against strikes and roll-backs for a connection that was closed here."""
    stream = StalledStream(stalling(5 * STALL_TIME, 2), healthy(streamed(2, 3)))
    strikes = []
    quarantine = stream.world.quarantine
    quarantine.record_lost_connection = lambda *args, **kwargs: strikes.append(args)
    blamed = []
    stream.world.fleet.record_version_failure = blamed.append
    assert_whole(stream.read(), 1, 2, 3)
    assert not strikes
    assert not blamed


def test_stalled_streams_ask_for_no_more_endpoints_than_retries_are_left():
    """Guards against a burst of assignments, connections and permits for one retry."""
    world = World(routes=only_reports())
    first = ScriptedEndpoint(stalling(2 * STALL_TIME, 2))
    world.add("i-0", "models", first)
    callers = [world.caller() for _ in range(6)]
    for number, caller in enumerate(callers):
        caller.send(request("/reports/7", f"r-{number}", **STREAM))
    wait_for(lambda: len(runs(first)) == 6, "not sent")
    world.add("i-1", "models", ScriptedEndpoint(healthy(streamed(2))))
    budgets = world.fleet.retry_budgets
    budget = budgets._budget("models")
    budget._share = 0.0
    budget._tokens = 1 + KEPT_FOR_FAILURES * (budget.depth - 1) + 0.5
    start = world.starter.start
    asked = []

    def start_slowly(request):
        asked.append(request)
        sleep(50 * MILLISECOND)
        return start(request)

    world.starter.start = start_slowly
    for caller in callers:
        caller.read(4 * STALL_TIME)
    assert len(asked) <= 1


def test_a_stream_moves_though_no_endpoint_can_be_checked():
    """Guards against a stream that waits for a dead engine beside idle brittle ones."""
    stream = StalledStream(stalling(5 * STALL_TIME, 2), streamed(2, 3))
    stream.world.links._checks._is_brittle = lambda name: True
    began_at = CLOCK.elapsed()
    assert_whole(stream.read(), 1, 2, 3)
    assert CLOCK.elapsed() - began_at < 3 * STALL_TIME
