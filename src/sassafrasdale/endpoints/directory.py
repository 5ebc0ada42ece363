"""The endpoints that an entry knows, by service.

The directory belongs to the entry's main task; others ask it and never keep
what it gives across a wait.
"""

from collections.abc import Callable, Iterable
from datetime import datetime, timedelta
from functools import partial

from sassafrasdale.charts import Lifecycle, load_chart
from sassafrasdale.clock import Clock
from sassafrasdale.endpoints.adapters import BaseAdapter, HttpAdapter
from sassafrasdale.structures import Address, Instance, InstanceState, Notice, Role

# A notice may come again long after its instance left; names are not reused.
NOTICE_MEMORY = 10_000

AdapterFactory = Callable[[Address], BaseAdapter]


class Endpoint:
    """One endpoint: its connections, its state and this entry's work on it.

    :param instance: the instance as the platform lists it.
    :param adapter: connections to it.
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
        """State of the endpoint's chart."""
        return self._lifecycle.state

    @property
    def takes_work(self) -> bool:
        """Whether new work may go there."""
        return self._lifecycle.state == "running"

    @property
    def leaves_at(self) -> datetime | None:
        """When the platform takes it, if that was announced."""
        return self._leaves_at

    def leave(self, leaves_at: datetime | None) -> bool:
        """Take no new work from now on; return whether that is news.

        The list may say that an endpoint leaves before its notice says when.
        """
        if not self._lifecycle.allows("notice"):
            news = self._leaves_at is None and leaves_at is not None
            self._leaves_at = self._leaves_at or leaves_at
            return news and self._lifecycle.state == "leaving"
        self._lifecycle.fire("notice")
        self._leaves_at = leaves_at
        return True

    def remove(self) -> None:
        """Forget the endpoint: the platform no longer lists it."""
        if self._lifecycle.allows("delist"):
            self._lifecycle.fire("delist")

    def report(self, load: int, own: int, now: timedelta) -> None:
        """Note the load that the endpoint reported.

        :param load: running and waiting requests of all entries.
        :param own: this entry's requests there when it asked.
        :param now: elapsed time of the entry's clock.
        """
        self.reported_load = load
        self.reported_at = now
        self.own_load_at_report = own


class Directory:
    """All endpoints known, by name and by service.

    :param clock: source of time.
    :param adapter_factory: makes the connections to an address.
    """

    def __init__(
        self, clock: Clock, *, adapter_factory: AdapterFactory | None = None
    ) -> None:
        self._clock = clock
        self._adapter_factory = adapter_factory or partial(HttpAdapter, clock=clock)
        self._endpoints: dict[str, Endpoint] = {}
        self._by_service: dict[str, list[Endpoint]] = {}
        self._leaving: dict[str, datetime] = {}

    @property
    def endpoints(self) -> tuple[Endpoint, ...]:
        """Every endpoint, whatever its state."""
        return tuple(self._endpoints.values())

    def get(self, name: str) -> Endpoint | None:
        """Return the endpoint called ``name``."""
        return self._endpoints.get(name)

    def serving(self, service: str) -> list[Endpoint]:
        """Return the endpoints of ``service`` that take new work."""
        return [e for e in self._by_service.get(service, ()) if e.takes_work]

    def serves(self, service: str) -> bool:
        """Return whether any endpoint of ``service`` takes new work."""
        return any(e.takes_work for e in self._by_service.get(service, ()))

    def replace(self, instances: Iterable[Instance]) -> list[Endpoint]:
        """Take over the platform's list; return endpoints that began to leave.

        The list lags: an endpoint whose notice came by another way stays
        leaving although the list still calls it running.
        """
        listed = {i.name: i for i in instances if i.role is Role.ENDPOINT}
        for name in self._endpoints.keys() - listed.keys():
            self._endpoints.pop(name).remove()
        newly_leaving = []
        for name, instance in listed.items():
            endpoint = self._endpoints.get(name) or self._add(instance)
            announced = self._leaving.get(name)
            marked = instance.state is InstanceState.LEAVING
            if (announced or marked) and endpoint.leave(announced):
                newly_leaving.append(endpoint)
        self._index()
        return newly_leaving

    def heed(self, notice: Notice) -> Endpoint | None:
        """Take a reclaim notice; return the endpoint if it begins to leave."""
        self._leaving[notice.instance] = notice.leaves_at
        while len(self._leaving) > NOTICE_MEMORY:
            self._leaving.pop(next(iter(self._leaving)))
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
