"""Model test of a graceful shutdown under concurrent requests on reused connections.

It uses real sockets on loopback, with milliseconds instead of seconds.
"""

from dataclasses import dataclass
from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.gateway import drain
from sassafrasdale.gateway.drain import Drain
from sassafrasdale.green import listen, sleep, spawn
from sassafrasdale.http.server import HttpServer
from tests.http.wires import LOOPBACK, RawCaller, bound_address

CLOCK = SystemClock()
MILLISECOND = timedelta(milliseconds=1)
# Longer than a process stalls on a busy machine: with 600 ms, a stall of 700 ms during
# the shutdown leaves 36 requests unanswered, one of 400 ms none. The shutdown itself
# takes a quarter of a second.
GRACE = 4000 * MILLISECOND
# A request whose last byte is sent later than this after the stop may be lost.
SERVED_AFTER_STOP = 20 * MILLISECOND
BODY = b"0123456789" * 20


@dataclass(frozen=True)
class PlannedRequest:
    """One request of a caller.

    :param after: time in ms since its last response.
    :param cut: number of bytes sent first; the rest follows ``pause`` ms later.
    :param work: time in ms that its response takes.
    """

    after: int
    cut: int
    pause: int
    work: int


def draw_request(rng):
    return PlannedRequest(
        after=rng.randrange(130),
        cut=rng.randrange(50),
        pause=rng.choice([0, 0, 5, 15]),
        work=rng.choice([0, 5, 30, 80]),
    )


class ShutdownScenario:
    """A server that is stopped while callers send requests."""

    def __init__(self):
        self.handled = set()
        self.completed = set()
        self.sent_in_time = set()
        self.stopped_at = None
        listener = listen(LOOPBACK)
        self.server = HttpServer(
            listener,
            self.handle,
            CLOCK,
            is_draining=lambda: self.stopped_at is not None,
        )
        self.address = bound_address(listener)
        spawn(self.server.serve)

    def handle(self, connection, request):
        number, work = request.target.strip("/").split("/")
        self.handled.add(int(number))
        connection.begin(200, [("content-length", str(len(BODY)))])
        connection.write(BODY[:50])
        sleep(int(work) * MILLISECOND)
        connection.write(BODY[50:])
        connection.end()

    def call(self, first_number, requests):
        """Send requests in turn, on the same connection while it stays open."""
        caller = None
        for number, planned in enumerate(requests, first_number):
            sleep(planned.after * MILLISECOND)
            data = b"GET /%d/%d HTTP/1.1\r\nHost: h\r\n\r\n" % (number, planned.work)
            try:
                caller = caller or RawCaller(self.address)
                caller.send(data[: planned.cut])
                sleep(planned.pause * MILLISECOND)
                caller.send(data[planned.cut :])
            except OSError:
                self.record_sent(number)
                caller = None
                continue
            self.record_sent(number)
            response = self.read(caller)
            if response.endswith(BODY):
                self.completed.add(number)
            if not response or b"connection: close" in response.lower():
                caller = None

    def record_sent(self, number):
        if (
            self.stopped_at is None
            or CLOCK.elapsed() < self.stopped_at + SERVED_AFTER_STOP
        ):
            self.sent_in_time.add(number)

    def read(self, caller):
        response = b""
        while not response.endswith(BODY):
            data = caller.read_some()
            if not data:
                break
            response += data
        return response

    def stop(self):
        self.stopped_at = CLOCK.elapsed()
        Drain(self.server, GRACE, CLOCK).run()
        # Simulates the end of the process, which closes all its connections.
        for connection in list(self.server._connections):
            connection.close()


@pytest.fixture(autouse=True, scope="module")
def short_times():
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(drain, "SERVE_ON", 120 * MILLISECOND)
        patch.setattr(drain, "MARGIN", 10 * MILLISECOND)
        patch.setattr(drain, "STEP", 2 * MILLISECOND)
        yield


@pytest.mark.parametrize("seed", range(4))
def test_each_handled_request_is_answered(seed):
    """Guards against requests that run without a response at a planned shutdown.

    A process is stopped while requests are partly sent, in progress, or about to be
    sent on reused connections; many arrive just as idle connections are closed.
    """
    rng = Random(seed)
    scenario = ShutdownScenario()
    tasks = [
        spawn(scenario.call, 100 * number, [draw_request(rng) for _ in range(3)])
        for number in range(150)
    ]
    sleep(rng.randrange(60) * MILLISECOND)
    scenario.stop()
    for task in tasks:
        task.wait()
    assert scenario.handled
    assert scenario.handled <= scenario.completed
    assert scenario.sent_in_time <= scenario.completed
