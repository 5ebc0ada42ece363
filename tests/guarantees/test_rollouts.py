"""Rollouts through gateway processes: exposure to bad versions, verdicts, bounds."""

import json
from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import sleep, spawn
from standins.gateway_endpoints import Defect
from standins.gateway_fleet import CONT, KILL, STOP, GatewayFleet, ask, wait_for
from standins.kv_store import Fault
from standins.rollouts import SimulatedRollout
from tests.gateway.world import request
from tests.platform.documents import configuration, settings

CLOCK = SystemClock()
SECOND = timedelta(seconds=1)
GATEWAYS = 3
# The deployment's guarantees about a bad version.
SHARE = 0.1
SLACK = 50
ROLL_BACK_TIME = 5 * SECOND
MAX_FAULTY = 50
CALLERS = 8
PAUSE = timedelta(milliseconds=20)
OLD = 4
# Limit of the waits below; longer than any rollout here.
WAIT_LIMIT = timedelta(seconds=20)


class Deployment:
    """Gateways, endpoints of a plain service, and callers that send all the time."""

    def __init__(self, gateways: int = GATEWAYS) -> None:
        [customer] = configuration()["tenants"]
        unlimited = {**customer, "ratePerS": 0}
        self.fleet = GatewayFleet(settings(), configuration(tenants=[unlimited]))
        self.old = [
            self.fleet.add_endpoint(
                f"r-{number}", "records", "ab"[number % 2], streams=False
            )
            for number in range(OLD)
        ]
        for number in range(gateways):
            self.fleet.add_gateway(f"front-{number}", "ab"[number % 2]).launch()
        for gateway in self.fleet.gateways:
            gateway.wait_until_ready()
        self._running = True
        self.sent = 0
        self.answers: list[tuple[timedelta, bytes]] = []
        for number in range(CALLERS):
            spawn(self._send_requests, number)
        # Until the gateways have discovered each other and one is the leader.
        sleep(SECOND)

    def _send_requests(self, caller: int) -> None:
        number = caller
        while self._running:
            number += CALLERS
            # A caller stays with one gateway: one that is paused holds up only its own.
            gateway = self.fleet.gateways[caller % len(self.fleet.gateways)]
            path, method = ("/certificates/7", "POST")
            if number % 3 == 0:
                path, method = ("/reports/open/1", "GET")
            self.sent += 1
            answer = ask(
                gateway.address, request(path, f"r-{caller}-{number}", method=method)
            )
            self.answers.append((CLOCK.elapsed(), answer[:12]))
            sleep(PAUSE)

    def start_rollout(
        self, defect: Defect | None = None, **fields: object
    ) -> SimulatedRollout:
        rollout = SimulatedRollout(
            self.fleet, CLOCK, "records", self.old, defect=defect, **fields
        )
        rollout.order()
        return rollout

    def close(self) -> None:
        self._running = False
        self.fleet.close()


@pytest.fixture
def deployment():
    deployment = Deployment()
    yield deployment
    deployment.close()


def wait_until_finished(rollout: SimulatedRollout) -> None:
    wait_for(lambda: rollout.is_finished, "the rollout did not end", WAIT_LIMIT)


def wait_until_deadline(rollout: SimulatedRollout) -> None:
    wait_for(
        lambda: CLOCK.elapsed() >= rollout.deadline,
        "the deadline did not pass",
        WAIT_LIMIT,
    )


def assert_bounded(rollout: SimulatedRollout, old: list) -> None:
    """Check that a bad version got at most its share, and no request too late."""
    new = len(rollout.runs(rollout.new))
    total = new + len(rollout.runs(old))
    assert new <= SHARE * total + SLACK
    faulty = rollout.faulty_at()
    if len(faulty) < MAX_FAULTY:
        return
    last = max(run.at for endpoint in rollout.new for run in endpoint.runs)
    assert last <= faulty[MAX_FAULTY - 1] + ROLL_BACK_TIME


BAD_VERSIONS = {
    "fails": Defect(0.4),
    "fails later": Defect(0.6, after=4 * SECOND),
    "fails on one route": Defect(0.7, target_prefix="/reports/open/"),
    "slow": Defect(0.8, slowdown=6.0),
}


@pytest.mark.parametrize("defect", BAD_VERSIONS.values(), ids=BAD_VERSIONS.keys())
def test_a_bad_version_is_rolled_back(deployment, defect):
    """Guards against a bad version that gets all requests or is never reported.

    The new version fails, fails only later or on one route, or is slow.
    """
    rollout = deployment.start_rollout(defect)
    wait_until_finished(rollout)
    assert "rolled_back" in rollout.states
    wait_until_deadline(rollout)
    assert_bounded(rollout, deployment.old)


@pytest.mark.parametrize("defect", [None, Defect(0.5)], ids=["good", "bad"])
def test_a_single_gateway_reaches_a_verdict(defect):
    """Guards against a verdict that waits for reports of other gateways."""
    deployment = Deployment(gateways=1)
    try:
        rollout = deployment.start_rollout(defect)
        wait_until_finished(rollout)
        wait_until_deadline(rollout)
        assert ("complete" if defect is None else "rolled_back") in rollout.states
        assert_bounded_if_bad(rollout, deployment, defect)
    finally:
        deployment.close()


def test_a_good_version_completes_in_time(deployment):
    """Guards against a rollout that never completes, or whose end fails requests.

    The old endpoints are stopped as soon as the rollout is complete.
    """
    rollout = deployment.start_rollout()
    wait_until_finished(rollout)
    assert rollout.states["complete"] < rollout.deadline
    assert len(rollout.runs(rollout.new)) > 0
    sleep(SECOND)
    since = CLOCK.elapsed()
    sleep(2 * SECOND)
    late = [answer for at, answer in deployment.answers if at > since]
    assert late
    assert all(answer == b"HTTP/1.1 200" for answer in late)


def test_a_bad_version_is_contained_without_the_store(deployment):
    """Guards against a version that keeps failing while no verdict can be stored.

    The store stops responding once the new version has got its first requests.
    """
    rollout = deployment.start_rollout(Defect(0.7))
    wait_for(
        lambda: rollout.runs(rollout.new), "the new version got no request", WAIT_LIMIT
    )
    deployment.fleet.store.fault = Fault.SILENT
    wait_until_deadline(rollout)
    deployment.fleet.store.fault = Fault.NONE
    assert_bounded(rollout, deployment.old)
    assert len(rollout.faulty_at()) < MAX_FAULTY
    wait_until_finished(rollout)
    assert "rolled_back" in rollout.states


@pytest.mark.parametrize("defect", [None, Defect(0.5)], ids=["good", "bad"])
def test_a_killed_leader_does_not_change_the_verdict(deployment, defect):
    """Guards against a verdict that is lost with the gateway that would reach it.

    The leader is killed and restarted while the rollout is running.
    """
    rollout = deployment.start_rollout(defect, duration=14 * SECOND)
    wait_for(lambda: "running" in rollout.states, "it never ran", WAIT_LIMIT)
    restart_leader(deployment)
    wait_until_finished(rollout)
    expected = "complete" if defect is None else "rolled_back"
    assert expected in rollout.states
    assert rollout.states[expected] < rollout.deadline
    assert_bounded_if_bad(rollout, deployment, defect)


@pytest.mark.parametrize("part", [0.6, 0.65, 0.7, 0.75, 0.85], ids=str)
def test_a_leader_killed_late_does_not_delay_the_completion(deployment, part):
    """Guards against a leader that begins the full share anew after the last one died.

    The leader is killed and restarted a short time before it would complete.
    """
    rollout = deployment.start_rollout(duration=14 * SECOND)
    wait_for(lambda: rollout.age >= 14 * SECOND * part, "no time passed", WAIT_LIMIT)
    restart_leader(deployment)
    wait_until_finished(rollout)
    assert rollout.states["complete"] < rollout.deadline


def restart_leader(deployment) -> None:
    """Kill the gateway that holds the duties, and start it again."""
    leader = leader_in(deployment.fleet.store.value("sassafrasdale/leases/duties"))
    for gateway in deployment.fleet.gateways:
        if gateway.name == leader:
            gateway.signal(KILL)
            gateway.launch()


def leader_in(value: bytes | None) -> str:
    return (value or b"").decode().split(" ")[0]


def assert_bounded_if_bad(rollout, deployment, defect) -> None:
    if defect is not None:
        wait_until_deadline(rollout)
        assert_bounded(rollout, deployment.old)


def test_restarts_of_all_gateways_keep_the_share(deployment):
    """Guards against counts that are reset by a restart, and against a lost order.

    All gateways are killed and restarted twice during the rollout.
    """
    rollout = deployment.start_rollout(Defect(0.3), duration=14 * SECOND)
    for _ in range(2):
        sleep(3 * SECOND)
        for gateway in deployment.fleet.gateways:
            gateway.signal(KILL)
        sleep(SECOND / 2)
        for gateway in deployment.fleet.gateways:
            gateway.launch()
    wait_until_finished(rollout)
    wait_until_deadline(rollout)
    assert "rolled_back" in rollout.states
    assert_bounded(rollout, deployment.old)


def test_a_resumed_gateway_sends_nothing_to_a_rolled_back_version(deployment):
    """Guards against a gateway that acts on outdated state after a pause.

    It is paused before the rollback and resumed after it.
    """
    rollout = deployment.start_rollout(Defect(0.6))
    wait_for(
        lambda: rollout.runs(rollout.new), "the new version got no request", WAIT_LIMIT
    )
    paused = deployment.fleet.gateways[-1]
    paused.signal(STOP)
    for number in range(CALLERS):
        spawn(ask, paused.address, request("/certificates/7", f"held-{number}"))
    wait_until_finished(rollout)
    paused.signal(CONT)
    wait_until_deadline(rollout)
    assert "rolled_back" in rollout.states
    assert_bounded(rollout, deployment.old)


def test_a_version_that_never_appears_is_rolled_back(deployment):
    """Guards against old endpoints that are stopped without a replacement."""
    rollout = deployment.start_rollout(count=0, duration=6 * SECOND)
    wait_until_finished(rollout)
    assert "rolled_back" in rollout.states


def test_a_malformed_order_changes_nothing(deployment):
    deployment.fleet.store.put("op/rollout/records", {"service": "records"})
    sleep(2 * SECOND)
    assert deployment.fleet.store.keys("status/") == []
    assert all(answer == b"HTTP/1.1 200" for _, answer in deployment.answers)


def test_a_running_rollout_is_shown_to_operators(deployment):
    rollout = deployment.start_rollout(duration=8 * SECOND)
    wait_for(lambda: "running" in rollout.states, "it never ran", WAIT_LIMIT)
    metrics = deployment.fleet.gateways[0].metrics_address
    page = ask(
        metrics, b"GET /rollouts HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    )
    [shown] = json.loads(page.partition(b"\r\n\r\n")[2])
    assert shown["service"] == "records"
    assert shown["target"] == "v2"
