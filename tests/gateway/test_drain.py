"""Graceful shutdown of a gateway's connections."""

from datetime import timedelta

from sassafrasdale.clock import SystemClock
from sassafrasdale.gateway.drain import ACCEPT_ALL_PERIOD, MARGIN, SERVE_ON, Drain
from sassafrasdale.green import sleep, spawn
from tests.gateway.world import ScriptedEndpoint, World, header, request, respond_with

CLOCK = SystemClock()
GRACE = timedelta(seconds=8)


class Clock:
    """A clock that a test advances."""

    def __init__(self):
        self.time = timedelta(seconds=100)

    def elapsed(self):
        return self.time


class Server:
    """A server with a number of busy connections."""

    def __init__(self):
        self.busy_connections = 0
        self.closed = False

    def close(self):
        self.closed = True

    def close_idle(self):
        pass


def test_late_requests_must_end_within_the_grace_period():
    """Guards against streams that are interrupted by a planned stop.

    A request arrives on an open connection seconds after the stop signal, and may take
    longer than the process has left.
    """
    clock = Clock()
    drain = Drain(Server(), GRACE, clock)
    assert drain.last_end is None
    spawn(drain.run)
    sleep(timedelta())
    assert drain.last_end is None
    clock.time += ACCEPT_ALL_PERIOD
    assert drain.last_end == timedelta(seconds=100) + GRACE - MARGIN


def test_late_requests_get_a_retry_after():
    world = World(last_end=lambda: CLOCK.elapsed() + timedelta(seconds=2))
    endpoint = ScriptedEndpoint(respond_with())
    world.add("i-1", "records", endpoint)
    response = world.ask(request("/reports/7", token_count="10,2"))
    assert response.startswith(b"HTTP/1.1 503")
    assert float(header(response, "retry-after")) < 0.2
    assert endpoint.requests == []
    assert world.ask(request("/certificates/7")).startswith(b"HTTP/1.1 200")


def test_it_serves_until_the_balancer_has_switched():
    clock = Clock()
    server = Server()
    task = spawn(Drain(server, GRACE, clock).run)
    sleep(timedelta(milliseconds=60))
    assert not server.closed
    clock.time += SERVE_ON
    task.wait()
    assert server.closed


def test_it_waits_for_busy_connections_until_the_margin():
    clock = Clock()
    server = Server()
    server.busy_connections = 1
    ended = []

    def run():
        Drain(server, GRACE, clock).run()
        ended.append(clock.time)

    spawn(run)
    sleep(timedelta(milliseconds=10))
    clock.time += GRACE - MARGIN - timedelta(milliseconds=100)
    sleep(timedelta(milliseconds=120))
    assert not ended
    clock.time += timedelta(milliseconds=200)
    sleep(timedelta(milliseconds=120))
    assert ended
