"""Tests of the plain service, and of each fault that it can have."""

import time
from datetime import timedelta

import pytest
from urllib3.exceptions import ProtocolError, ReadTimeoutError

from standins.clients import Client


@pytest.fixture
def client(service):
    return Client(service.address, timedelta(seconds=0.6))


def issue(client: Client, key: str):
    return client.call("POST", "/certificates", {}, {"Idempotency-Key": key})


def test_every_execution_gives_another_number(service, client):
    """A customer holds two conflicting certificates for one batch.

    The same key was executed twice; both numbers and the count show it.
    """
    numbers = {issue(client, "twice").json()["number"] for _ in range(2)}
    assert len(numbers) == 2
    assert service.counts()["by_idempotency_key"]["twice"] == 2


def test_method_path_query_and_body_come_through(client):
    answer = client.call("PATCH", "/any/path?a=1", b"body", {"X-Request-Id": "r"})
    found = answer.json()
    assert (found["method"], found["path"]) == ("PATCH", "/any/path")
    assert (found["query"], found["body"]) == ({"a": "1"}, "body")


def test_a_lookup_names_its_record(client):
    assert client.call("GET", "/lookups/b7").json()["id"] == "b7"


def test_an_answer_is_lost_after_the_execution(service, client):
    """A caller's connection breaks although its certificate was issued.

    The service executes, then the answer is lost. The log shows the execution.
    """
    service.set_faults(drop_answers=1)
    with pytest.raises(ProtocolError):
        issue(client, "dropped")
    keys = [item["idempotency_key"] for item in service.executions()]
    assert keys.count("dropped") == 1


def test_refused_work_is_marked_and_does_not_run(service, client):
    """A leaving service turns a call away and says that nothing ran."""
    service.set_faults(refuse=True)
    answer = issue(client, "refused")
    service.set_faults(refuse=False)
    assert answer.status == 503
    assert answer.headers["X-Refused"] == "not-started"
    assert "refused" not in service.counts()["by_idempotency_key"]


def test_open_connections_go_silent_while_new_ones_work(service, client):
    """A request on a kept connection hangs though the service is well."""
    client.call("GET", "/lookups/1")
    service.set_faults(silence_connections=True)
    with pytest.raises(ReadTimeoutError):
        issue(client, "silent")
    assert "silent" not in service.counts()["by_idempotency_key"]
    assert Client(service.address).call("GET", "/lookups/1").status == 200


def test_a_freeze_holds_requests_until_it_ends(service, client):
    """A service stops answering for a while, then goes on as if nothing was."""
    service.set_faults(freeze_ms=300)
    started = time.monotonic()
    assert client.call("GET", "/lookups/1").status == 200
    assert time.monotonic() - started >= 0.25


def test_a_slow_service_takes_a_multiple(service, client):
    service.set_faults(slow_factor=200)
    started = time.monotonic()
    client.call("GET", "/lookups/1")
    service.set_faults(slow_factor=1)
    assert time.monotonic() - started >= 0.2
