"""A store that is restored from a copy gives revisions out again."""

from collections.abc import Iterator
from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import sleep, spawn
from standins.gateway_endpoints import StandInEndpoint
from standins.gateway_fleet import ask
from standins.kv_store import Fault
from tests.gateway.world import request
from tests.guarantees.gateway_fleets import (
    RunningFleet,
    add_plain_endpoints,
    start_gateways,
    unlimited_configuration,
)

CLOCK = SystemClock()
SECOND = timedelta(seconds=1)
GATEWAYS = 4
ENDPOINTS = 4
CALLERS = 8
# The deployment's guarantees.
DRAIN_TIME = 1.5 * SECOND
CONFIGURATION_TIME = 1.7 * SECOND
AWAY = timedelta(milliseconds=400)
# Requests that were chosen just before the guarantee's time ended.
ON_THEIR_WAY = timedelta(milliseconds=100)


class Deployment(RunningFleet):
    """Gateways, endpoints of one service, and callers that send all the time."""

    def __init__(self) -> None:
        super().__init__()
        self.store = self.fleet.store
        self.endpoints = add_plain_endpoints(self.fleet, ENDPOINTS)
        start_gateways(self.fleet, GATEWAYS)
        self.failed = 0
        for number in range(CALLERS):
            spawn(self._send_requests, number)

    @staticmethod
    def version(number: int, *, added: bool = False) -> dict:
        """Return a version of the configuration.

        :param added: whether it has one more route.
        """
        routes = list(unlimited_configuration()["routes"])
        if added:
            routes.append({**routes[0], "name": "r-new", "prefix": "/new/"})
        return unlimited_configuration(version=number, routes=routes)

    def _send_requests(self, caller: int) -> None:
        number = 0
        while self.is_running:
            number += 1
            gateway = self.fleet.gateways[(caller + number) % GATEWAYS]
            data = request("/certificates/7", f"r-{caller}-{number}")
            if not ask(gateway.address, data).startswith(b"HTTP/1.1 200"):
                self.failed += 1
            sleep(timedelta(milliseconds=10))

    def write_noise(self, count: int) -> None:
        """Use up revisions with writes that concern no gateway."""
        for number in range(count):
            self.store.put("other/noise", {"number": number})

    def restore(self, copy) -> None:
        """Have the store be away for a moment and come back from a copy."""
        self.store.fault = Fault.BUSY
        sleep(AWAY)
        self.store.restore(copy)
        self.store.fault = Fault.NONE

    def late_requests(self, endpoint: StandInEndpoint, left_at: timedelta) -> int:
        """Return how many requests reached an endpoint too late."""
        bound = left_at + DRAIN_TIME + ON_THEIR_WAY
        return sum(at > bound for at in endpoint.arrivals)

    def statuses(self, path: str) -> set[bytes]:
        """Return the status lines with which the gateways respond to a path."""
        return {
            ask(gateway.address, request(path)).partition(b"\r\n")[0]
            for gateway in self.fleet.gateways
        }


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    started = Deployment()
    yield started
    started.close()


@pytest.mark.parametrize("lost", [1, 120])
def test_a_leaving_under_a_revision_seen_before_counts(deployment, lost):
    """Guards against endpoints that get requests for good after they have left."""
    copy = deployment.store.take_copy()
    deployment.write_noise(lost)
    sleep(SECOND)
    deployment.restore(copy)
    sleep(timedelta(milliseconds=300))
    leaving = deployment.endpoints[0]
    leaving.register("draining")
    left_at = CLOCK.elapsed()
    sleep(DRAIN_TIME + 2 * SECOND)
    assert not deployment.late_requests(leaving, left_at)


def test_a_route_under_a_revision_seen_before_is_in_force(deployment):
    """Guards against a configuration that is never taken."""
    copy = deployment.store.take_copy()
    for number in range(8, 38):
        deployment.store.put("op/config", deployment.version(number))
    sleep(SECOND)
    deployment.restore(copy)
    sleep(timedelta(milliseconds=300))
    deployment.store.put("op/config", deployment.version(40, added=True))
    sleep(CONFIGURATION_TIME)
    assert deployment.statuses("/new/7") == {b"HTTP/1.1 200 OK"}


@pytest.mark.parametrize("leaves", ["draining", "removed"])
def test_a_leaving_that_the_store_has_lost_still_counts(deployment, leaves):
    """Guards against endpoints used again because the store has forgotten them."""
    copy = deployment.store.take_copy()
    leaving = deployment.endpoints[0]

    def leave() -> None:
        if leaves == "draining":
            leaving.register("draining")
        else:
            deployment.store.remove(f"servers/{leaving.name}")

    leave()
    left_at = CLOCK.elapsed()
    sleep(SECOND)
    deployment.restore(copy)
    sleep(2 * SECOND)
    leave()
    sleep(SECOND)
    assert not deployment.late_requests(leaving, left_at)


def test_endpoints_that_the_store_has_lost_are_used_again(deployment):
    """Guards against endpoints that nobody uses after a restore."""
    copy = deployment.store.take_copy()
    added = deployment.fleet.add_endpoint("e-new", "records", "a", streams=False)
    sleep(SECOND)
    deployment.restore(copy)
    sleep(timedelta(milliseconds=800))
    added.register("ready")
    sleep(SECOND)
    since = CLOCK.elapsed()
    sleep(SECOND)
    assert [at for at in added.arrivals if at > since]
    assert not deployment.failed


def test_fencing_numbers_never_go_back(deployment):
    """Guards against duty calls of a new leader under a number used before."""
    copy = deployment.store.take_copy()
    deployment.write_noise(50)
    sleep(2 * SECOND)
    for _ in range(2):
        deployment.restore(copy)
        sleep(4 * SECOND)
    taken = sorted(
        (line["time"], line["fencing_number"])
        for gateway in deployment.fleet.gateways
        for line in gateway.log_lines()
        if line["message"] == "duty taken"
    )
    numbers = [number for _, number in taken]
    assert numbers == sorted(set(numbers))
    assert len(numbers) >= 1
