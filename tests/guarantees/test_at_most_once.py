"""Non-idempotent requests on real processes: at most one run, a true "not run".

The service answers each execution with a new number, so that a second execution
shows both in its count and in the answer.
"""

import time
from collections.abc import Iterator
from datetime import timedelta
from uuid import uuid4

import pytest

from tests.guarantees.certificates import CLAIMS_PREFIX, Deployment, deployment
from tests.guarantees.operators import wait_until

SLOW_MS = 500
SHORT = timedelta(seconds=2)
LONG = timedelta(seconds=15)
FREEZE = timedelta(seconds=4)


@pytest.fixture(scope="module")
def started() -> Iterator[Deployment]:
    with deployment() as made:
        yield made


@pytest.fixture
def system(started: Deployment) -> Iterator[Deployment]:
    yield started
    started.heal()
    # The breakers in front of the store close with the first call that works.
    for entry in started.entries:
        wait_until(
            lambda entry=entry: started.issue(entry, uuid4().hex).status == 201, LONG
        )


@pytest.fixture
def key() -> str:
    return uuid4().hex


def freeze_after_claim(system, entry, key, timeout):
    """Freeze ``entry`` while the store works on its claim; return the call."""
    system.platform.set_faults(store={"delay_ms": SLOW_MS})
    before = system.store_writes()
    # Other tasks of the entries write nothing, so the next write is the claim.
    call = system.issue_later(entry, key, timeout)
    time.sleep(SLOW_MS / 2000)
    entry.freeze()
    system.wait_for_write(before)
    system.platform.set_faults(store={"delay_ms": 0})
    return call


def test_retries_through_all_entries_get_the_first_answer(system, key):
    told = [system.issue(entry, key) for entry in system.entries * 3]
    assert {item.outcome for item in told} == {"answered"}
    assert len({item.body for item in told}) == 1
    assert system.executions(key) == 1


def test_racing_calls_run_once(system, key):
    """A caller's client sends the same request through all entries at once."""
    calls = [system.issue_later(entry, key) for entry in system.entries * 4]
    told = [call.result() for call in calls]
    assert len({item.body for item in told if item.outcome == "answered"}) == 1
    assert system.executions(key) == 1


def test_entry_killed_between_claim_and_send(system, key):
    """An entry claims a certificate in the store and is killed before it sends.

    The caller's retry through another entry finds the claim of a dead holder. It
    cannot know that nothing was sent, so it says "unknown" and runs nothing.
    """
    with system.spare_entry() as spare:
        call = freeze_after_claim(system, spare, key, LONG)
        spare.kill()
        with pytest.raises(Exception, match="[Cc]onnection"):
            call.result()
        assert system.issue(system.entries[0], key, SHORT).outcome == "unknown"
        assert system.executions(key) == 0


def test_entry_killed_after_send(system, key):
    """An entry is killed while the service issues the certificate.

    The retry must not issue a second one: it is told "unknown".
    """
    system.service.set_faults(slow_factor=SLOW_MS)
    with system.spare_entry() as spare:
        system.issue_later(spare, key, LONG)
        time.sleep(SLOW_MS / 2000)
        spare.kill()
        system.wait_for_call(key)
        system.service.set_faults(slow_factor=1)
        assert system.issue(system.entries[0], key, SHORT).outcome == "unknown"
        assert system.executions(key) == 1


def test_frozen_entry_goes_on_after_others_were_asked(system, key):
    """An entry freezes between claim and send; the caller retries elsewhere.

    Seconds later, when others hold it for dead, it thaws and sends. Had the retry
    run the request meanwhile, the certificate would be issued twice.
    """
    with system.spare_entry() as spare:
        call = freeze_after_claim(system, spare, key, LONG)
        time.sleep(FREEZE.total_seconds())
        assert system.issue(system.entries[0], key, SHORT).outcome == "unknown"
        spare.thaw()
        first = call.result()
        assert first.outcome == "answered"
        wait_until(
            lambda: system.issue(system.entries[1], key, SHORT) == first, SHORT * 2
        )
        assert system.executions(key) == 1


def test_frozen_entry_whose_caller_gave_up_sends_nothing(system, key):
    """An entry thaws after the caller's deadline, between claim and send.

    It says "not run" and gives the claim up; a later retry then runs it, once.
    """
    with system.spare_entry() as spare:
        call = freeze_after_claim(system, spare, key, SHORT)
        time.sleep(FREEZE.total_seconds())
        spare.thaw()
        assert call.result().outcome == "not-run"
        assert system.executions(key) == 0
        wait_until(
            lambda: system.issue(system.entries[0], key).outcome == "answered", LONG
        )
        assert system.executions(key) == 1


@pytest.mark.parametrize("lost", [1, 2, 6])
def test_store_answer_to_the_claim_is_lost(system, key, lost):
    """The store takes a claim and its answer is lost, once or several times.

    The entry finds its own claim, or gives it up and says "not run". Either way
    the certificate is issued once, and a claim given up does not block its key.
    """
    system.platform.set_faults(
        store={"drop_writes": lost, "drop_key_prefix": CLAIMS_PREFIX}
    )
    told = [system.issue(system.entries[0], key)]
    while told[-1].outcome != "answered" and len(told) < 50:
        assert told[-1].outcome == "not-run" or told[-1].status == 504
        if told[-1].outcome == "not-run":
            assert told[-1].retry_after is not None
        time.sleep(0.2)
        told.append(system.issue(system.entries[len(told) % 2], key))
    assert told[-1].outcome == "answered"
    assert system.executions(key) == 1


@pytest.mark.parametrize("outage", ["refuse", "close", "silent"])
def test_store_outage(system, outage):
    """The store is out. Nothing can be claimed, so nothing may run.

    Each caller is told "not run" and when to come back, long before its deadline.
    With the store back, the same keys run once each.
    """
    keys = [uuid4().hex for _ in range(12)]
    system.platform.set_faults(store={"outage": outage})
    began = time.monotonic()
    told = [system.issue(system.entries[0], key, LONG) for key in keys]
    assert time.monotonic() - began < LONG.total_seconds()
    assert {item.outcome for item in told} == {"not-run"}
    assert all(float(item.retry_after) > 0 for item in told)
    assert [system.executions(key) for key in keys] == [0] * len(keys)
    system.platform.set_faults(store={"outage": None})
    for key in keys:
        wait_until(
            lambda key=key: system.issue(system.entries[1], key).outcome == "answered",
            LONG,
        )
    assert [system.executions(key) for key in keys] == [1] * len(keys)


def test_store_slower_than_the_limit(system):
    """The store takes longer than an entry waits; claims land after "not run".

    What was told "not run" has not run and never does by itself. The claims that
    landed late are withdrawn, so that retries run once each.
    """
    keys = [uuid4().hex for _ in range(4)]
    system.platform.set_faults(store={"delay_ms": 1500})
    calls = [system.issue_later(system.entries[0], key, LONG) for key in keys]
    told = [call.result() for call in calls]
    assert {item.outcome for item in told} == {"not-run"}
    system.platform.set_faults(store={"delay_ms": 0})
    time.sleep(2)
    assert [system.executions(key) for key in keys] == [0] * len(keys)
    for key in keys:
        wait_until(
            lambda key=key: system.issue(system.entries[1], key).outcome == "answered",
            LONG,
        )
    assert [system.executions(key) for key in keys] == [1] * len(keys)


def test_store_connections_go_silent(system, key):
    """All connections to the store fall silent while new ones work."""
    system.platform.set_faults(store={"silence_connections": True})
    assert system.issue(system.entries[0], key, LONG).outcome == "answered"
    assert system.executions(key) == 1


@pytest.mark.parametrize("fault", ["silent", "dropped"])
def test_endpoint_lost_after_it_ran(system, key, fault):
    """The service issues a certificate and its connection breaks or goes silent.

    The caller is told "unknown", and so is every retry: another execution would
    issue a second certificate.
    """
    began = time.monotonic()
    if fault == "dropped":
        system.service.set_faults(drop_answers=1)
        call = system.issue_later(system.entries[0], key, SHORT)
    else:
        system.service.set_faults(slow_factor=SLOW_MS)
        call = system.issue_later(system.entries[0], key, SHORT)
        time.sleep(SLOW_MS / 2000)
        system.service.set_faults(silence_connections=True, slow_factor=1)
    assert call.result().outcome == "unknown"
    if fault == "silent":
        assert time.monotonic() - began > SHORT.total_seconds() * 0.9
    for entry in system.entries:
        assert system.issue(entry, key, SHORT).outcome == "unknown"
    assert system.executions(key) == 1


def test_answer_slower_than_connecting_is_waited_for(system, key):
    """A service takes longer to answer than a connection may take to open.

    The caller has time left, so it must get the answer rather than "unknown".
    """
    system.service.set_faults(slow_factor=1500)
    assert system.issue(system.entries[0], key).outcome == "answered"


def test_service_refuses_before_it_runs(system, key):
    """The service says that it has not started; the caller is told "not run"."""
    system.service.set_faults(refuse=True)
    told = system.issue(system.entries[0], key, SHORT)
    assert told.outcome == "not-run"
    assert told.retry_after is not None
    system.service.set_faults(refuse=False)
    wait_until(lambda: system.issue(system.entries[1], key).outcome == "answered", LONG)
    assert system.executions(key) == 1


def test_store_lost_while_another_attempt_runs(system, key):
    """A retry waits for the first attempt's answer, and the store goes out.

    The service is issuing the certificate. To tell the retry "not run" would make
    its caller ask for another one under a new key.
    """
    system.service.set_faults(slow_factor=2500)
    first = system.issue_later(system.entries[0], key)
    time.sleep(SLOW_MS / 1000)
    retry = system.issue_later(system.entries[1], key)
    time.sleep(SLOW_MS / 1000)
    system.platform.set_faults(store={"outage": "refuse"})
    assert retry.result().outcome == "unknown"
    assert first.result().outcome == "answered"
    assert system.executions(key) == 1
