"""Checks whether endpoints that said that they leave have stayed after all.

Such an endpoint gets no requests, so no response of it can tell. Its registration may
say nothing either: some endpoints never report that they leave.
"""

from collections.abc import Callable
from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.deployment import Configuration, EndpointState, Service
from sassafrasdale.gateway.advertisements.endpoint_beliefs import Departures
from sassafrasdale.gateway.directory import Directory, EndpointRecord
from sassafrasdale.green import sleep
from sassafrasdale.http.connections import MAX_UNUSED_BODY_BYTES, HttpClient
from sassafrasdale.http.exceptions import (
    ConnectionRefused,
    HttpError,
    NotConnected,
    ResponseTimeout,
)
from sassafrasdale.platform.signals import health_request, says_it_stays

log = Logger("departure checks")

STEP_INTERVAL = timedelta(seconds=1)
# Time after which an endpoint that is still registered as ready is asked. One that
# leaves is gone by then, or all but.
CHECK_AFTER = timedelta(seconds=30)
CHECK_TIMEOUT = timedelta(milliseconds=500)


class DepartureChecks:
    """Task that asks endpoints which should be gone whether they leave.

    :param departures: endpoints that have said so.
    :param directory: the registered endpoints.
    :param configuration: returns the current configuration, with the health checks.
    :param is_aggregator: returns whether this gateway checks for its zone.
    :param clock: source of elapsed time.
    """

    def __init__(
        self,
        departures: Departures,
        directory: Directory,
        configuration: Callable[[], Configuration | None],
        is_aggregator: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._departures = departures
        self._directory = directory
        self._configuration = configuration
        self._is_aggregator = is_aggregator
        self._clock = clock

    def run(self) -> None:
        """Check all that are due until the task is killed."""
        while True:
            sleep(STEP_INTERVAL)
            self.step()

    def step(self) -> None:
        """Check the endpoints that are due."""
        if not self._is_aggregator():
            return
        for record in list(self._directory.records.values()):
            if self._is_due(record):
                self._check(record)

    def _is_due(self, record: EndpointRecord) -> bool:
        if not self._departures.is_leaving(record.name):
            return False
        if record.endpoint.state is not EndpointState.READY:
            return False
        age = self._clock.elapsed() - self._departures.confirmed_at(record.name)
        return age >= CHECK_AFTER

    def _check(self, record: EndpointRecord) -> None:
        stays = self._says_it_stays(record)
        if stays is None:
            return
        value = None if stays else True
        self._departures.set(record.name, value, "health check")

    def _says_it_stays(self, record: EndpointRecord) -> bool | None:
        """Return whether an endpoint says that it stays; None if it is silent.

        One that is silent, or accepts no connections, may have stalled or be cut off,
        so it is asked again at the next step.
        """
        path = self._service(record.endpoint.service).health_path
        if not path:
            return False
        client = HttpClient(
            record.endpoint.address,
            self._clock,
            CHECK_TIMEOUT,
            MAX_UNUSED_BODY_BYTES,
        )
        try:
            response = client.call(health_request(path), CHECK_TIMEOUT)
        except HttpError as error:
            log.info("no answer", endpoint=record.name, why=error.message)
            is_silent = isinstance(error, NotConnected | ResponseTimeout)
            is_refused = isinstance(error, ConnectionRefused)
            return None if is_silent and not is_refused else False
        finally:
            client.close()
        return says_it_stays(response, record.name)

    def _service(self, name: str) -> Service:
        configuration = self._configuration()
        return Service(name) if configuration is None else configuration.service(name)
