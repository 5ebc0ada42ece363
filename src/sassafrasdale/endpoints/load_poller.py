"""Polls model engines for their load at a constant rate."""

import random
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.counts import HISTORY, InFlightCount
from sassafrasdale.endpoints.directory import Directory, Endpoint
from sassafrasdale.endpoints.exceptions import EndpointError
from sassafrasdale.green import sleep

# Time in which each engine is polled once, regardless of their number.
POLL_INTERVAL = timedelta(seconds=1)
JITTER = 0.2
REPORT_TIMEOUT = timedelta(milliseconds=500)


class LoadPoller:
    """Task that polls all model engines for their load, one after the other.

    :param directory: the known endpoints.
    :param is_engine: whether a service's endpoints are model engines.
    :param clock: source of time.
    :param rng: source of jitter.
    """

    def __init__(
        self,
        directory: Directory,
        is_engine: Callable[[str], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._is_engine = is_engine
        self._clock = clock
        self._rng = rng
        self._own_counts: dict[str, InFlightCount] = {}

    def run(self) -> None:
        """Poll until the task is killed."""
        while True:
            engines = [
                endpoint
                for endpoint in self._directory.endpoints
                if endpoint.takes_work and self._is_engine(endpoint.instance.service)
            ]
            self._keep_only({engine.name for engine in engines})
            pause = POLL_INTERVAL / max(len(engines), 1)
            for engine in engines:
                self.poll(engine)
                sleep(pause * self._rng.uniform(1 - JITTER, 1 + JITTER))
            if not engines:
                sleep(POLL_INTERVAL)

    def poll(self, engine: Endpoint) -> None:
        """Poll one engine, and record its load with the time of measurement.

        A report is delayed by seconds. If it counted as current, this entry's present
        requests would be subtracted from the earlier load, and all entries would send
        to the engine that was idle then. So the entry's own count at the time of
        measurement is used, from a history with one value per poll.
        """
        own = self._own_counts.setdefault(engine.name, InFlightCount())
        own.change(self._clock.elapsed(), engine.in_flight - own.now)
        try:
            load = engine.adapter.ask("GET", "/v1/load", limit=REPORT_TIMEOUT)
            total = int(load["running"]) + int(load["waiting"])
            measured = self._measurement_time(load)
        except (EndpointError, KeyError, TypeError, ValueError):
            # Routing continues with the older report, whose weight decreases with age.
            return
        engine.record_load(total, own.at(measured), measured)

    def _measurement_time(self, load: dict[str, Any]) -> timedelta:
        """Return the elapsed time at which a load was measured.

        :raises ValueError: if its time is not in RFC 3339 format.
        """
        now = self._clock.elapsed()
        if "measured_at" not in load:
            return now
        measured_at = datetime.fromisoformat(load["measured_at"])
        age = self._clock.now() - measured_at
        return now - min(max(age, timedelta()), HISTORY)

    def _keep_only(self, names: set[str]) -> None:
        for gone in self._own_counts.keys() - names:
            del self._own_counts[gone]
