"""Hedges beside responses that have stalled."""

from datetime import timedelta

from sassafrasdale.decisions.silence import STALL_TIME
from sassafrasdale.green import sleep
from standins.gateway_fleet import status_of, wait_for
from tests.gateway.test_exchange import STREAM, body_of, only_reports, reset
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
from tests.platform.documents import configuration

MILLISECOND = timedelta(milliseconds=1)
END = b"0\r\n\r\n"
HEALTH = b"GET /healthz "
# A stall that ends after hedges have been considered.
LONG_STALL = STALL_TIME + 400 * MILLISECOND


def stalling(stall: timedelta, *rest: int):
    """Return a script: one event, a stall, further events and the end."""

    def script(sock, raw):
        sock.sendall(stream_head(raw) + chunk(event(1)))
        sleep(stall)
        for number in rest:
            sock.sendall(chunk(event(number)))
        sock.sendall(END)

    return script


def healthy(script):
    """Return a script whose endpoint responds to health checks at once."""

    def respond(sock, raw):
        if raw.startswith(HEALTH):
            respond_with()(sock, raw)
        else:
            script(sock, raw)

    return respond


def unhealthy(script):
    """Return a script whose endpoint never responds to health checks."""

    def respond(sock, raw):
        if not raw.startswith(HEALTH):
            script(sock, raw)

    return respond


def runs(endpoint: ScriptedEndpoint) -> list[bytes]:
    """Return the requests of callers that an endpoint has received."""
    return [raw for raw in endpoint.requests if not raw.startswith(HEALTH)]


class StalledStream:
    """A stream whose engine has stalled after one event, and another engine.

    :param route: changed fields of its route.
    """

    def __init__(self, first, second, **route: object) -> None:
        routes = [{**each, **route} for each in only_reports()]
        self.world = World(routes=routes)
        self.first = ScriptedEndpoint(first)
        self.second = ScriptedEndpoint(second)
        self.world.add("i-0", "models", self.first)
        self._caller = self.world.caller()
        self._caller.send(request("/reports/7", **STREAM))
        wait_for(lambda: runs(self.first), "not sent")
        self.world.add("i-1", "models", self.second)

    def read(self) -> bytes:
        """Return the caller's response; check that nothing is left in progress."""
        response = self._caller.read(4 * STALL_TIME)
        wait_for(lambda: not self._is_in_progress(), "attempts in progress")
        return response

    def leave(self) -> None:
        """Disconnect the caller; check that nothing is left in progress."""
        self._caller.close()
        wait_for(lambda: not self._is_in_progress(), "attempts in progress")

    def _is_in_progress(self) -> bool:
        return any(
            record.in_flight or record.prefill_tokens or record.connections
            for record in self.world.directory.records.values()
        )


def assert_whole(response: bytes, *events: int) -> None:
    """Check that a response is complete and has exactly these events."""
    assert response.endswith(END)
    assert body_of(response) == b"".join(map(event, events))


def test_a_hedge_takes_over_where_the_stream_stopped():
    stream = StalledStream(stalling(5 * STALL_TIME, 2), healthy(streamed(2, 3)))
    assert_whole(stream.read(), 1, 2, 3)
    [resumed] = runs(stream.second)
    assert header(resumed, "last-event-id") == "1"
    wait_for(lambda: stream.first.ended, "the first attempt still runs")


def test_a_stream_goes_on_where_all_engines_are_silent():
    """Guards against a stream that is given up though no other engine responds."""
    stream = StalledStream(stalling(LONG_STALL, 2), unhealthy(streamed(2)))
    assert_whole(stream.read(), 1, 2)
    assert not runs(stream.second)


def test_a_stream_goes_on_though_its_hedge_fails():
    """Guards against a stream that is lost with the attempt that was to replace it."""
    stream = StalledStream(stalling(LONG_STALL, 2, 3), healthy(reset))
    assert_whole(stream.read(), 1, 2, 3)
    assert len(runs(stream.second)) == 1


def test_a_stream_goes_on_though_its_hedge_is_slow():
    """Guards against events that come twice, from a stalled engine and its hedge."""

    def slow(sock, raw):
        sleep(2 * STALL_TIME)
        streamed(2, 3)(sock, raw)

    stream = StalledStream(stalling(LONG_STALL, 2, 3), healthy(slow))
    assert_whole(stream.read(), 1, 2, 3)
    assert len(runs(stream.second)) == 1


def test_a_stream_goes_on_though_no_retry_is_left():
    """Guards against a stream that is given up before its retry is allowed."""
    stream = StalledStream(stalling(LONG_STALL, 2), healthy(streamed(2)))
    stream.world.fleet.retry_budgets.allow_retry = lambda *args, **kwargs: False
    assert_whole(stream.read(), 1, 2)
    assert not runs(stream.second)


def test_a_stream_is_not_hedged_beyond_the_attempts_of_its_route():
    stream = StalledStream(stalling(LONG_STALL, 2), healthy(streamed(2)), maxTries=1)
    assert_whole(stream.read(), 1, 2)
    assert not runs(stream.second)


def test_a_stream_that_may_not_be_resumed_is_waited_for():
    """Guards against a stream that runs twice though its route forbids it."""
    stream = StalledStream(
        stalling(LONG_STALL, 2), healthy(streamed(2)), allowResume=False
    )
    assert_whole(stream.read(), 1, 2)
    assert not runs(stream.second)


def test_a_caller_that_leaves_cancels_both_attempts():
    """Guards against hedges that run on for nobody."""

    def slow(sock, raw):
        sleep(4 * STALL_TIME)
        streamed(2)(sock, raw)

    stream = StalledStream(stalling(4 * STALL_TIME, 2), healthy(slow))
    wait_for(lambda: runs(stream.second), "no hedge")
    stream.leave()


def test_a_hedge_is_adopted_if_the_first_attempt_is_lost_meanwhile():
    """Guards against a third attempt while the second one runs."""

    def slow(sock, raw):
        sleep(STALL_TIME)
        streamed(2, 3)(sock, raw)

    def lost(sock, raw):
        sock.sendall(stream_head(raw) + chunk(event(1)))
        sleep(LONG_STALL)
        sock.close()

    stream = StalledStream(lost, healthy(slow))
    assert_whole(stream.read(), 1, 2, 3)
    assert len(runs(stream.second)) == 1


def test_a_plain_body_that_does_not_end_is_hedged():
    """Guards against a caller that waits out its deadline for bytes without an end."""

    def endless(sock, raw):
        sock.sendall(stream_head(raw))
        while True:
            sock.sendall(chunk(b"x" * 1000))
            sleep(20 * MILLISECOND)

    route = {**configuration()["routes"][2], "timeoutMs": 4000}
    world = World(routes=[route])
    first = ScriptedEndpoint(endless)
    world.add("i-0", "records", first)
    caller = world.caller()
    caller.send(request("/reports/open/7"))
    wait_for(lambda: runs(first), "not sent")
    world.add("i-1", "records", ScriptedEndpoint(respond_with(b"whole")))
    response = caller.read(4 * STALL_TIME)
    assert status_of(response) == 200
    assert response.endswith(b"whole")
