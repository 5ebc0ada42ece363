"""What the configuration says of services and customers as a whole."""

from datetime import timedelta

from sassafrasdale.deployment import (
    Configuration,
    Customer,
    RequestKind,
    Route,
    WeightedService,
)

MS = timedelta(milliseconds=1)


def route(name: str, objective: timedelta | None, *services: str) -> Route:
    """Return a route whose requests go to some services."""
    weighted = tuple(WeightedService(service, 1.0) for service in services)
    return Route(name, "h", "/", RequestKind.IDEMPOTENT, weighted, objective=objective)


def test_a_service_has_the_shortest_objective_of_its_routes() -> None:
    routes = (
        route("slow", 800 * MS, "models", "records"),
        route("fast", 200 * MS, "models"),
        route("none", None, "models", "files"),
    )
    configuration = Configuration(1, routes, {})
    objectives = [
        configuration.objective(name) for name in ("models", "records", "files", "x")
    ]
    assert objectives == [200 * MS, 800 * MS, None, None]


def test_customers_weigh_as_much_as_their_limits() -> None:
    """Guards against a customer without a limit that gets nothing, or everything."""
    customers = (
        Customer("large", frozenset(), rate=300.0),
        Customer("small", frozenset(), rate=100.0),
        Customer("unlimited", frozenset()),
    )
    configuration = Configuration(1, (), {}, customers)
    names = ("large", "small", "unlimited", "unknown", "")
    weights = [configuration.weight(name) for name in names]
    assert weights == [300.0, 100.0, 200.0, 200.0, 200.0]


def test_without_limits_all_customers_weigh_the_same() -> None:
    customers = (Customer("one", frozenset()), Customer("two", frozenset()))
    configuration = Configuration(1, (), {}, customers)
    assert configuration.weight("one") == configuration.weight("two") > 0
