"""Most new connections go to one gateway for a while, then to another."""

from dataclasses import dataclass
from datetime import timedelta
from itertools import pairwise
from random import Random

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import sleep, spawn
from standins.gateway_fleet import ask, status_of
from tests.gateway.world import request
from tests.guarantees.gateway_fleets import (
    RunningFleet,
    add_engines,
    add_plain_endpoints,
    start_gateways,
)

CLOCK = SystemClock()
SECOND = timedelta(seconds=1)
GATEWAYS = 6
EVEN_TIME = 3 * SECOND
SKEWED_TIME = 6 * SECOND
# The deployment's guarantee holds from this time after the connections were skewed.
CONTACT_TIME = 3 * SECOND
MIN_SERVED = 0.75
SKEWED_SHARE = 0.95
# New connections a second, evenly spread and skewed: clients then open more.
EVEN_RATE = 40.0
SKEWED_RATE = 52.0
ENDPOINTS = 4
# Requests a second that each endpoint takes by its own account: a third more than are
# asked for.
ENDPOINT_LIMIT = 17


@dataclass(frozen=True, slots=True)
class Served:
    """The only attempt of a request; its status is 0 if no gateway responded."""

    sent_at: timedelta
    status: int

    @property
    def is_read(self) -> bool:
        """Whether a gateway has read it and not refused it for the customer's limit."""
        return self.status not in (0, 429)


class SkewedFleet(RunningFleet):
    """Gateways with callers that open a new connection for each request."""

    def __init__(self) -> None:
        super().__init__()
        self.endpoints = add_plain_endpoints(self.fleet, ENDPOINTS)
        add_engines(self.fleet, ENDPOINTS)
        start_gateways(self.fleet, GATEWAYS)
        self.served: list[Served] = []
        self._rng = Random(1)
        self._number = 0

    def send(self, path: str, rate: float, time: timedelta, favoured: int | None):
        """Send requests in an open loop, most of them to the favoured gateway."""
        until = CLOCK.elapsed() + time
        while CLOCK.elapsed() < until:
            self._number += 1
            gateway = self._rng.randrange(GATEWAYS)
            if favoured is not None and self._rng.random() < SKEWED_SHARE:
                gateway = favoured
            spawn(self._ask, gateway, path, self._number)
            sleep(SECOND / rate)

    def _ask(self, gateway: int, path: str, number: int) -> None:
        sent_at = CLOCK.elapsed()
        raw = request(
            path,
            f"r-{number}",
            Deadline_Ms="4000",
            Token_Count="100,20",
            Prompt_Prefix=f"aa:60,b{number:x}:40",
        )
        answer = ask(self.fleet.gateways[gateway].address, raw)
        self.served.append(Served(sent_at, status_of(answer)))

    def share(self, since: timedelta, until: timedelta) -> float:
        """Return the fraction of the requests read by gateways that were served."""
        read = [
            each
            for each in self.served
            if since <= each.sent_at < until and each.is_read
        ]
        assert len(read) >= 20
        return sum(each.status == 200 for each in read) / len(read)


@pytest.fixture
def fleet():
    started = SkewedFleet()
    yield started
    started.close()


@pytest.mark.parametrize(
    ("path", "is_limited"),
    [
        pytest.param("/reports/open/7", False, id="idempotent"),
        pytest.param("/certificates/7", False, id="non-idempotent"),
        pytest.param("/reports/7", False, id="stream"),
        pytest.param("/reports/open/7", True, id="limited-endpoints"),
    ],
)
def test_a_gateway_with_most_new_connections_serves_as_before(fleet, path, is_limited):
    """Guards against one gateway that rejects what the others have room for."""
    if is_limited:
        for endpoint in fleet.endpoints:
            endpoint.extra_headers = (("server-limit", str(ENDPOINT_LIMIT)),)
    began_at = CLOCK.elapsed()
    fleet.send(path, EVEN_RATE, EVEN_TIME, None)
    skewed_at = [CLOCK.elapsed()]
    fleet.send(path, SKEWED_RATE, SKEWED_TIME, 0)
    skewed_at.append(CLOCK.elapsed())
    fleet.send(path, SKEWED_RATE, SKEWED_TIME, 1)
    skewed_at.append(CLOCK.elapsed())
    sleep(SECOND)
    before = fleet.share(began_at, skewed_at[0])
    for began, ended in pairwise(skewed_at):
        assert fleet.share(began + CONTACT_TIME, ended) >= MIN_SERVED * before
