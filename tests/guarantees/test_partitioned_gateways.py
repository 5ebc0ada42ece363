"""Gateways that are partitioned from all endpoints serve their callers all the same."""

from collections.abc import Collection, Iterator
from dataclasses import dataclass
from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import sleep, spawn
from standins.endpoint_links import EndpointLinks
from standins.gateway_fleet import ask
from standins.links import LinkFault
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
PLAIN_ENDPOINTS = 4
ENGINES = 2
CALLERS_PER_GATEWAY = 2
CALLER_PAUSE = timedelta(milliseconds=30)
# The deployment's guarantee holds from this time after the partition began.
CONTACT_TIME = 3 * SECOND
MEASURED = 3 * SECOND
HEAL_TIME = 2 * SECOND
SILENCE = 1.1 * SECOND
NON_IDEMPOTENT = "/certificates/7"
IDEMPOTENT = "/reports/open/7"
STREAM = "/reports/7"
# Events of a stream that is in progress most of the time.
LONG_STREAM = 60
PATHS = (NON_IDEMPOTENT, IDEMPOTENT, STREAM)


@dataclass(frozen=True, slots=True)
class Served:
    """A request of a caller and its response.

    :param gateway: number of the gateway that it was sent to.
    """

    gateway: int
    request_id: str
    path: str
    sent_at: timedelta
    ended_at: timedelta
    response: bytes

    @property
    def is_success(self) -> bool:
        """Whether it was served in full."""
        return self.response.startswith(b"HTTP/1.1 200") and self.is_complete

    @property
    def is_complete(self) -> bool:
        """Whether the response has its end."""
        return self.path != STREAM or self.response.endswith(b"0\r\n\r\n")


class Deployment(RunningFleet):
    """Gateways with links of their own to the endpoints, and callers of each gateway.

    :ivar log: all requests of the callers that have ended.
    """

    def __init__(self) -> None:
        super().__init__()
        self.endpoints = [
            *add_plain_endpoints(self.fleet, PLAIN_ENDPOINTS),
            *add_engines(self.fleet, ENGINES),
        ]
        self.links = [EndpointLinks() for _ in range(GATEWAYS)]
        start_gateways(self.fleet, GATEWAYS, self.links)
        self.log: list[Served] = []
        for number in range(GATEWAYS * CALLERS_PER_GATEWAY):
            spawn(self._send_requests, number)

    def _send_requests(self, caller: int) -> None:
        number = 0
        gateway = caller % GATEWAYS
        while self.is_running:
            number += 1
            path = PATHS[(caller + number) % len(PATHS)]
            request_id = f"r-{caller}-{number}"
            headers = {"Deadline-Ms": "4000", "Token-Count": "100,8"}
            data = request(path, request_id, **headers)
            sent_at = CLOCK.elapsed()
            response = ask(self.fleet.gateways[gateway].address, data)
            served = Served(
                gateway, request_id, path, sent_at, CLOCK.elapsed(), response
            )
            self.log.append(served)
            sleep(CALLER_PAUSE)

    def begin(self, fault: LinkFault, gateways: Collection[int]) -> None:
        """Partition gateways from all endpoints."""
        for number in gateways:
            self.links[number].begin(fault)

    def end(self, gateways: Collection[int]) -> None:
        """End the partition."""
        for number in gateways:
            self.links[number].end()

    def between(
        self, since: timedelta, until: timedelta, gateways: Collection[int]
    ) -> list[Served]:
        """Return the requests sent to gateways in a time."""
        return [
            served
            for served in self.log
            if since <= served.sent_at < until and served.gateway in gateways
        ]

    def runs_of(self, path: str) -> list[str]:
        """Return the ids of the requests of a path that endpoints began, repeated."""
        return [
            run.request_id
            for endpoint in self.endpoints
            for run in endpoint.runs
            if run.target == path
        ]

    def lines(self, message: str) -> list[dict]:
        """Return the gateways' log lines with a message."""
        return [
            line
            for gateway in self.fleet.gateways
            for line in gateway.log_lines()
            if line["message"] == message
        ]


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    started = Deployment()
    yield started
    started.close()


def share(requests: Collection[Served]) -> float:
    """Return the share of requests that were served."""
    return sum(served.is_success for served in requests) / max(len(requests), 1)


def assert_served(deployment: Deployment, cut: Collection[int], since: timedelta):
    """Assert the guarantee for the requests sent since a time."""
    others = set(range(GATEWAYS)) - set(cut)
    at_cut = deployment.between(since, since + MEASURED, cut)
    at_others = deployment.between(since, since + MEASURED, others)
    failed = [served for served in at_cut if not served.is_success]
    assert len(at_cut) >= 20 * len(cut), "too few requests to tell"
    assert len(failed) <= 10 + len(at_cut) / 50, [
        (served.path, served.response[:60]) for served in failed[:10]
    ]
    assert share(at_cut) >= share(at_others) * 2 / 3


def assert_no_repeats(deployment: Deployment) -> None:
    """Assert that no non-idempotent request ran twice, and that "not run" is true."""
    runs = deployment.runs_of(NON_IDEMPOTENT)
    assert len(runs) == len(set(runs))
    not_run = {
        served.request_id
        for served in deployment.log
        if served.path == NON_IDEMPOTENT and served.response[9:12] in (b"503", b"429")
    }
    assert not not_run & set(runs)


def assert_direct_again(deployment: Deployment, cut: Collection[int]) -> None:
    """Assert that partitioned gateways use their own links again after the heal."""
    for number in cut:
        lines = deployment.fleet.gateways[number].log_lines()
        lost = {
            line["endpoint"]
            for line in lines
            if line["message"] == "endpoint link lost"
        }
        regained = {
            line["endpoint"]
            for line in lines
            if line["message"] == "endpoint link regained"
        }
        assert lost
        assert lost == regained
        last = [line for line in lines if line["message"] == "request ended"][-1]
        assert not last.get("forwarder")


@pytest.mark.parametrize(
    ("cut", "fault"),
    [
        ((0, 1), LinkFault.REFUSES),
        ((0, 1), LinkFault.RESETS),
        ((0, 1), LinkFault.SILENT),
        ((0, 1), LinkFault.REFUSES_NEW),
        ((0, 2, 4), LinkFault.REFUSES),
        ((0, 1, 2, 3, 4), LinkFault.REFUSES),
        ((0, 1, 2, 3, 4), LinkFault.SILENT),
    ],
)
def test_partitioned_gateways_serve_their_callers(deployment, cut, fault):
    """Guards against gateways that refuse what their peers could have sent on."""
    began_at = CLOCK.elapsed()
    deployment.begin(fault, cut)
    sleep(CONTACT_TIME + MEASURED + SECOND)
    deployment.end(cut)
    sleep(HEAL_TIME + SECOND)
    assert_served(deployment, cut, began_at + CONTACT_TIME)
    healed = deployment.between(
        CLOCK.elapsed() - SECOND, CLOCK.elapsed(), range(GATEWAYS)
    )
    assert share([served for served in healed if served.response]) >= 0.95
    assert_no_repeats(deployment)
    assert_direct_again(deployment, cut)


def test_a_partitioned_gateway_strikes_no_request(deployment):
    """Guards against innocent requests refused for endpoints that have not crashed."""
    for engine in deployment.endpoints[PLAIN_ENDPOINTS:]:
        engine.events = LONG_STREAM
    sleep(SECOND)
    deployment.begin(LinkFault.REFUSES, (0, 1, 2))
    sleep(2 * SECOND)
    deployment.end((0, 1, 2))
    assert not deployment.lines("request quarantined")
    assert not deployment.lines("strike stored")
    failed = deployment.lines("send failed")
    assert not [line for line in failed if line.get("endpoint_ended")]


def test_an_endpoint_that_is_silent_for_a_moment_is_not_cut_off(deployment):
    """Guards against links given up, and requests repeated, for a short pause."""
    for endpoint in deployment.endpoints:
        endpoint.silent_until = CLOCK.elapsed() + SILENCE
        sleep(SILENCE + SECOND / 2)
    assert not deployment.lines("endpoint link lost")
    assert_no_repeats(deployment)
    streams = [served for served in deployment.log if served.path == STREAM]
    assert share(streams) >= 0.98


def test_a_partition_that_comes_and_goes_costs_few_requests(deployment):
    """Guards against flapping: links used again each time that they return."""
    cut = (0, 1)
    began_at = CLOCK.elapsed()
    for _ in range(4):
        deployment.begin(LinkFault.REFUSES, cut)
        sleep(SECOND)
        deployment.end(cut)
        sleep(SECOND)
    since = began_at + CONTACT_TIME
    at_cut = deployment.between(since, CLOCK.elapsed() - SECOND / 2, cut)
    failed = [served for served in at_cut if not served.is_success]
    assert len(failed) <= 10 + len(at_cut) / 50
    assert_no_repeats(deployment)


def test_the_log_leads_from_a_forwarded_request_to_the_lost_link(deployment):
    """Guards against a hop that nobody can explain."""
    deployment.begin(LinkFault.REFUSES, (0,))
    sleep(2 * SECOND)
    deployment.end((0,))
    lines = deployment.fleet.gateways[0].log_lines()
    names = {gateway.name for gateway in deployment.fleet.gateways[1:]}
    forwarded = [
        line
        for line in lines
        if line["message"] == "request ended" and line.get("forwarder")
    ]
    assert forwarded
    lost = {
        line["endpoint"]: line
        for line in lines
        if line["message"] == "endpoint link lost"
    }
    for line in forwarded:
        assert line["forwarder"] in names
        assert lost[line["endpoint"]]["evidence"]
        assert set(lost[line["endpoint"]]["reached_by"]) <= names
    # One line for each endpoint, however many requests there are.
    assert len(lost) == PLAIN_ENDPOINTS + ENGINES
