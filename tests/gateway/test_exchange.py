"""Forwarding of a request to endpoints that fail in various ways."""

import time
from dataclasses import replace
from datetime import timedelta
from functools import partial

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.decisions.blame import KNOWN_SOUND_PART
from sassafrasdale.decisions.silence import STALL_TIME
from sassafrasdale.decisions.strikes import Strike
from sassafrasdale.deployment import EndpointState
from sassafrasdale.green import sleep
from standins.gateway_fleet import status_of, wait_for
from tests.gateway.world import (
    CrashingEndpoint,
    PowerLossEndpoint,
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
from tests.http.wires import LIMIT, serve_raw

CLOCK = SystemClock()
STREAM = {"token_count": "100,20", "prompt_prefix": "aa:60,bb:40"}


def reset(sock, _request):
    sock.close()


def hang(sock, _request):
    sock.recv(100)


def body_of(response: bytes) -> bytes:
    _, _, rest = response.partition(b"\r\n\r\n")
    data = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        if not size:
            break
        data += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]
    return data


def test_a_failure_counts_before_the_endpoint_is_probed():
    """Guards against requests sent to a failed endpoint while it is being probed."""
    world = World()
    world.add("i-1", "records", ScriptedEndpoint(reset))
    calls = []
    failed, lost = world.fleet.record_failure, world.quarantine.record_lost_connection
    world.fleet.record_failure = lambda *args: (calls.append("failed"), failed(*args))
    world.quarantine.record_lost_connection = lambda *args, **also: (
        calls.append("probed"),
        lost(*args, **also),
    )[1]
    world.ask(request("/certificates/7"))
    assert calls == ["failed", "probed"]


def test_an_endpoints_response_is_relayed():
    world = World()
    endpoint = ScriptedEndpoint(respond_with(b"record"))
    world.add("i-1", "records", endpoint)
    response = world.ask(request("/certificates/7"))
    assert status_of(response) == 200
    assert response.endswith(b"record")
    assert header(response, "replica-stamp") == "stamp"
    sent = endpoint.requests[0]
    assert header(sent, "tenant") == "lab-a"
    assert header(sent, "expect-replica") == "i-1"
    assert not header(sent, "api-key")
    assert 0 < int(header(sent, "deadline-ms")) <= 600


def test_a_response_in_time_is_relayed_after_a_pause_of_the_gateway():
    """Guards against 504 for a response that came before the gateway's pause."""
    body = b"x" * 100_000

    def respond(sock, raw):
        respond_with(body)(sock, raw)
        time.sleep(0.8)

    world = World()
    world.add("i-1", "records", ScriptedEndpoint(respond))
    response = world.ask(request("/certificates/7"))
    assert status_of(response) == 200
    assert response.endswith(body)


def test_an_endpoints_error_response_is_relayed():
    world = World()
    world.add("i-1", "records", ScriptedEndpoint(respond_with(b"no", "500 Error")))
    response = world.ask(request("/certificates/7"))
    assert status_of(response) == 500
    assert header(response, "replica-stamp") == "stamp"


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/nowhere/", {}, 404),
        ("/certificates/7", {"api_key": "wrong"}, 401),
        ("/certificates/7", {"deadline_ms": "soon"}, 400),
        ("/certificates/7", {}, 503),
    ],
)
def test_refusals(path, headers, status):
    raw = request(path, **headers)
    if "api_key" in headers:
        raw = raw.replace(b"Api-Key: key-1\r\n", b"")
    assert status_of(World().ask(raw)) == status


def test_no_configuration_yet():
    world = World()
    world.routes = None
    response = world.ask(request("/certificates/7"))
    assert status_of(response) == 503
    assert float(header(response, "retry-after")) > 0


def test_no_refusal_has_a_retry_after_of_zero():
    """Guards against callers that come back at once, again and again."""
    world = World()
    world.quotas.admit = lambda *request: timedelta(milliseconds=3)
    response = world.ask(request("/certificates/7"))
    assert status_of(response) == 429
    assert float(header(response, "retry-after")) > 0


def test_a_non_idempotent_request_runs_at_most_once():
    """Guards against running a non-idempotent request twice.

    The endpoint reads the request and closes the connection without a response, so it
    may have run it. The request must not be retried at the other endpoint, and the
    caller must not be told that it did not run.
    """
    world = World()
    endpoints = [ScriptedEndpoint(reset), ScriptedEndpoint(reset)]
    for number, endpoint in enumerate(endpoints):
        world.add(f"i-{number}", "records", endpoint)
    response = world.ask(request("/certificates/7"))
    assert status_of(response) == 502
    assert sum(len(endpoint.requests) for endpoint in endpoints) == 1


def test_a_request_that_did_not_run_gets_status_503():
    world = World()
    shed = respond_with(b"", "503 Unavailable", "Not-Run: 1\r\n")
    world.add("i-1", "records", ScriptedEndpoint(shed))
    response = world.ask(request("/certificates/7"))
    assert status_of(response) == 503
    assert float(header(response, "retry-after")) > 0


def test_an_idempotent_request_is_retried():
    world = World()
    world.add("i-1", "records", ScriptedEndpoint(reset))
    world.add("i-2", "records", ScriptedEndpoint(respond_with(b"page")))
    for number in range(4):
        response = world.ask(request("/reports/open/1", f"r-{number}", method="GET"))
        assert status_of(response) == 200


def test_an_error_response_is_relayed_if_its_retry_fails():
    """Guards against a response that is given up before a better one is there."""
    world = World()
    world.add("i-1", "records", ScriptedEndpoint(respond_with(b"broken", "500 Error")))
    caller = world.caller()
    world.add("i-2", "records", ScriptedEndpoint(reset))
    world.fleet.start_local_attempt = partial(
        _prefer, "i-1", world.fleet.start_local_attempt
    )
    caller.send(request("/reports/open/7"))
    response = caller.read()
    assert status_of(response) == 500
    assert response.endswith(b"broken")


def _prefer(name, start, service, traits, tried, *args, **kwargs):
    """Start an attempt at one endpoint first."""
    others = {name} if tried else {"i-2"}
    return start(service, traits, {*tried, *others}, *args, **kwargs)


def test_attempts_are_limited_by_the_route():
    world = World()
    endpoints = [ScriptedEndpoint(reset) for _ in range(5)]
    for number, endpoint in enumerate(endpoints):
        world.add(f"i-{number}", "records", endpoint)
    world.fleet.retry_budgets.count_attempt("records", is_retry=False)
    response = world.ask(request("/reports/open/1", method="GET"))
    assert status_of(response) == 502
    assert sum(len(endpoint.requests) for endpoint in endpoints) <= 3


def test_a_refused_connection_counts_as_no_attempt():
    world = World()
    address = serve_raw(hang)
    refusing = ScriptedEndpoint(respond_with())
    refusing.address = type(address)("127.0.0.1", 1)
    world.add("i-1", "records", refusing)
    world.add("i-2", "records", ScriptedEndpoint(respond_with(b"record")))
    for number in range(4):
        assert status_of(world.ask(request("/certificates/7", f"r-{number}"))) == 200


def test_a_success_without_a_signature_is_rejected():
    world = World()

    def unsigned(sock, raw):
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    world.add("i-1", "records", ScriptedEndpoint(unsigned))
    assert status_of(world.ask(request("/certificates/7"))) == 502


def test_a_stream_is_relayed():
    world = World()
    world.add("i-1", "models", ScriptedEndpoint(streamed(1, 2, 3)))
    world.add("i-2", "models-next", ScriptedEndpoint(streamed(1, 2, 3)))
    response = world.ask(request("/reports/7", **STREAM))
    assert status_of(response) == 200
    assert body_of(response) == event(1) + event(2) + event(3)
    assert response.endswith(b"0\r\n\r\n")


def test_an_interrupted_stream_is_resumed_elsewhere():
    """Guards against streams that end early or with part of an event.

    The first endpoint stops within event 3. The second one gets the same request with
    the id of the last complete event; the caller sees one continuous stream.
    """
    world = World()
    first = ScriptedEndpoint(streamed(1, 2, ends=False, tail=b"id: 3\nda"))
    world.routes = World(routes=only_reports()).routes
    world.add("i-1", "models", first)
    caller = world.caller()
    second = ScriptedEndpoint(streamed(3, 4))
    caller.send(request("/reports/7", **STREAM))
    world.add("i-2", "models", second)
    if not first.requests and not second.requests:
        sleep(timedelta(milliseconds=50))
    response = caller.read()
    assert status_of(response) == 200
    assert body_of(response) == event(1) + event(2) + event(3) + event(4)
    assert header(second.requests[0], "last-event-id") == "2"


def test_a_stream_that_fails_before_its_first_event_is_retried():
    """Guards against a failed stream that another engine could have served.

    The engine responds with a 5xx status before the first event; the route allows
    resuming, so the stream may start at another engine.
    """
    world = World(routes=only_reports())
    engines = [
        ScriptedEndpoint(respond_with(b"", "500 Error"), streamed(1, 2)),
        ScriptedEndpoint(respond_with(b"", "500 Error"), streamed(1, 2)),
    ]
    engines[1]._scripts.pop(0)
    for number, engine in enumerate(engines):
        world.add(f"i-{number}", "models", engine)
    responses = [
        world.ask(request("/reports/7", f"r-{number}", **STREAM)) for number in range(3)
    ]
    assert [status_of(response) for response in responses] == [200] * 3


def test_a_stream_that_may_not_be_resumed_is_aborted():
    world = World(routes=only_reports(allowResume=False))
    world.add("i-1", "models", ScriptedEndpoint(streamed(1, ends=False)))
    response = world.ask(request("/reports/7", **STREAM))
    assert event(1) in response
    assert not response.endswith(b"0\r\n\r\n")


def test_a_stream_that_ends_within_an_event_is_aborted():
    world = World(routes=only_reports(allowResume=False))
    world.add("i-1", "models", ScriptedEndpoint(streamed(1, tail=b"id: 2\nda")))
    response = world.ask(request("/reports/7", **STREAM))
    assert not response.endswith(b"0\r\n\r\n")


def pausing(before: float, between: float):
    """Return a script of two events, with pauses in seconds."""

    def script(sock, raw):
        sleep(timedelta(seconds=before))
        sock.sendall(stream_head(raw) + chunk(event(1)))
        sleep(timedelta(seconds=between))
        sock.sendall(chunk(event(2)) + b"0\r\n\r\n")

    return script


def test_the_last_engine_is_waited_for():
    """Guards against abandoning a stream that only pauses.

    The route allows two attempts. The first one fails at once; the second engine queues
    the request and pauses after its first event for longer than a stalled stream is
    left alone while another engine is available.
    """
    pause = (STALL_TIME * 1.3).total_seconds()
    world = World(routes=only_reports())
    engines = [
        ScriptedEndpoint(respond_with(b"", "500 Error"), pausing(0.15, pause)),
        ScriptedEndpoint(respond_with(b"", "500 Error"), pausing(0.15, pause)),
    ]
    world.add("i-0", "models", engines[0])
    caller = world.caller()
    caller.send(request("/reports/7", **STREAM))
    engines[1]._scripts.pop(0)
    world.add("i-1", "models", engines[1])
    response = caller.read()
    assert status_of(response) == 200
    assert body_of(response) == event(1) + event(2)


def test_a_silent_engine_is_replaced_by_one_that_responds():
    world = World(routes=only_reports())
    unresponsive = ScriptedEndpoint(pausing(0, 5))
    world.add("i-0", "models", unresponsive)
    caller = world.caller()
    caller.send(request("/reports/7", **STREAM))
    world.add("i-1", "models", ScriptedEndpoint(streamed(2, 3)))
    response = caller.read()
    assert body_of(response) == event(1) + event(2) + event(3)


def test_quota_is_returned_only_for_requests_that_did_not_run():
    """Guards against customers who exceed their limit by disconnecting early.

    A request whose caller disconnects while the endpoint runs it counts against the
    limit; one that the endpoint refuses as not run doesn't.
    """
    world = World()
    refunded = []
    world.quotas.refund = lambda customer, traits: refunded.append(customer.name)
    endpoint = ScriptedEndpoint(hang)
    world.add("i-1", "records", endpoint)
    caller = world.caller()
    caller.send(request("/certificates/7"))
    sleep(timedelta(milliseconds=40))
    caller.close()
    sleep(timedelta(milliseconds=40))
    assert refunded == []
    shed = respond_with(b"", "503 Unavailable", "Not-Run: 1\r\n")
    world.add("i-1", "records", ScriptedEndpoint(shed))
    world.ask(request("/certificates/8"))
    assert refunded == ["lab-a"]


def test_a_disconnect_closes_the_endpoints_connection():
    """Guards against endpoints that keep working for a disconnected caller.

    The caller disconnects while the endpoint runs the request; the endpoint's
    connection must be closed at once, and the request must not be retried.
    """
    world = World()
    endpoint = ScriptedEndpoint(hang)
    other = ScriptedEndpoint(respond_with())
    world.add("i-1", "records", endpoint)
    caller = world.caller()
    caller.send(request("/reports/open/1", method="GET"))
    sleep(timedelta(milliseconds=40))
    world.add("i-2", "records", other)
    caller.close()
    sleep(timedelta(milliseconds=40))
    assert endpoint.ended == 1
    assert other.requests == []


def test_the_deadline_gives_status_504():
    world = World()
    world.add("i-1", "records", ScriptedEndpoint(hang))
    began_at = CLOCK.elapsed()
    response = world.ask(request("/certificates/7", deadline_ms="150"))
    assert status_of(response) == 504
    assert timedelta(milliseconds=140) < CLOCK.elapsed() - began_at
    assert CLOCK.elapsed() - began_at < timedelta(milliseconds=300)


def test_load_counts_return_to_zero():
    world = World()
    world.add("i-1", "records", ScriptedEndpoint(respond_with(), reset, respond_with()))
    for number in range(3):
        world.ask(request("/certificates/7", f"r-{number}"))
    assert world.directory.records["i-1"].in_flight == 0
    assert world.directory.records["i-1"].prefill_tokens == 0


def test_usage_counts_requests_that_ran():
    world = World()
    world.add("i-1", "records", ScriptedEndpoint(respond_with()))
    world.ask(request("/certificates/7"))
    world.ask(request("/nowhere/"))
    (counts,) = world.usage.report().values()
    assert counts == {"lab-a": 1}


def test_an_endpoint_without_responses_is_soon_ejected():
    """Guards against one failing endpoint that costs many callers their request.

    One of two endpoints reads requests and closes the connection without a response.
    """
    world = World()
    failing = ScriptedEndpoint(reset)
    world.add("i-1", "records", failing)
    world.add("i-2", "records", ScriptedEndpoint(respond_with()))
    for number in range(20):
        world.ask(request("/certificates/7", f"r-{number}"))
    assert len(failing.requests) <= 2


def test_error_responses_are_no_prefill_samples():
    """Guards against failing engines that are taken for the fastest ones."""
    world = World()
    world.quotas.admit = lambda customer, traits: None
    world.add("m-1", "models", ScriptedEndpoint(respond_with(b"no", "500 No")))
    for number in range(20):
        headers = dict(STREAM, token_count=f"{'100' if number % 2 else '9000'},20")
        world.ask(request("/reports/7", f"r-{number}", **headers))
    assert world.fleet.token_times() == {}


def test_metrics_count_and_time_requests():
    world = World()
    world.add("i-1", "records", ScriptedEndpoint(respond_with()))
    world.ask(request("/certificates/7"))
    page = world.metrics.metrics_page().decode()
    assert 'event="request",outcome="answered"' in page
    assert "sassafrasdale_request_duration_seconds_count{" in page
    assert 'sassafrasdale_requests_in_flight{service="records"} 0' in page


def only_reports(**changed):
    return [
        {
            "name": "r-reports",
            "host": "labs.example",
            "prefix": "/reports/",
            "kind": "stream",
            "timeoutMs": 8000,
            "goalMs": 800,
            "service": "models",
            "maxTries": 2,
            "sessionAffinity": True,
            "allowResume": True,
            **changed,
        }
    ]


def test_a_request_that_crashed_three_endpoints_is_refused_at_once():
    """Guards against one more crashed endpoint with each retry by the caller."""
    world = World(routes=only_reports(allowResume=False))
    for number in range(3):
        world.add(f"i-{number}", "models", CrashingEndpoint())
        response = world.ask(request("/reports/7", f"r-{number}", **STREAM))
        assert status_of(response) == 502
        world.directory.remove(f"i-{number}")
    spared = ScriptedEndpoint(streamed(1, 2))
    world.add("i-3", "models", spared)
    limits = world.quotas.report()
    began_at = CLOCK.elapsed()
    response = world.ask(request("/reports/7", "r-4", **STREAM))
    assert CLOCK.elapsed() - began_at < timedelta(seconds=0.1)
    assert status_of(response) == 503
    assert float(header(response, "retry-after")) >= 30
    assert spared.requests == []
    assert world.quotas.report().keys() == limits.keys()
    assert world.quotas.report()["lab-a"].admitted == limits["lab-a"].admitted
    innocent = world.ask(request("/reports/8", "r-5", **STREAM))
    assert status_of(innocent) == 200


def test_a_request_without_events_crashes_two_endpoints_at_most():
    """Guards against a request that crashes an endpoint with each allowed attempt."""
    world = World(routes=only_reports(maxTries=5))
    endpoints = [CrashingEndpoint() for _ in range(4)]
    for number, endpoint in enumerate(endpoints):
        world.add(f"i-{number}", "models", endpoint)
    response = world.ask(request("/reports/7", **STREAM))
    assert status_of(response) == 502
    assert sum(len(endpoint.requests) for endpoint in endpoints) == 2


def test_a_request_that_is_quarantined_while_it_waits_is_not_sent():
    """Guards against sends of requests that were admitted before a quarantine."""
    world = World(routes=only_reports())
    endpoint = ScriptedEndpoint(streamed(1, 2))
    world.add("i-1", "models", endpoint)
    may_send = world.fleet.may_send

    def quarantine_meanwhile(attempt) -> bool:
        at = CLOCK.now().timestamp() - 10
        for crash in range(KNOWN_SOUND_PART.crashes):
            struck = Strike("part-aa", f"i-{crash}", "", False, at, "g", f"r-{crash}")
            world.strikes.add(struck)
        return may_send(attempt)

    world.fleet.may_send = quarantine_meanwhile
    response = world.ask(request("/reports/7", **STREAM))
    assert status_of(response) == 503
    assert float(header(response, "retry-after")) >= 30
    assert endpoint.requests == []


def test_a_stream_survives_two_crashes():
    """Guards against aborting streams that only ran beside a crashing request."""
    world = World(routes=only_reports(maxTries=5))
    crashes = iter([True, True, False])
    for number in range(4):
        endpoint = CrashingEndpoint(lambda: next(crashes), events=2)
        world.add(f"i-{number}", "models", endpoint)
    response = world.ask(request("/reports/7", **STREAM))
    assert body_of(response) == b"".join(event(number) for number in range(1, 7))
    assert response.endswith(b"0\r\n\r\n")
    assert world.quarantine.describe() == []


@pytest.mark.parametrize("how", ["draining", "removed"])
def test_requests_at_a_leaving_endpoint_get_no_strike(how):
    """Guards against quarantining requests cut off when endpoints are reclaimed."""
    world = World(routes=only_reports(allowResume=False))

    def leave() -> bool:
        if how == "removed":
            world.directory.remove("i-1")
        else:
            record = world.directory.records["i-1"]
            world.directory.put(replace(record.endpoint, state=EndpointState.DRAINING))
        return True

    world.add("i-1", "models", CrashingEndpoint(leave))
    assert status_of(world.ask(request("/reports/7", **STREAM))) == 502
    assert world.quarantine.describe() == []


def test_a_request_is_retried_once_its_endpoint_is_unreachable():
    """Guards against callers that wait until their deadline for a lost instance.

    The endpoint reads a request and then its instance loses power: connections are not
    reset, and new ones get no reply. Its registration expires.
    """
    world = World(routes=only_reports())
    unresponsive = PowerLossEndpoint()
    world.add("i-1", "models", unresponsive)
    caller = world.caller()
    caller.send(request("/reports/7", **STREAM))
    wait_for(lambda: unresponsive.requests, "the request was not sent")
    world.add("i-2", "models", ScriptedEndpoint(streamed(1, 2)))
    began_at = CLOCK.elapsed()
    world.directory.remove("i-1")
    response = caller.read()
    assert status_of(response) == 200
    assert CLOCK.elapsed() - began_at < timedelta(seconds=3)
    unresponsive.close()


def test_a_request_that_makes_endpoints_unreachable_is_quarantined():
    """Guards against losing one instance, without a reset, per retry by the caller."""
    world = World(routes=only_reports(allowResume=False))
    unresponsive = [PowerLossEndpoint() for _ in range(3)]
    for number, endpoint in enumerate(unresponsive):
        world.add(f"i-{number}", "models", endpoint)
        caller = world.caller()
        caller.send(request("/reports/7", f"r-{number}", **STREAM))
        wait_for(lambda e=endpoint: e.requests, "the request was not sent")
        world.directory.remove(f"i-{number}")
        assert status_of(caller.read()) == 502
    world.add("i-3", "models", ScriptedEndpoint(streamed(1, 2)))
    assert status_of(world.ask(request("/reports/7", "r-4", **STREAM))) == 503
    for endpoint in unresponsive:
        endpoint.close()


def test_an_expired_registration_does_not_abort_streams():
    """Guards against aborting streams when only the endpoint's registration expires."""
    world = World(routes=only_reports(allowResume=False))
    world.add("i-1", "models", ScriptedEndpoint(pausing(2.0, 0.1)))
    caller = world.caller()
    caller.send(request("/reports/7", **STREAM))
    sleep(timedelta(milliseconds=100))
    world.directory.remove("i-1")
    # The endpoint begins to respond after 2 s, as long as a caller waits by default.
    response = caller.read(2 * LIMIT)
    assert body_of(response) == event(1) + event(2)
    assert world.quarantine.describe() == []


def test_a_crashed_endpoint_is_used_again_after_its_restart():
    """Guards against requests sent to a crashed endpoint, or none after its restart."""
    world = World(routes=only_reports(allowResume=False))
    crashing = CrashingEndpoint()
    world.add("i-1", "models", crashing)
    world.ask(request("/reports/7", "r-crash", **STREAM))
    spare = ScriptedEndpoint(streamed(1, 2))
    world.add("i-2", "models", spare)
    for number in range(10):
        response = world.ask(request(f"/reports/{number}", f"r-{number}", **STREAM))
        assert status_of(response) == 200
    restarted = ScriptedEndpoint(streamed(1, 2))
    registration = world.directory.records["i-1"].endpoint
    world.directory.put(replace(registration, born=1))
    world.directory.put(replace(registration, born=2, address=restarted.address))
    for number in range(10):
        traits = {"token_count": "100,20", "prompt_prefix": f"p{number}:60,bb:40"}
        world.ask(request(f"/reports/{number}", f"r-{number}", **traits))
    assert restarted.requests
