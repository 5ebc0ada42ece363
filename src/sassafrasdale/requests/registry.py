"""The generations that this entry holds, and recently ended ones, by request id."""

from collections import OrderedDict
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.requests.exceptions import RequestIdTaken, RequestNotHeld
from sassafrasdale.requests.generation import Generation
from sassafrasdale.requests.structures import Answered

# Time for which an ended generation can be fetched, and how many are kept.
ENDED_RETENTION = timedelta(seconds=60)
MAX_ENDED = 2000
# Time within which a disconnected caller must resume reading.
UNREAD_TIMEOUT = timedelta(seconds=15)


class Registry:
    """Generations held here, by request id.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._running: dict[str, Generation] = {}
        self._ended: OrderedDict[str, tuple[timedelta, Generation]] = OrderedDict()

    @property
    def running(self) -> tuple[Generation, ...]:
        """Generations that have not ended."""
        return tuple(self._running.values())

    @property
    def undelivered(self) -> tuple[Generation, ...]:
        """Answered generations whose response no caller has fetched yet.

        Responses to calls with an idempotency key are in the store, where any entry
        finds them.
        """
        return tuple(
            generation
            for generation in self._answered()
            if generation.delivered_at is None
        )

    @property
    def delivered_lately(self) -> tuple[Generation, ...]:
        """Answered generations whose caller may still come back, the newest first.

        What was sent on a connection that broke was not read.
        """
        min_delivered_at = self._clock.elapsed() - UNREAD_TIMEOUT
        return tuple(
            generation
            for generation in reversed(self._answered())
            if generation.delivered_at is not None
            and generation.delivered_at >= min_delivered_at
        )

    def _answered(self) -> list[Generation]:
        """Return the answered generations that only this entry holds, oldest first."""
        return [
            generation
            for _, generation in self._ended.values()
            if isinstance(generation.outcome, Answered)
            and generation.call.call.idempotent
        ]

    def add(self, generation: Generation) -> None:
        """Hold ``generation``.

        :raises RequestIdTaken: its id is used by another request.
        """
        request_id = generation.call.call.request_id
        if request_id in self._running or request_id in self._ended:
            raise RequestIdTaken(
                f"request id {request_id!r} is in use", field="X-Request-Id"
            )
        self._running[request_id] = generation

    def find(self, request_id: str, customer: str) -> Generation:
        """Return the customer's generation with that id.

        :raises RequestNotHeld: there is none here, or it is another customer's.
        """
        self._drop_expired()
        generation = self._running.get(request_id)
        if generation is None and request_id in self._ended:
            generation = self._ended[request_id][1]
        if generation is None or generation.call.call.customer != customer:
            raise RequestNotHeld(f"no request {request_id!r} is held here")
        return generation

    def holds(self, request_id: str) -> bool:
        """Return whether the id is held here, for any customer."""
        return request_id in self._running or request_id in self._ended

    def end(self, generation: Generation) -> None:
        """Keep an ended generation for a while, so that it can be fetched."""
        request_id = generation.call.call.request_id
        self._running.pop(request_id, None)
        self._ended[request_id] = (self._clock.elapsed(), generation)
        self._drop_expired()

    def drop(self, generation: Generation) -> None:
        """Remove a generation that another entry holds now."""
        request_id = generation.call.call.request_id
        self._running.pop(request_id, None)
        self._ended.pop(request_id, None)

    def sweep(self) -> None:
        """Abandon generations that no caller reads or whose deadline has passed."""
        now = self._clock.elapsed()
        for generation in self.running:
            if now >= generation.call.call.deadline:
                generation.abandon("the deadline has passed")
            elif now - generation.last_read_at > UNREAD_TIMEOUT:
                generation.abandon("nobody waited for the answer")
        self._drop_expired()

    def _drop_expired(self) -> None:
        min_ended_at = self._clock.elapsed() - ENDED_RETENTION
        while self._ended:
            ended_at, _ = next(iter(self._ended.values()))
            if ended_at >= min_ended_at and len(self._ended) <= MAX_ENDED:
                return
            self._ended.popitem(last=False)
