"""Input of the autoscaler."""

from datetime import timedelta
from random import Random

from sassafrasdale.clock import ManualClock
from sassafrasdale.decisions.ordering import OrderKey
from sassafrasdale.deployment import (
    Configuration,
    Endpoint,
    EndpointState,
    RequestKind,
    Route,
    ScaleBounds,
    Service,
    WeightedService,
)
from sassafrasdale.gateway.directory import Directory
from sassafrasdale.gateway.planning import planned_services
from sassafrasdale.structures import Address
from tests.gateway.fleets import no_rollouts

BOUNDS = ScaleBounds(1, 3, timedelta(seconds=4), 0.2, {"a": 1.0, "b": 1.0})
SERVICES = {"m": Service("m", scale=BOUNDS), "records": Service("records")}


def listed(name, zone, state=EndpointState.READY, **fields):
    return Endpoint(name, "m", Address("127.0.0.1", 1), zone, state, **fields)


def test_no_services_without_a_configuration():
    assert planned_services(None, None, lambda service: 0.0, None, None) == ()


def test_ready_endpoints_are_counted_by_kind():
    """Draining endpoints still serve, but must not count as capacity."""
    clock = ManualClock()
    directory = Directory(clock, Random(1), timedelta(seconds=2))
    directory.put(listed("i-1", "a"))
    directory.put(listed("i-2", "a", reclaimable=True))
    directory.put(listed("i-3", "a", reclaimable=True))
    directory.put(listed("i-4", "b", EndpointState.DRAINING))
    configuration = Configuration(1, (), SERVICES)
    [planned] = planned_services(
        configuration,
        directory,
        lambda service: 1.5,
        no_rollouts(clock),
        lambda record: record.name in ("i-2", "i-4"),
    )
    assert planned.limited == 1
    assert planned.load == 1.5
    assert planned.running == {
        OrderKey("m", "a", False): 1,
        OrderKey("m", "a", True): 2,
    }


def test_the_shortest_objective_and_the_request_time_are_passed_on():
    """Guards against orders that ignore what callers of a service need."""
    clock = ManualClock()
    routes = tuple(
        Route(
            name,
            name,
            "/",
            RequestKind.STREAM,
            (WeightedService("m", 1.0),),
            objective=objective,
        )
        for name, objective in [
            ("batch", timedelta(seconds=9)),
            ("chat", timedelta(seconds=1)),
            ("other", None),
        ]
    )
    [planned] = planned_services(
        Configuration(1, routes, SERVICES),
        Directory(clock, Random(1), timedelta(seconds=2)),
        lambda service: 1.5,
        no_rollouts(clock),
        lambda record: False,
        {"m": timedelta(seconds=0.2)}.get,
    )
    assert planned.objective == timedelta(seconds=1)
    assert planned.request_time == timedelta(seconds=0.2)
