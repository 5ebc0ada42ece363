"""Fleets of gateways as processes whose one customer has no limit."""

from collections.abc import Sequence
from datetime import timedelta

from sassafrasdale.green import sleep
from standins.endpoint_links import EndpointLinks
from standins.gateway_endpoints import StandInEndpoint
from standins.gateway_fleet import GatewayFleet
from tests.platform.documents import configuration, settings

ZONES = "ab"
# Until gateways that were just started have discovered each other.
DISCOVERY_TIME = timedelta(seconds=1)


def unlimited_configuration(**changed: object) -> dict:
    """Return a configuration without a customer's limit and with one engine service."""
    [customer] = configuration()["tenants"]
    routes = [
        {**route, "split": [{"service": "models", "weight": 1}]}
        if route["name"] == "r-reports"
        else route
        for route in configuration()["routes"]
    ]
    return configuration(
        **{"tenants": [{**customer, "ratePerS": 0}], "routes": routes, **changed}
    )


def new_fleet(configured: dict | None = None) -> GatewayFleet:
    """Return a fleet without gateways and endpoints."""
    return GatewayFleet(settings(), configured or unlimited_configuration())


def add_plain_endpoints(fleet: GatewayFleet, count: int) -> list[StandInEndpoint]:
    """Add plain endpoints in all zones by turns, and return them."""
    return [
        fleet.add_endpoint(f"e-{n}", "records", ZONES[n % 2], streams=False)
        for n in range(count)
    ]


def add_engines(fleet: GatewayFleet, count: int) -> list[StandInEndpoint]:
    """Add engines in all zones by turns, and return them."""
    return [
        fleet.add_endpoint(f"m-{n}", "models", ZONES[n % 2], streams=True)
        for n in range(count)
    ]


def start_gateways(
    fleet: GatewayFleet, count: int, links: Sequence[EndpointLinks] = ()
) -> None:
    """Start gateways in all zones by turns, until they know each other.

    :param links: their own links to the endpoints; none if they have no such links.
    """
    for number in range(count):
        fleet.add_gateway(
            f"front-{number}",
            ZONES[number % 2],
            endpoint_links=links[number] if links else None,
        ).launch()
    for gateway in fleet.gateways:
        gateway.wait_until_ready()
    sleep(DISCOVERY_TIME)


class RunningFleet:
    """A fleet whose callers send until it is closed.

    :ivar is_running: whether the callers go on.
    """

    def __init__(self, configured: dict | None = None) -> None:
        self.fleet = new_fleet(configured)
        self.is_running = True

    def close(self) -> None:
        """Stop the callers and the gateways."""
        self.is_running = False
        self.fleet.close()
