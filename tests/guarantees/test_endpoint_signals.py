"""What endpoints say of themselves in responses is heeded by all gateways together."""

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import sleep, spawn
from standins.gateway_endpoints import StandInEndpoint
from standins.gateway_fleet import ask, restart
from tests.gateway.world import header, request
from tests.guarantees.gateway_fleets import (
    RunningFleet,
    add_engines,
    add_plain_endpoints,
    start_gateways,
)

CLOCK = SystemClock()
SECOND = timedelta(seconds=1)
GATEWAYS = 4
ENDPOINTS = 4
CALLERS = 8
# The deployment's guarantees: a limit holds this long after it was first named, in each
# window of this length.
CONTACT_TIME = 3 * SECOND
WINDOW = 4 * SECOND
MOST_IN_A_BACKOFF = 2
ON_THEIR_WAY = timedelta(milliseconds=500)
DRAIN_TIME = 1.5 * SECOND
PLAIN = "/certificates/7"
STREAM = "/reports/7"


def allowed(rate: float) -> float:
    """Return the requests that may reach an endpoint with a limit in a window."""
    return 1.5 * rate * WINDOW.total_seconds() + 5


class Deployment(RunningFleet):
    """Gateways, endpoints of one service, and callers that send all the time.

    :param path: target of the callers' requests.
    :ivar used: gateways that the callers send to.
    :ivar refusals: responses to the callers that are no success.
    """

    def __init__(self, path: str) -> None:
        super().__init__()
        add = add_engines if path == STREAM else add_plain_endpoints
        self.endpoints = add(self.fleet, ENDPOINTS)
        start_gateways(self.fleet, GATEWAYS)
        self._path = path
        self.used = list(self.fleet.gateways)
        self.refusals: list[bytes] = []
        for number in range(CALLERS):
            spawn(self._send_requests, number)

    def _send_requests(self, caller: int) -> None:
        number = 0
        while self.is_running:
            number += 1
            gateway = self.used[(caller + number) % len(self.used)]
            headers = {"Deadline-Ms": "4000", "Token-Count": "100,8"}
            data = request(self._path, f"r-{caller}-{number}", **headers)
            response = ask(gateway.address, data)
            if not response.startswith(b"HTTP/1.1 200"):
                self.refusals.append(response)
                sleep(timedelta(milliseconds=5))

    def name_limits(self, rate: float, endpoints: Sequence[StandInEndpoint]) -> None:
        """Have endpoints name a limit in all responses from now on."""
        for endpoint in endpoints:
            endpoint.extra_headers = (("server-limit", str(rate)),)

    def restart(self, *numbers: int) -> None:
        """Kill gateways at once and start them again."""
        restart([self.fleet.gateways[number] for number in numbers])


@pytest.fixture
def deployment(request) -> Iterator[Deployment]:
    started = Deployment(getattr(request, "param", PLAIN))
    yield started
    started.close()


def most_in_a_window(arrivals: Sequence[timedelta], since: timedelta) -> int:
    """Return the most arrivals in a window that begins at or after a time."""
    later = [at for at in arrivals if at >= since]
    return max(
        (
            number + 1 - bisect_left(later, at - WINDOW)
            for number, at in enumerate(later)
        ),
        default=0,
    )


@pytest.mark.parametrize("deployment", [PLAIN, STREAM], indirect=True)
@pytest.mark.parametrize(("limited", "rate"), [(2, 2.0), (4, 0.5)])
def test_a_limited_endpoint_gets_no_more_than_it_takes(deployment, limited, rate):
    """Guards against a limit that each gateway ignores, or keeps for itself alone."""
    endpoints = deployment.endpoints[:limited]
    deployment.name_limits(rate, endpoints)
    since = CLOCK.elapsed() + CONTACT_TIME
    sleep(CONTACT_TIME + 1.5 * WINDOW)
    for endpoint in endpoints:
        assert most_in_a_window(endpoint.arrivals, since) <= allowed(rate)
        # It is used, too: not one of the windows goes by without a request.
        assert most_in_a_window(endpoint.arrivals, since) >= 1


def test_a_limit_holds_while_gateways_are_killed(deployment):
    """Guards against gateways that start anew and don't know of a limit."""
    endpoints = deployment.endpoints[:2]
    deployment.name_limits(1.0, endpoints)
    since = CLOCK.elapsed() + CONTACT_TIME
    sleep(CONTACT_TIME)
    deployment.restart(0, 1)
    sleep(1.5 * WINDOW)
    for endpoint in endpoints:
        assert most_in_a_window(endpoint.arrivals, since) <= allowed(1.0)


def test_an_endpoint_whose_limit_has_ended_is_used_as_before(deployment):
    """Guards against a limit that outlives the need for it."""
    endpoints = deployment.endpoints[:2]
    deployment.name_limits(2.0, endpoints)
    sleep(CONTACT_TIME)
    for endpoint in endpoints:
        endpoint.extra_headers = ()
    sleep(CONTACT_TIME)
    since = CLOCK.elapsed()
    sleep(WINDOW)
    for endpoint in endpoints:
        assert most_in_a_window(endpoint.arrivals, since) > 3 * allowed(2.0)


def test_an_endpoint_that_says_it_leaves_gets_no_more_requests(deployment):
    """Guards against a departure that is known from the registration alone."""
    leaving = deployment.endpoints[0]
    leaving.extra_headers = (("server-leaving", "1"),)
    sleep(DRAIN_TIME + timedelta(milliseconds=500))
    since = CLOCK.elapsed()
    sleep(2 * SECOND)
    assert not [at for at in leaving.arrivals if at >= since]


def most_within_backoffs(arrivals: Sequence[timedelta], backoff: timedelta) -> int:
    """Return the most arrivals in a back-off, each of which asked for another one.

    Those of the first half second after a refusal are on their way already.
    """
    return max(
        bisect_left(arrivals, at + backoff) - bisect_left(arrivals, at + ON_THEIR_WAY)
        for at in arrivals
    )


@pytest.mark.parametrize("deployment", [PLAIN, STREAM], indirect=True)
@pytest.mark.parametrize("refusing", [1, ENDPOINTS])
@pytest.mark.parametrize("gateway", [0, 2])
def test_an_endpoint_that_asked_for_backoff_gets_it(deployment, refusing, gateway):
    """Guards against refusals that draw more requests to the one that refuses."""
    backoff = 3 * SECOND
    # One of the two gateways of a zone is the other's dispatcher.
    deployment.used = [deployment.fleet.gateways[gateway]]
    sleep(timedelta(milliseconds=300))
    began_at = CLOCK.elapsed()
    endpoints = deployment.endpoints[:refusing]
    for endpoint in endpoints:
        endpoint.backoff = backoff
    sleep(1.5 * backoff)
    for endpoint in endpoints:
        refused = [at for at in endpoint.arrivals if at >= began_at]
        assert refused
        assert most_within_backoffs(refused, backoff) <= MOST_IN_A_BACKOFF
    if refusing == ENDPOINTS:
        assert deployment.refusals
        for refusal in deployment.refusals:
            assert refusal.startswith(b"HTTP/1.1 503")
            assert header(refusal, "retry-after")


def test_the_log_leads_from_a_refused_request_to_the_endpoints_own_words(deployment):
    """Guards against a refusal that nobody can explain."""
    gateway = deployment.fleet.gateways[0]
    deployment.used = [gateway]
    sleep(timedelta(milliseconds=300))
    for endpoint in deployment.endpoints:
        endpoint.backoff = 3 * SECOND
    sleep(SECOND)
    deployment.name_limits(0.5, deployment.endpoints)
    for endpoint in deployment.endpoints:
        endpoint.backoff = None
    sleep(4 * SECOND)
    lines = gateway.log_lines()
    names = {endpoint.name for endpoint in deployment.endpoints}
    by_reason = {
        line["reason"]: line for line in lines if line.get("outcome") == "refused"
    }
    explained_by = {
        "endpoints backed off": "endpoint back-off",
        "endpoints at their limits": "endpoint limit changed",
    }
    for reason, message in explained_by.items():
        assert by_reason[reason]["status"] == 503
        assert by_reason[reason]["sends"] == 0
        told = [line for line in lines if line["message"] == message]
        assert names == {line["endpoint"] for line in told}
    # Each back-off names the request whose refusal asked for it.
    refused = {line["request_id"] for line in lines if line["message"] == "send failed"}
    told = [line for line in lines if line["message"] == "endpoint back-off"]
    assert {line["request_id"] for line in told} <= refused
