"""The store's connections go silent: open, and never answered again."""

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
# Three calls in a row have to time out, one second each.
DETECTION = timedelta(seconds=4)
AT_ONCE = 0.3  # seconds
CLAIM_LIMIT = 3.0  # seconds
CALL_PAUSE = 0.05  # seconds
OUTAGE = 4.0  # seconds


@pytest.fixture(scope="module")
def deployment():
    """Start three entries beside one engine and one plain service."""
    with Fleet(TEXT, entries=3) as fleet, RevisionObserver(fleet.entries) as observer:
        observer.wait_for(1, IN_FORCE_LIMIT)
        yield fleet, observer


@pytest.fixture
def fleet(deployment):
    """Give the fleet without faults."""
    fleet, observer = deployment
    yield fleet
    fleet.platform.set_faults(store={"outage": None})
    for entry in fleet.entries:
        wait_until(lambda entry=entry: _reaches_store(entry), RECOVERY)
    assert observer.regressions == []


@pytest.fixture
def observer(deployment):
    """Give the observer of the fleet's entries."""
    return deployment[1]


def _reaches_store(entry):
    return entry.client.call("GET", "/admin/v1/text/history").status == 200


def _issue(entry, key=None):
    """Issue a certificate once; return the answer and how long it took."""
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


def test_open_connections_silent(fleet, observer):
    """Every use of the store would hang on connections that nothing answers.

    Something between entry and store has forgotten all open connections; new
    ones work. Calls on pooled connections time out once, the pool is dropped, and
    a fresh connection serves. Watches are armed anew within their bound.
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


def test_non_idempotent_requests_are_refused_at_once_while_the_store_is_silent(fleet):
    """Callers would wait out their deadline for a request that can't be claimed.

    The store takes connections and answers nothing. A claim can't be made, so
    such requests are refused, "not run", with when to come back: at once, as soon
    as the entry knows of the silence. Nothing of them may reach the endpoint.
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
    known = [took < AT_ONCE for took in durations].index(True)
    assert sum(durations[:known]) < DETECTION.total_seconds()
    assert max(durations[known:]) < AT_ONCE
    assert len(_certificates(fleet)) == executed
    fleet.platform.set_faults(store={"outage": None})
    wait_until(lambda: _issue(entry)[0].status == 201, RECOVERY)
    assert len(_certificates(fleet)) == executed + 1


def test_lookups_and_generations_go_on_while_the_store_is_silent(fleet):
    """A pour would wait on a lookup because a store that it doesn't need is gone.

    The store is silent while callers look up, generate, and try to issue
    certificates through the same entry. Only the last of these need the store.
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
    assert max(lookups) < AT_ONCE + usual
    assert max(generations) < 1 + AT_ONCE


def _issue_until(entry, ended):
    while not ended.is_set():
        _issue(entry)
        time.sleep(CALL_PAUSE)


def test_text_is_served_and_edits_go_on_after_a_silent_outage(fleet, observer):
    """Entries would stay deaf to edits after the store has come back.

    The store is silent for longer than every time-out. Meanwhile each entry goes
    on serving its text. Afterwards an edit is in force everywhere in 5 s.
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
