"""Connections to the store, or the store itself, stop responding but stay open."""

import threading
import time
from datetime import timedelta
from uuid import uuid4

import pytest

from bench.configuration.observers import RevisionObserver
from standins.fleet import Fleet
from tests.guarantees.deployments import deployment, model, plain
from tests.guarantees.operators import (
    IN_FORCE_LIMIT,
    edited,
    put_text,
    revision_of,
    wait_until,
)

TEXT = deployment(
    "silence",
    [model("drafts"), plain("records", timeout="5s", idempotent_gets=True)],
)
CUSTOMER = {"X-Customer": "cube-labs"}
RECOVERY = timedelta(seconds=5)
# Three consecutive calls have to time out, one second each.
DETECTION = timedelta(seconds=4)
FAST_RESPONSE = 0.3  # seconds
CLAIM_LIMIT = 3.0  # seconds
CALL_PAUSE = 0.05  # seconds
OUTAGE = 4.0  # seconds


@pytest.fixture(scope="module")
def deployment():
    """Start three entries, one engine and one plain service."""
    with Fleet(TEXT, entries=3) as fleet, RevisionObserver(fleet.entries) as observer:
        observer.wait_for(1, IN_FORCE_LIMIT)
        yield fleet, observer


@pytest.fixture
def fleet(deployment):
    """Return the fleet; afterwards clear its faults and check the revisions."""
    fleet, observer = deployment
    yield fleet
    fleet.platform.set_faults(store={"outage": None})
    for entry in fleet.entries:
        wait_until(lambda entry=entry: _reaches_store(entry), RECOVERY)
    assert observer.regressions == []


@pytest.fixture
def observer(deployment):
    """Return the observer of the fleet's entries."""
    return deployment[1]


def _reaches_store(entry):
    return entry.client.call("GET", "/admin/v1/text/history").status == 200


def _issue(entry, key=None):
    """Request a certificate once; return the response and its duration."""
    headers = {**CUSTOMER, "Idempotency-Key": key or uuid4().hex}
    path = "/v1/services/records/certificates"
    return _timed(lambda: entry.client.call("POST", path, {"batch": 7}, headers))


def _look_up(entry):
    path = "/v1/services/records/lookups/7"
    return _timed(lambda: entry.client.call("GET", path, None, CUSTOMER))


def _generate(entry):
    body = {
        "model": "drafts",
        "messages": [{"role": "user", "content": "report"}],
        "max_tokens": 8,
    }
    path = "/v1/chat/completions"
    return _timed(lambda: entry.client.call("POST", path, body, CUSTOMER))


def _timed(call):
    began = time.monotonic()
    response = call()
    return response, time.monotonic() - began


def _certificates(fleet):
    return [
        item
        for item in fleet.executions("records")
        if item["path"].endswith("/certificates")
    ]


def test_unresponsive_connections_are_replaced(fleet, observer):
    """Every call of the store would hang on connections that no longer respond.

    A middlebox between entry and store has dropped the state of all open connections;
    new ones work. Calls on pooled connections time out once, the pool is discarded,
    and a new connection works. Watches are reopened within their bound.
    """
    for entry in fleet.entries:
        assert _issue(entry)[0].status == 201
    executed = len(_certificates(fleet))
    fleet.platform.set_faults(store={"silence_connections": True})
    for entry in fleet.entries:
        answer, took = _issue(entry)
        assert answer.status == 201
        assert took < CLAIM_LIMIT
    assert len(_certificates(fleet)) == executed + len(fleet.entries)
    base = revision_of(fleet.entries[0])
    fleet.platform.set_faults(store={"silence_connections": True})
    assert put_text(fleet.entries[1], edited(70, TEXT), base).status == 200
    observer.wait_for(base + 1, IN_FORCE_LIMIT)


def test_non_idempotent_requests_fail_fast_while_the_store_does_not_respond(fleet):
    """Callers would wait until their deadline for a request that can't be claimed.

    The store accepts connections but does not respond. Without a claim the requests
    are refused as "not-run" with ``Retry-After``, immediately once the entry has
    detected the outage. None of them may reach the endpoint.
    """
    executed = len(_certificates(fleet))
    fleet.platform.set_faults(store={"outage": "silent"})
    entry = fleet.entries[0]
    began = time.monotonic()
    durations = []
    while time.monotonic() - began < DETECTION.total_seconds() + OUTAGE:
        answer, took = _issue(entry)
        assert answer.status == 503
        assert answer.headers["X-Outcome"] == "not-run"
        assert int(answer.headers["Retry-After"]) >= 1
        durations.append(took)
        time.sleep(CALL_PAUSE)
    detected = [took < FAST_RESPONSE for took in durations].index(True)
    assert sum(durations[:detected]) < DETECTION.total_seconds()
    assert max(durations[detected:]) < FAST_RESPONSE
    assert len(_certificates(fleet)) == executed
    fleet.platform.set_faults(store={"outage": None})
    wait_until(lambda: _issue(entry)[0].status == 201, RECOVERY)
    assert len(_certificates(fleet)) == executed + 1


def test_lookups_and_generations_continue_while_the_store_does_not_respond(fleet):
    """A caller would wait for a lookup although it doesn't need the store.

    The store does not respond while callers look up records, generate text, and
    request certificates through the same entry. Only certificates need the store.
    """
    entry = fleet.entries[1]
    usual = max(_look_up(entry)[1] for _ in range(20))
    fleet.platform.set_faults(store={"outage": "silent"})
    ended = threading.Event()
    issuing = threading.Thread(target=_issue_until, args=[entry, ended])
    issuing.start()
    lookups, generations = [], []
    began = time.monotonic()
    while time.monotonic() - began < OUTAGE:
        answer, took = _look_up(entry)
        assert answer.status == 200
        lookups.append(took)
        answer, took = _generate(entry)
        assert answer.status == 200
        generations.append(took)
    ended.set()
    issuing.join()
    assert max(lookups) < FAST_RESPONSE + usual
    assert max(generations) < 1 + FAST_RESPONSE


def _issue_until(entry, ended):
    while not ended.is_set():
        _issue(entry)
        time.sleep(CALL_PAUSE)


def test_edits_take_effect_after_an_unresponsive_store_is_back(fleet, observer):
    """Entries would miss edits after the store's outage.

    The store does not respond for longer than every timeout. Meanwhile each entry
    keeps serving its text. Afterwards an edit takes effect on all entries in 5 s.
    """
    base = revision_of(fleet.entries[0])
    fleet.platform.set_faults(store={"outage": "silent"})
    time.sleep(OUTAGE)
    for entry in fleet.entries:
        shown = entry.client.call("GET", "/admin/v1/text")
        assert shown.headers["ETag"] == f'"{base}"'
        assert entry.client.call("GET", "/health/ready").status == 200
    fleet.platform.set_faults(store={"outage": None})
    answer = wait_until(
        lambda: _accepted(put_text(fleet.entries[2], edited(71, TEXT), base)), RECOVERY
    )
    assert answer.json()["revision"] == base + 1
    observer.wait_for(base + 1, IN_FORCE_LIMIT)


def _accepted(answer):
    return answer if answer.status == 200 else None
