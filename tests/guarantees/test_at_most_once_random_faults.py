"""Non-idempotent requests under random combinations of faults."""

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from uuid import uuid4

import pytest

from standins.processes import EntryProcess
from tests.guarantees.certificates import Deployment, Reply, deployment
from tests.guarantees.operators import wait_until

CALLERS = 12
FAULTS_DURATION = timedelta(seconds=8)
RECOVERY_LIMIT = timedelta(seconds=20)
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
    """One attempt of a caller, and the reply to it."""

    key: str
    request_id: str
    reply: Reply


@pytest.fixture(scope="module")
def system() -> Iterator[Deployment]:
    with deployment() as running:
        yield running


def test_combined_faults_execute_no_request_twice(system):
    """A certificate would be issued twice, or reported "not-run" though it was issued.

    Callers request certificates through any entry and retry until answered. Meanwhile
    the store is unavailable, slow or loses responses, the service refuses requests or
    loses responses, connections stop responding and entries are paused, in any
    combination.
    """
    seed = Random().randrange(10**6)
    print(f"seed {seed}")
    end = time.monotonic() + FAULTS_DURATION.total_seconds()
    with ThreadPoolExecutor(CALLERS) as callers:
        runs = [
            callers.submit(request_until, system, end, Random(seed + number))
            for number in range(CALLERS)
        ]
        inject_faults(system, end, Random(seed))
        attempts = [attempt for run in runs for attempt in run.result()]
    check(system, attempts)
    unresolved = {item.key for item in attempts if outcome_of(item) != "answered"}
    for key in unresolved:
        attempts.append(retry_until_final(system, key))
    check(system, attempts)


def inject_faults(system: Deployment, end: float, rng: Random) -> None:
    """Inject random faults until ``end``, then clear them all."""
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
    system.clear_faults()
    system.service.set_faults(refuse=False)


def request_until(system: Deployment, end: float, rng: Random) -> list[Attempt]:
    """Request certificates in turn; retry each one until it is answered."""
    attempts = []
    while time.monotonic() < end:
        key = uuid4().hex
        for _ in range(6):
            count = rng.choice((1, 1, len(system.entries)))
            batch = attempt_at_once(system, rng.sample(system.entries, count), key)
            attempts.extend(batch)
            if "answered" in map(outcome_of, batch) or time.monotonic() > end:
                break
            time.sleep(rng.uniform(0, 0.2))
    return attempts


def attempt_at_once(
    system: Deployment, entries: list[EntryProcess], key: str
) -> list[Attempt]:
    """Send the same request through several entries at the same time."""
    calls = [system.threads.submit(attempt, system, entry, key) for entry in entries]
    return [call.result() for call in calls]


def attempt(system: Deployment, entry: EntryProcess, key: str) -> Attempt:
    """Send the request once."""
    request_id = uuid4().hex
    reply = system.issue(entry, key, SHORT, request_id)
    return Attempt(key, request_id, reply)


def retry_until_final(system: Deployment, key: str) -> Attempt:
    """Retry, with all faults cleared, until the outcome is "answered" or "unknown"."""
    last: list[Attempt] = []

    def is_final() -> bool:
        last[:] = [attempt(system, system.entries[0], key)]
        return outcome_of(last[0]) in ("answered", "unknown")

    wait_until(is_final, RECOVERY_LIMIT)
    return last[0]


def outcome_of(item: Attempt) -> str:
    """Return the reported outcome of an attempt."""
    return item.reply.outcome


def check(system: Deployment, attempts: list[Attempt]) -> None:
    """Check the reported outcomes against the service's own log."""
    log = system.service.executions()
    ran = [item["idempotency_key"] for item in log]
    assert len(ran) == len(set(ran))
    run_by = {item["request_id"] for item in log}
    not_run = [item for item in attempts if outcome_of(item) == "not-run"]
    assert not run_by & {item.request_id for item in not_run}
    assert all(float(item.reply.retry_after) > 0 for item in not_run)
    answers: dict[str, set[bytes]] = {}
    for item in attempts:
        if outcome_of(item) == "answered":
            answers.setdefault(item.key, set()).add(item.reply.body)
    assert all(len(bodies) == 1 for bodies in answers.values())
    assert set(answers) <= set(ran)
    counts = {name: 0 for name in ("answered", "not-run", "unknown")}
    for item in attempts:
        counts[outcome_of(item)] += 1
    print(f"{len({item.key for item in attempts})} keys, outcomes: {counts}")
