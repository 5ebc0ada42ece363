"""Replication of keys of the platform's store, also during its outages.

A follower holds the raw values below a prefix and the revision up to which it knows
them. It gets changes from a watch on the store and, while the store is unreachable,
from peers. It applies whichever is newer and never goes back to an older revision.
"""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.exceptions import (
    StoreError,
    StoreHistoryLost,
    StoreWatchDropped,
)
from sassafrasdale.coordination.stores import epoch_of
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.gateway.peer_states import StoreValues
from sassafrasdale.green import sleep, spawn
from sassafrasdale.platform.store import Changes, PlatformStore

log = Logger("following")

# Timeout of one watch. It can be this long because the store keeps about twenty seconds
# of history, and because the gateways' polls detect watches that were lost.
WATCH_TIMEOUT = timedelta(seconds=10)
# Backoff after a failed call: short at first, since an outage may have just ended.
INITIAL_BACKOFF = timedelta(milliseconds=100)
MAX_BACKOFF = timedelta(seconds=1)
# Interval at which a gateway that relies on others checks whether it has to watch the
# store itself: a third of the time after which it considers the others silent.
WATCH_CHECK_INTERVAL = timedelta(milliseconds=500)
# Delay between two watches. Where a zone's endpoints start or leave together, one call
# returns what would take ten; callers see a delay of a tenth of a second.
BATCH_DELAY = timedelta(milliseconds=100)
# Deleted keys that are kept for peers. Endpoints come and go a few times a second at
# most, and peers fetch changes within a second.
MAX_DELETED_KEYS = 200


@dataclass(frozen=True, slots=True)
class RestoreTimes:
    """Times until what a restored store has is taken as it is.

    Writers repeat what was lost within the defaults, and registrations without a
    heartbeat have expired by their end.

    :param kept: time for which keys are kept that it lacks.
    :param left_out: time, not shorter, for which keys are left out that it has again
        though they were deleted.
    """

    kept: timedelta = timedelta(seconds=5)
    left_out: timedelta = timedelta(seconds=5)


RESTORE_TIMES = RestoreTimes()


@dataclass(frozen=True, slots=True)
class PrefixChanges:
    """Changes below a prefix.

    :param written: new values by key.
    :param deleted: deleted keys.
    :param is_restored: whether they come from the first listing of a restored store,
        so that they may be older than what was known before, here or elsewhere.
    """

    written: Mapping[str, bytes]
    deleted: frozenset[str]
    is_restored: bool = False


class Follower:
    """Task that keeps the values below a prefix up to date.

    :param prefix: prefix of the keys.
    :param store: the platform's store.
    :param on_change: called with each change, in order.
    :param dependency: notified whether the store responds.
    :param should_watch: whether this gateway has to watch the store itself, once it has
        listed all values.
    :param restore_times: times until a restored store's values are taken as they are.
    :param is_left_out: whether a key's value is left out for a while, too, if it isn't
        the one known before a restore.
    """

    def __init__(
        self,
        prefix: str,
        store: PlatformStore,
        on_change: Callable[[PrefixChanges], None],
        dependency: Dependency,
        clock: Clock,
        rng: Random,
        should_watch: Callable[[], bool] = lambda: True,
        restore_times: RestoreTimes = RESTORE_TIMES,
        is_left_out: Callable[[str], bool] = lambda key: False,
    ) -> None:
        self._restore_times = restore_times
        self._is_left_out = is_left_out
        self._should_watch = should_watch
        self._prefix = prefix
        self._store = store
        self._on_change = on_change
        self._dependency = dependency
        self._clock = clock
        self._rng = rng
        self._values: dict[str, bytes] = {}
        self._revision = 0
        self._changed_revision = 0
        self._needs_listing = True
        self._key_revisions: dict[str, int] = {}
        self._deleted: dict[str, int] = {}
        # All changes after this revision are known by key.
        self._complete_since = 0
        self._lost_at: timedelta | None = None
        # After a restore: keys that the store lacks, and values that it has again.
        self._kept: set[str] = set()
        self._left_out: dict[str, tuple[bytes, int]] = {}

    @property
    def prefix(self) -> str:
        """Prefix of the keys."""
        return self._prefix

    @property
    def revision(self) -> int:
        """Revision up to which the values are known; 0 before the first listing."""
        return self._revision

    @property
    def changed_revision(self) -> int:
        """Revision of the last known change; 0 before the first listing.

        Two followers that know the same values may differ in :attr:`revision`,
        since writes elsewhere in the store raise it.
        """
        return self._changed_revision

    @property
    def values(self) -> Mapping[str, bytes]:
        """Raw values by key."""
        return self._values

    def revision_of(self, key: str) -> int:
        """Return the revision of a key's last change; 0 for a missing key."""
        return self._key_revisions.get(key, 0)

    def run(self) -> None:
        """Follow the store until the task is killed."""
        backoff = INITIAL_BACKOFF
        while True:
            if not self._needs_listing and not self._should_watch():
                sleep(WATCH_CHECK_INTERVAL)
                continue
            called_at = self._clock.elapsed()
            try:
                self.step()
                self._dependency.succeeded(called_at)
                self._log_recovery()
                backoff = INITIAL_BACKOFF
                # Changes come in bursts, and each watch costs a call.
                sleep(BATCH_DELAY)
            except StoreWatchDropped:
                continue
            except StoreHistoryLost:
                log.warning("history lost, listing again", prefix=self._prefix)
                self._needs_listing = True
            except StoreError as error:
                self._dependency.failed(error, called_at)
                self._log_loss(error, called_at)
                sleep(backoff * self._rng.uniform(0.7, 1.3))
                backoff = min(backoff * 2, MAX_BACKOFF)

    def _log_loss(self, error: StoreError, called_at: timedelta) -> None:
        """Log that this prefix is no longer followed, once per loss.

        The store may still respond to other calls of this gateway.
        """
        if self._lost_at is not None:
            return
        self._lost_at = called_at
        waited = self._clock.elapsed() - called_at
        log.warning(
            "store not followed",
            prefix=self._prefix,
            revision=self._revision,
            error=type(error).__name__,
            why=error.message,
            waited_s=round(waited.total_seconds(), 3),
        )

    def _log_recovery(self) -> None:
        if self._lost_at is None:
            return
        outage = self._clock.elapsed() - self._lost_at
        self._lost_at = None
        log.notice(
            "store followed again",
            prefix=self._prefix,
            revision=self._revision,
            away_s=round(outage.total_seconds(), 3),
        )

    def step(self) -> None:
        """List all values if needed, else wait for changes once.

        :raises StoreError: if the store fails.
        """
        if self._needs_listing:
            snapshot = self._store.snapshot(self._prefix)
            values = {item.key: item.value for item in snapshot.values}
            revisions = {item.key: item.mod_revision for item in snapshot.values}
            self._needs_listing = False
            changed = max(revisions.values(), default=0)
            self.replace_all(values, snapshot.revision, changed, revisions)
            return
        self._apply_watch_changes(
            self._store.follow(self._prefix, self._revision, WATCH_TIMEOUT)
        )

    def poll(self) -> bool:
        """Get changes without waiting, and return whether any were missed."""
        if self._needs_listing:
            return False
        called_at = self._clock.elapsed()
        try:
            changes = self._store.changes(self._prefix, self._revision)
        except StoreHistoryLost:
            # The next watch gets the same error, and all values are listed again.
            self._dependency.succeeded(called_at)
            return True
        except StoreError as error:
            self._dependency.failed(error, called_at)
            return False
        self._dependency.succeeded(called_at)
        return self._apply_watch_changes(changes)

    def _apply_watch_changes(self, changes: Changes) -> bool:
        """Apply changes from the store, and return whether any of them was new."""
        # A peer may have sent something newer while the watch waited.
        events = [event for event in changes.events if event.revision > self._revision]
        if not events:
            self._revision = max(self._revision, changes.revision)
            return False
        written = {}
        deleted = {}
        revisions = {}
        for event in events:
            if event.value is None:
                written.pop(event.key, None)
                deleted[event.key] = event.revision
            else:
                written[event.key] = event.value
                revisions[event.key] = event.revision
                deleted.pop(event.key, None)
        last = max(event.revision for event in events)
        self._apply(written, deleted, revisions, changes.revision, last)
        return True

    def replace_all(
        self,
        values: Mapping[str, bytes],
        revision: int,
        changed_revision: int,
        revisions: Mapping[str, int] | None = None,
    ) -> None:
        """Replace all values by those of a revision, unless newer ones are known.

        :param changed_revision: last known change among them. It must not be later than
            that, since peers would fetch the values again.
        :param revisions: revision of each value's last change, as far as known.
        """
        if self._revision and epoch_of(revision) > epoch_of(self._revision):
            self._merge_restored(values, revision, changed_revision, revisions or {})
            return
        if revision < self._revision:
            log.info(
                "older listing dropped",
                prefix=self._prefix,
                revision=revision,
                held=self._revision,
            )
            return
        known_revisions = revisions or {}
        # A key that was rewritten with the same value counts as changed, since the new
        # write may have a meaning of its own.
        written = {
            key: value
            for key, value in values.items()
            if self._values.get(key) != value
            or known_revisions.get(key, 0) > self._key_revisions.get(key, 0)
        }
        gone = self._values.keys() - values.keys()
        # The revisions of the deletions are unknown, so later deltas begin here.
        self._complete_since = revision
        self._apply(
            written,
            dict.fromkeys(gone, revision),
            known_revisions,
            revision,
            changed_revision,
            # When the store was restored is not known at the first listing.
            is_restored=not self._revision and epoch_of(revision) > 0,
        )

    def _merge_restored(
        self,
        values: Mapping[str, bytes],
        revision: int,
        changed_revision: int,
        revisions: Mapping[str, int],
    ) -> None:
        """Merge the values of a store that was restored from a copy.

        The copy lacks the latest writes, which most of their writers repeat. So keys
        that it lacks are kept for a while, and those that it has again are left out for
        a while, unless they are written or deleted meanwhile. So are earlier values of
        some keys.
        """
        lacking = self._values.keys() - values.keys()
        returned = {
            key
            for key, value in values.items()
            if key in self._deleted or self._is_set_back(key, value)
        }
        log.warning(
            "restored store listed",
            prefix=self._prefix,
            revision=revision,
            before=self._revision,
            kept=len(lacking),
            left_out=len(returned),
        )
        self._complete_since = revision
        self._kept = set(lacking)
        self._left_out = {
            key: (values[key], revisions.get(key, revision)) for key in returned
        }
        written = {key: value for key, value in values.items() if key not in returned}
        self._apply(
            written, {}, revisions, revision, changed_revision, is_restored=True
        )
        spawn(self._settle_restored, epoch_of(revision))

    def _is_set_back(self, key: str, value: bytes) -> bool:
        known = self._values.get(key, value)
        return value != known and self._is_left_out(key)

    def _settle_restored(self, epoch: int) -> None:
        """Take what the restored store has, once writers have had time."""
        times = self._restore_times
        sleep(times.kept)
        if epoch_of(self._revision) != epoch:
            return
        kept, self._kept = self._kept, set()
        gone = {key for key in kept if key in self._values}
        if gone:
            self._drop_kept(gone)
        sleep(times.left_out - times.kept)
        if epoch_of(self._revision) != epoch:
            return
        left_out, self._left_out = self._left_out, {}
        if left_out:
            log.info("restored values taken", prefix=self._prefix, keys=len(left_out))
            self._apply(
                {key: value for key, (value, _) in left_out.items()},
                {},
                {key: revision for key, (_, revision) in left_out.items()},
                self._revision,
                self._changed_revision,
            )

    def _drop_kept(self, gone: Collection[str]) -> None:
        log.info("keys lost in a restore", prefix=self._prefix, keys=len(gone))
        self._apply(
            {},
            dict.fromkeys(gone, self._revision),
            {},
            self._revision,
            self._changed_revision,
        )

    def changes_since(self, revision: int) -> StoreValues | None:
        """Return the changes since a revision, or all values, for a peer.

        The list of eighty endpoints takes about 25 KB, and each gateway of a zone
        fetches each change; a delta takes some hundred bytes.
        """
        if not self._revision:
            return None
        if revision < self._complete_since:
            return StoreValues(
                self._revision,
                self._changed_revision,
                dict(self._values),
                dict(self._key_revisions),
            )
        changed = {
            key: changed_at
            for key, changed_at in self._key_revisions.items()
            if changed_at > revision
        }
        return StoreValues(
            self._revision,
            self._changed_revision,
            {key: self._values[key] for key in changed},
            changed,
            {key: at for key, at in self._deleted.items() if at > revision},
            is_complete=False,
        )

    def apply_peer_values(self, values: StoreValues, since: int) -> None:
        """Apply a peer's response to a request for changes since ``since``."""
        if values.is_complete:
            self.replace_all(
                values.values,
                values.revision,
                values.changed_revision,
                values.revisions,
            )
            return
        if since > self._changed_revision or values.revision < self._revision:
            return
        self._apply(
            values.values,
            values.deleted,
            values.revisions,
            values.revision,
            values.changed_revision,
        )

    def _apply(
        self,
        written: Mapping[str, bytes],
        deleted: Mapping[str, int],
        revisions: Mapping[str, int],
        revision: int,
        changed_revision: int,
        *,
        is_restored: bool = False,
    ) -> None:
        for key in (*written, *deleted):
            self._kept.discard(key)
            self._left_out.pop(key, None)
        for key, value in written.items():
            self._values[key] = value
            self._deleted.pop(key, None)
            self._key_revisions[key] = revisions.get(key, revision)
        for key, deleted_at in deleted.items():
            self._values.pop(key, None)
            self._key_revisions.pop(key, None)
            self._deleted[key] = deleted_at
        self._trim_deleted()
        self._revision = max(self._revision, revision)
        self._changed_revision = max(self._changed_revision, changed_revision)
        if written or deleted:
            self._on_change(PrefixChanges(written, frozenset(deleted), is_restored))

    def _trim_deleted(self) -> None:
        """Drop the oldest deleted keys; deltas begin after them."""
        while len(self._deleted) > MAX_DELETED_KEYS:
            oldest = min(self._deleted, key=self._deleted.get)
            self._complete_since = max(self._complete_since, self._deleted.pop(oldest))
