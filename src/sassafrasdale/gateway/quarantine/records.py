"""Storage of strikes in the platform's store, where they outlive all gateways."""

from datetime import timedelta
from itertools import islice
from random import Random

from logbook import Logger
from msgspec import DecodeError
from msgspec.msgpack import Encoder
from xxhash import xxh64_hexdigest

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.exceptions import StoreError
from sassafrasdale.coordination.stores import BaseStore, StoredValue
from sassafrasdale.decisions.quarantine import StrikeLedger
from sassafrasdale.decisions.strikes import Strike, StrikeState, TrackedStrike
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.gateway.peering import Peering
from sassafrasdale.gateway.quarantine.replication import STRIKE_ROW, StrikeRow
from sassafrasdale.gateway.quarantine.trials import Trials
from sassafrasdale.gateway.usage import ClusterTime
from sassafrasdale.green import sleep

log = Logger("strike records")

STRIKES_PREFIX = "sassafrasdale/strikes/"
# A request with fewer strikes is most likely innocent, and each crash for another
# reason would cause a write for every request that the endpoint ran.
MIN_STRIKES = 2
# A part that is known to be sound is struck and cleared all the time.
MIN_KNOWN_SOUND_STRIKES = 4
STEP_INTERVAL = timedelta(milliseconds=250)
# Most writes of one gateway per step.
MAX_WRITES = 8
# A gateway stores the strikes that it witnessed. After this time an aggregator does so
# instead, as the witness may be gone.
WITNESS_TIMEOUT = timedelta(seconds=2)
# Strikes are dropped after this time: the request was not sent again since, or only
# refused.
MAX_AGE = timedelta(hours=24)
# Interval of full checks while the ledger doesn't change.
FULL_CHECK_INTERVAL = timedelta(minutes=1)

_ENCODE = Encoder().encode


class StrikeRecords:
    """Task that writes strikes to the store, and deletes cleared ones.

    Each strike has its own key, so gateways that know different ones at the moment
    don't overwrite each other's.

    :param name: this gateway's name.
    :param ledger: strikes of all gateways.
    :param peering: tells whether this gateway is an aggregator.
    """

    def __init__(
        self,
        name: str,
        store: BaseStore,
        dependency: Dependency,
        ledger: StrikeLedger,
        trials: Trials,
        peering: Peering,
        time: ClusterTime,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._name = name
        self._store = store
        self._dependency = dependency
        self._ledger = ledger
        self._trials = trials
        self._peering = peering
        self._time = time
        self._clock = clock
        self._rng = rng
        self._is_loaded = False
        self._epoch = store.epoch
        # Strikes whose stored state a restore has set back.
        self._set_back: list[TrackedStrike] = []
        # Strikes that this gateway has stored. It also deletes them: another one may
        # have done so before they were stored here.
        self._own: set[Strike] = set()
        self._checked_at: timedelta | None = None
        self._checked_version = 0
        self._has_pending = False

    @property
    def is_loaded(self) -> bool:
        """Whether the strikes from before the start have been loaded."""
        return self._is_loaded

    def run(self) -> None:
        """Load the stored strikes, then store new ones, until the task is killed."""
        while True:
            called_at = self._clock.elapsed()
            try:
                if self.step():
                    self._dependency.succeeded(called_at)
            except StoreError as error:
                self._dependency.failed(error, called_at)
            sleep(STEP_INTERVAL * self._rng.uniform(0.8, 1.2))

    def step(self) -> bool:
        """Write what is due, and return whether the store was called.

        :raises StoreError: if the store doesn't respond.
        """
        if not self._is_loaded:
            self._load()
            return True
        compared = self._store.epoch != self._epoch and self._compare_restored()
        repeated = self._repeat_writes()
        due = self._due() if not repeated else []
        for tracked in due:
            self._update_store(tracked)
        for fingerprint in {
            tracked.strike.fingerprint for tracked in due if not tracked.is_open
        }:
            self._trials.forget(fingerprint)
        dropped = self._dropped()
        for tracked in dropped:
            self._delete(tracked.strike)
        return compared or repeated or bool(due or dropped)

    def _compare_restored(self) -> bool:
        """Find strikes that a restored store lacks, or has though they are cleared.

        :returns: whether the store was called.
        """
        # Taken before the call, so that a restore meanwhile is noticed afterwards.
        epoch = self._store.epoch
        has_strikes = len(self._ledger) > 0
        if has_strikes:
            keys = {item.key for item in self._store.list(STRIKES_PREFIX)}
            self._set_back = [
                tracked
                for strikes in self._ledger.by_feature()
                for tracked in strikes
                if StrikeState.STORED in tracked.state
                and tracked.is_open != (_key(tracked.strike) in keys)
            ]
            log.info("strikes of a restored store compared", differ=len(self._set_back))
        self._epoch = epoch
        return has_strikes

    def _repeat_writes(self) -> bool:
        """Repeat writes that a restore has lost, and return whether there were any."""
        self._set_back = [
            tracked for tracked in self._set_back if self._is_responsible(tracked)
        ]
        repeated = self._set_back[:MAX_WRITES]
        for tracked in repeated:
            self._update_store(tracked)
        del self._set_back[: len(repeated)]
        return bool(repeated)

    def _dropped(self) -> list[TrackedStrike]:
        """Return stored strikes that the ledger has dropped for lack of space."""
        return [
            tracked
            for tracked in self._ledger.pop_dropped()
            if self._may_be_stored(tracked) and self._is_responsible(tracked)
        ]

    def _load(self) -> None:
        self._epoch = self._store.epoch
        for item in self._store.list(STRIKES_PREFIX):
            self._load_strike(item)
        self._is_loaded = True
        if len(self._ledger):
            log.notice("strikes read", count=len(self._ledger))

    def _load_strike(self, item: StoredValue) -> None:
        try:
            row = STRIKE_ROW.decode(item.value)
        except DecodeError as error:
            log.error("strike malformed", key=item.key, why=str(error))
            return
        self._ledger.add(row.strike, StrikeState.STORED)

    def _due(self) -> list[TrackedStrike]:
        """Return strikes whose stored state this gateway has to update."""
        now = self._clock.elapsed()
        is_recent = (
            self._checked_at is not None
            and now - self._checked_at < FULL_CHECK_INTERVAL
        )
        if (
            is_recent
            and not self._has_pending
            and self._checked_version == self._ledger.version
        ):
            return []
        self._checked_at = now
        self._checked_version = self._ledger.version
        pending: list[TrackedStrike] = []
        for strikes in list(self._ledger.by_feature()):
            self._clear_expired(strikes)
            pending += [
                tracked for tracked in strikes if self._is_out_of_date(tracked, strikes)
            ]
        self._has_pending = bool(pending)
        due = (tracked for tracked in pending if self._is_responsible(tracked))
        return list(islice(due, MAX_WRITES))

    def _clear_expired(self, strikes: list[TrackedStrike]) -> None:
        newest = max(tracked.strike.at for tracked in strikes)
        if self._age(newest) > MAX_AGE and any(tracked.is_open for tracked in strikes):
            fingerprint = strikes[0].strike.fingerprint
            self._ledger.expire(fingerprint)
            log.info("strikes cleared", fingerprint=fingerprint, why="too old")

    def _is_responsible(self, tracked: TrackedStrike) -> bool:
        if tracked.strike.witness == self._name or tracked.strike in self._own:
            return True
        is_overdue = self._age(tracked.strike.at) > WITNESS_TIMEOUT
        return is_overdue and self._peering.is_aggregator

    def _age(self, at: float) -> timedelta:
        return timedelta(seconds=self._time.seconds - at)

    def _update_store(self, tracked: TrackedStrike) -> None:
        strike = tracked.strike
        fingerprint = strike.fingerprint
        if tracked.is_open:
            self._own.add(strike)
            self._store.create(_key(strike), _ENCODE(StrikeRow.of(tracked)))
            self._ledger.add(strike, StrikeState.STORED)
            log.info("strike stored", fingerprint=fingerprint, endpoint=strike.endpoint)
            return
        self._delete(strike)
        self._ledger.add(strike, StrikeState.UNSTORED)
        log.info("strike removed", fingerprint=fingerprint, endpoint=strike.endpoint)

    def _delete(self, strike: Strike) -> None:
        self._store.delete(_key(strike))
        self._own.discard(strike)

    def _is_out_of_date(
        self, tracked: TrackedStrike, strikes: list[TrackedStrike]
    ) -> bool:
        """Return whether the store's state of a strike is out of date.

        :param strikes: all of the same feature.
        """
        if tracked.is_open:
            known = tracked.is_known_sound
            least = MIN_KNOWN_SOUND_STRIKES if known else MIN_STRIKES
            has_enough = sum(other.is_open for other in strikes) >= least
            return has_enough and not tracked.state & StrikeState.STORED
        return self._may_be_stored(tracked)

    def _may_be_stored(self, tracked: TrackedStrike) -> bool:
        """Return whether the store may hold a strike."""
        stored = tracked.state & (StrikeState.STORED | StrikeState.UNSTORED)
        return stored == StrikeState.STORED or tracked.strike in self._own


def _key(strike: Strike) -> str:
    # Names may be too long for the store's keys.
    crash = f"{strike.endpoint} {strike.at} {strike.witness}"
    return f"{STRIKES_PREFIX}{strike.fingerprint}/{xxh64_hexdigest(crash.encode())}"
