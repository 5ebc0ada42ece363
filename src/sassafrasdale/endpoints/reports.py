"""The load that model engines report, asked for at a steady rate."""

import random
from collections.abc import Callable
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.endpoints.directory import Directory, Endpoint
from sassafrasdale.endpoints.exceptions import EndpointError
from sassafrasdale.green import sleep

# One round over all engines takes this long, however many there are.
ROUND = timedelta(seconds=1)
JITTER = 0.2
REPORT_LIMIT = timedelta(milliseconds=500)


class LoadReader:
    """Task that asks every model engine for its load, one after the other.

    :param directory: the endpoints known.
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

    def run(self) -> None:
        """Ask until the task is killed."""
        while True:
            engines = [
                endpoint
                for endpoint in self._directory.endpoints
                if endpoint.takes_work and self._is_engine(endpoint.instance.service)
            ]
            pause = ROUND / max(len(engines), 1)
            for engine in engines:
                self._ask(engine)
                sleep(pause * self._rng.uniform(1 - JITTER, 1 + JITTER))
            if not engines:
                sleep(ROUND)

    def _ask(self, engine: Endpoint) -> None:
        own = engine.in_flight
        try:
            load = engine.adapter.ask("GET", "/v1/load", limit=REPORT_LIMIT)
            total = int(load["running"]) + int(load["waiting"])
        except (EndpointError, KeyError, TypeError, ValueError):
            # Routing goes on with the older report, which counts less with age.
            return
        engine.report(total, own, self._clock.elapsed())
