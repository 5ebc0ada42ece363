"""Sends a slow idempotent call to a second endpoint; the first answer wins."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.hedging import Hedging
from sassafrasdale.endpoints.adapters import EndpointAnswer
from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.endpoints.exceptions import AnswerLost, EndpointError
from sassafrasdale.green import Empty, GreenThread, Queue, spawn
from sassafrasdale.requests.gate import Gate


class Hedger:
    """Decides on the hedges of one service.

    :param gate: knows whether the entry has room to spare.
    :param clock: source of time.
    """

    def __init__(self, gate: Gate, clock: Clock) -> None:
        self._gate = gate
        self._clock = clock
        self._hedging = Hedging()

    def delay(self) -> timedelta | None:
        """Return how long to wait for an answer, or None: never hedge."""
        return self._hedging.delay(idempotent=True)

    @property
    def has_room(self) -> bool:
        """Whether the entry has room to spare for a second attempt."""
        return self._gate.admission.has_spare_room

    def try_hedge(self) -> bool:
        """Take a hedge out of the budget."""
        return self._hedging.try_hedge(self._clock.elapsed(), idempotent=True)

    def observe(self, latency: timedelta) -> None:
        """Record the time that a success took."""
        self._hedging.observe(latency, self._clock.elapsed())


@dataclass(frozen=True, slots=True)
class Finish:
    """How one attempt ended.

    :param endpoint: where it went.
    :param result: the answer, or why there is none.
    """

    endpoint: Endpoint
    result: EndpointAnswer | EndpointError


class Race:
    """Attempts of one call that run at once.

    Usage::

        with Race() as race:
            race.start(one, lambda: one.adapter.send(request, limit))
            finish = race.wait(timedelta(milliseconds=50))
    """

    def __init__(self) -> None:
        self._finishes: Queue = Queue()
        self._tasks: list[GreenThread] = []
        self._open = 0

    def __enter__(self) -> "Race":
        """Return the race."""
        return self

    def __exit__(self, *_exception: object) -> None:
        """End the attempts that are left; each closes its own connection."""
        for task in self._tasks:
            task.kill()

    def start(self, endpoint: Endpoint, send: Callable[[], EndpointAnswer]) -> None:
        """Begin an attempt."""
        self._open += 1
        self._tasks.append(spawn(self._run, endpoint, send))

    def wait(self, limit: timedelta | None = None) -> Finish | None:
        """Return the next finish, or None after ``limit``."""
        try:
            finish = self._finishes.get(
                timeout=None if limit is None else limit.total_seconds()
            )
        except Empty:
            return None
        self._open -= 1
        return finish

    def winner(self, finish: Finish | None) -> Finish:
        """Return the first answer, or the failure that says most if there is none.

        A lost answer may have run, whatever became of the other attempt; were the
        other's failure told, the caller could be told "not run" of it.

        :param finish: a finish that was already waited for.
        """
        failure: Finish | None = None
        while True:
            finish = finish or self.wait()
            if not isinstance(finish.result, Exception):
                return finish
            if failure is None or isinstance(finish.result, AnswerLost):
                failure = finish
            if not self._open:
                return failure
            finish = None

    def _run(self, endpoint: Endpoint, send: Callable[[], EndpointAnswer]) -> None:
        try:
            result: EndpointAnswer | EndpointError = send()
        except EndpointError as error:
            result = error
        self._finishes.put(Finish(endpoint, result))
