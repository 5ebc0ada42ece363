"""Strikes in the platform's store: written, loaded after a start, deleted."""

from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.coordination.exceptions import StoreNotReached
from sassafrasdale.decisions.quarantine import MAX_STRIKES, StrikeLedger
from sassafrasdale.decisions.strikes import StrikeState
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.gateway.quarantine.records import (
    MAX_AGE,
    MAX_WRITES,
    STRIKES_PREFIX,
    WITNESS_TIMEOUT,
    StrikeRecords,
)
from sassafrasdale.gateway.quarantine.trials import TRIALS_PREFIX, Trials
from sassafrasdale.gateway.usage import ClusterTime
from tests.coordination.fakes import FakeStore
from tests.decisions.test_quarantine import strike


class RestorableStore(FakeStore):
    """Store in memory that counts its restores."""

    restores = 0

    @property
    def epoch(self) -> int:
        return self.restores

    def restore(self, copy: dict) -> None:
        """Go back to a copy of the keys."""
        self.keys = dict(copy)
        self.restores += 1


class Peering:
    """Tells whether the gateway is an aggregator."""

    is_aggregator = False


class Gateway:
    """One gateway's strikes and the task that stores them."""

    def __init__(
        self, store: FakeStore, name: str = "g-1", max_strikes: int = MAX_STRIKES
    ) -> None:
        self.store = store
        self.clock = store.clock
        self.ledger = StrikeLedger(max_strikes)
        self.peering = Peering()
        self.time = ClusterTime(self.clock)
        self.trials = Trials(store, self.time, self.clock)
        self.records = StrikeRecords(
            name,
            store,
            Dependency("store", self.clock),
            self.ledger,
            self.trials,
            self.peering,
            self.time,
            self.clock,
            Random(1),
        )

    def strike(
        self, *crashes: int, name: str = "crashing", witness: str = "g-1"
    ) -> None:
        for crash in crashes:
            at = self.time.seconds
            self.ledger.add(strike(name, crash, at=at, witness=witness))


@pytest.fixture
def store():
    return RestorableStore(ManualClock())


@pytest.fixture
def gateway(store):
    gateway = Gateway(store)
    gateway.records.step()
    return gateway


def stored(store: FakeStore) -> list[str]:
    return [key for key in store.keys if key.startswith(STRIKES_PREFIX)]


def test_strikes_outlive_all_gateways(store, gateway):
    """Guards against three more crashes after each restart of all gateways."""
    gateway.strike(1, 2, 3)
    gateway.records.step()
    later = Gateway(store, "g-2")
    assert not later.records.is_loaded
    later.records.step()
    assert later.records.is_loaded
    assert later.ledger.quarantined == {"crashing"}


def test_a_single_strike_is_not_stored(store, gateway):
    """Guards against a write for each request that runs beside a crashing one."""
    gateway.strike(1)
    gateway.records.step()
    assert stored(store) == []
    gateway.strike(2)
    gateway.records.step()
    assert len(stored(store)) == 2


def test_there_are_no_calls_without_changes(store, gateway):
    gateway.strike(1, 2, 3)
    gateway.records.step()
    calls = store.calls
    for _ in range(100):
        gateway.records.step()
    assert store.calls == calls


def test_a_gateway_stores_the_strikes_it_witnessed(store, gateway):
    gateway.strike(1, 2)
    gateway.strike(3, witness="g-2")
    gateway.records.step()
    assert len(stored(store)) == 2


def test_an_aggregator_stores_overdue_strikes(store, gateway):
    """Guards against a strike that is lost with the gateway that witnessed it."""
    gateway.strike(1, 2, 3, witness="g-killed")
    gateway.records.step()
    assert stored(store) == []
    store.clock.advance(WITNESS_TIMEOUT * 2)
    gateway.records.step()
    assert stored(store) == []
    gateway.peering.is_aggregator = True
    gateway.records.step()
    assert len(stored(store)) == 3


def test_pending_strikes_are_stored_after_an_outage(store, gateway):
    gateway.strike(1, 2, 3)
    store.faults = ["unreached", "lost_before"]
    for _ in range(2):
        with pytest.raises(Exception, match="store is out|request lost"):
            gateway.records.step()
    gateway.records.step()
    assert len(stored(store)) == 3


def test_a_start_during_an_outage_loads_after_it(store):
    """Guards against a gateway that serves before it has loaded earlier strikes."""
    store.faults = ["unreached"]
    gateway = Gateway(store)
    with pytest.raises(StoreNotReached):
        gateway.records.step()
    assert not gateway.records.is_loaded
    gateway.records.step()
    assert gateway.records.is_loaded


def test_cleared_strikes_are_deleted(store, gateway):
    """Guards against an innocent request that is refused again after a restart."""
    gateway.strike(1, 2, 3)
    gateway.records.step()
    store.keys[TRIALS_PREFIX + "crashing"] = next(iter(store.keys.values()))
    gateway.ledger.clear("crashing")
    gateway.records.step()
    assert list(store.keys) == []
    calls = store.calls
    gateway.records.step()
    assert store.calls == calls


def test_a_strike_stored_after_its_deletion_is_deleted(store, gateway):
    """Guards against a lifted quarantine that is read again by the next gateway.

    An aggregator stores the strikes of a witness that has just deleted them.
    """
    aggregator = Gateway(store, "g-2")
    aggregator.peering.is_aggregator = True
    aggregator.records.step()
    gateway.strike(1, 2)
    strikes = [each.strike for each in gateway.ledger.open_strikes("crashing")]
    for each in strikes:
        aggregator.ledger.add(each)
    gateway.records.step()
    gateway.ledger.clear("crashing")
    gateway.records.step()
    assert stored(store) == []
    store.clock.advance(WITNESS_TIMEOUT * 2)
    aggregator.records.step()
    assert len(stored(store)) == 2
    for each in strikes:
        aggregator.ledger.add(each, StrikeState.CLEARED | StrikeState.UNSTORED)
    aggregator.records.step()
    assert stored(store) == []
    calls = store.calls
    aggregator.records.step()
    assert store.calls == calls


def test_old_strikes_are_deleted(store, gateway):
    gateway.strike(1, 2, 3)
    gateway.records.step()
    store.clock.advance(MAX_AGE + timedelta(seconds=1))
    for _ in range(2):
        gateway.records.step()
    assert gateway.ledger.quarantined == set()
    assert stored(store) == []


def test_writes_in_one_step_are_bounded(store, gateway):
    """Guards against a store that is overloaded by one caller's crashing requests."""
    for number in range(40):
        gateway.strike(1, 2, 3, name=f"crashing-{number}")
    calls = store.calls
    gateway.records.step()
    assert store.calls - calls <= MAX_WRITES
    for _ in range(40):
        gateway.records.step()
    assert len(stored(store)) == 120


def test_strikes_that_the_ledger_drops_are_deleted(store):
    """Guards against a store that fills up with the strikes of new requests."""
    gateway = Gateway(store, max_strikes=60)
    for number in range(200):
        gateway.strike(1, 2, name=f"crashing-{number}")
        gateway.records.step()
    assert len(gateway.ledger) <= 60
    assert len(stored(store)) <= 60


def test_strikes_that_a_restore_has_lost_are_stored_again(store, gateway):
    """Guards against three more crashes after a restore and a restart of all."""
    for number in range(MAX_WRITES):
        gateway.strike(1, 2, 3, name=f"crashing-{number}")
    for _ in range(4):
        gateway.records.step()
    store.restore({})
    calls = store.calls
    gateway.records.step()
    assert store.calls - calls <= MAX_WRITES + 1
    store.faults = ["unreached"]
    with pytest.raises(StoreNotReached):
        gateway.records.step()
    for _ in range(4):
        gateway.records.step()
    assert len(stored(store)) == 3 * MAX_WRITES
    calls = store.calls
    gateway.records.step()
    assert store.calls == calls


def test_cleared_strikes_that_a_restore_returns_are_deleted(store, gateway):
    """Guards against a lifted quarantine that is read again by the next gateway."""
    gateway.strike(1, 2, 3)
    gateway.records.step()
    copy = dict(store.keys)
    gateway.ledger.clear("crashing")
    gateway.records.step()
    store.restore(copy)
    gateway.records.step()
    assert stored(store) == []


def test_an_aggregator_repeats_what_a_witness_that_is_gone_had_stored(store, gateway):
    """Guards against strikes that a restore loses after their witness has ended."""
    gateway.strike(1, 2, 3)
    gateway.records.step()
    aggregator = Gateway(store, "g-2")
    aggregator.records.step()
    store.clock.advance(WITNESS_TIMEOUT * 2)
    store.restore({})
    aggregator.peering.is_aggregator = True
    aggregator.records.step()
    assert len(stored(store)) == 3


def test_malformed_strikes_are_skipped(store):
    store.create(STRIKES_PREFIX + "x/i-1/0", b"\xff")
    gateway = Gateway(store)
    gateway.records.step()
    assert gateway.records.is_loaded
    assert len(gateway.ledger) == 0
