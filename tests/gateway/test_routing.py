"""Look-up of a request's route and customer."""

from random import Random

from sassafrasdale.deployment import (
    Configuration,
    Customer,
    RequestKind,
    Route,
    WeightedService,
)
from sassafrasdale.gateway.routing import RouteTable, draw_service


def route(name: str, prefix: str, *services: WeightedService) -> Route:
    return Route(
        name,
        "labs.example",
        prefix,
        RequestKind.IDEMPOTENT,
        services or (WeightedService("records", 1),),
    )


TABLE = RouteTable(
    Configuration(
        1,
        (route("short", "/a/"), route("long", "/a/b/"), route("other", "/c/")),
        {},
        (Customer("lab", frozenset({"k1", "k2"})),),
    )
)


def test_the_longest_prefix_wins():
    assert TABLE.route("labs.example", "/a/b/c").name == "long"
    assert TABLE.route("labs.example", "/a/bc").name == "short"
    assert TABLE.route("LABS.example:80", "/a/?x=/a/b/").name == "short"


def test_no_route():
    assert TABLE.route("labs.example", "/a") is None
    assert TABLE.route("elsewhere.example", "/a/") is None


def test_customers_by_key():
    assert TABLE.customer("k2").name == "lab"
    assert TABLE.customer("k3") is None


def test_services_are_drawn_by_weight():
    split = route("s", "/s/", WeightedService("x", 90), WeightedService("y", 10))
    rng = Random(1)
    drawn = [draw_service(split, rng) for _ in range(2000)]
    assert 120 < drawn.count("y") < 280
