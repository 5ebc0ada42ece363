"""Endpoints that fall over if they have to reject much are not driven to it."""

from collections.abc import Iterator
from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import sleep, spawn
from standins.gateway_endpoints import Brittleness
from standins.gateway_fleet import ask, restart
from tests.gateway.world import header, request
from tests.guarantees.gateway_fleets import (
    RunningFleet,
    add_plain_endpoints,
    start_gateways,
)

CLOCK = SystemClock()
SECOND = timedelta(seconds=1)
ENDPOINTS = 4
SLOTS = 6
WAITING = 8
GATEWAYS = 4
# The deployment's guarantee: from this time after the endpoints first say that they are
# brittle, they fall over no more often than this, all together.
CONTACT_TIME = 3 * SECOND
ALLOWED_FALLS = 2 + ENDPOINTS / 10
MEASURED = 8 * SECOND
# Callers that send all the time; they keep a third of the slots busy, or ask for four
# times as much as the endpoints bear.
CALM = 8
PRESSED = 96
MIN_USED = 0.5


class Deployment(RunningFleet):
    """Gateways, endpoints of one service, and callers.

    :ivar refusals: responses to the callers that are no success, with their duration.
    """

    def __init__(self) -> None:
        super().__init__()
        self.endpoints = add_plain_endpoints(self.fleet, ENDPOINTS)
        start_gateways(self.fleet, GATEWAYS)
        self.served = 0
        self.refusals: list[tuple[bytes, timedelta]] = []

    def start_callers(self, number: int) -> None:
        """Start callers that send all the time."""
        for caller in range(number):
            spawn(self._send_requests, caller)

    def _send_requests(self, caller: int) -> None:
        number = 0
        while self.is_running:
            number += 1
            gateway = self.fleet.gateways[(caller + number) % GATEWAYS]
            data = request("/certificates/7", f"r-{caller}-{number}")
            sent_at = CLOCK.elapsed()
            response = ask(gateway.address, data)
            if response.startswith(b"HTTP/1.1 200"):
                self.served += 1
                continue
            took = CLOCK.elapsed() - sent_at
            self.refusals.append((response, took))
            sleep(timedelta(seconds=float(header(response, "retry-after") or 0.3)))

    def become_brittle(self, rejections: int) -> None:
        """Have all endpoints say that they are brittle."""
        for endpoint in self.endpoints:
            endpoint.brittleness = Brittleness(rejections, WAITING)

    def let_none_wait(self) -> None:
        """Have all endpoints run requests at once or reject them."""
        for endpoint in self.endpoints:
            endpoint.brittleness.waiting = 0

    def falls(self, since: timedelta) -> int:
        """Return how often endpoints have fallen over since a time."""
        return sum(
            at >= since for endpoint in self.endpoints for at in endpoint.crashed_at
        )

    def used(self, since: timedelta, until: timedelta) -> float:
        """Return the share of the endpoints' room that was used."""
        runs = [
            run
            for endpoint in self.endpoints
            for run in endpoint.runs
            if since <= run.at < until
        ]
        plain_time = self.endpoints[0].brittleness.plain_time
        room = ENDPOINTS * SLOTS * ((until - since) / plain_time)
        return len(runs) / room


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    started = Deployment()
    yield started
    started.close()


@pytest.mark.parametrize("rejections", [0, 1, 5])
def test_pressed_endpoints_do_not_fall_over(deployment, rejections):
    """Guards against gateways that each send what the endpoints take from one."""
    deployment.start_callers(PRESSED)
    deployment.become_brittle(rejections)
    sleep(CONTACT_TIME)
    deployment.let_none_wait()
    since = CLOCK.elapsed()
    deployment.refusals.clear()
    sleep(MEASURED)
    assert deployment.falls(since) <= ALLOWED_FALLS
    assert deployment.used(since, since + MEASURED) >= MIN_USED
    assert deployment.refusals
    for response, took in deployment.refusals:
        assert response.startswith(b"HTTP/1.1 503")
        assert float(header(response, "retry-after")) > 0
        assert took < SECOND


def test_calm_endpoints_are_used_as_before(deployment):
    """Guards against room that is left unused though nobody else needs it."""
    deployment.become_brittle(0)
    deployment.start_callers(CALM)
    sleep(CONTACT_TIME)
    deployment.let_none_wait()
    since = CLOCK.elapsed()
    refused = len(deployment.refusals)
    served = deployment.served
    sleep(MEASURED)
    assert not deployment.falls(since)
    refused = len(deployment.refusals) - refused
    served = deployment.served - served
    assert refused <= served * 0.02


def test_endpoints_do_not_fall_over_as_gateways_are_killed(deployment):
    """Guards against a new dispatcher that doesn't know what is under way."""
    deployment.start_callers(PRESSED)
    deployment.become_brittle(1)
    sleep(CONTACT_TIME)
    deployment.let_none_wait()
    since = CLOCK.elapsed()
    for number in (0, 1):
        restart([deployment.fleet.gateways[number]])
        sleep(2 * SECOND)
    sleep(2 * SECOND)
    assert deployment.falls(since) <= ALLOWED_FALLS


def test_the_old_rate_is_reached_soon_after_the_end(deployment):
    """Guards against a limit that outlives the need for it."""
    deployment.become_brittle(0)
    deployment.start_callers(CALM)
    sleep(CONTACT_TIME)
    for endpoint in deployment.endpoints:
        endpoint.brittleness = None
    deployment.start_callers(PRESSED)
    sleep(2 * SECOND)
    refused = len(deployment.refusals)
    sleep(2 * SECOND)
    assert len(deployment.refusals) == refused
