"""A fake endpoint: slots, a bounded queue, and a downtime."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from random import Random

FOREVER = float("inf")


class OfferResult(Enum):
    """An endpoint's immediate decision about a request."""

    STARTED = "started"
    QUEUED = "queued"
    REFUSED = "refused"
    DOWN = "down"


@dataclass(slots=True)
class FakeEndpoint:
    """Endpoint that runs ``slots`` requests at once and queues ``queue`` more.

    :param slow_factor: factor on the work of every request.
    :param down_from: second at which it goes down.
    :param up_from: second at which it is up again.
    :param warm_up: seconds after ``up_from`` in which its caches are cold.
    :param cold_factor: factor on the work at ``up_from``, which falls to 1 during
        ``warm_up``.
    :param error_share: share of the requests that fail after their work is done,
        from ``down_from`` to ``up_from``; if set, it is not down in that time.
    """

    name: str
    zone: str
    slots: int
    queue: float
    slow_factor: float = 1.0
    down_from: float = FOREVER
    up_from: float = FOREVER
    warm_up: float = 0.0
    cold_factor: float = 1.0
    error_share: float = 0.0
    rng: Random = field(default_factory=lambda: Random(0))
    running: list = field(default_factory=list)
    waiting: deque = field(default_factory=deque)

    def is_up(self, now: float) -> bool:
        """Return whether it accepts connections at ``now``."""
        return bool(self.error_share) or not self.down_from <= now < self.up_from

    def fails(self, now: float) -> bool:
        """Return whether a request whose work ends at ``now`` fails."""
        if not self.error_share or not self.down_from <= now < self.up_from:
            return False
        return self.rng.random() < self.error_share

    def offer(self, attempt, now: float) -> OfferResult:
        """Start or queue a request, or refuse it."""
        if not self.is_up(now):
            return OfferResult.DOWN
        if len(self.running) < self.slots:
            self.running.append(attempt)
            return OfferResult.STARTED
        if len(self.waiting) < self.queue:
            self.waiting.append(attempt)
            return OfferResult.QUEUED
        return OfferResult.REFUSED

    def release(self, attempt):
        """Free a slot; return the queued attempt that takes it, if any."""
        self.running.remove(attempt)
        if not self.waiting:
            return None
        next_attempt = self.waiting.popleft()
        self.running.append(next_attempt)
        return next_attempt

    def crash(self) -> list:
        """Discard and return all running and queued attempts."""
        interrupted = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        return interrupted

    def service_time(self, work: float, now: float) -> float:
        """Return the seconds that ``work`` takes from ``now``."""
        since = now - self.up_from
        factor = self.slow_factor
        if 0 <= since < self.warm_up:
            factor *= self.cold_factor - (self.cold_factor - 1) * since / self.warm_up
        return work * factor
