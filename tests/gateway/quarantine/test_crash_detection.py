"""Distinction of an endpoint's crash from a lost connection."""

import socket
from datetime import timedelta

from sassafrasdale.clock import SystemClock
from sassafrasdale.deployment import Endpoint, EndpointState
from sassafrasdale.gateway.directory import Directory
from sassafrasdale.gateway.quarantine.crash_detection import CrashDetector
from sassafrasdale.green import sleep, spawn
from sassafrasdale.http.connections import ProbeResult
from sassafrasdale.structures import Address
from tests.gateway.world import PowerLossEndpoint
from tests.http.wires import serve_raw

CLOCK = SystemClock()
LIMIT = timedelta(seconds=1.5)


def record_at(address: Address, opened=lambda: None):
    directory = Directory(CLOCK, None, LIMIT, on_open=opened)
    directory.put(Endpoint("i-1", "models", address, "a", EndpointState.READY))
    return directory.records["i-1"]


def refusing_address() -> Address:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return Address(*listener.getsockname())


def test_an_endpoint_that_refuses_connections_has_crashed():
    assert CrashDetector(CLOCK).has_crashed(record_at(refusing_address()))


def test_an_endpoint_that_accepts_connections_has_not_crashed():
    def read(sock):
        sock.recv(1)

    opened = []
    record = record_at(serve_raw(read), lambda: opened.append(1))
    assert not CrashDetector(CLOCK).has_crashed(record)
    record.pool.acquire()
    assert len(opened) == 1


def test_an_unresponsive_endpoint_is_not_known_to_have_crashed():
    """Guards against a partitioned gateway that considers every endpoint crashed."""
    full = socket.create_server(("127.0.0.1", 0), backlog=0)
    address = Address(*full.getsockname())
    connections = [socket.socket() for _ in range(4)]
    for sock in connections:
        sock.setblocking(False)
        sock.connect_ex((address.host, address.port))
    assert not CrashDetector(CLOCK).has_crashed(record_at(address))
    for sock in (*connections, full):
        sock.close()


def test_concurrent_callers_share_one_probe():
    opened = []
    record = record_at(refusing_address(), lambda: opened.append(1))
    detector = CrashDetector(CLOCK)
    tasks = [spawn(detector.has_crashed, record) for _ in range(20)]
    assert all(task.wait() for task in tasks)
    assert len(opened) == 1
    sleep(timedelta(milliseconds=350))
    assert detector.has_crashed(record)
    assert len(opened) == 2


def test_an_endpoint_without_three_replies_is_unreachable():
    unreachable = PowerLossEndpoint()
    sock = socket.create_connection(
        (unreachable.address.host, unreachable.address.port)
    )
    sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
    sleep(timedelta(milliseconds=50))
    record = record_at(unreachable.address)
    assert not CrashDetector(CLOCK).has_crashed(record)
    assert CrashDetector(CLOCK).probe_repeatedly(record) is ProbeResult.UNANSWERED
    sock.close()
    unreachable.close()


def test_an_endpoint_that_refuses_or_accepts_is_not_unreachable():
    refusing = record_at(refusing_address())
    accepting = record_at(serve_raw(lambda sock: sock.recv(1)))
    assert CrashDetector(CLOCK).probe_repeatedly(refusing) is ProbeResult.REFUSED
    assert CrashDetector(CLOCK).probe_repeatedly(accepting) is ProbeResult.OPEN
