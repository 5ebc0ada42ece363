"""Endpoints that said that they leave and stay are used again."""

import socket
from datetime import timedelta

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.deployment import (
    Configuration,
    Endpoint,
    EndpointState,
    Service,
)
from sassafrasdale.gateway.advertisements.departure_checks import (
    CHECK_AFTER,
    CHECK_TIMEOUT,
    STEP_INTERVAL,
    DepartureChecks,
)
from sassafrasdale.gateway.directory import Directory
from sassafrasdale.green import listen, sleep, spawn
from sassafrasdale.structures import Address
from tests.gateway.fleets import single_gate
from tests.gateway.world import ScriptedEndpoint, respond_with
from tests.http.wires import LOOPBACK, bound_address, read_request

CONFIGURATION = Configuration(
    1, (), {"records": Service("records", health_path="/healthz")}
)
OWN_ID = "Replica-Id: i-1\r\n"


class Checked:
    """One endpoint that has said that it leaves."""

    def __init__(self, address: Address, *, is_aggregator: bool = True) -> None:
        self.clock = ManualClock()
        self.departures = single_gate(self.clock).departures
        directory = Directory(self.clock, None, timedelta(seconds=2))
        directory.put(Endpoint("i-1", "records", address, "a", EndpointState.READY, 6))
        self.departures.set("i-1", True, "response")
        self.checks = DepartureChecks(
            self.departures,
            directory,
            lambda: CONFIGURATION,
            lambda: is_aggregator,
            self.clock,
        )

    def is_leaving_after(self, time: timedelta) -> bool:
        self.clock.advance(time)
        self.checks.step()
        return self.departures.is_leaving("i-1")


def test_an_endpoint_that_stays_is_used_again():
    """Guards against a departure without an end: it gets no request that could tell."""
    endpoint = ScriptedEndpoint(respond_with(extra=OWN_ID))
    checked = Checked(endpoint.address)
    assert checked.is_leaving_after(CHECK_AFTER / 2)
    assert not endpoint.requests
    assert not checked.is_leaving_after(CHECK_AFTER / 2)


@pytest.mark.parametrize(
    ("status", "extra"),
    [
        ("503 Leaving", OWN_ID),
        ("200 OK", OWN_ID + "Server-Leaving: 1\r\n"),
        ("200 OK", "Replica-Id: i-2\r\n"),
        ("200 OK", ""),
    ],
)
def test_an_endpoint_that_leaves_stays_unused(status: str, extra: str):
    endpoint = ScriptedEndpoint(respond_with(status=status, extra=extra))
    checked = Checked(endpoint.address)
    assert checked.is_leaving_after(CHECK_AFTER)
    assert checked.is_leaving_after(CHECK_AFTER / 2)
    assert len(endpoint.requests) == 1


def test_only_the_aggregator_of_a_zone_checks():
    endpoint = ScriptedEndpoint(respond_with(extra=OWN_ID))
    checked = Checked(endpoint.address, is_aggregator=False)
    assert checked.is_leaving_after(CHECK_AFTER)
    assert not endpoint.requests


def test_an_endpoint_without_an_answer_stays_unused():
    checked = Checked(Address("127.0.0.1", 1))
    assert checked.is_leaving_after(CHECK_AFTER)


def test_an_endpoint_that_is_silent_as_it_is_checked_is_checked_again():
    """Guards against a silence that counts as a statement to leave."""
    silences = [True]
    answer = respond_with(extra=OWN_ID)

    def script(sock, request):
        if silences:
            silences.pop()
            sleep(2 * CHECK_TIMEOUT)
        answer(sock, request)

    checked = Checked(ScriptedEndpoint(script).address)
    assert checked.is_leaving_after(CHECK_AFTER)
    assert not checked.is_leaving_after(STEP_INTERVAL)


class FullBacklog:
    """An endpoint whose socket accepts no connections until it goes on."""

    def __init__(self) -> None:
        self._listener = listen(LOOPBACK, backlog=0)
        self.address = bound_address(self._listener)
        self._fillers = [socket.socket() for _ in range(4)]
        for filler in self._fillers:
            filler.setblocking(False)
            filler.connect_ex((self.address.host, self.address.port))

    def go_on(self) -> None:
        """Serve what has connected, and what will."""
        for filler in self._fillers:
            filler.close()
        spawn(self._accept)
        # A connection that finds the backlog full is tried again only a second later.
        sleep(CHECK_TIMEOUT / 5)

    def _accept(self) -> None:
        answer = respond_with(extra=OWN_ID)
        while True:
            sock, _ = self._listener.accept()
            if request := read_request(sock):
                answer(sock, request)
            sock.close()


def test_an_endpoint_that_accepts_no_connections_is_checked_again():
    """Guards against a stall or a partition that counts as a statement to leave."""
    endpoint = FullBacklog()
    checked = Checked(endpoint.address)
    assert checked.is_leaving_after(CHECK_AFTER)
    endpoint.go_on()
    assert not checked.is_leaving_after(STEP_INTERVAL)
