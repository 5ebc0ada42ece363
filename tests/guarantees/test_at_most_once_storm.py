"""Non-idempotent requests while faults of every kind come at random and together."""

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from uuid import uuid4

import pytest

from standins.processes import EntryProcess
from tests.guarantees.certificates import Deployment, Told, deployment
from tests.guarantees.operators import wait_until

CALLERS = 12
STORM = timedelta(seconds=8)
CALM = timedelta(seconds=20)
SHORT = timedelta(seconds=2)
STORE_FAULTS = (
    {"outage": "refuse"},
    {"outage": "close"},
    {"outage": "silent"},
    {"drop_writes": 3},
    {"delay_ms": 1200},
    {"delay_ms": 300},
    {"silence_connections": True},
)
SERVICE_FAULTS = (
    {"drop_answers": 1},
    {"refuse": True},
    {"delay_ms": 400},
    {"silence_connections": True},
)
HEALTHY_STORE = {"outage": None, "drop_writes": 0, "delay_ms": 0}
HEALTHY_SERVICE = {"drop_answers": 0, "refuse": False, "delay_ms": 0}


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a caller, and what it was told."""

    key: str
    request_id: str
    told: Told


@pytest.fixture(scope="module")
def system() -> Iterator[Deployment]:
    with deployment() as made:
        yield made


def test_faults_together_and_twice(system):
    """Callers ask for certificates through any entry, and ask again until answered.

    Meanwhile the store is out, slow or loses answers, the service refuses or loses
    answers, connections go silent and entries are paused, in any mixture.
    """
    seed = Random().randrange(10**6)
    print(f"seed {seed}")
    end = time.monotonic() + STORM.total_seconds()
    with ThreadPoolExecutor(CALLERS) as callers:
        runs = [
            callers.submit(call_until, system, end, Random(seed + number))
            for number in range(CALLERS)
        ]
        storm(system, end, Random(seed))
        attempts = [attempt for run in runs for attempt in run.result()]
    check(system, attempts)
    in_doubt = {item.key for item in attempts if outcome_of(item) != "answered"}
    for key in in_doubt:
        attempts.append(finish(system, key))
    check(system, attempts)


def storm(system: Deployment, end: float, rng: Random) -> None:
    """Bring faults about until ``end``, then end them all."""
    while time.monotonic() < end:
        store_fault = rng.choice((HEALTHY_STORE, *STORE_FAULTS))
        system.platform.set_faults(store={**HEALTHY_STORE, **store_fault})
        service_fault = rng.choice((HEALTHY_SERVICE, *SERVICE_FAULTS))
        system.service.set_faults(**{**HEALTHY_SERVICE, **service_fault})
        paused = rng.choice((None, None, *system.entries))
        if paused is not None:
            paused.freeze()
        time.sleep(rng.uniform(0.1, 0.8))
        if paused is not None:
            paused.thaw()
    system.heal()
    system.service.set_faults(refuse=False)


def call_until(system: Deployment, end: float, rng: Random) -> list[Attempt]:
    """Ask for one certificate after the other, each until it is answered."""
    attempts = []
    while time.monotonic() < end:
        key = uuid4().hex
        for _ in range(6):
            count = rng.choice((1, 1, len(system.entries)))
            made = attempt_at_once(system, rng.sample(system.entries, count), key)
            attempts.extend(made)
            if "answered" in map(outcome_of, made) or time.monotonic() > end:
                break
            time.sleep(rng.uniform(0, 0.2))
    return attempts


def attempt_at_once(
    system: Deployment, entries: list[EntryProcess], key: str
) -> list[Attempt]:
    """Ask through several entries at the same time."""
    calls = [system.threads.submit(attempt, system, entry, key) for entry in entries]
    return [call.result() for call in calls]


def attempt(system: Deployment, entry: EntryProcess, key: str) -> Attempt:
    """Ask once."""
    request_id = uuid4().hex
    told = system.issue(entry, key, SHORT, request_id)
    return Attempt(key, request_id, told)


def finish(system: Deployment, key: str) -> Attempt:
    """Ask with the faults over, until the store is seen to be back."""
    last: list[Attempt] = []

    def is_final() -> bool:
        last[:] = [attempt(system, system.entries[0], key)]
        return outcome_of(last[0]) in ("answered", "unknown")

    wait_until(is_final, CALM)
    return last[0]


def outcome_of(item: Attempt) -> str:
    """Return the outcome that an attempt was told."""
    return item.told.outcome


def check(system: Deployment, attempts: list[Attempt]) -> None:
    """Check what was told against the service's own log."""
    log = system.service.executions()
    ran = [item["idempotency_key"] for item in log]
    assert len(ran) == len(set(ran))
    run_by = {item["request_id"] for item in log}
    not_run = [item for item in attempts if outcome_of(item) == "not-run"]
    assert not run_by & {item.request_id for item in not_run}
    assert all(float(item.told.retry_after) > 0 for item in not_run)
    answers: dict[str, set[bytes]] = {}
    for item in attempts:
        if outcome_of(item) == "answered":
            answers.setdefault(item.key, set()).add(item.told.body)
    assert all(len(bodies) == 1 for bodies in answers.values())
    assert set(answers) <= set(ran)
    counts = {name: 0 for name in ("answered", "not-run", "unknown")}
    for item in attempts:
        counts[outcome_of(item)] += 1
    print(f"{len({item.key for item in attempts})} keys, attempts told: {counts}")
