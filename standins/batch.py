"""Continuous batching: each step of one loop gives every running stream a token."""

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

    :param step: duration of a step, without the time per stream.
    :param step_per_stream: time that each running stream adds to a step.
    :param prefill_per_token: time to prefill one uncached token of a prompt.
    :param kv_per_token: time to transfer one token's KV cache from another engine.
    :param max_batch: limit of running streams.
    :param max_waiting: limit of queued streams, above which new ones are refused.
    """

    step: timedelta = timedelta(milliseconds=10)
    step_per_stream: timedelta = timedelta(microseconds=50)
    prefill_per_token: timedelta = timedelta(microseconds=50)
    kv_per_token: timedelta = timedelta(microseconds=2)
    max_batch: int = 64
    max_waiting: int = 256


class Batch:
    """The running and queued streams of one engine.

    :param clock: source of elapsed time.
    :param speed: durations and limits.
    :param cache: prefix cache of the engine.
    :param faults: source of pauses and of the slow-down factor.
    :param abandoned: whether a stream has been without a reader for too long.
    """

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
        self._wake_up = Event()
        self._step_due = timedelta()

    @property
    def running(self) -> int:
        """Number of streams in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of queued streams."""
        return sum(not stream.ended for _, _, stream in self._waiting)

    @property
    def running_tokens(self) -> int:
        """Tokens in the contexts of the running streams."""
        return sum(stream.context_tokens for stream in self._running)

    @property
    def full(self) -> bool:
        """Whether another stream has to be refused."""
        if len(self._running) < self._speed.max_batch:
            return False
        return self.waiting >= self._speed.max_waiting

    def add(self, stream: Stream) -> None:
        """Queue a stream; a lower priority number goes first."""
        self._arrivals += 1
        heapq.heappush(self._waiting, (stream.priority, self._arrivals, stream))
        if not self._wake_up.ready():
            self._wake_up.send(None)

    def run(self) -> None:
        """Run steps until the process ends."""
        while True:
            if not self._running and not self._waiting:
                self._wake_up = Event()
                self._wake_up.wait()
                self._step_due = self._clock.elapsed()
            self._faults.wait_while_frozen()
            self._wait_for_step(self._admit() + self._step_time())
            self._faults.wait_while_frozen()
            self._step()

    def _wait_for_step(self, duration: timedelta) -> None:
        """Wait until the next step is due; the loop's own computing adds no delay."""
        now = self._clock.elapsed()
        self._step_due = max(self._step_due + duration * self._faults.slow_factor, now)
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
