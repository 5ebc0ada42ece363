"""Hedging: a slow idempotent call is also sent to a second endpoint."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.hedging import Hedging
from sassafrasdale.endpoints.adapters import EndpointResponse
from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.endpoints.exceptions import EndpointError, ResponseLost
from sassafrasdale.green import Empty, GreenThread, Queue, spawn
from sassafrasdale.requests.gate import Gate


class Hedger:
    """Decides on the hedges of one service.

    :param gate: provides whether the entry has spare capacity.
    :param clock: source of time.
    """

    def __init__(self, gate: Gate, clock: Clock) -> None:
        self._gate = gate
        self._clock = clock
        self._hedging = Hedging()

    def delay(self) -> timedelta | None:
        """Return the delay before a hedge, or None not to hedge at all."""
        return self._hedging.delay(idempotent=True)

    @property
    def has_spare_capacity(self) -> bool:
        """Whether the entry has spare capacity for a second attempt."""
        return self._gate.admission.has_spare_capacity

    def try_hedge(self) -> bool:
        """Take a hedge from the budget; return whether it allows one."""
        return self._hedging.try_hedge(self._clock.elapsed(), idempotent=True)

    def observe(self, latency: timedelta) -> None:
        """Record the latency of a success."""
        self._hedging.observe(latency, self._clock.elapsed())


@dataclass(frozen=True, slots=True)
class FinishedAttempt:
    """A finished attempt.

    :param endpoint: the endpoint it was sent to.
    :param result: the response, or the error.
    """

    endpoint: Endpoint
    result: EndpointResponse | EndpointError


class Race:
    """Concurrent attempts of one call; the first response wins.

    Usage::

        with Race() as race:
            race.start(one, lambda: one.adapter.send(request, limit))
            finished = race.wait(timedelta(milliseconds=50))
    """

    def __init__(self) -> None:
        self._finished: Queue = Queue()
        self._tasks: list[GreenThread] = []
        self._running = 0

    def __enter__(self) -> "Race":
        """Return the race."""
        return self

    def __exit__(self, *_exception: object) -> None:
        """Kill the remaining attempts; each closes its own connection."""
        for task in self._tasks:
            task.kill()

    def start(self, endpoint: Endpoint, send: Callable[[], EndpointResponse]) -> None:
        """Start an attempt."""
        self._running += 1
        self._tasks.append(spawn(self._run, endpoint, send))

    def wait(self, limit: timedelta | None = None) -> FinishedAttempt | None:
        """Return the next finished attempt, or None after ``limit``."""
        try:
            finished = self._finished.get(
                timeout=None if limit is None else limit.total_seconds()
            )
        except Empty:
            return None
        self._running -= 1
        return finished

    def winner(self, finished: FinishedAttempt | None) -> FinishedAttempt:
        """Return the first response, or the most significant failure.

        A request whose response was lost may have run, whatever happened to the other
        attempt. Reporting the other's failure could give the caller "not run".

        :param finished: a finished attempt that ``wait`` has returned already.
        """
        failure: FinishedAttempt | None = None
        while True:
            finished = finished or self.wait()
            if not isinstance(finished.result, Exception):
                return finished
            if failure is None or isinstance(finished.result, ResponseLost):
                failure = finished
            if not self._running:
                return failure
            finished = None

    def _run(self, endpoint: Endpoint, send: Callable[[], EndpointResponse]) -> None:
        try:
            result: EndpointResponse | EndpointError = send()
        except EndpointError as error:
            result = error
        self._finished.put(FinishedAttempt(endpoint, result))
