"""Which plain services a dispatcher assigns, and which of their endpoints are slow."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.decisions.response_times import MIN_USUAL
from sassafrasdale.deployment import (
    Configuration,
    Endpoint,
    EndpointState,
    RequestKind,
    RequestTraits,
    Route,
    Service,
    WeightedService,
)
from sassafrasdale.gateway.admission.endpoint_times import SEND_TIME
from sassafrasdale.structures import Address
from tests.gateway.test_dispatcher import Gateway

MS = timedelta(milliseconds=1)
TRAITS = RequestTraits("r")


class PlainGateway(Gateway):
    """A gateway with a plain endpoint in its zone and one in another."""

    def __init__(self, slots=6, gateways=40, objective=150 * MS):
        services = (WeightedService("records", 1.0),)
        route = Route(
            "r", "h", "/", RequestKind.NON_IDEMPOTENT, services, objective=objective
        )
        records = {"records": Service("records")}
        clock = ManualClock()
        configuration = Configuration(1, (route,), records)
        super().__init__("g", clock, configuration=configuration, endpoints=0)
        self.fleet._peering.gateway_count = lambda: gateways
        for name, zone in (("p-a", "a"), ("p-b", "b")):
            address = Address("127.0.0.1", 1)
            self.directory.put(
                Endpoint(name, "records", address, zone, EndpointState.READY, slots)
            )

    def start(self):
        return self.fleet.start_local_attempt(
            "records", TRAITS, (), (), is_retry=False, only_with_room=True
        )

    def run(self, took, endpoint):
        """Run a request that takes some time at an endpoint."""
        others = {"p-a", "p-b"} - {endpoint}
        attempt = self.fleet.start_local_attempt(
            "records", TRAITS, others, (), is_retry=False
        )
        self.fleet.record_local_first_token(attempt, took)
        self.fleet.finish_local_attempt(attempt)


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({}, True),
        ({"gateways": 2}, False),
        ({"slots": 50}, False),
        ({"objective": None}, False),
    ],
)
def test_only_few_slots_with_an_objective_are_assigned(fields, expected):
    assert PlainGateway(**fields).fleet.is_dispatched("records") is expected


def test_requests_fill_their_own_zone_s_slots_first():
    """Guards against rejections at a full endpoint while others have free slots."""
    gateway = PlainGateway()
    names = [gateway.start().record.name for _ in range(12)]
    assert names == ["p-a"] * 6 + ["p-b"] * 6
    assert gateway.start() is None


def test_an_endpoint_that_has_become_slow_is_avoided():
    """Guards against requests that are late at an endpoint that all gateways use."""
    gateway = PlainGateway()
    for _ in range(MIN_USUAL):
        gateway.run(30 * MS, "p-a")
    for _ in range(3):
        gateway.run(75 * MS, "p-a")
    assert gateway.start().record.name == "p-b"
    gateway.clock.advance(timedelta(seconds=1.1))
    assert gateway.start().record.name == "p-a"


def test_a_request_costs_its_usual_time_in_a_slot():
    gateway = PlainGateway()
    for _ in range(MIN_USUAL):
        gateway.run(30 * MS, "p-a")
    times = gateway.fleet.endpoint_times
    assert times.cost_of("records", TRAITS) == 30 * MS / 6
    assert times.delay_of("records", 1) == 30 * MS * 5 / 6 + SEND_TIME


def test_a_request_is_allowed_the_time_of_most_responses():
    """Guards against responses that miss their deadlines by the usual variation."""
    gateway = PlainGateway()
    for number in range(2 * MIN_USUAL):
        gateway.run((30 if number % 4 else 50) * MS, "p-a")
    times = gateway.fleet.endpoint_times
    assert times.cost_of("records", TRAITS) == 30 * MS / 6
    assert times.delay_of("records", 1) == 50 * MS - 30 * MS / 6 + SEND_TIME


def test_times_are_known_where_gateways_choose_themselves():
    """Guards against long requests at brittle endpoints that keep the default time."""
    gateway = PlainGateway(gateways=2)
    for _ in range(MIN_USUAL):
        gateway.run(30 * MS, "p-a")
    assert gateway.fleet.endpoint_times.cost_of("records", TRAITS) == 30 * MS / 6


def test_an_overload_that_is_over_leaves_no_long_time():
    """Guards against requests that are all rejected for what earlier ones took."""
    gateway = PlainGateway()
    for number in range(100):
        gateway.run((30 if number < MIN_USUAL else 590) * MS, "p-a")
    times = gateway.fleet.endpoint_times
    gateway.clock.advance(timedelta(seconds=2))
    allowed = times.cost_of("records", TRAITS) + times.delay_of("records", 1)
    assert allowed == 30 * MS + SEND_TIME
