"""Polling for changes of the store that watches have missed.

While the store is unresponsive, it may lose the watches of all gateways at once. The
gateways that watch therefore also poll in turn, without waiting for changes; see
:mod:`sassafrasdale.decisions.poll_slots` for the reasons and the cost. A gateway
that finds a change renews its watches, and reports the change to the others like any
other.
"""

from collections.abc import Callable, Sequence
from datetime import timedelta

from logbook import Logger

from sassafrasdale.decisions.poll_slots import PollSlot
from sassafrasdale.gateway.follower import Follower
from sassafrasdale.gateway.usage import ClusterTime
from sassafrasdale.green import sleep, spawn
from sassafrasdale.platform.store import PlatformStore

log = Logger("polling")

# Slots in the time within which a change must take effect. A change that all watches
# have missed is found within one slot. The other three quarters are left for forwarding
# it to all gateways, which takes up to three reports.
SLOTS_PER_DELAY = 4
# The store limits the rate of calls, and each call has a price. There are at most five
# slots a second, even where less than 0.8 s is promised.
MIN_SLOT_LENGTH = timedelta(milliseconds=200)


class Poller:
    """Task that polls for changes in this gateway's slots.

    :param followers: followers of the prefixes to poll.
    :param slot: returns this gateway's current slot; None if it has none.
    :param time: cluster time, which the slots are based on.
    :param delay: time within which a confirmed change must take effect.
    """

    def __init__(
        self,
        followers: Sequence[Follower],
        store: PlatformStore,
        slot: Callable[[], PollSlot | None],
        time: ClusterTime,
        delay: timedelta,
    ) -> None:
        self._followers = followers
        self._store = store
        self._slot = slot
        self._time = time
        self._slot_length = max(delay / SLOTS_PER_DELAY, MIN_SLOT_LENGTH)

    def run(self) -> None:
        """Poll in each slot until the task is killed."""
        while True:
            slot = self._slot()
            if slot is None:
                sleep(self._slot_length)
                continue
            left = slot.time_until(self._time.seconds, self._slot_length)
            if left > self._slot_length:
                # Slots change as gateways come and go.
                sleep(self._slot_length / 2)
                continue
            sleep(left)
            self._poll_all()
            # Prevents a second poll in the same slot if the timer fired early.
            sleep(self._slot_length / 4)

    def _poll_all(self) -> None:
        # A poll without a response must not delay the next one.
        for follower in self._followers:
            spawn(self._poll, follower)

    def _poll(self, follower: Follower) -> None:
        if follower.poll():
            log.info("watches asked anew", prefix=follower.prefix)
            self._store.drop_watches()
