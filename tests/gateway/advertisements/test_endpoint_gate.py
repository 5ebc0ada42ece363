"""What endpoints say of themselves holds for each request that is sent to one."""

from datetime import timedelta
from pathlib import Path

import pytest

import sassafrasdale.gateway
from sassafrasdale.deployment import RequestTraits
from sassafrasdale.gateway.admission.attempt_starter import AttemptRequest
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
)

# One route of each kind, with the services that it may lead to.
ROUTES = {
    "/certificates/1": ("records",),
    "/reports/open/1": ("records",),
    "/reports/1": ("models", "models-next"),
}


def add_to_each(world: World, services: tuple[str, ...]) -> list[ScriptedEndpoint]:
    endpoints = []
    for service in services:
        for number in range(2):
            endpoint = ScriptedEndpoint(respond_with())
            world.add(f"{service}-{number}", service, endpoint)
            endpoints.append(endpoint)
    return endpoints


@pytest.mark.parametrize("path", ROUTES)
def test_no_kind_of_request_bypasses_the_check(path: str):
    """Guards against a way to an endpoint that doesn't ask at the moment of sending."""
    world = World()
    endpoints = add_to_each(world, ROUTES[path])
    world.fleet.may_send = lambda attempt: False
    response = world.ask(request(path))
    assert response.startswith(b"HTTP/1.1 503")
    assert not any(endpoint.requests for endpoint in endpoints)


def test_only_one_module_sends_to_endpoints():
    """Guards against another module that sends to them, and doesn't ask."""
    folder = Path(sassafrasdale.gateway.__file__).parent
    texts = {path.name: path.read_text("utf-8") for path in folder.rglob("*.py")}

    def users(text: str) -> set[str]:
        return {name for name, content in texts.items() if text in content}

    # Connections are opened for requests by the sender's paths, and for a peer's by
    # the receiver, which both ask the gate as they send.
    assert users(".pool.acquire(") == {"paths.py", "receiver.py"}
    assert users("_paths.open(") == {"attempt_sender.py"}
    assert users("path.send(") == {"attempt_sender.py", "receiver.py"}
    assert users("DirectPath(") - {"paths.py"} == {"receiver.py"}
    assert "if not self._fleet.may_send(attempt)" in texts["attempt_sender.py"]
    assert "self._takes_requests(record)" in texts["receiver.py"]


@pytest.mark.parametrize("close", ["leave", "backoff", "limit"])
def test_a_stream_is_not_resumed_where_nothing_is_taken(close: str):
    """Guards against a retry that goes to an endpoint which has said no meanwhile."""
    world = World()

    def break_off(sock, data):
        sock.sendall(stream_head(data) + chunk(event(1)))
        for name in ("m-2", "n-2"):
            match close:
                case "leave":
                    world.gate.departures.set(name, True, "peer")
                case "backoff":
                    world.gate.backoffs.begin(name, timedelta(seconds=3))
                case _:
                    world.limits.set(name, 0.0, "peer")
        sock.close()

    others = []
    for service, prefix in (("models", "m"), ("models-next", "n")):
        world.add(f"{prefix}-1", service, ScriptedEndpoint(break_off))
        world.gate.backoffs.begin(f"{prefix}-2", timedelta(milliseconds=50))
        other = ScriptedEndpoint(respond_with())
        world.add(f"{prefix}-2", service, other)
        others.append(other)
    response = world.ask(request("/reports/1"))
    assert b"id: 1" in response
    assert not any(other.requests for other in others)


def test_callers_are_refused_at_once_while_all_endpoints_are_at_their_limits():
    """Guards against requests that wait for a permit until their deadline."""
    world = World()
    endpoints = add_to_each(world, ("records",))
    for number in range(2):
        world.limits.set(f"records-{number}", 0.5, "response")
    began_at = CLOCK.elapsed()
    responses = [world.ask(request("/certificates/1")) for _ in range(8)]
    assert CLOCK.elapsed() - began_at < timedelta(seconds=1)
    assert not any(endpoint.requests for endpoint in endpoints)
    assert all(response.startswith(b"HTTP/1.1 503") for response in responses)
    pauses = [float(header(response, "retry-after")) for response in responses]
    # Both together take one request a second; the pauses are spread from there on.
    assert all(1.0 <= pause <= 2.0 for pause in pauses)
    assert max(pauses) - min(pauses) > 0.1


def test_an_attempt_that_is_held_back_is_no_fault_and_no_retry():
    """Guards against an endpoint that is ejected because it asked for less."""
    world = World()
    add_to_each(world, ("records",))
    budget = world.fleet.retry_budgets
    counted = []
    budget.count_attempt = lambda service, *, is_retry: counted.append(is_retry)
    budget.allow_retry = lambda service, *, spend: pytest.fail("a retry was spent")
    world.fleet.may_send = lambda attempt: False
    world.ask(request("/certificates/1"))
    assert counted == []
    weights = world.directory.health_of("records").weights(CLOCK.elapsed())
    assert all(weight == 1.0 for weight in weights.values())
    records = world.directory.records.values()
    assert all(record.in_flight == 0 for record in records)


def test_one_bad_header_after_the_other_leaves_the_service_as_it_is():
    """Guards against a value that is no number and stops a service for good."""
    world = World()
    bad = (
        "Server-Limit: nan\r\nServer-Leaving: maybe\r\nRetry-After: tomorrow\r\n"
        "Server-Limit: -1\r\nServer-Limit: 1e300\r\n"
    )
    endpoint = ScriptedEndpoint(respond_with(extra=bad))
    world.add("i-1", "records", endpoint)
    for _ in range(5):
        assert world.ask(request("/certificates/1")).startswith(b"HTTP/1.1 200")
    attempt = world.starter.start(AttemptRequest("records", RequestTraits("r-1"), ()))
    assert world.fleet.may_send(attempt)
