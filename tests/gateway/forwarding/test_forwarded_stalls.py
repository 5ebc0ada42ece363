"""Streams forwarded through a peer whose endpoint, or whose peer, stalls."""

from datetime import timedelta

from sassafrasdale.clock import SystemClock
from sassafrasdale.decisions.silence import STALL_TIME
from sassafrasdale.green import sleep
from standins.gateway_fleet import wait_for
from tests.gateway.forwarding.test_hop import Hop, refusing_address
from tests.gateway.test_exchange import STREAM, only_reports
from tests.gateway.test_hedges import (
    LONG_STALL,
    assert_whole,
    healthy,
    runs,
    stalling,
    unhealthy,
)
from tests.gateway.world import (
    ScriptedEndpoint,
    World,
    chunk,
    event,
    request,
    stream_head,
    streamed,
)
from tests.http.wires import read_request, serve_raw

CLOCK = SystemClock()
# A hedge is considered every 0.1 s, and asks peers before.
HEDGED_WITHIN = STALL_TIME + timedelta(milliseconds=400)


class ForwardedStream:
    """A stream that a peer forwards, and that stalls after its first event.

    All connections of the gateway to endpoints are refused, so it learns of them
    through peers only.

    :param first: script of the stream's engine.
    :param second: script of the engine that could take over.
    """

    def __init__(self, first, second, forwarders: int = 1) -> None:
        self.hop = Hop(forwarders)
        self.hop.origin.routes = World(routes=only_reports()).routes
        self.first = ScriptedEndpoint(first)
        self.second = ScriptedEndpoint(second)
        self._caller = self.hop.origin.caller()

    def begin(self) -> None:
        """Send the stream, and register the second engine."""
        self._add("i-0", self.first)
        self._caller.send(request("/reports/7", **STREAM))
        self._began_at = CLOCK.elapsed()
        in_flight = self.hop.origin.directory.records["i-0"]
        wait_for(lambda: in_flight.in_flight, "not sent")
        sleep(timedelta(milliseconds=50))
        self._add("i-1", self.second)

    def read(self) -> bytes:
        """Return the caller's response."""
        return self._caller.read(4 * STALL_TIME)

    def wait_for_hedge(self) -> timedelta:
        """Return the time until the second engine was sent the stream."""
        wait_for(lambda: runs(self.second), "no hedge", 4 * STALL_TIME)
        return CLOCK.elapsed() - self._began_at

    def _add(self, name: str, endpoint: ScriptedEndpoint) -> None:
        self.hop.add(name, "models", endpoint)
        record = self.hop.origin.directory.records[name]
        record.pool._address = refusing_address()


def test_a_forwarded_stream_is_hedged_as_early_as_a_direct_one():
    """Guards against streams of a partitioned gateway that wait for their deadline."""
    stream = ForwardedStream(
        healthy(stalling(5 * STALL_TIME, 2)), healthy(streamed(2, 3))
    )
    stream.begin()
    assert stream.wait_for_hedge() < HEDGED_WITHIN
    assert_whole(stream.read(), 1, 2, 3)


def test_a_forwarded_stream_is_waited_for_where_all_engines_are_silent():
    """Guards against peers that accept connections taken for engines that respond."""
    stream = ForwardedStream(unhealthy(stalling(LONG_STALL, 2)), unhealthy(streamed(2)))
    stream.begin()
    assert_whole(stream.read(), 1, 2)
    assert not runs(stream.second)


def test_a_response_through_a_peer_shows_that_its_endpoint_responds():
    """Guards against peers asked about endpoints whose responses they pass on."""
    stream = ForwardedStream(stalling(STALL_TIME / 2, 2), streamed(2))
    stream.begin()
    record = stream.hop.origin.directory.records["i-0"]
    wait_for(lambda: record.responded_at, "nothing is known")
    at_head = record.responded_at
    assert_whole(stream.read(), 1, 2)
    assert record.responded_at - at_head > STALL_TIME / 4
    assert record.pool.received_at is None


def test_a_hedge_is_not_sent_through_the_peer_that_has_stalled():
    """Guards against a hedge that waits at the same peer as the stalled stream."""
    stream = ForwardedStream(healthy(streamed(1)), healthy(streamed(2, 3)))

    def stall(sock):
        raw = read_request(sock)
        if raw.startswith(b"POST /forward"):
            head = stream_head(raw).replace(b"\r\n", b"\r\nForward-In-Flight: 1\r\n", 1)
            sock.sendall(head + chunk(event(1)))
        sleep(6 * STALL_TIME)
        sock.close()

    hop = stream.hop
    hop.add_peer("front-b-stalled", serve_raw(stall))
    hop.origin.forwarders.state_of("front-b-stalled").is_proven = True
    stream.begin()
    # The other peer has more to do.
    hop.origin.forwarders.state_of("front-b-0").reported = 50
    assert stream.wait_for_hedge() < HEDGED_WITHIN
    assert_whole(stream.read(), 1, 2, 3)


def test_a_peer_that_answers_is_not_avoided_as_an_endpoint_stalls():
    """Guards against peers that are all passed over in a stall of an endpoint."""
    stream = ForwardedStream(
        healthy(stalling(5 * STALL_TIME)), healthy(streamed(2)), forwarders=2
    )
    stream.begin()
    stream.wait_for_hedge()
    forwarders = stream.hop.origin.forwarders
    now = CLOCK.elapsed()
    for name in ("front-b-0", "front-b-1"):
        assert forwarders.state_of(name).avoided_until < now
