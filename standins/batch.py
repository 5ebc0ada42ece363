"""Continuous batching: one loop that gives every running stream a token a step."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.green import Event, sleep
from standins.cache import PrefixCache
from standins.faults import Faults
from standins.generation import TokenSource


@dataclass(frozen=True, slots=True)
class Speed:
    """How fast an engine is.

    :param step: time of a step with one stream.
    :param step_per_stream: what each further stream adds to a step.
    :param prefill_per_token: time for one uncached token of a prompt.
    :param max_batch: streams that run at once.
    :param max_waiting: streams that wait before new ones are refused.
    """

    step: timedelta = timedelta(milliseconds=10)
    step_per_stream: timedelta = timedelta(microseconds=50)
    prefill_per_token: timedelta = timedelta(microseconds=50)
    max_batch: int = 64
    max_waiting: int = 256


class Stream:
    """One generation.

    :param first: tokens up to here were generated elsewhere.
    :param recompute: whether those have to be computed again.
    """

    __slots__ = (
        "stream_id", "source", "prompt", "max_tokens", "first", "position", "priority",
        "cached", "recomputed", "state", "_changed", "readers", "lost_at",
        "model", "created",
    )  # fmt: skip

    def __init__(
        self,
        stream_id: str,
        model: str,
        source: TokenSource,
        prompt: list[str],
        max_tokens: int,
        priority: int,
        first: int = 0,
        recompute: bool = True,
    ) -> None:
        self.stream_id = stream_id
        self.model = model
        self.source = source
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.priority = priority
        self.first = first
        self.position = first
        self.recomputed = first if recompute else 0
        self.cached = 0
        self.state = "waiting"
        self.created = 0
        self.readers = 0
        self.lost_at: timedelta | None = None
        self._changed = Event()

    @property
    def ended(self) -> bool:
        """Whether no further token comes."""
        return self.state not in ("waiting", "running")

    def wait(self) -> None:
        """Wait for the next change."""
        self._changed.wait()

    def notify(self) -> None:
        """Wake whoever waits for a change."""
        changed, self._changed = self._changed, Event()
        changed.send(None)

    def end(self, state: str) -> None:
        """Stop with ``state``."""
        if not self.ended:
            self.state = state
            self.notify()


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
        return sum(len(stream.prompt) + stream.position for stream in self._running)

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
            self._faults.wait_while_frozen()
            pause = self._admit() + self._step_time()
            started = self._clock.elapsed()
            sleep(pause * self._faults.slow_factor)
            self._faults.wait_while_frozen()
            self._step(started)

    def _admit(self) -> timedelta:
        prefill = 0
        while self._waiting and len(self._running) < self._speed.max_batch:
            _, _, stream = heapq.heappop(self._waiting)
            if stream.ended:
                continue
            stream.state = "running"
            stream.cached = self._cache.lookup(stream.prompt)
            prefill += len(stream.prompt) - stream.cached + stream.recomputed
            self._cache.store(stream.prompt)
            self._running.append(stream)
        return prefill * self._speed.prefill_per_token

    def _step_time(self) -> timedelta:
        return self._speed.step + self._speed.step_per_stream * len(self._running)

    def _step(self, _started: timedelta) -> None:
        for stream in self._running:
            if stream.ended:
                continue
            if self._abandoned(stream):
                stream.end("cancelled")
                continue
            stream.position += 1
            if stream.position >= stream.max_tokens:
                stream.state = "stop"
            stream.notify()
        self._running = [stream for stream in self._running if not stream.ended]
