"""The balancer of simulated callers."""

import random
from threading import Thread

from standins.callers import Balancer


class Entry:
    """An entry that is never ready."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.address = "127.0.0.1:1"


class InterruptingRandom(random.Random):
    """Random numbers between whose request and use another thread runs."""

    def __init__(self, run) -> None:
        super().__init__(1)
        self._run = run

    def sample(self, population, count):
        thread = Thread(target=self._run)
        thread.start()
        thread.join(timeout=0.2)
        return super().sample(population, count)


def test_entries_may_be_removed_while_one_is_picked():
    """Guards against a sample that is larger than what another thread has left."""
    entries = [Entry("e-1"), Entry("e-2")]
    balancer = Balancer(entries)
    balancer._rng = InterruptingRandom(lambda: balancer.remove(entries[0]))
    assert balancer.pick() is None
