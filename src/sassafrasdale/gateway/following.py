"""Following keys of the platform's store, also through its outages.

A follower holds the raw values below a prefix and the revision up to which it
knows them. It learns from the store's watch and, while that is out of reach, from
peers; whichever is ahead counts, and it never goes back.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.exceptions import StoreError, StoreHistoryLost
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.green import sleep
from sassafrasdale.platform.store import PlatformStore

log = Logger("following")

# How long one watch waits. Something on the way can lose track of the connection
# without a word; then this is the time until that shows.
WATCH_WAIT = timedelta(seconds=5)
# Pauses after a failed call: short at first, since an outage may have just ended.
FIRST_PAUSE = timedelta(milliseconds=100)
LONGEST_PAUSE = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Revised:
    """What has changed below a prefix.

    :param written: new values by key.
    :param deleted: keys that are gone.
    """

    written: Mapping[str, bytes]
    deleted: frozenset[str]


class Follower:
    """Task that keeps the values below a prefix up to date.

    :param prefix: prefix of the keys.
    :param store: the platform's store.
    :param changed: told of each change, in order.
    :param dependency: told whether the store answers.
    """

    def __init__(
        self,
        prefix: str,
        store: PlatformStore,
        changed: Callable[[Revised], None],
        dependency: Dependency,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._prefix = prefix
        self._store = store
        self._changed = changed
        self._dependency = dependency
        self._clock = clock
        self._rng = rng
        self._values: dict[str, bytes] = {}
        self._revision = 0
        self._changed_revision = 0
        self._must_list = True

    @property
    def prefix(self) -> str:
        """Prefix of the keys."""
        return self._prefix

    @property
    def revision(self) -> int:
        """Revision up to which the values are known; 0 before anything is."""
        return self._revision

    @property
    def changed_revision(self) -> int:
        """Revision of the last change that is known; 0 before anything is.

        Two followers that know the same values may differ in :attr:`revision`,
        since writes elsewhere in the store raise it.
        """
        return self._changed_revision

    @property
    def values(self) -> Mapping[str, bytes]:
        """Raw values by key."""
        return self._values

    def run(self) -> None:
        """Follow the store until the task is killed."""
        pause = FIRST_PAUSE
        while True:
            try:
                self.step()
                self._dependency.succeeded()
                pause = FIRST_PAUSE
            except StoreHistoryLost:
                log.warning("history lost, reading anew", prefix=self._prefix)
                self._must_list = True
            except StoreError as error:
                self._dependency.failed(error)
                sleep(pause * self._rng.uniform(0.7, 1.3))
                pause = min(pause * 2, LONGEST_PAUSE)

    def step(self) -> None:
        """Read everything if need be, else wait for changes once.

        :raises StoreError: if the store fails.
        """
        if self._must_list:
            snapshot = self._store.snapshot(self._prefix)
            values = {item.key: item.value for item in snapshot.values}
            self._must_list = False
            changed = max((item.mod_revision for item in snapshot.values), default=0)
            self.adopt(values, snapshot.revision, changed)
            return
        changes = self._store.follow(self._prefix, self._revision, WATCH_WAIT)
        # A peer may have brought something newer while the watch waited.
        events = [event for event in changes.events if event.revision > self._revision]
        if not events:
            self._revision = max(self._revision, changes.revision)
            return
        written = {}
        deleted = set()
        for event in events:
            if event.value is None:
                written.pop(event.key, None)
                deleted.add(event.key)
            else:
                written[event.key] = event.value
                deleted.discard(event.key)
        last = max(event.revision for event in events)
        self._apply(written, deleted, changes.revision, last)

    def adopt(
        self, values: Mapping[str, bytes], revision: int, changed_revision: int
    ) -> None:
        """Take all values as of a revision, unless newer ones are known.

        :param changed_revision: revision of the last change among them, as far as
            it is known. A later one is not made up: peers would take it for news.
        """
        if revision < self._revision:
            return
        written = {
            key: value
            for key, value in values.items()
            if self._values.get(key) != value
        }
        self._apply(
            written, self._values.keys() - values.keys(), revision, changed_revision
        )

    def _apply(
        self,
        written: Mapping[str, bytes],
        deleted: set[str],
        revision: int,
        changed_revision: int,
    ) -> None:
        self._values.update(written)
        for key in deleted:
            self._values.pop(key, None)
        self._revision = max(self._revision, revision)
        self._changed_revision = max(self._changed_revision, changed_revision)
        if written or deleted:
            self._changed(Revised(written, frozenset(deleted)))
