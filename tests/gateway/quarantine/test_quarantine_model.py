"""Simulation of a caller that retries a crashing request while components fail.

Complete runs in virtual time: strikes, successes, reports between gateways, records in
the store, restarts of some gateways or all, partitions, outages of the store.
"""

from collections import Counter
from random import Random

import pytest

from sassafrasdale.coordination.exceptions import StoreError, StoreNotReached
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.gateway.quarantine.records import StrikeRecords
from sassafrasdale.gateway.quarantine.trials import Trials
from tests.coordination.fakes import FakeStore
from tests.decisions.test_quarantine import strike
from tests.gateway.fleets import Fleet

ZONES = {"a": 3, "b": 3, "c": 3}
PROPAGATION_TIME = 3.0
SETTLING_TIME = 4.0
# Attempts that the deployment's rule allows beyond the first three crashes, by gateways
# that had been connected for long enough.
MAX_LATE_ATTEMPTS = 3
DURATION = 60


class Store(FakeStore):
    """A store that can have an outage."""

    out = False

    def _call(self, effect, *, write=True):
        if self.out:
            raise StoreNotReached("store is out")
        return super()._call(effect, write=write)


class Simulation:
    """A fleet, its store, and callers that send to random gateways."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.fleet = Fleet(ZONES)
        self.store = Store(self.fleet.clock)
        self.records: dict[str, StrikeRecords] = {}
        self.connected_since: dict[str, float] = {}
        self.store_reachable_since = 0.0
        self.crashes: list[float] = []
        self.late_attempts = 0
        self.refused: Counter[str] = Counter()
        for name in self.fleet.nodes:
            self._join(name)
        self.run(SETTLING_TIME)

    @property
    def now(self) -> float:
        return self.fleet.clock.elapsed().total_seconds()

    def _join(self, name: str) -> None:
        node = self.fleet.nodes[name]
        clock = self.fleet.clock
        self.connected_since[name] = self.now
        self.records[name] = StrikeRecords(
            name,
            self.store,
            Dependency("store", clock),
            node.strikes,
            Trials(self.store, node.time, clock),
            node.peering,
            node.time,
            clock,
            Random(name),
        )

    def kill(self, *names: str) -> None:
        """Kill gateways and restart them at once."""
        self.fleet.kill(*names)
        for name in names:
            old = self.fleet.nodes[name]
            self.fleet.start(name, old.zone, old.roster.own.incarnation + 1)
            self._join(name)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.25)):
            self.fleet.play(0.25)
            for records in self.records.values():
                try:
                    records.step()
                except StoreError:
                    continue

    def ready(self) -> list[str]:
        return [name for name, records in self.records.items() if records.is_loaded]

    def is_connected(self, name: str) -> bool:
        since = max(self.connected_since[name], self.store_reachable_since)
        cut = any(name in pair for pair in self.fleet.cuts)
        return self.now - since >= PROPAGATION_TIME and not cut and not self.store.out

    def attempt(self) -> None:
        """Send the crashing request to a random gateway."""
        name = self.rng.choice(self.ready())
        ledger = self.fleet.nodes[name].strikes
        if "crashing" in ledger.quarantined:
            self.refused["crashing"] += 1
            return
        known = len(self.crashes) >= 3 and self.now - self.crashes[2] > PROPAGATION_TIME
        self.late_attempts += known and self.is_connected(name)
        self.crashes.append(self.now)
        at = self.fleet.nodes[name].time.seconds
        ledger.add(strike("crashing", len(self.crashes), at=at, witness=name))
        self._strike_innocents(len(self.crashes), at)

    def _strike_innocents(self, crash: int, at: float) -> None:
        """Have innocent requests run at the same endpoint, and succeed elsewhere."""
        for number in range(4):
            witness = self.fleet.nodes[self.rng.choice(self.ready())]
            name = f"innocent-{crash}-{number}"
            witnessed = strike(name, crash, begun=True, at=at, witness=witness.name)
            witness.strikes.add(witnessed)
            if self.rng.random() < 0.8:
                self.fleet.nodes[self.rng.choice(self.ready())].strikes.clear(name)

    def refused_innocents(self) -> set[str]:
        return {
            name
            for node in self.fleet.nodes.values()
            for name in node.strikes.quarantined
            if name != "crashing"
        }


def test_no_attempts_once_all_gateways_know():
    simulation = Simulation(1)
    for _ in range(60):
        simulation.attempt()
        simulation.run(0.5)
    assert simulation.late_attempts == 0
    assert len(simulation.crashes) <= 4
    assert simulation.refused_innocents() == set()


def test_strikes_survive_a_restart_of_all_gateways():
    """Guards against strikes that are lost with the gateways that witnessed them."""
    simulation = Simulation(2)
    for _ in range(12):
        simulation.attempt()
        simulation.run(1)
        if len(simulation.crashes) != 1:
            simulation.kill(*simulation.fleet.nodes)
        simulation.run(PROPAGATION_TIME + 1)
    assert len(simulation.crashes) <= 4


@pytest.mark.parametrize("seed", range(10))
def test_the_rule_holds_under_any_faults(seed):
    """Guards against more crashes while gateways or the store fail."""
    simulation = Simulation(seed)
    rng = simulation.rng
    deadline = simulation.now + DURATION
    while simulation.now < deadline:
        match rng.randrange(40):
            case 0:
                simulation.kill(*simulation.fleet.nodes)
            case 1 | 2:
                simulation.kill(
                    *rng.sample(list(simulation.fleet.nodes), rng.randint(1, 4))
                )
            case 3 | 4:
                simulation.store.out = True
            case 5 | 6 | 7 | 8 if simulation.store.out:
                simulation.store.out = False
                simulation.store_reachable_since = simulation.now
            case 9:
                simulation.fleet.cut(rng.choice(list(simulation.fleet.nodes)))
            case 10 | 11 | 12 if simulation.fleet.cuts:
                cut = {name for pair in simulation.fleet.cuts for name in pair}
                simulation.fleet.heal()
                for name in cut:
                    simulation.connected_since[name] = simulation.now
            case _:
                if simulation.ready():
                    simulation.attempt()
        simulation.run(rng.choice([0.25, 0.5, 1.0]))
    assert simulation.late_attempts <= MAX_LATE_ATTEMPTS
    assert simulation.refused_innocents() == set()
    simulation.store.out = False
    simulation.fleet.heal()
    simulation.run(10)
    views = {node.strikes.quarantined for node in simulation.fleet.nodes.values()}
    assert len(views) == 1
