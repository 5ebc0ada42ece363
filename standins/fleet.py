"""A complete deployment on one machine: platform, endpoints and entries.

Usage::

    with Fleet(Path("examples/authority.yaml").read_text(), entries=6) as fleet:
        fleet.entries[0].client.call("GET", "/v1/services/records/lookups/7")
        fleet.reclaim_zone("cairo-a", seconds=5)
"""

import threading
from collections.abc import Iterator, Mapping
from contextlib import ExitStack
from datetime import timedelta
from itertools import cycle, islice
from typing import Any, Self

from sassafrasdale.text.parser import parse_text
from sassafrasdale.text.structures import EndpointPool, Service, ServiceKind, Text
from standins.processes import (
    START_LIMIT,
    EndpointProcess,
    EngineProcess,
    EntryProcess,
    ManagedProcess,
    PlatformProcess,
    ProcessError,
    ServiceProcess,
)

FIRST_REVISION = "0"
FOLLOW_POLL = timedelta(milliseconds=100)
ON_DEMAND_FACTOR = 3.0
"""Price of an on-demand instance, relative to a reclaimable one."""


class Fleet:
    """Processes of a deployment as described by a configuration text.

    :param text: the text in YAML. Each pool's endpoints are spread over its zones.
    :param entries: number of entries, spread over all zones.
    :param engine_options: options of every :class:`EngineProcess`.
    :param service_options: options of every :class:`ServiceProcess`.
    :param entry_options: options of every :class:`EntryProcess`.
    """

    def __init__(
        self,
        text: str,
        *,
        entries: int = 3,
        engine_options: Mapping[str, Any] | None = None,
        service_options: Mapping[str, Any] | None = None,
        entry_options: Mapping[str, Any] | None = None,
    ) -> None:
        self._yaml = text
        self._text: Text = parse_text(text)
        self._entry_count = entries
        self._engine_options = dict(engine_options or {})
        self._service_options = dict(service_options or {})
        self._entry_options = dict(entry_options or {})
        self._stack = ExitStack()
        self._timers: list[threading.Timer] = []
        self.platform = PlatformProcess()
        self.endpoints: list[EndpointProcess] = []
        self.entries: list[EntryProcess] = []

    def __enter__(self) -> Self:
        """Start all processes and submit the text."""
        with ExitStack() as stack:
            stack.callback(self._cancel_timers)
            stack.enter_context(self.platform)
            self._stack = stack
            self._start_endpoints()
            self._set_prices()
            self._start_entries()
            self._put_text()
            for entry in self.entries:
                entry.wait_until_ready()
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *_exception: object) -> None:
        """Kill all processes."""
        self._stack.close()

    @property
    def text(self) -> Text:
        """The parsed text that the fleet was started with."""
        return self._text

    def endpoints_of(self, service: str) -> list[EndpointProcess]:
        """Return the endpoints of a service."""
        return [item for item in self.endpoints if item.service == service]

    def executions(self, service: str) -> list[dict[str, Any]]:
        """Return the requests that the service's running endpoints executed."""
        return [
            item
            for endpoint in self.endpoints_of(service)
            if endpoint.return_code is None
            for item in endpoint.executions()
        ]

    def process(self, name: str) -> ManagedProcess:
        """Return the process of an instance.

        :raises KeyError: if there is no instance with that name.
        """
        for process in (*self.endpoints, *self.entries):
            if process.name == name:
                return process
        raise KeyError(name)

    def reclaim(self, instance: str, seconds: float, times: int = 1) -> None:
        """Send the notice of an instance's reclaim, and kill it after ``seconds``."""
        self.platform.give_notice(instance, seconds, times)
        self._kill_later([instance], seconds)

    def reclaim_zone(self, zone: str, seconds: float) -> list[str]:
        """Send the notices of a zone's reclaim, and kill its instances later."""
        names = sorted(set(self.platform.reclaim_zone(zone, seconds)))
        self._kill_later(names, seconds)
        return names

    def kill_instance(self, instance: str) -> None:
        """Kill an instance without notice, and remove it from the instance list."""
        process = self.process(instance)
        if process.return_code is None:
            process.kill()
        self.platform.remove(instance)

    def add_endpoint(self, endpoint: EndpointProcess) -> None:
        """Start another endpoint and register it."""
        self._stack.enter_context(endpoint)
        self.platform.register(endpoint)
        self.endpoints.append(endpoint)

    def follow_orders(self, delay: timedelta = timedelta()) -> None:
        """Start and kill endpoints as ordered through the cloud API, in a thread.

        :param delay: time from an order until the endpoint is started.
        """
        follower = OrderFollower(self, delay)
        self._stack.callback(follower.stop)
        follower.start()

    def new_endpoint(
        self, name: str, service: str, zone: str, instance_class: str
    ) -> EndpointProcess:
        """Return an endpoint for a service's pool that is not started yet.

        :raises StopIteration: if the service has no pool of that class.
        """
        found = self._text.services[service]
        pool = next(p for p in found.pools if p.instance_class == instance_class)
        return self._endpoint(found, pool, name, zone)

    def add_entry(self, name: str, zone: str, **options: Any) -> EntryProcess:
        """Start another entry and register it; it may not be ready yet."""
        entry = self._entry(name, zone, options)
        self._launch(entry)
        self.platform.register(entry)
        self.entries.append(entry)
        entry.wait_until_live()
        return entry

    def _entry(self, name: str, zone: str, options: Mapping[str, Any]) -> EntryProcess:
        return EntryProcess(
            name,
            zone,
            self.platform.store,
            self.platform.cloud,
            **{**self._entry_options, **options},
        )

    def _launch(self, process: ManagedProcess) -> None:
        self._stack.callback(process.close)
        process.launch()

    def _start_endpoints(self) -> None:
        for service in self._text.services.values():
            self.endpoints.extend(self._new_endpoints(service))
        for endpoint in self.endpoints:
            self._launch(endpoint)
        for endpoint in self.endpoints:
            endpoint.wait_until_ready()
            self.platform.register(endpoint)

    def _new_endpoints(self, service: Service) -> Iterator[EndpointProcess]:
        number = 0
        for pool in service.pools:
            for zone in islice(cycle(pool.availability_zones), pool.count):
                number += 1
                yield self._endpoint(service, pool, f"{service.name}-{number}", zone)

    def _endpoint(
        self, service: Service, pool: EndpointPool, name: str, zone: str
    ) -> EndpointProcess:
        common = {
            "instance_class": pool.instance_class,
            "checks_fencing": pool.checks_fencing,
        }
        if service.kind is ServiceKind.PLAIN:
            options = {**common, **self._service_options}
            return ServiceProcess(name, zone, service.name, **options)
        options = {
            "max_batch": pool.max_in_flight,
            "max_waiting": pool.max_waiting,
            **common,
            **self._engine_options,
        }
        return EngineProcess(name, zone, service.name, **options)

    def _set_prices(self) -> None:
        """Set a different price for each zone, lowest in the first."""
        prices = [
            {
                "availability_zone": zone,
                "instance_class": instance_class,
                "reclaimable": reclaimable,
                "price_per_hour": round(
                    (1 + number / 10) * (1 if reclaimable else ON_DEMAND_FACTOR), 3
                ),
            }
            for number, zone in enumerate(self._text.availability_zones)
            for instance_class in self._text.instance_classes
            for reclaimable in (True, False)
        ]
        self.platform.control("POST", "prices", {"prices": prices})

    def _start_entries(self) -> None:
        zones = cycle(self._text.availability_zones)
        for number, zone in enumerate(islice(zones, self._entry_count), start=1):
            entry = self._entry(f"entry-{number}", zone, {})
            self._launch(entry)
            self.platform.register(entry)
            self.entries.append(entry)
        for entry in self.entries:
            entry.wait_until_live()

    def _put_text(self) -> None:
        if not self.entries:
            return
        response = self.entries[0].client.call(
            "PUT",
            "/admin/v1/text",
            self._yaml.encode(),
            {"If-Match": f'"{FIRST_REVISION}"', "X-Author": "fleet"},
        )
        if response.status != 200:
            raise ProcessError(f"text: {response.status} {response.data!r}")

    def _kill_later(self, names: list[str], seconds: float) -> None:
        timer = threading.Timer(seconds, self._kill_all, [names])
        timer.daemon = True
        self._timers.append(timer)
        timer.start()

    def _kill_all(self, names: list[str]) -> None:
        for name in names:
            self.kill_instance(name)

    def _cancel_timers(self) -> None:
        for timer in self._timers:
            timer.cancel()
        for timer in self._timers:
            timer.join(START_LIMIT / timedelta(seconds=1))


class OrderFollower:
    """Carries out the starts and releases ordered through the cloud API.

    :param fleet: fleet in which endpoints are started and killed.
    :param delay: time from an order until the endpoint is started.
    """

    def __init__(self, fleet: Fleet, delay: timedelta) -> None:
        self._fleet = fleet
        self._delay = delay
        self._stopped = threading.Event()
        self._started: set[str] = set()
        self._ended: set[str] = set()
        self._thread = threading.Thread(target=self._follow, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def _follow(self) -> None:
        while not self._stopped.wait(FOLLOW_POLL / timedelta(seconds=1)):
            orders = self._fleet.platform.control("GET", "starts")
            for start in orders["starts"]:
                self._start(start)
            for name in orders["given_back"]:
                self._end(name)

    def stop(self) -> None:
        """Stop the thread and wait for its end."""
        self._stopped.set()
        self._thread.join()

    def _start(self, order: Mapping[str, Any]) -> None:
        if order["name"] in self._started:
            return
        self._started.add(order["name"])
        if self._stopped.wait(self._delay / timedelta(seconds=1)):
            return
        endpoint = self._fleet.new_endpoint(
            order["name"],
            order["service"],
            order["availability_zone"],
            order["instance_class"],
        )
        self._fleet.add_endpoint(endpoint)

    def _end(self, name: str) -> None:
        if name not in self._ended:
            self._ended.add(name)
            self._fleet.kill_instance(name)
