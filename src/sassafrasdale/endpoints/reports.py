"""The load that model engines report, asked for at a steady rate."""

import random
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.counts import HISTORY, InFlightCount
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
        self._own: dict[str, InFlightCount] = {}

    def run(self) -> None:
        """Ask until the task is killed."""
        while True:
            engines = [
                endpoint
                for endpoint in self._directory.endpoints
                if endpoint.takes_work and self._is_engine(endpoint.instance.service)
            ]
            self._forget_all_but({engine.name for engine in engines})
            pause = ROUND / max(len(engines), 1)
            for engine in engines:
                self.ask(engine)
                sleep(pause * self._rng.uniform(1 - JITTER, 1 + JITTER))
            if not engines:
                sleep(ROUND)

    def ask(self, engine: Endpoint) -> None:
        """Ask one engine for its load, and note it as of when it was measured.

        A report lags by seconds. Taken as new, it counts this entry's requests
        of now against the load of then, and all entries herd to the engine that
        was idle; so the own count of that time is kept, once a round.
        """
        own = self._own.setdefault(engine.name, InFlightCount())
        own.change(self._clock.elapsed(), engine.in_flight - own.now)
        try:
            load = engine.adapter.ask("GET", "/v1/load", limit=REPORT_LIMIT)
            total = int(load["running"]) + int(load["waiting"])
            measured = self._measured(load)
        except (EndpointError, KeyError, TypeError, ValueError):
            # Routing goes on with the older report, which counts less with age.
            return
        engine.report(total, own.at(measured), measured)

    def _measured(self, load: dict[str, Any]) -> timedelta:
        """Return the elapsed time at which a load was measured.

        :raises ValueError: if its time has another form than RFC 3339.
        """
        now = self._clock.elapsed()
        if "measured_at" not in load:
            return now
        measured_at = datetime.fromisoformat(load["measured_at"])
        age = self._clock.now() - measured_at
        return now - min(max(age, timedelta()), HISTORY)

    def _forget_all_but(self, names: set[str]) -> None:
        for gone in self._own.keys() - names:
            del self._own[gone]
