"""Callers whose requests wait at a gateway: over sockets, with one busy engine."""

import copy
from datetime import timedelta

import pytest

from sassafrasdale.green import spawn
from standins.gateway_fleet import wait_for
from tests.gateway.world import (
    CLOCK,
    ScriptedEndpoint,
    World,
    chunk,
    event,
    header,
    request,
    stream_head,
)
from tests.platform.documents import CONFIGURATION

STREAM = {"token_count": "10,2", "deadline_ms": "4000"}


class BusyWorld(World):
    """A gateway with one engine of one slot, and a stream that occupies it."""

    def __init__(self):
        self.stops_at: timedelta | None = None
        changed = copy.deepcopy(CONFIGURATION)
        changed["services"][0]["engine"]["slots"] = 1
        changed["routes"][1]["split"].pop()
        super().__init__(
            last_end=lambda: self.stops_at, queues_requests=True, **changed
        )
        self.ends = False
        self.engine = ScriptedEndpoint(self._stream)
        self.add("i-1", "models", self.engine)
        self.task = spawn(self.queues.run)
        self.first = self.send("r-1")
        wait_for(lambda: self.engine.requests, "the first stream did not begin")

    def _stream(self, sock, data):
        sock.sendall(stream_head(data) + chunk(event(1)))
        wait_for(lambda: self.ends, "the stream was not ended")
        sock.sendall(b"0\r\n\r\n")

    def send(self, request_id, **headers):
        caller = self.caller()
        caller.send(request("/reports/7", request_id, **{**STREAM, **headers}))
        return caller

    def send_waiting(self, request_id):
        caller = self.send(request_id)
        wait_for(lambda: len(self.queues) == 1, "the request did not wait")
        return caller


@pytest.fixture
def world():
    world = BusyWorld()
    yield world
    world.ends = True
    world.task.kill()


def test_a_request_is_sent_when_the_engine_has_room(world):
    second = world.send_waiting("r-2")
    assert len(world.engine.requests) == 1
    world.ends = True
    assert second.read().startswith(b"HTTP/1.1 200")
    assert len(world.queues) == 0


def test_waiting_requests_of_a_stopping_gateway_are_rejected_and_not_run(world):
    """Guards against a request that is cut off as the process ends."""
    second = world.send_waiting("r-2")
    world.stops_at = CLOCK.elapsed()
    response = second.read()
    assert response.startswith(b"HTTP/1.1 503")
    assert float(header(response, "retry-after")) < 0.2
    assert len(world.queues) == 0
    assert len(world.engine.requests) == 1


def test_a_caller_that_disconnects_gives_up_its_place(world):
    second = world.send_waiting("r-2")
    second.close()
    wait_for(lambda: len(world.queues) == 0, "the place was kept")
    world.ends = True
    world.first.read()
    assert len(world.engine.requests) == 1


def test_a_stream_that_is_resumed_does_not_wait(world):
    """Guards against a gap in a stream that has begun."""
    caller = world.send("r-2", last_event_id="3")
    wait_for(lambda: len(world.engine.requests) == 2, "the stream was not resumed")
    caller.close()
    assert len(world.queues) == 0


def test_a_request_that_can_t_be_served_in_time_is_rejected_at_once(world):
    response = world.send("r-2", token_count="4000,2", deadline_ms="60").read()
    assert response.startswith(b"HTTP/1.1 503")
    assert 0 < float(header(response, "retry-after")) <= 0.02
    assert len(world.engine.requests) == 1
