"""Look-up of a request's route and customer."""

from random import Random

from sassafrasdale.deployment import Configuration, Customer, Route


class RouteTable:
    """Look-ups in one version of the configuration.

    :param configuration: the version.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._by_key = {
            key: customer
            for customer in configuration.customers
            for key in customer.keys
        }

    @property
    def configuration(self) -> Configuration:
        """The version that the look-ups use."""
        return self._configuration

    def route(self, host: str, target: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        name = host.rpartition(":")[0] if ":" in host else host
        path = target.partition("?")[0]
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def customer(self, key: str) -> Customer | None:
        """Return the customer that an API key belongs to."""
        return self._by_key.get(key)


def draw_service(route: Route, rng: Random) -> str:
    """Return one of the route's services, chosen at random by weight."""
    if len(route.services) == 1:
        return route.services[0].service
    weights = [part.weight for part in route.services]
    return rng.choices(route.services, weights)[0].service
