"""Requests that crash their endpoints are quarantined by all gateways."""

import json
from collections import Counter
from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import sleep, spawn
from standins.gateway_fleet import GatewayFleet, ask, restart, wait_for
from standins.kv_store import Fault
from tests.gateway.world import header
from tests.platform.documents import configuration, settings

CLOCK = SystemClock()
MARKER = b"crash"
ZONES = "ab"
# A request is quarantined once it has crashed this many endpoints, and all connected
# gateways know of it this long after the last of these crashes.
ALLOWED_CRASHES = 3
PROPAGATION_TIME = timedelta(seconds=3)
# Pause between two attempts of a caller.
PAUSE = timedelta(milliseconds=500)


def raw(path: str, number: int, body: bytes, key: str = "key-1") -> bytes:
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: labs.example",
        f"Request-Id: {body.hex()[:12]}-{number}",
        f"Api-Key: {key}",
        "Deadline-Ms: 4000",
        "Connection: close",
        f"Content-Length: {len(body)}",
        "Token-Count: 400,24",
        "Prompt-Prefix: aa:300,bb:100",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


CRASHING = b"draft of cube 7, crash"


class Deployment:
    """Gateways, and engines that crash on a request body with the marker."""

    def __init__(self, gateways: int, engines: int, **changed: object) -> None:
        self.fleet = GatewayFleet(settings(), configuration(**changed))
        self.engines = [
            self.fleet.add_endpoint(
                f"m-{number}",
                "models",
                ZONES[number % 2],
                streams=True,
                crash_marker=MARKER,
            )
            for number in range(engines)
        ]
        for number in range(gateways):
            self.fleet.add_gateway(f"front-{number}", ZONES[number % 2]).launch()
        self.wait_until_ready()
        # Until the gateways have discovered each other.
        sleep(timedelta(seconds=1))
        self._attempts = 0

    @property
    def crashes(self) -> list[timedelta]:
        """Times of the endpoints' crashes, in order."""
        return sorted(at for engine in self.engines for at in engine.crashed_at)

    def wait_until_ready(self) -> None:
        for gateway in self.fleet.gateways:
            gateway.wait_until_ready()

    def attempt(self, gateway: int, body: bytes = CRASHING, path: str = "/reports/7"):
        """Send the next attempt through a gateway and return the response."""
        self._attempts += 1
        address = self.fleet.gateways[gateway].address
        return ask(address, raw(path, self._attempts, body))

    def kill_all(self) -> None:
        """Kill all gateways at once and restart them."""
        restart(self.fleet.gateways)


ONE_SERVICE = [
    {**route, "split": [{"service": "models", "weight": 1}]}
    if route["name"] == "r-reports"
    else route
    for route in configuration()["routes"]
]
# Streams that may not be retried: each attempt is sent to one endpoint.
SENT_ONCE = [{**route, "allowResume": False, "maxTries": 1} for route in ONE_SERVICE]


@pytest.fixture
def deployment(request):
    """Start three gateways beside eight engines."""
    started = Deployment(3, 8, routes=getattr(request, "param", SENT_ONCE))
    yield started
    started.fleet.close()


def send_attempts(deployment: Deployment, count: int) -> list[bytes]:
    answers = []
    for number in range(count):
        answers.append(deployment.attempt(number % len(deployment.fleet.gateways)))
        sleep(PAUSE)
    return answers


@pytest.mark.parametrize(
    "deployment", [SENT_ONCE, ONE_SERVICE], ids=["once", "resumed"], indirect=True
)
def test_a_request_that_crashed_three_endpoints_crashes_no_more(deployment):
    """Guards against one more crashed endpoint with each attempt through any gateway.

    A caller repeats the request through all gateways in turn.
    """
    send_attempts(deployment, 14)
    crashes = deployment.crashes
    assert len(crashes) >= ALLOWED_CRASHES
    known_at = crashes[ALLOWED_CRASHES - 1] + PROPAGATION_TIME
    assert [at for at in crashes if at > known_at] == []
    assert len(crashes) <= ALLOWED_CRASHES + 1


def test_a_quarantine_survives_the_restart_of_all_gateways(deployment):
    """Guards against three more crashed endpoints after each restart of all gateways.

    All gateways are killed at once, so only the store still has the record.
    """
    send_attempts(deployment, 7)
    known = len(deployment.crashes)
    assert known >= ALLOWED_CRASHES
    deployment.kill_all()
    send_attempts(deployment, 6)
    assert len(deployment.crashes) == known


def test_crashes_of_concurrent_attempts_are_counted_together(deployment):
    """Guards against a separate count of crashes at each gateway.

    The first attempts arrive at all gateways at the same time.
    """
    tasks = [spawn(deployment.attempt, gateway) for gateway in range(3)]
    for task in tasks:
        task.wait()
    sleep(PAUSE)
    send_attempts(deployment, 9)
    assert ALLOWED_CRASHES <= len(deployment.crashes) <= ALLOWED_CRASHES + 1


def test_crashes_are_shared_during_a_store_outage(deployment):
    """Guards against crash records that reach other gateways only through the store.

    The records must also be stored after the outage, so that they survive a restart.
    """
    deployment.fleet.store.fault = Fault.BUSY
    send_attempts(deployment, 12)
    assert ALLOWED_CRASHES <= len(deployment.crashes) <= ALLOWED_CRASHES + 1
    deployment.fleet.store.fault = Fault.NONE
    wait_for(
        lambda: len(deployment.fleet.store.keys("sassafrasdale/strikes/")) >= 3,
        "the strikes were not stored after the outage",
    )
    known = len(deployment.crashes)
    deployment.kill_all()
    send_attempts(deployment, 3)
    assert len(deployment.crashes) == known


@pytest.mark.parametrize("deployment", [ONE_SERVICE], ids=["resumed"], indirect=True)
def test_other_requests_on_crashed_endpoints_are_served(deployment):
    """Guards against a quarantine of requests that ran on an endpoint when it crashed.

    They run beside the crashing request and are lost with their endpoint.
    """
    statuses: Counter[bytes] = Counter()

    def send_others(gateway: int) -> None:
        for number in range(40):
            body = b"cube %d of gateway %d" % (number, gateway)
            answer = deployment.attempt(gateway, body)
            if not answer.startswith(b"HTTP/1.1 200"):
                # A caller retries once through another gateway.
                answer = deployment.attempt((gateway + 1) % 3, body)
            statuses[answer[9:12]] += 1

    tasks = [spawn(send_others, gateway) for gateway in range(3)]
    send_attempts(deployment, 12)
    for task in tasks:
        task.wait()
    assert len(deployment.crashes) >= ALLOWED_CRASHES
    assert statuses == {b"200": 120}


def test_a_quarantine_is_logged_and_can_be_lifted(deployment):
    """Guards against a quarantine that an operator can neither explain nor lift."""
    send_attempts(deployment, 8)
    refused = deployment.attempt(0)
    assert refused.startswith(b"HTTP/1.1 503")
    assert float(header(refused, "retry-after")) >= 30
    gateways = deployment.fleet.gateways
    lines = gateways[0].log_lines()
    ended = [line for line in lines if line.get("reason") == "quarantined"][-1]
    name = ended["fingerprint"]
    found = [
        line
        for line in lines
        if line["message"] == "request quarantined" and line["fingerprint"] == name
    ]
    assert len(found) == 1
    assert len(found[0]["ends"]) >= ALLOWED_CRASHES
    metrics = gateways[1].metrics_address
    shown = ask(metrics, b"GET /quarantine HTTP/1.1\r\nHost: h\r\n\r\n")
    rows = json.loads(shown.partition(b"\r\n\r\n")[2])
    assert [row["fingerprint"] for row in rows if row["quarantined"]] == [name]
    lifting = f"DELETE /quarantine/{name} HTTP/1.1\r\nHost: h\r\n\r\n".encode()
    assert ask(metrics, lifting).startswith(b"HTTP/1.1 204")
    assert ask(metrics, lifting).startswith(b"HTTP/1.1 404")
    known = len(deployment.crashes)
    wait_for(
        lambda: deployment.attempt(2).startswith(b"HTTP/1.1 502"),
        "the request was still refused after its quarantine was lifted",
    )
    assert len(deployment.crashes) == known + 1
    wait_for(
        lambda: deployment.fleet.store.keys("sassafrasdale/strikes/") == [],
        "the strikes are still stored",
    )
