"""Stand-ins for the gateways' endpoints."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import connect
from standins.gateway_endpoints import StandInEndpoint
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
