"""An endpoint's end and a connection that is lost on its way look alike at first."""

import socket
from datetime import timedelta

from sassafrasdale.clock import SystemClock
from sassafrasdale.deployment import Endpoint, EndpointState
from sassafrasdale.gateway.crash_detection import Endings
from sassafrasdale.gateway.directory import Directory
from sassafrasdale.green import sleep, spawn
from sassafrasdale.http.connections import Reach
from sassafrasdale.structures import Address
from tests.gateway.world import DarkEndpoint
from tests.http.wires import serve_raw

CLOCK = SystemClock()
LIMIT = timedelta(seconds=1.5)


def record_at(address: Address, opened=lambda: None):
    directory = Directory(CLOCK, None, LIMIT, opened=opened)
    directory.put(Endpoint("i-1", "models", address, "a", EndpointState.READY))
    return directory.records["i-1"]


def refusing_address() -> Address:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return Address(*listener.getsockname())


def test_an_endpoint_that_refuses_connections_has_ended():
    assert Endings(CLOCK).has_ended(record_at(refusing_address()))


def test_an_endpoint_that_takes_connections_lives():
    def hold(sock):
        sock.recv(1)

    opened = []
    record = record_at(serve_raw(hold), lambda: opened.append(1))
    assert not Endings(CLOCK).has_ended(record)
    record.pool.take()
    assert len(opened) == 1


def test_an_endpoint_that_gives_no_answer_is_not_known_to_have_ended():
    """A gateway that is cut off would hold every endpoint for ended."""
    full = socket.create_server(("127.0.0.1", 0), backlog=0)
    address = Address(*full.getsockname())
    kept = [socket.socket() for _ in range(4)]
    for sock in kept:
        sock.setblocking(False)
        sock.connect_ex((address.host, address.port))
    assert not Endings(CLOCK).has_ended(record_at(address))
    for sock in (*kept, full):
        sock.close()


def test_all_that_lose_an_endpoint_at_once_look_once():
    opened = []
    record = record_at(refusing_address(), lambda: opened.append(1))
    endings = Endings(CLOCK)
    tasks = [spawn(endings.has_ended, record) for _ in range(20)]
    assert all(task.wait() for task in tasks)
    assert len(opened) == 1
    sleep(timedelta(milliseconds=350))
    assert endings.has_ended(record)
    assert len(opened) == 2


def test_an_endpoint_that_gives_no_answer_thrice_is_dark():
    dark = DarkEndpoint()
    sock = socket.create_connection((dark.address.host, dark.address.port))
    sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
    sleep(timedelta(milliseconds=50))
    record = record_at(dark.address)
    assert not Endings(CLOCK).has_ended(record)
    assert Endings(CLOCK).look_often(record) is Reach.UNANSWERED
    sock.close()
    dark.close()


def test_an_endpoint_that_refuses_or_lives_is_not_dark():
    refusing = record_at(refusing_address())
    living = record_at(serve_raw(lambda sock: sock.recv(1)))
    assert Endings(CLOCK).look_often(refusing) is Reach.REFUSED
    assert Endings(CLOCK).look_often(living) is Reach.OPEN
