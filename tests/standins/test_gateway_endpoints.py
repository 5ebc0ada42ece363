"""Stand-ins for the gateways' endpoints."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import GreenThread, connect, sleep, spawn
from standins.engine_gates import EngineCapacity
from standins.gateway_endpoints import StandInEndpoint
from standins.gateway_fleet import ask
from standins.kv_store import KvStore
from tests.gateway.world import header, request

SECOND = timedelta(seconds=1)


@pytest.fixture
def endpoint():
    clock = SystemClock()
    return StandInEndpoint("m-1", "models", "a", KvStore(clock), clock, streams=False)


def test_a_crash_ends_idle_connections(endpoint):
    """Guards against a crashed endpoint that still answers checks on kept ones."""
    sock = connect(endpoint.start(), SECOND)
    sock.settimeout(SECOND.total_seconds())
    kept = request("/certificates/7", expect_replica="m-1")
    sock.sendall(kept.replace(b"Connection: close\r\n", b""))
    assert header(sock.recv(65_536), "replica-stamp")
    endpoint.crash()
    assert sock.recv(1) == b""


@pytest.fixture
def engine():
    clock = SystemClock()
    engine = StandInEndpoint("m-1", "models", "a", KvStore(clock), clock, streams=True)
    engine.capacity = EngineCapacity(slots=1, max_waiting=2)
    engine.events = 1
    engine.start()
    return engine


def _send(engine: StandInEndpoint, name: str, **headers: str) -> GreenThread:
    """Send a request whose prefill takes a tenth of a second; return its task."""
    headers = {"Expect-Replica": "m-1", "Token-Count": "4000,1", **headers}
    data = request("/reports/7", name, **headers)
    task = spawn(ask, engine.address, data)
    sleep(SECOND / 50)
    return task


def test_a_full_engine_rejects_what_it_has_not_run(engine):
    """Guards against a stand-in that queues without a bound."""
    taken = [_send(engine, f"r-{number}") for number in range(3)]
    rejected = _send(engine, "r-3").wait()
    assert rejected.startswith(b"HTTP/1.1 503")
    assert header(rejected, "not-run")
    assert all(task.wait().startswith(b"HTTP/1.1 200") for task in taken)
    assert engine.request_ids == ["r-0", "r-1", "r-2"]


def test_an_engine_runs_urgent_requests_first(engine):
    """Guards against a stand-in whose queue ignores Request-Priority."""
    tasks = [
        _send(engine, "first", Request_Priority="5"),
        _send(engine, "usual", Request_Priority="5"),
        _send(engine, "urgent", Request_Priority="0"),
    ]
    for task in tasks:
        task.wait()
    assert engine.request_ids == ["first", "urgent", "usual"]


def test_an_engine_stops_at_the_deadline(engine):
    """Guards against a stand-in whose prefill outlasts its caller."""
    _send(engine, "first", Deadline_Ms="40").wait()
    waiting = _send(engine, "second")
    assert engine.request_ids == ["first", "second"]
    assert waiting.wait().startswith(b"HTTP/1.1 200")
