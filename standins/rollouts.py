"""Stand-in for the platform's side of a rollout: starts and stops endpoints."""

import json
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.green import sleep, spawn
from standins.gateway_endpoints import Defect, Run, StandInEndpoint
from standins.gateway_fleet import GatewayFleet

POLL = timedelta(milliseconds=20)
# The new version's endpoints start this long after the order.
START_DELAY = timedelta(seconds=1)
# After a rollback the new endpoints start to drain after the first of these times, and
# end after the second.
DRAIN_DELAY = timedelta(seconds=2)
DRAIN_TIME = timedelta(seconds=1.5)


class SimulatedRollout:
    """The order of a rollout, and the endpoints that are started for it.

    :param old: endpoints to be replaced.
    :param target: the new version.
    :param duration: time until the deadline of the rollout.
    :param count: number of endpoints of the new version.
    :param defect: defect of the new version, if it has one.
    """

    def __init__(
        self,
        fleet: GatewayFleet,
        clock: Clock,
        service: str,
        old: list[StandInEndpoint],
        *,
        target: str = "v2",
        duration: timedelta = timedelta(seconds=12),
        count: int | None = None,
        streams: bool = False,
        defect: Defect | None = None,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._service = service
        self._old = old
        self._target = target
        self._duration = duration
        self._count = len(old) if count is None else count
        self._streams = streams
        self._defect = defect
        self.new: list[StandInEndpoint] = []
        self.states: dict[str, timedelta] = {}

    @property
    def age(self) -> timedelta:
        """Time since the order."""
        return self._clock.elapsed() - self.ordered_at

    @property
    def deadline(self) -> timedelta:
        """Elapsed time at which the rollout must have ended."""
        return self.ordered_at + self._duration

    @property
    def is_finished(self) -> bool:
        """Whether the rollout was completed or rolled back."""
        return bool(self.states.keys() & {"complete", "rolled_back"})

    def order(self) -> None:
        """Write the order, start the new endpoints, and follow the status."""
        document = {
            "service": self._service,
            "target": self._target,
            "overS": self._duration.total_seconds(),
        }
        self.revision = self._fleet.store.put(f"op/rollout/{self._service}", document)
        self.ordered_at = self._clock.elapsed()
        spawn(self._start)
        spawn(self._follow)

    def runs(self, version: list[StandInEndpoint]) -> list[Run]:
        """Return the requests that endpoints ran between the order and its deadline."""
        return [
            run
            for endpoint in version
            for run in endpoint.runs
            if self.ordered_at <= run.at <= self.deadline
        ]

    def faulty_at(self) -> list[timedelta]:
        """Return the times of the new version's faulty responses, in order."""
        return sorted(
            run.at for endpoint in self.new for run in endpoint.runs if run.faulty
        )

    def _start(self) -> None:
        sleep(START_DELAY)
        for number in range(self._count):
            endpoint = self._fleet.add_endpoint(
                f"{self._service}-{self._target}-{number}",
                self._service,
                "ab"[number % 2],
                streams=self._streams,
                version=self._target,
                defect=self._defect,
            )
            self.new.append(endpoint)

    def _follow(self) -> None:
        while not self.is_finished:
            sleep(POLL)
            value = self._fleet.store.value(f"status/rollout/{self._service}")
            status = json.loads(value) if value else {}
            if status.get("target") == self._target:
                self.states.setdefault(status["state"], self._clock.elapsed())
        if "complete" in self.states:
            for endpoint in self._old:
                endpoint.end()
            return
        sleep(DRAIN_DELAY)
        for endpoint in self.new:
            endpoint.register("draining")
        sleep(DRAIN_TIME)
        for endpoint in self.new:
            endpoint.end()
