"""The gates of all services, kept in step with the text and the endpoints."""

import random
from collections.abc import Callable, Mapping
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.admission import CustomerShare
from sassafrasdale.endpoints.directory import Directory
from sassafrasdale.requests.gate import Gate
from sassafrasdale.text.structures import Service, Text

# Endpoints ejected or back since the last count change the room this late.
COUNT_INTERVAL = timedelta(seconds=1)


class Gates:
    """One gate a service.

    :param directory: the endpoints known.
    :param ejected: names the endpoints of a service left out for their failures.
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
        """Return the gate of a service that the text in force names."""
        return self._gates[service]

    def set_text(self, text: Text) -> None:
        """Take a new revision of the text; a service's waiting requests stay."""
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
        """Take the number of entries that share the endpoints."""
        self._live_entries = max(count, 1)
        self.refresh()

    def refresh(self) -> None:
        """Take the endpoints as the directory has them now."""
        self._counted_at = self._clock.elapsed()
        for name, gate in self._gates.items():
            if name in self._services:
                gate.set_share(self._capacity(name), self._live_entries)

    def sweep(self) -> None:
        """Turn away requests whose deadline can't be met any more.

        The capacity is counted anew: endpoints are ejected and come back between
        two lists of instances, and a zone's worth of them is much of the room.
        """
        if self._clock.elapsed() - self._counted_at >= COUNT_INTERVAL:
            self.refresh()
        for gate in self._gates.values():
            gate.sweep()

    def _capacity(self, name: str) -> int:
        """Return how many requests the service's endpoints run at once."""
        service = self._services[name]
        ejected = self._ejected(name)
        return sum(
            max_in_flight(service, endpoint.instance.instance_class)
            for endpoint in self._directory.serving(name)
            if endpoint.name not in ejected
        )


def max_in_flight(service: Service, instance_class: str) -> int:
    """Return how many calls one endpoint of a class runs at a time."""
    for pool in service.pools:
        if pool.instance_class == instance_class:
            return pool.max_in_flight
    return service.pools[0].max_in_flight
