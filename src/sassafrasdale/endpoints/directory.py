"""The endpoints that an entry knows, by service.

The entry's main task updates the directory; other tasks read it, and never keep a
result while they wait.
"""

from collections.abc import Callable, Iterable
from datetime import datetime, timedelta
from functools import partial

from sassafrasdale.charts import Lifecycle, load_chart
from sassafrasdale.clock import Clock
from sassafrasdale.endpoints.adapters import BaseAdapter, HttpAdapter
from sassafrasdale.structures import Address, Instance, InstanceState, Notice, Role

# Number of notices kept. A notice may be repeated long after its instance left;
# instance names are not reused.
MAX_NOTICES = 10_000

AdapterFactory = Callable[[Address], BaseAdapter]


class Endpoint:
    """One endpoint: its connections, its state and its load.

    :param instance: the instance as the platform lists it.
    :param adapter: connections to it.

    :ivar in_flight: number of this entry's requests there.
    :ivar reported_load: load that the endpoint reported last.
    :ivar reported_at: elapsed time of the clock when that load was measured.
    :ivar own_load_at_report: number of this entry's requests there at that time.
    """

    def __init__(self, instance: Instance, adapter: BaseAdapter) -> None:
        self._instance = instance
        self._adapter = adapter
        self._lifecycle = Lifecycle(load_chart("endpoint"))
        self._leaves_at: datetime | None = None
        self.in_flight = 0
        self.reported_load = 0
        self.reported_at: timedelta | None = None
        self.own_load_at_report = 0

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self._instance.name

    @property
    def instance(self) -> Instance:
        """The instance as it was first listed."""
        return self._instance

    @property
    def adapter(self) -> BaseAdapter:
        """Connections to the endpoint."""
        return self._adapter

    @property
    def state(self) -> str:
        """State in the endpoint statechart."""
        return self._lifecycle.state

    @property
    def takes_work(self) -> bool:
        """Whether it accepts new requests."""
        return self._lifecycle.state == "running"

    @property
    def leaves_at(self) -> datetime | None:
        """When the platform reclaims it, or None if there was no notice."""
        return self._leaves_at

    def leave(self, leaves_at: datetime | None) -> bool:
        """Stop sending new requests there; return whether this was not known yet.

        The instance list may mark an endpoint as leaving before its notice, which
        has the time, arrives.
        """
        if not self._lifecycle.allows("notice"):
            is_new = self._leaves_at is None and leaves_at is not None
            self._leaves_at = self._leaves_at or leaves_at
            return is_new and self._lifecycle.state == "leaving"
        self._lifecycle.fire("notice")
        self._leaves_at = leaves_at
        return True

    def remove(self) -> None:
        """Mark the endpoint as removed: the platform no longer lists it."""
        if self._lifecycle.allows("delist"):
            self._lifecycle.fire("delist")

    def record_load(self, load: int, own: int, now: timedelta) -> None:
        """Record the load that the endpoint reported.

        :param load: running and waiting requests of all entries.
        :param own: this entry's requests there when the load was measured.
        :param now: elapsed time of the entry's clock when the load was measured.
        """
        self.reported_load = load
        self.reported_at = now
        self.own_load_at_report = own


class Directory:
    """All known endpoints, by name and by service.

    :param clock: source of time.
    :param adapter_factory: creates the adapter for an address.
    """

    def __init__(
        self, clock: Clock, *, adapter_factory: AdapterFactory | None = None
    ) -> None:
        self._clock = clock
        self._adapter_factory = adapter_factory or partial(HttpAdapter, clock=clock)
        self._endpoints: dict[str, Endpoint] = {}
        self._by_service: dict[str, list[Endpoint]] = {}
        self._notices: dict[str, datetime] = {}

    @property
    def endpoints(self) -> tuple[Endpoint, ...]:
        """All endpoints, in any state."""
        return tuple(self._endpoints.values())

    def get(self, name: str) -> Endpoint | None:
        """Return the endpoint with this name, or None."""
        return self._endpoints.get(name)

    def serving(self, service: str) -> list[Endpoint]:
        """Return the endpoints of ``service`` that accept new requests."""
        return [e for e in self._by_service.get(service, ()) if e.takes_work]

    def serves(self, service: str) -> bool:
        """Return whether any endpoint of ``service`` accepts new requests."""
        return any(e.takes_work for e in self._by_service.get(service, ()))

    def replace(self, instances: Iterable[Instance]) -> list[Endpoint]:
        """Apply the platform's instance list; return the newly leaving endpoints.

        The list is delayed: an endpoint whose notice was received separately stays
        leaving although the list still has it as running.
        """
        listed = {i.name: i for i in instances if i.role is Role.ENDPOINT}
        for name in self._endpoints.keys() - listed.keys():
            self._endpoints.pop(name).remove()
        newly_leaving = []
        for name, instance in listed.items():
            endpoint = self._endpoints.get(name) or self._add(instance)
            announced = self._notices.get(name)
            is_listed_leaving = instance.state is InstanceState.LEAVING
            if (announced or is_listed_leaving) and endpoint.leave(announced):
                newly_leaving.append(endpoint)
        self._index()
        return newly_leaving

    def apply_notice(self, notice: Notice) -> Endpoint | None:
        """Apply a reclaim notice; return the endpoint if it is newly leaving."""
        self._notices[notice.instance] = notice.leaves_at
        while len(self._notices) > MAX_NOTICES:
            self._notices.pop(next(iter(self._notices)))
        endpoint = self._endpoints.get(notice.instance)
        if endpoint is None or not endpoint.leave(notice.leaves_at):
            return None
        return endpoint

    def _add(self, instance: Instance) -> Endpoint:
        endpoint = Endpoint(instance, self._adapter_factory(instance.address))
        self._endpoints[instance.name] = endpoint
        return endpoint

    def _index(self) -> None:
        self._by_service = {}
        for endpoint in self._endpoints.values():
            service = endpoint.instance.service
            self._by_service.setdefault(service, []).append(endpoint)
