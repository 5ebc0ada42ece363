"""Noticing within moments that the platform's store was silent, and is back.

A watch that is sent into a silence is never answered, and nothing on its connection
tells that from a quiet store. All gateways' watches may be lost at once, so no peer
brings what they miss: for as long as they wait, confirmed changes are not in force.
"""

from collections.abc import Callable
from datetime import timedelta
from random import Random

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.exceptions import LeaseNotFound, StoreError
from sassafrasdale.coordination.stores import Lease
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.green import sleep, spawn
from sassafrasdale.platform.store import PlatformStore

# Heartbeats in the time in which a change must be in force. The first one after a
# silence is answered within a quarter of it; the rest is left for asking the store
# anew and for telling the gateways that don't watch by themselves.
BEATS_PER_DELAY = 4
# The store has a rate, and each call a price; a deployment that promises less than
# 0.8 s gets no more heartbeats than five a second.
SHORTEST_PAUSE = timedelta(milliseconds=200)
# A heartbeat ends by itself within 1.5 s. More than these say nothing new.
MOST_UNANSWERED = 4
JITTER = 0.1


class Heartbeat:
    """Task that renews a lease again and again, whether or not answers come.

    Renewals are the cheapest of the store's calls, a tenth of a read. Each is sent in
    its turn while earlier ones wait: one that waited out its time first would hold up
    the news that the store is back.

    :param lease: returns the lease to renew; None while there is none.
    :param is_needed: whether this gateway watches the store by itself.
    :param delay: time in which a confirmed change must be in force.
    """

    def __init__(
        self,
        lease: Callable[[], Lease | None],
        store: PlatformStore,
        dependency: Dependency,
        is_needed: Callable[[], bool],
        delay: timedelta,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._lease = lease
        self._store = store
        self._dependency = dependency
        self._is_needed = is_needed
        self._pause = max(delay / BEATS_PER_DELAY, SHORTEST_PAUSE)
        self._clock = clock
        self._rng = rng
        self._unanswered: set[timedelta] = set()

    def run(self) -> None:
        """Send heartbeats until the task is killed."""
        while True:
            lease = self._lease()
            crowded = len(self._unanswered) >= MOST_UNANSWERED
            if lease is not None and self._is_needed() and not crowded:
                spawn(self._beat, lease)
            sleep(self._pause * self._rng.uniform(1 - JITTER, 1 + JITTER))

    def _beat(self, lease: Lease) -> None:
        asked_at = self._clock.elapsed()
        self._unanswered.add(asked_at)
        try:
            self._store.keep_alive(lease)
        except LeaseNotFound:
            # An answer too. The entry's own task takes a new lease.
            self._note_answer(asked_at)
        except StoreError as error:
            self._dependency.failed(error, asked_at)
        else:
            self._note_answer(asked_at)
        finally:
            self._unanswered.discard(asked_at)

    def _note_answer(self, asked_at: timedelta) -> None:
        overtaken = {earlier for earlier in self._unanswered if earlier < asked_at}
        if overtaken:
            # They were swallowed, and watches that were sent then may have been too.
            # A silence shorter than a heartbeat's time shows in no other way.
            self._unanswered -= overtaken
            self._dependency.overtaken()
        self._dependency.succeeded(asked_at)
