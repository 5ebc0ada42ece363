"""What holds across the hop from a partitioned gateway through a peer."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.decisions.blame import KNOWN_SOUND_PART
from sassafrasdale.decisions.links import Reachability
from sassafrasdale.decisions.strikes import Strike
from sassafrasdale.gateway.dispatcher_messages import AttemptResult
from sassafrasdale.gateway.forwarding.receiver import ForwardingReceiver
from sassafrasdale.gateway.peer_states import Contact
from sassafrasdale.green import listen, sleep, spawn
from sassafrasdale.http.server import HttpServer
from sassafrasdale.structures import Address
from standins.gateway_fleet import status_of, wait_for
from tests.gateway.world import (
    ScriptedEndpoint,
    World,
    chunk,
    event,
    header,
    request,
    respond_with,
    stream_head,
)
from tests.http.wires import LOOPBACK, bound_address, serve_raw

CLOCK = SystemClock()
NON_IDEMPOTENT = "/certificates/7"
IDEMPOTENT = "/reports/open/7"
STREAM = "/reports/7"
TOKENS = {"token_count": "100,20", "prompt_prefix": "aa:60,bb:40"}
SHORT = timedelta(milliseconds=100)


class Unlisted:
    """An endpoint of which only the address is known."""

    def __init__(self, address: Address) -> None:
        self.address = address


class Forwarder:
    """A gateway that forwards; its own links work.

    :ivar cluster_time: its cluster time, in seconds.
    :ivar takes: whether it takes forwards.
    """

    def __init__(self) -> None:
        self.world = World()
        self.cluster_time = 0.0
        self.takes = True
        world = self.world
        self.receiver = ForwardingReceiver(
            world.directory,
            world.gate,
            world.quarantine,
            world.links,
            list,
            lambda: self.takes,
            lambda: self.cluster_time,
            1.0,
            CLOCK,
            world.rng,
        )
        listener = listen(LOOPBACK)
        spawn(HttpServer(listener, self.receiver.handle, CLOCK).serve)
        self.address = bound_address(listener)


class Hop:
    """A gateway whose links are lost, and peers that may forward."""

    def __init__(self, forwarders: int = 1) -> None:
        self.origin = World()
        self.forwarders = [Forwarder() for _ in range(forwarders)]
        for number, forwarder in enumerate(self.forwarders):
            self.add_peer(f"front-b-{number}", forwarder.address)
        self.origin.links.is_partitioned = lambda record: True

    def add_peer(self, name: str, address) -> None:
        """Add a peer at an address."""
        contact = Contact(name, "a", address.host, address.port, 1)
        self.origin.roster.record_contact(contact)

    def add(self, name: str, service: str, endpoint) -> None:
        """Register an endpoint at all gateways."""
        for world in (self.origin, *(each.world for each in self.forwarders)):
            world.add(name, service, endpoint)

    def prove(self, number: int) -> None:
        """Have the partitioned gateway know that a peer reaches endpoints."""
        state = self.origin.forwarders.state_of(f"front-b-{number}")
        state.is_proven = True


def test_a_response_is_passed_on_unchanged():
    """Guards against a hop that shows: other bytes, headers, limits counted twice."""
    hop = Hop()
    body = bytes(range(256)) * 40
    endpoint = ScriptedEndpoint(
        respond_with(body, extra="X-Odd: \xe9 a,b\r\nForward-Outcome: not sent\r\n")
    )
    hop.add("i-1", "records", endpoint)
    response = hop.origin.ask(request(NON_IDEMPOTENT, deadline_ms="500"))
    assert status_of(response) == 200
    head, _, rest = response.partition(b"\r\n\r\n")
    assert rest == body
    assert header(response, "replica-stamp") == "stamp"
    assert header(response, "x-odd") == "\xe9 a,b".encode().decode("latin-1")
    assert b"forward" not in head.lower()
    [sent] = endpoint.requests
    assert header(sent, "tenant") == "lab-a"
    assert header(sent, "expect-replica") == "i-1"
    assert not header(sent, "api-key")
    assert 0 < int(header(sent, "deadline-ms")) <= 500
    assert sum(sum(c.values()) for c in hop.origin.usage.report().values()) == 1
    assert not hop.forwarders[0].world.usage.report()
    assert hop.forwarders[0].receiver.in_flight == 0


def test_a_forward_is_never_forwarded():
    """Guards against partitioned gateways that forward to each other."""
    hop = Hop(forwarders=2)
    endpoint = ScriptedEndpoint(respond_with())
    hop.add("i-1", "records", endpoint)
    for forwarder in hop.forwarders:
        forwarder.world.links.is_partitioned = lambda record: True
        forwarder.world.roster.record_contact(
            Contact("front-a-1", "a", "127.0.0.1", 1, 1)
        )
    response = hop.origin.ask(request(NON_IDEMPOTENT))
    assert status_of(response) == 503
    assert not endpoint.requests


@pytest.mark.parametrize("reason", ["unreachable", "stopping", "unknown endpoint"])
def test_another_peer_forwards_what_one_does_not(reason: str):
    """Guards against callers refused because one of several peers is no help."""
    hop = Hop(forwarders=2)
    endpoint = ScriptedEndpoint(respond_with())
    hop.add("i-1", "records", endpoint)
    hop.prove(0)
    first = hop.forwarders[0]
    match reason:
        case "unreachable":
            pool = first.world.directory.records["i-1"].pool
            pool._address = refusing_address()
        case "stopping":
            first.takes = False
        case _:
            first.world.directory.remove("i-1")
    assert status_of(hop.origin.ask(request(NON_IDEMPOTENT))) == 200
    assert len(endpoint.requests) == 1


def test_a_peer_that_is_down_costs_no_attempt():
    """Guards against "may have run" for what never left the gateway."""
    hop = Hop(forwarders=1)
    endpoint = ScriptedEndpoint(respond_with())
    hop.add("i-1", "records", endpoint)
    hop.add_peer("front-b-gone", refusing_address())
    hop.origin.forwarders.state_of("front-b-gone").is_proven = True
    assert status_of(hop.origin.ask(request(NON_IDEMPOTENT))) == 200
    assert len(endpoint.requests) == 1


@pytest.mark.parametrize(
    ("path", "status", "runs"), [(NON_IDEMPOTENT, 502, 1), (IDEMPOTENT, 200, 2)]
)
def test_a_forwarder_that_is_lost_may_have_sent(path: str, status: int, runs: int):
    """Guards against a request that runs twice as its forwarder ends under it."""
    hop = Hop()
    endpoint = ScriptedEndpoint(respond_with())
    hop.add("i-1", "records", endpoint)
    hop.add("i-2", "records", endpoint)

    def lose(sock):
        # It forwards, and ends before it passes on the response.
        sock.recv(65536)
        spawn(endpoint.requests.append, b"")
        sleep()
        sock.close()

    hop.add_peer("front-b-lost", serve_raw(lose))
    hop.origin.forwarders.state_of("front-b-lost").is_proven = True
    assert status_of(hop.origin.ask(request(path))) == status
    assert len(endpoint.requests) == runs


@pytest.mark.parametrize(("path", "status"), [(NON_IDEMPOTENT, 502), (IDEMPOTENT, 200)])
def test_an_endpoint_that_is_lost_behind_the_hop_may_have_run(path: str, status: int):
    """Guards against "not run" for a request that reached an endpoint by a hop."""
    hop = Hop()
    hop.add("i-1", "records", ScriptedEndpoint(lambda sock, _: sock.close()))
    if status == 200:
        hop.add("i-2", "records", ScriptedEndpoint(respond_with()))
    for _ in range(3):
        assert status_of(hop.origin.ask(request(path))) == status


def test_a_forwarder_that_was_paused_sends_nothing_late():
    """Guards against a request that runs after its caller was answered."""
    hop = Hop()
    endpoint = ScriptedEndpoint(respond_with())
    hop.add("i-1", "records", endpoint)
    hop.forwarders[0].cluster_time = 10.0
    assert status_of(hop.origin.ask(request(NON_IDEMPOTENT))) == 503
    assert not endpoint.requests


def test_the_endpoint_gets_the_time_that_is_left_after_the_hop():
    """Guards against endpoints that work on after the caller's deadline."""
    hop = Hop()
    endpoint = ScriptedEndpoint(respond_with())
    hop.add("i-1", "records", endpoint)
    hop.forwarders[0].cluster_time = 0.2
    hop.origin.ask(request(NON_IDEMPOTENT, deadline_ms="500"))
    assert 0 < int(header(endpoint.requests[0], "deadline-ms")) <= 300


def test_a_caller_that_leaves_cancels_the_request_behind_the_hop():
    """Guards against endpoints that work for callers who are gone."""
    hop = Hop()
    closed = []

    def wait(sock, _):
        closed.append(sock.recv(100))

    endpoint = ScriptedEndpoint(wait)
    hop.add("i-1", "records", endpoint)
    caller = hop.origin.caller()
    caller.send(request(NON_IDEMPOTENT))
    wait_for(lambda: endpoint.requests, "the request has not arrived")
    caller.close()
    wait_for(lambda: closed == [b""], "the request was not cancelled")
    wait_for(lambda: not hop.forwarders[0].receiver.in_flight, "it is still counted")


def test_a_response_that_is_cancelled_says_nothing_of_the_forwarder():
    """Guards against sound peers avoided as a caller leaves or a hedge responds."""
    hop = Hop()
    endpoint = ScriptedEndpoint(lambda sock, raw: sock.recv(100))
    hop.add("i-1", "records", endpoint)
    hop.prove(0)
    caller = hop.origin.caller()
    caller.send(request(NON_IDEMPOTENT))
    wait_for(lambda: endpoint.requests, "the request has not arrived")
    caller.close()
    state = hop.origin.forwarders.state_of("front-b-0")
    wait_for(lambda: not state.in_flight, "the request was not cancelled")
    assert state.is_proven
    assert state.avoided_until == timedelta()


def refusing_address() -> Address:
    """Return an address at which nothing listens."""
    listener = listen(LOOPBACK)
    address = bound_address(listener)
    listener.close()
    return address


def test_a_stream_is_resumed_after_the_endpoint_behind_the_hop_is_lost():
    """Guards against events that are lost or come twice across the hop."""
    hop = Hop()
    resumed_after = []

    def run(sock, raw):
        resumed_after.append(header(raw, "last-event-id"))
        first = int(resumed_after[-1] or 0) + 1
        sock.sendall(stream_head(raw))
        for number in range(first, first + 2):
            sock.sendall(chunk(event(number)))
        if len(resumed_after) > 1:
            sock.sendall(b"0\r\n\r\n")
        sock.close()

    for service in ("models", "models-next"):
        for number in (1, 2):
            hop.add(f"{service}-{number}", service, ScriptedEndpoint(run))
    response = hop.origin.ask(request(STREAM, **TOKENS))
    assert status_of(response) == 200
    assert [response.count(b"id: %d\n" % number) for number in range(6)] == [
        *(0, 1, 1, 1, 1, 0)
    ]
    assert resumed_after == ["", "2"]


def test_a_backoff_is_heeded_by_both_gateways():
    """Guards against a forwarder that goes on to send to who asked it for back-off."""
    hop = Hop()
    refuse = respond_with(b"", "503 Busy", "Not-Run: 1\r\nRetry-After: 5\r\n")
    endpoint = ScriptedEndpoint(refuse)
    hop.add("i-1", "records", endpoint)
    assert status_of(hop.origin.ask(request(NON_IDEMPOTENT))) == 503
    forwarder = hop.forwarders[0].world
    assert forwarder.gate.backoffs.is_active("i-1")
    assert hop.origin.gate.backoffs.is_active("i-1")
    # Another gateway that knows nothing of it asks the same forwarder.
    hop.origin.gate.backoffs.end("i-1")
    assert status_of(hop.origin.ask(request(NON_IDEMPOTENT))) == 503
    assert len(endpoint.requests) == 1


def test_a_leaving_endpoint_is_not_reached_through_a_peer_that_knows():
    """Guards against a departure that holds for direct attempts only."""
    hop = Hop()
    endpoint = ScriptedEndpoint(respond_with())
    hop.add("i-1", "records", endpoint)
    hop.forwarders[0].world.gate.departures.set("i-1", True, "response")
    assert status_of(hop.origin.ask(request(NON_IDEMPOTENT))) == 503
    assert not endpoint.requests


def test_what_was_not_sent_uses_no_retry_budget():
    """Guards against a budget that hops empty."""
    hop = Hop(forwarders=2)
    hop.add("i-1", "records", ScriptedEndpoint(respond_with()))
    counted = []
    hop.origin.fleet.count_attempt = lambda attempt, *, is_retry: counted.append(
        is_retry
    )
    hop.prove(0)
    hop.forwarders[0].takes = False
    assert status_of(hop.origin.ask(request(IDEMPOTENT))) == 200
    assert counted == [False]


def test_peers_that_do_not_forward_say_nothing_of_the_endpoint():
    """Guards against a dispatcher that avoids what others can't reach."""
    hop = Hop()
    hop.add("i-1", "records", ScriptedEndpoint(respond_with()))
    hop.forwarders[0].takes = False
    results = []
    finish = hop.origin.fleet.finish_attempt
    hop.origin.fleet.finish_attempt = lambda attempt: (
        results.append(attempt.result),
        finish(attempt),
    )
    assert status_of(hop.origin.ask(request(NON_IDEMPOTENT))) == 503
    assert set(results) == {AttemptResult.NEUTRAL}


@pytest.mark.parametrize("status", [404, 400, 500, 200])
def test_a_peer_that_knows_no_forwards_is_passed_over(status: int):
    """Guards against a peer's own response that is taken for the endpoint's."""
    hop = Hop()
    endpoint = ScriptedEndpoint(respond_with())
    hop.add("i-1", "records", endpoint)

    def answer(connection, request):
        connection.answer(status)

    listener = listen(LOOPBACK)
    spawn(HttpServer(listener, answer, CLOCK).serve)
    hop.add_peer("front-b-old", bound_address(listener))
    hop.origin.forwarders.state_of("front-b-old").is_proven = True
    assert status_of(hop.origin.ask(request(NON_IDEMPOTENT))) == 200
    assert len(endpoint.requests) == 1


def test_callers_cannot_ask_for_a_forward():
    """Guards against requests of callers that use the gateways' own interface."""
    hop = Hop()
    hop.add("i-1", "records", ScriptedEndpoint(respond_with()))
    for target in ("/forward", "/reachability/i-1", "/contacts"):
        assert status_of(hop.origin.ask(request(target))) == 404


def test_a_forwarder_takes_a_bounded_number_at_once():
    """Guards against one peer that is overrun by all partitioned gateways."""
    hop = Hop()
    endpoint = ScriptedEndpoint(respond_with())
    hop.add("i-1", "records", endpoint)
    hop.forwarders[0].receiver._max_in_flight = 0
    assert status_of(hop.origin.ask(request(NON_IDEMPOTENT))) == 503
    assert not endpoint.requests


def test_an_endpoint_that_crashes_behind_the_hop_strikes_the_request():
    """Guards against a request that crashes one endpoint after another by hops."""
    hop = Hop()
    refusing = listen(LOOPBACK)
    address = bound_address(refusing)

    def crash() -> None:
        sock, _ = refusing.accept()
        sock.recv(65536)
        refusing.close()
        sock.close()

    spawn(crash)
    hop.add("i-1", "records", Unlisted(address))
    assert status_of(hop.origin.ask(request(NON_IDEMPOTENT))) == 502
    assert len(hop.forwarders[0].world.strikes) == 1
    assert len(hop.origin.strikes) == 0


def test_a_peer_answers_whether_it_reaches_an_endpoint():
    """Guards against partitioned gateways that vouch for what they don't reach."""
    hop = Hop()
    links = hop.forwarders[0].world.links
    hop.add("i-1", "records", ScriptedEndpoint(respond_with()))
    hop.add("i-2", "records", Unlisted(refusing_address()))
    assert hop.origin.forwarders.ask("i-1") == {"front-b-0": Reachability.REACHED}
    assert hop.origin.forwarders.ask("i-2") == {"front-b-0": Reachability.NOT_REACHED}
    assert links.answer("i-3") is Reachability.UNKNOWN
    links.is_partitioned = lambda record: True
    assert links.answer("i-1") is Reachability.UNKNOWN


def test_a_stream_is_not_forwarded_to_another_version_than_began_it():
    """Guards against an endpoint that has restarted, which only the peer knows."""
    hop = Hop()
    endpoint = ScriptedEndpoint(respond_with())
    hop.add("i-1", "models", endpoint)
    hop.forwarders[0].world.directory.remove("i-1")
    hop.forwarders[0].world.add("i-1", "models", endpoint, "v2")
    hop.origin.only_version = "v1"
    response = hop.origin.ask(request(STREAM, resumes="r-0", last_event_id="1"))
    assert status_of(response) == 503
    assert not endpoint.requests


def quarantine_part(world: World, part: str = "part-aa") -> None:
    """Have a gateway know that a part of prompts crashes endpoints of version v1."""
    at = CLOCK.now().timestamp() - 100
    for crash in range(KNOWN_SOUND_PART.crashes):
        world.strikes.add(
            Strike(part, f"i-{crash}", "v1", False, at, "g", f"r-{crash}")
        )


def test_a_part_that_only_the_forwarder_knows_to_crash_endpoints_reaches_none():
    """Guards against a partitioned gateway that has not heard of a quarantine."""
    hop = Hop()
    endpoint = ScriptedEndpoint(respond_with())
    hop.add("i-1", "models", endpoint)
    quarantine_part(hop.forwarders[0].world)
    response = hop.origin.ask(request(STREAM, **TOKENS))
    assert status_of(response) == 503
    assert not endpoint.requests


def test_a_trial_of_a_quarantined_part_is_forwarded():
    """Guards against trials that a forwarder refuses, as it knows of the quarantine."""
    hop = Hop()
    endpoint = ScriptedEndpoint(respond_with())
    for world in (hop.origin, hop.forwarders[0].world):
        world.add("i-9", "models", endpoint, "v2")
        quarantine_part(world)
    hop.origin.ask(request(STREAM, **TOKENS))
    assert len(endpoint.requests) == 1
