"""Gateways as real processes, on stand-ins for the platform's services."""

from collections import Counter
from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import connect, sleep, spawn
from standins.gateway_fleet import HUP, KILL, STOP, TERM, GatewayFleet, ask, wait_for
from standins.kv_store import Fault
from tests.gateway.world import header, request
from tests.platform.documents import configuration, settings

CLOCK = SystemClock()
SECOND = timedelta(seconds=1)
# The deployment's guarantees: this long after the store has confirmed a change, it
# takes effect, or a draining endpoint gets no more requests.
APPLY_TIME = timedelta(milliseconds=settings()["bounds"]["configApplyMs"])
DRAIN_TIME = timedelta(milliseconds=settings()["bounds"]["drainMs"])
STREAM = {"token_count": "400,24", "prompt_prefix": "aa:300,bb:100"}


@pytest.fixture
def fleet():
    """Return a fleet with endpoints of both kinds and no gateways yet."""
    fleet = GatewayFleet(settings(), configuration())
    for number, zone in enumerate("ab"):
        fleet.add_endpoint(f"m-{number}", "models", zone, streams=True)
        fleet.add_endpoint(f"n-{number}", "models-next", zone, streams=True)
        fleet.add_endpoint(f"r-{number}", "records", zone, streams=False)
    yield fleet
    fleet.close()


def start(fleet: GatewayFleet, count: int = 2) -> None:
    for number in range(count):
        fleet.add_gateway(f"front-{number}", "ab"[number % 2]).launch()
    for gateway in fleet.gateways:
        gateway.wait_until_ready()


def ask_each_kind(gateway) -> list[bytes]:
    return [
        ask(gateway.address, request("/certificates/7", "r-1")),
        ask(gateway.address, request("/reports/open/1", "r-2", method="GET")),
        ask(gateway.address, request("/reports/7", "r-3", **STREAM)),
    ]


def test_each_kind_of_request_is_served(fleet):
    start(fleet)
    for gateway in fleet.gateways:
        plain, page, stream = ask_each_kind(gateway)
        assert plain.startswith(b"HTTP/1.1 200")
        assert page.startswith(b"HTTP/1.1 200")
        assert stream.count(b"data: token") == 8
        assert stream.endswith(b"0\r\n\r\n")
        assert header(stream, "replica-stamp")


def test_usage_is_reported_once_for_all_gateways(fleet):
    """A customer would be billed twice, or for only half of its requests.

    Requests arrive at both gateways in one window; the leader must report their sum
    once, with one fencing number.
    """
    start(fleet)
    for gateway in fleet.gateways:
        ask_each_kind(gateway)
    wait_for(
        lambda: (
            sum(
                call.document["counts"].get("lab-a", 0)
                for call in fleet.duties.accepted("/usage")
            )
            >= 4
        ),
        "the requests were not reported",
        15 * SECOND,
    )
    calls = fleet.duties.accepted("/usage")
    assert len({call.holder for call in calls}) == 1
    windows = [call.document["window"] for call in calls]
    assert len(windows) == len(set(windows))


def test_a_graceful_stop_fails_no_request(fleet):
    """Callers' requests would fail with each release.

    A gateway gets SIGTERM while a stream is running, and new requests keep arriving
    until the load balancer has taken it out.
    """
    start(fleet)
    stopping = fleet.gateways[0]
    answers = []

    def stream():
        answers.append(ask(stopping.address, request("/reports/7", "r-s", **STREAM)))

    def plain(number: int):
        answers.append(ask(stopping.address, request("/certificates/7", f"r-{number}")))

    spawn(stream)
    sleep(SECOND / 10)
    stopping.signal(TERM)
    sleep(SECOND / 5)
    assert not stopping.is_ready()
    for number in range(20):
        plain(number)
        sleep(SECOND / 10)
    wait_for(lambda: stopping.exit_code() is not None, "it did not stop")
    assert stopping.exit_code() == 0
    assert len(answers) == 21
    assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)
    messages = [line["message"] for line in stopping.log_lines()]
    assert "gateway stopping" in messages
    assert "gateway stopped" in messages


def test_a_stop_during_startup_fails_no_request(fleet):
    """Guards against reset connections when a gateway gets SIGTERM during startup.

    Its socket accepts connections before the program has loaded.
    """
    gateway = fleet.add_gateway("front-0", "a")
    gateway.launch()
    caller = connect_when_open(gateway)
    caller.sendall(request("/certificates/7"))
    gateway.signal(TERM)
    assert caller.recv(65_536).startswith(b"HTTP/1.1 200")
    caller.close()
    wait_for(lambda: gateway.exit_code() is not None, "it did not stop")
    assert gateway.exit_code() == 0


def test_a_stop_before_the_configuration_is_read_is_503(fleet):
    """Guards against a 404 for a route that the gateway has not looked up.

    The store does not respond, so the gateway stops without any configuration.
    """
    fleet.store.fault = Fault.SILENT
    gateway = fleet.add_gateway("front-0", "a")
    gateway.launch()
    caller = connect_when_open(gateway)
    caller.sendall(request("/certificates/7"))
    gateway.signal(TERM)
    answer = caller.recv(65_536)
    caller.close()
    assert answer.startswith(b"HTTP/1.1 503")
    assert float(header(answer, "retry-after")) > 0


def test_a_reload_during_startup_does_not_end_the_process(fleet):
    """Guards against a gateway that is terminated by SIGHUP during startup."""
    gateway = fleet.add_gateway("front-0", "a")
    gateway.launch()
    connect_when_open(gateway).close()
    gateway.signal(HUP)
    gateway.wait_until_ready()
    messages = [line["message"] for line in gateway.log_lines()]
    assert "settings reloaded" in messages


def connect_when_open(gateway):
    """Return a connection to a starting gateway, as soon as it accepts one."""
    found = []

    def is_open() -> bool:
        try:
            found.append(connect(gateway.address, 10 * SECOND))
        except OSError:
            return False
        return True

    wait_for(is_open, "nothing listens at the address")
    return found[0]


def test_a_store_that_is_unavailable_at_startup(fleet):
    """A new gateway would respond 404 to valid requests, or crash in a loop.

    The store does not respond when the gateway starts. The gateway must report not
    ready, refuse requests with ``Retry-After``, and serve soon after the outage.
    """
    fleet.store.fault = Fault.SILENT
    gateway = fleet.add_gateway("front-0", "a")
    gateway.launch()
    wait_for(lambda: b"503" in ask(gateway.ready_address, _READY), "no response")
    answer = ask(gateway.address, request("/certificates/7"))
    assert answer.startswith(b"HTTP/1.1 503")
    assert float(header(answer, "retry-after")) > 0
    wait_for(
        lambda: any(
            line["message"] == "dependency lost" for line in gateway.log_lines()
        ),
        "the loss was not logged",
    )
    fleet.store.fault = Fault.NONE
    gateway.wait_until_ready()
    assert ask(gateway.address, request("/certificates/7")).startswith(b"HTTP/1.1 200")


def test_requests_during_startup_are_answered(fleet):
    """Callers would be refused for most of a second after each crash.

    A caller connects as soon as the address of a starting gateway accepts
    connections, which is before the program and its configuration are loaded.
    """
    gateway = fleet.add_gateway("front-0", "a")
    gateway.launch()
    answers = []

    def is_answered() -> bool:
        answer = ask(gateway.address, request("/certificates/7"))
        answers.extend([answer] if answer else [])
        return bool(answers)

    wait_for(is_answered, "nothing listens at the address")
    assert answers[0].startswith(b"HTTP/1.1 200")


def test_requests_are_served_during_a_store_outage(fleet):
    """Guards against requests that wait for a store which does not respond."""
    start(fleet)
    fleet.store.fault = Fault.SILENT
    sleep(2 * SECOND)
    for gateway in fleet.gateways:
        plain, page, stream = ask_each_kind(gateway)
        assert plain.startswith(b"HTTP/1.1 200")
        assert stream.endswith(b"0\r\n\r\n")


def test_a_new_configuration_takes_effect(fleet):
    start(fleet)
    routes = [dict(route) for route in configuration()["routes"]]
    routes[0]["prefix"] = "/certificates-new/"
    fleet.store.put("op/config", configuration(version=9, routes=routes))
    for gateway in fleet.gateways:
        wait_for(
            lambda gateway=gateway: ask(
                gateway.address, request("/certificates-new/7")
            ).startswith(b"HTTP/1.1 200"),
            "the new configuration did not take effect",
            2 * SECOND,
        )
        assert ask(gateway.address, request("/certificates/7")).startswith(
            b"HTTP/1.1 404"
        )


def suspend_store(fleet: GatewayFleet) -> None:
    """Make the store stop responding for 6.5 s, shortly after a change.

    The change completes all gateways' watch calls, so each gateway sends a new one as
    the outage begins, and a second one shortly before it ends.
    """
    sleep(SECOND / 4)
    fleet.store.fault = Fault.SILENT
    sleep(6.5 * SECOND)
    fleet.store.fault = Fault.NONE


def ask_concurrently(fleet: GatewayFleet) -> None:
    """Send ten concurrent requests to each gateway."""
    tasks = [
        spawn(ask, gateway.address, request("/certificates/7", f"r-{number}"))
        for gateway in fleet.gateways
        for number in range(10)
    ]
    for task in tasks:
        task.wait()


def test_a_configuration_after_an_outage_takes_effect_in_time(fleet):
    """Callers of a new route get 404 seconds after the store confirmed the route.

    A change completes all gateways' watch calls, and the store stops responding. Each
    gateway sends a new watch call, which is never answered, even after the store is
    back and has written a new version; until it times out, the gateway does not ask
    for the configuration. It was seen on all gateways that such a call, the second
    since the change, ran into its 6 s timeout three seconds after the store was back,
    while lease renewals were answered.
    """
    start(fleet)
    fleet.store.put("op/config", configuration(version=8))
    suspend_store(fleet)
    routes = [dict(route) for route in configuration()["routes"]]
    routes[0]["prefix"] = "/certificates-new/"
    fleet.store.put("op/config", configuration(version=9, routes=routes))
    sleep(APPLY_TIME)
    for gateway in fleet.gateways:
        answer = ask(gateway.address, request("/certificates-new/7"))
        assert answer.startswith(b"HTTP/1.1 200")


def test_an_endpoint_draining_after_an_outage_gets_no_new_requests(fleet):
    """Requests are cut off by an endpoint although it announced its drain in time.

    As above, but with the list of endpoints: one is added, the store stops responding
    and is back, and the endpoint's drain is confirmed. Gateways whose watch calls were
    sent during the outage go on sending to it beyond its drain time.
    """
    start(fleet)
    leaving = fleet.add_endpoint("r-8", "records", "a", streams=False)
    suspend_store(fleet)
    ask_concurrently(fleet)
    assert leaving.request_ids
    leaving.register("draining")
    sleep(DRAIN_TIME)
    before = len(leaving.request_ids)
    ask_concurrently(fleet)
    assert len(leaving.request_ids) == before


def test_an_endpoint_removed_with_the_history_is_noticed(fleet):
    """Requests would still be sent to an endpoint that has been removed.

    The store removes the endpoint's key and compacts its history, so that no watch
    delivers the change.
    """
    start(fleet, 1)
    fleet.store.remove("servers/r-0")
    fleet.store.compact_history()
    gateway = fleet.gateways[0]
    wait_for(
        lambda: any(
            line["message"] == "endpoint removed" for line in gateway.log_lines()
        ),
        "the removal was not noticed",
    )


def test_a_draining_endpoint_gets_no_new_requests(fleet):
    """Requests would be cut off when the endpoint stops."""
    start(fleet, 1)
    fleet.add_endpoint("r-9", "records", "a", streams=False)
    leaving = fleet.add_endpoint("r-8", "records", "a", streams=False)
    sleep(SECOND / 2)
    leaving.register("draining")
    sleep(SECOND / 2)
    before = len(leaving.request_ids)
    for number in range(10):
        ask(fleet.gateways[0].address, request("/certificates/7", f"r-{number}"))
    assert len(leaving.request_ids) == before


def test_invalid_settings_are_named_and_end_the_process(fleet):
    gateway = fleet.add_gateway("front-0", "a")
    gateway.write_settings(node=None, portRange="none")
    gateway.launch()
    wait_for(lambda: gateway.exit_code() is not None, "it runs with invalid settings")
    assert gateway.exit_code() == 2
    assert "node" in gateway.output()
    assert "portRange" in gateway.output()


def test_invalid_settings_at_a_reload_change_nothing(fleet):
    start(fleet, 1)
    gateway = fleet.gateways[0]
    gateway.write_settings(portRange="none")
    gateway.signal(HUP)
    wait_for(
        lambda: any(
            line["message"].startswith("settings not reloaded")
            for line in gateway.log_lines()
        ),
        "the fault was not logged",
    )
    assert ask(gateway.address, request("/certificates/7")).startswith(b"HTTP/1.1 200")


def test_metrics_are_served(fleet):
    start(fleet, 1)
    gateway = fleet.gateways[0]
    ask_each_kind(gateway)
    page = ask(
        gateway.metrics_address, b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"
    ).decode()
    assert "sassafrasdale_events_total" in page


@pytest.mark.parametrize("number", [KILL, STOP], ids=["killed", "paused"])
def test_streams_are_served_without_the_dispatcher(fleet, number):
    """All callers of a zone would wait or be refused when one gateway fails.

    The dispatcher, which assigns engines to its zone's streams, is killed or paused
    while the other gateways accept streams. They must select engines themselves until
    another dispatcher responds.
    """
    for name in ("front-0", "front-1", "front-2"):
        fleet.add_gateway(name, "a").launch()
    for gateway in fleet.gateways:
        gateway.wait_until_ready()
    wait_for(lambda: _dispatcher(fleet) is not None, "no dispatcher was chosen")
    dispatcher = _dispatcher(fleet)
    others = [gateway for gateway in fleet.gateways if gateway is not dispatcher]
    ask(others[0].address, request("/reports/7", "r-first", **STREAM))
    dispatcher.signal(number)
    began = CLOCK.elapsed()
    for number in range(20):
        gateway = others[number % 2]
        stream = ask(gateway.address, request("/reports/7", f"r-{number}", **STREAM))
        assert stream.startswith(b"HTTP/1.1 200")
        assert stream.count(b"data: token") == 8
    assert CLOCK.elapsed() - began < 10 * SECOND
    assert any(
        line["message"] == "request ended" and line.get("named_by")
        for gateway in others
        for line in gateway.log_lines()
    )


def _dispatcher(fleet: GatewayFleet):
    """Return the gateway that at least two others chose, None if there is none."""
    chosen = Counter(
        line["peer"]
        for gateway in fleet.gateways
        for line in gateway.log_lines()
        if line["message"] == "aggregator chosen"
    )
    named = [name for name, count in chosen.items() if count >= 2]
    found = [gateway for gateway in fleet.gateways if gateway.name in named]
    return found[0] if found else None


_READY = b"GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n"
