"""Continuous batching: one loop that gives every running stream a token a step."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.green import Event, sleep
from standins.cache import PrefixCache
from standins.faults import Faults
from standins.streams import CANCELLED, FINISHED, Stream


@dataclass(frozen=True, slots=True)
class Speed:
    """How fast an engine is.

    :param step: time of a step with one stream.
    :param step_per_stream: what each further stream adds to a step.
    :param prefill_per_token: time for one uncached token of a prompt.
    :param kv_per_token: time to bring one token's KV cache from another engine.
    :param max_batch: streams that run at once.
    :param max_waiting: streams that wait before new ones are refused.
    """

    step: timedelta = timedelta(milliseconds=10)
    step_per_stream: timedelta = timedelta(microseconds=50)
    prefill_per_token: timedelta = timedelta(microseconds=50)
    kv_per_token: timedelta = timedelta(microseconds=2)
    max_batch: int = 64
    max_waiting: int = 256


class Batch:
    """The running and waiting streams of one engine."""

    def __init__(
        self,
        clock: Clock,
        speed: Speed,
        cache: PrefixCache,
        faults: Faults,
        abandoned: Callable[[Stream], bool],
    ) -> None:
        self._clock = clock
        self._speed = speed
        self._cache = cache
        self._faults = faults
        self._abandoned = abandoned
        self._waiting: list[tuple[int, int, Stream]] = []
        self._running: list[Stream] = []
        self._arrivals = 0
        self._awake = Event()
        self._step_due = timedelta()

    @property
    def running(self) -> int:
        """Streams in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Streams that wait."""
        return sum(not stream.ended for _, _, stream in self._waiting)

    @property
    def running_tokens(self) -> int:
        """Tokens of the running streams' contexts."""
        return sum(stream.context_tokens for stream in self._running)

    @property
    def full(self) -> bool:
        """Whether a further stream is to be refused."""
        if len(self._running) < self._speed.max_batch:
            return False
        return self.waiting >= self._speed.max_waiting

    def add(self, stream: Stream) -> None:
        """Queue a stream; a lower priority number goes first."""
        self._arrivals += 1
        heapq.heappush(self._waiting, (stream.priority, self._arrivals, stream))
        if not self._awake.ready():
            self._awake.send(None)

    def run(self) -> None:
        """Step for as long as the process runs."""
        while True:
            if not self._running and not self._waiting:
                self._awake = Event()
                self._awake.wait()
                self._step_due = self._clock.elapsed()
            self._faults.wait_while_frozen()
            self._pause(self._admit() + self._step_time())
            self._faults.wait_while_frozen()
            self._step()

    def _pause(self, length: timedelta) -> None:
        """Wait until the next step is due, not counting the last one's own work."""
        now = self._clock.elapsed()
        self._step_due = max(self._step_due + length * self._faults.slow_factor, now)
        sleep(self._step_due - now)

    def _admit(self) -> timedelta:
        prefill = 0
        while self._waiting and len(self._running) < self._speed.max_batch:
            _, _, stream = heapq.heappop(self._waiting)
            if stream.ended:
                continue
            prefill += stream.begin(self._cache.lookup(stream.prompt.blocks))
            self._cache.store(stream.prompt.blocks)
            stream.prompt.forget_blocks()
            self._running.append(stream)
        return prefill * self._speed.prefill_per_token

    def _step_time(self) -> timedelta:
        return self._speed.step + self._speed.step_per_stream * len(self._running)

    def _step(self) -> None:
        for stream in self._running:
            if stream.ended:
                continue
            if self._abandoned(stream):
                stream.end(CANCELLED)
                continue
            stream.position += 1
            if stream.position >= stream.max_tokens:
                stream.state = FINISHED
            stream.notify()
        self._running = [stream for stream in self._running if not stream.ended]
