"""The gates of all services, updated with the configuration and the endpoints."""

import random
from collections.abc import Callable, Mapping
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.admission import CustomerShare
from sassafrasdale.endpoints.directory import Directory
from sassafrasdale.requests.gate import Gate
from sassafrasdale.text.structures import Service, Text

# Interval for counting the capacity of endpoints, without the ejected ones.
COUNT_INTERVAL = timedelta(seconds=1)


class Gates:
    """One gate per service.

    :param directory: the known endpoints.
    :param ejected: returns the names of a service's ejected endpoints.
    :param clock: source of time.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        directory: Directory,
        ejected: Callable[[str], frozenset[str]],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._ejected = ejected
        self._counted_at = clock.elapsed()
        self._clock = clock
        self._rng = rng
        self._gates: dict[str, Gate] = {}
        self._services: Mapping[str, Service] = {}
        self._live_entries = 1

    def of(self, service: str) -> Gate:
        """Return the gate of a service of the current configuration."""
        return self._gates[service]

    def set_text(self, text: Text) -> None:
        """Apply a new configuration revision; waiting requests keep waiting."""
        self._services = text.services
        customers = {
            name: CustomerShare(
                weight=customer.weight,
                requests_per_second=customer.requests_per_second,
                max_in_flight=customer.max_in_flight,
            )
            for name, customer in text.customers.items()
        }
        for name in text.services:
            gate = self._gates.get(name)
            if gate is not None:
                gate.set_customers(customers)
                continue
            self._gates[name] = Gate(
                self._capacity(name),
                self._live_entries,
                customers,
                self._clock,
                self._rng,
            )
        self.refresh()

    def set_live_entries(self, count: int) -> None:
        """Set the number of entries that share the endpoints."""
        self._live_entries = max(count, 1)
        self.refresh()

    def refresh(self) -> None:
        """Update the capacity from the directory's current endpoints."""
        self._counted_at = self._clock.elapsed()
        for name, gate in self._gates.items():
            if name in self._services:
                gate.set_share(self._capacity(name), self._live_entries)

    def sweep(self) -> None:
        """Refuse waiting requests whose deadline can no longer be met.

        Also updates the capacity: endpoints are ejected and readmitted between two
        updates of the instance list, and those of a whole zone are a large part of
        the capacity.
        """
        if self._clock.elapsed() - self._counted_at >= COUNT_INTERVAL:
            self.refresh()
        for gate in self._gates.values():
            gate.sweep()

    def _capacity(self, name: str) -> int:
        """Return the number of requests that the service's endpoints run at once."""
        service = self._services[name]
        ejected = self._ejected(name)
        return sum(
            max_in_flight(service, endpoint.instance.instance_class)
            for endpoint in self._directory.serving(name)
            if endpoint.name not in ejected
        )


def max_in_flight(service: Service, instance_class: str) -> int:
    """Return the number of calls that an endpoint of a class runs at once."""
    for pool in service.pools:
        if pool.instance_class == instance_class:
            return pool.max_in_flight
    return service.pools[0].max_in_flight
