"""Trial attempts of quarantined requests, by one gateway at a time.

A later version of the endpoints may be able to run such a request, and one that merely
ran beside others at each crash must not be refused for good. So one attempt is allowed
now and then; the store ensures that only one gateway makes it.
"""

from datetime import timedelta

from logbook import Logger
from msgspec import DecodeError, Struct
from msgspec.msgpack import Decoder, Encoder

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.exceptions import StoreError
from sassafrasdale.coordination.stores import ABSENT, BaseStore
from sassafrasdale.decisions.quarantine import is_trial_due
from sassafrasdale.gateway.usage import ClusterTime

log = Logger("trials")

TRIALS_PREFIX = "sassafrasdale/trials/"
# Shortest interval between a gateway's queries about one request; each is a call to the
# store.
MIN_QUERY_INTERVAL = timedelta(seconds=10)
# Most requests whose last query is tracked.
MAX_TRACKED = 500


class TrialRecord(Struct, frozen=True, array_like=True):
    """Trial attempts of one request.

    :param count: how many there were.
    :param last_at: time of the last one, in seconds since 1970.
    """

    count: int = 0
    last_at: float = 0.0


_DECODER = Decoder(TrialRecord)
_ENCODE = Encoder().encode


class Trials:
    """Decides whether this gateway may send a refused request once.

    :param store: the platform's store.
    :param time: cluster time.
    """

    def __init__(self, store: BaseStore, time: ClusterTime, clock: Clock) -> None:
        self._store = store
        self._time = time
        self._clock = clock
        self._queried_at: dict[str, timedelta] = {}

    def try_claim(
        self, fingerprint: str, last_crash_at: float, *, has_new: bool
    ) -> bool:
        """Return whether this gateway may make a trial attempt of a request now.

        Without a response of the store it may not: another gateway might make it, too.

        :param fingerprint: of the request.
        :param last_crash_at: when an endpoint last crashed under it, in seconds since
            1970.
        :param has_new: whether there are endpoints of a version that it hasn't run on.
        """
        now = self._time.seconds
        may_be_due = is_trial_due(0, last_crash_at, now, has_new=has_new)
        if not may_be_due or not self._may_query(fingerprint):
            return False
        try:
            return self._claim(fingerprint, last_crash_at, now, has_new)
        except StoreError as error:
            log.info("no trial", fingerprint=fingerprint, why=error.message)
            return False

    def forget(self, fingerprint: str) -> None:
        """Delete a request's trial record from the store.

        :raises StoreError: if the store doesn't respond.
        """
        self._store.delete(TRIALS_PREFIX + fingerprint)

    def _may_query(self, fingerprint: str) -> bool:
        now = self._clock.elapsed()
        queried_at = self._queried_at.get(fingerprint)
        if queried_at is not None and now - queried_at < MIN_QUERY_INTERVAL:
            return False
        if len(self._queried_at) >= MAX_TRACKED:
            del self._queried_at[min(self._queried_at, key=self._queried_at.get)]
        self._queried_at[fingerprint] = now
        return True

    def _claim(
        self, fingerprint: str, last_crash_at: float, now: float, has_new: bool
    ) -> bool:
        key = TRIALS_PREFIX + fingerprint
        stored = self._store.get(key)
        record = TrialRecord()
        if stored is not None:
            try:
                record = _DECODER.decode(stored.value)
            except DecodeError as error:
                log.error(
                    "malformed trial record; starting a new one",
                    key=key,
                    why=str(error),
                )
        last = max(last_crash_at, record.last_at)
        if not is_trial_due(record.count, last, now, has_new=has_new):
            return False
        revision = ABSENT if stored is None else stored.mod_revision
        value = _ENCODE(TrialRecord(record.count + 1, now))
        if not self._store.compare_and_swap(key, value, revision):
            return False
        log.notice(
            "refused request tried again",
            fingerprint=fingerprint,
            trial=record.count + 1,
            last_end_s=round(now - last_crash_at, 1),
            new_version=has_new,
        )
        return True
