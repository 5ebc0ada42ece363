"""Small fake of an endpoint: slots, a bounded queue, and a time when it is down."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from random import Random

FOREVER = float("inf")


class Answer(Enum):
    """What an endpoint does with a request at once."""

    STARTED = "started"
    QUEUED = "queued"
    REFUSED = "refused"
    DOWN = "down"


@dataclass(slots=True)
class FakeEndpoint:
    """Endpoint that runs ``slots`` requests at once and keeps ``queue`` more.

    :param slow: factor on the work of every request.
    :param down_from: second at which it stops answering.
    :param up_from: second from which it answers again.
    :param warm_up: seconds after ``up_from`` in which its caches are cold.
    :param cold: factor on the work at ``up_from``, falling to 1.
    :param errors: share of the requests that fail once their work is done, from
        ``down_from`` to ``up_from``; then it is not down in that time.
    """

    name: str
    zone: str
    slots: int
    queue: float
    slow: float = 1.0
    down_from: float = FOREVER
    up_from: float = FOREVER
    warm_up: float = 0.0
    cold: float = 1.0
    errors: float = 0.0
    rng: Random = field(default_factory=lambda: Random(0))
    running: list = field(default_factory=list)
    waiting: deque = field(default_factory=deque)

    def is_up(self, now: float) -> bool:
        """Return whether it answers at ``now``."""
        return bool(self.errors) or not self.down_from <= now < self.up_from

    def fails(self, now: float) -> bool:
        """Return whether the work that is done at ``now`` ends in an error."""
        if not self.errors or not self.down_from <= now < self.up_from:
            return False
        return self.rng.random() < self.errors

    def offer(self, attempt, now: float) -> Answer:
        """Take a request, or refuse it before it starts."""
        if not self.is_up(now):
            return Answer.DOWN
        if len(self.running) < self.slots:
            self.running.append(attempt)
            return Answer.STARTED
        if len(self.waiting) < self.queue:
            self.waiting.append(attempt)
            return Answer.QUEUED
        return Answer.REFUSED

    def release(self, attempt):
        """Free a slot; return the attempt that takes it, if one waits."""
        self.running.remove(attempt)
        if not self.waiting:
            return None
        following = self.waiting.popleft()
        self.running.append(following)
        return following

    def crash(self) -> list:
        """Lose and return all that runs or waits."""
        lost = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        return lost

    def service_time(self, work: float, now: float) -> float:
        """Return the seconds that ``work`` takes from ``now``."""
        since = now - self.up_from
        factor = self.slow
        if 0 <= since < self.warm_up:
            factor *= self.cold - (self.cold - 1) * since / self.warm_up
        return work * factor
