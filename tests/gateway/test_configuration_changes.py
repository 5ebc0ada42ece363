"""Requests in flight as the configuration changes."""

import copy
import json
from datetime import timedelta

import pytest

from sassafrasdale.gateway.routing import RouteTable
from sassafrasdale.green import sleep, spawn
from sassafrasdale.platform.configuration import decode_configuration
from tests.gateway.world import (
    ScriptedEndpoint,
    World,
    chunk,
    event,
    request,
    respond_with,
    stream_head,
)
from tests.platform.documents import CONFIGURATION, configuration

RUN_TIME = timedelta(milliseconds=300)


def slow_stream(sock, received):
    sock.sendall(stream_head(received))
    for number in (1, 2):
        sock.sendall(chunk(event(number)))
        sleep(RUN_TIME)
    sock.sendall(b"0\r\n\r\n")


def slow_answer(sock, received):
    sleep(RUN_TIME)
    respond_with()(sock, received)


def shorter_timeouts():
    routes = copy.deepcopy(CONFIGURATION["routes"])
    for route in routes:
        route["timeoutMs"] = 100
    return {"routes": routes}


def no_routes():
    return {"routes": []}


@pytest.mark.parametrize("change", [shorter_timeouts, no_routes])
@pytest.mark.parametrize(
    ("target", "service", "script", "end"),
    [
        ("/reports/7", "models", slow_stream, b"0\r\n\r\n"),
        ("/reports/open/7", "records", slow_answer, b"done"),
        ("/certificates/7", "records", slow_answer, b"done"),
    ],
)
def test_a_request_is_judged_by_the_configuration_it_came_under(
    change, target, service, script, end
):
    """Guards against a change that shortens the deadline of a request in flight."""
    world = World()
    endpoint = ScriptedEndpoint(script)
    world.add("i-1", service, endpoint)
    task = spawn(world.ask, request(target, token_count="10,2"))
    while not endpoint.requests:
        sleep(timedelta(milliseconds=5))
    value = json.dumps(configuration(**change())).encode()
    world.routes = RouteTable(decode_configuration(value))
    response = task.wait()
    assert response.startswith(b"HTTP/1.1 200")
    assert response.endswith(end)
    assert len(endpoint.requests) == 1
