"""Non-idempotent requests run at most once, and "not-run" is always true.

The service returns a new number for each execution, so a second execution shows
both in the service's counts and in the response.
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
    with deployment() as running:
        yield running


@pytest.fixture
def system(started: Deployment) -> Iterator[Deployment]:
    yield started
    started.clear_faults()
    # The store's circuit breakers close with the first call that succeeds.
    for entry in started.entries:
        wait_until(
            lambda entry=entry: started.issue(entry, uuid4().hex).status == 201, LONG
        )


@pytest.fixture
def key() -> str:
    return uuid4().hex


def freeze_after_claim(system, entry, key, timeout):
    """Freeze ``entry`` while the store processes its claim; return the call."""
    system.platform.set_faults(store={"delay_ms": SLOW_MS})
    before = system.claim_writes()
    # No other request is under way, so the next claim is this one. A spare entry may
    # still write what it registers.
    call = system.issue_later(entry, key, timeout)
    time.sleep(SLOW_MS / 2000)
    entry.freeze()
    system.wait_for_claim(before)
    system.platform.set_faults(store={"delay_ms": 0})
    return call


def test_retries_through_all_entries_get_the_first_response(system, key):
    """A retry through another entry would issue a second certificate."""
    replies = [system.issue(entry, key) for entry in system.entries * 3]
    assert {reply.outcome for reply in replies} == {"answered"}
    assert len({reply.body for reply in replies}) == 1
    assert system.executions(key) == 1


def test_concurrent_calls_run_once(system, key):
    """A client sends the same request through all entries at the same time.

    Without a shared claim, each entry would have the certificate issued.
    """
    calls = [system.issue_later(entry, key) for entry in system.entries * 4]
    replies = [call.result() for call in calls]
    assert len({reply.body for reply in replies if reply.outcome == "answered"}) == 1
    assert system.executions(key) == 1


def test_entry_killed_between_claim_and_send(system, key):
    """An entry stores its claim and is killed before it sends the request.

    The caller's retry through another entry finds the claim of a dead entry. That
    entry can't know that nothing was sent, so it reports "unknown" and runs nothing.
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

    The retry must not issue a second certificate; its outcome is "unknown".
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


def test_frozen_entry_resumes_after_a_retry_elsewhere(system, key):
    """An entry freezes between claim and send; the caller retries elsewhere.

    Seconds later, when its peers consider it dead, it thaws and sends. If the retry
    had run the request meanwhile, the certificate would be issued twice.
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
    """An entry freezes between claim and send and thaws after the caller's deadline.

    It reports "not-run" and releases its claim; a later retry runs the request once.
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
def test_store_response_to_the_claim_is_lost(system, key, lost):
    """The store writes a claim and its response is lost, once or several times.

    The entry finds its own claim, or releases it and reports "not-run". Either way
    the certificate is issued once, and a released claim does not block its key.
    """
    system.platform.set_faults(
        store={"drop_writes": lost, "drop_key_prefix": CLAIMS_PREFIX}
    )
    replies = [system.issue(system.entries[0], key)]
    while replies[-1].outcome != "answered" and len(replies) < 50:
        assert replies[-1].outcome == "not-run" or replies[-1].status == 504
        if replies[-1].outcome == "not-run":
            assert replies[-1].retry_after is not None
        time.sleep(0.2)
        replies.append(system.issue(system.entries[len(replies) % 2], key))
    assert replies[-1].outcome == "answered"
    assert system.executions(key) == 1


@pytest.mark.parametrize("outage", ["refuse", "close", "silent"])
def test_store_outage(system, outage):
    """The store is unavailable. Nothing can be claimed, so nothing may run.

    Each caller gets "not-run" with ``Retry-After``, long before its deadline. After
    the outage, the same keys run once each.
    """
    keys = [uuid4().hex for _ in range(12)]
    system.platform.set_faults(store={"outage": outage})
    began = time.monotonic()
    replies = [system.issue(system.entries[0], key, LONG) for key in keys]
    assert time.monotonic() - began < LONG.total_seconds()
    assert {reply.outcome for reply in replies} == {"not-run"}
    assert all(float(reply.retry_after) > 0 for reply in replies)
    assert [system.executions(key) for key in keys] == [0] * len(keys)
    system.platform.set_faults(store={"outage": None})
    for key in keys:
        wait_until(
            lambda key=key: system.issue(system.entries[1], key).outcome == "answered",
            LONG,
        )
    assert [system.executions(key) for key in keys] == [1] * len(keys)


def test_store_slower_than_the_claim_timeout(system):
    """The store responds after the entry's timeout; claims are written after "not-run".

    Requests reported as "not-run" have not run and must not run later by themselves.
    The late claims are withdrawn, so that each retry runs once.
    """
    keys = [uuid4().hex for _ in range(4)]
    system.platform.set_faults(store={"delay_ms": 1500})
    calls = [system.issue_later(system.entries[0], key, LONG) for key in keys]
    replies = [call.result() for call in calls]
    assert {reply.outcome for reply in replies} == {"not-run"}
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
    """Open connections to the store stop responding while new ones work.

    The claim must be retried on a new connection rather than fail the request.
    """
    system.platform.set_faults(store={"silence_connections": True})
    assert system.issue(system.entries[0], key, LONG).outcome == "answered"
    assert system.executions(key) == 1


@pytest.mark.parametrize("fault", ["silent", "dropped"])
def test_endpoint_connection_lost_after_execution(system, key, fault):
    """The service issues a certificate and its connection breaks or stops responding.

    The caller and every retry get "unknown": another execution would issue a second
    certificate.
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


def test_response_slower_than_the_connect_timeout_is_awaited(system, key):
    """A service takes longer to respond than the connect timeout.

    The caller's deadline has not passed, so it must get the response, not "unknown".
    """
    system.service.set_faults(slow_factor=1500)
    assert system.issue(system.entries[0], key).outcome == "answered"


def test_service_refuses_before_it_runs(system, key):
    """The service refuses the request as not started, so the outcome is "not-run".

    A claim that was kept would block the caller's retry.
    """
    system.service.set_faults(refuse=True)
    reply = system.issue(system.entries[0], key, SHORT)
    assert reply.outcome == "not-run"
    assert reply.retry_after is not None
    system.service.set_faults(refuse=False)
    wait_until(lambda: system.issue(system.entries[1], key).outcome == "answered", LONG)
    assert system.executions(key) == 1


def test_store_lost_while_another_attempt_runs(system, key):
    """The store fails while a retry waits for the first attempt's response.

    The service is issuing the certificate. If the retry got "not-run", its caller
    would request another certificate with a new key.
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
