"""Model of a planned stop: callers that send, cross closes and use connections again.

Real sockets on loopback; times are milliseconds instead of seconds.
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
from tests.http.wires import LOOPBACK, RawCaller, bound

CLOCK = SystemClock()
MILLISECOND = timedelta(milliseconds=1)
# Longer than a busy machine's process stalls: with 600 ms, a stall of 700 ms while the
# server stops leaves 36 requests unanswered, one of 400 ms none. The stop itself takes
# a quarter of a second.
GRACE = 4000 * MILLISECOND
# A caller whose last byte comes later than this after the stop crosses the close.
SERVED = 20 * MILLISECOND
BODY = b"0123456789" * 20


@dataclass(frozen=True)
class Visit:
    """One request of a caller.

    :param after: time in ms since its last answer.
    :param cut: place at which its bytes are parted; the rest comes ``pause`` ms later.
    :param work: time in ms that its answer takes.
    """

    after: int
    cut: int
    pause: int
    work: int


def draw_visit(rng):
    return Visit(
        after=rng.randrange(130),
        cut=rng.randrange(50),
        pause=rng.choice([0, 0, 5, 15]),
        work=rng.choice([0, 5, 30, 80]),
    )


class Stop:
    """A server that is stopped while callers come and go."""

    def __init__(self):
        self.passed_on = set()
        self.answered = set()
        self.sent_in_time = set()
        self.stopped_at = None
        listener = listen(LOOPBACK)
        self.server = HttpServer(
            listener,
            self.handle,
            CLOCK,
            is_draining=lambda: self.stopped_at is not None,
        )
        self.address = bound(listener)
        spawn(self.server.serve)

    def handle(self, connection, request):
        number, work = request.target.strip("/").split("/")
        self.passed_on.add(int(number))
        connection.begin(200, [("content-length", str(len(BODY)))])
        connection.write(BODY[:50])
        sleep(int(work) * MILLISECOND)
        connection.write(BODY[50:])
        connection.end()

    def call(self, first_number, visits):
        """Send one request after the other, on the same connection if it stays."""
        caller = None
        for number, visit in enumerate(visits, first_number):
            sleep(visit.after * MILLISECOND)
            data = b"GET /%d/%d HTTP/1.1\r\nHost: h\r\n\r\n" % (number, visit.work)
            try:
                caller = caller or RawCaller(self.address)
                caller.send(data[: visit.cut])
                sleep(visit.pause * MILLISECOND)
                caller.send(data[visit.cut :])
            except OSError:
                self.note_sent(number)
                caller = None
                continue
            self.note_sent(number)
            answer = self.read(caller)
            if answer.endswith(BODY):
                self.answered.add(number)
            if not answer or b"connection: close" in answer.lower():
                caller = None

    def note_sent(self, number):
        if self.stopped_at is None or CLOCK.elapsed() < self.stopped_at + SERVED:
            self.sent_in_time.add(number)

    def read(self, caller):
        answer = b""
        while not answer.endswith(BODY):
            data = caller.read_some()
            if not data:
                break
            answer += data
        return answer

    def stop(self):
        self.stopped_at = CLOCK.elapsed()
        Drain(self.server, GRACE, CLOCK).run()
        # The process ends, and all that it has open with it.
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
def test_what_is_passed_on_is_answered(seed):
    """Requests would run and their callers get nothing, at each planned stop.

    A process is told to stop while requests are half sent, under way, or about to
    come on connections that are kept; many come just as idle ones are closed.
    """
    rng = Random(seed)
    stop = Stop()
    tasks = [
        spawn(stop.call, 100 * number, [draw_visit(rng) for _ in range(3)])
        for number in range(150)
    ]
    sleep(rng.randrange(60) * MILLISECOND)
    stop.stop()
    for task in tasks:
        task.wait()
    assert stop.passed_on
    assert stop.passed_on <= stop.answered
    assert stop.sent_in_time <= stop.answered
