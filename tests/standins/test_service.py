"""Tests of the plain service, and of each of its faults."""

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


def test_every_execution_returns_a_new_number(service, client):
    """Two executions of one key would go unnoticed by the tests of the guarantees.

    Both the returned numbers and the counts must show the second execution.
    """
    numbers = {issue(client, "twice").json()["number"] for _ in range(2)}
    assert len(numbers) == 2
    assert service.counts()["by_idempotency_key"]["twice"] == 2


def test_method_path_query_and_body_are_echoed(client):
    answer = client.call("PATCH", "/any/path?a=1", b"body", {"X-Request-Id": "r"})
    found = answer.json()
    assert (found["method"], found["path"]) == ("PATCH", "/any/path")
    assert (found["query"], found["body"]) == ({"a": "1"}, "body")


def test_a_lookup_returns_the_id_of_its_record(client):
    assert client.call("GET", "/lookups/b7").json()["id"] == "b7"


def test_a_response_is_dropped_after_the_execution(service, client):
    """A dropped response hides that the certificate was issued.

    The connection is closed after the execution; the log must show the execution.
    """
    service.set_faults(drop_answers=1)
    with pytest.raises(ProtocolError):
        issue(client, "dropped")
    keys = [item["idempotency_key"] for item in service.executions()]
    assert keys.count("dropped") == 1


def test_refused_work_is_marked_and_does_not_run(service, client):
    """A refused request would be executed, or not be marked as not started."""
    service.set_faults(refuse=True)
    answer = issue(client, "refused")
    service.set_faults(refuse=False)
    assert answer.status == 503
    assert answer.headers["X-Refused"] == "not-started"
    assert "refused" not in service.counts()["by_idempotency_key"]


def test_open_connections_stop_responding_while_new_ones_work(service, client):
    """A request on a pooled connection hangs although the service is available."""
    client.call("GET", "/lookups/1")
    service.set_faults(silence_connections=True)
    with pytest.raises(ReadTimeoutError):
        issue(client, "silent")
    assert "silent" not in service.counts()["by_idempotency_key"]
    assert Client(service.address).call("GET", "/lookups/1").status == 200


def test_a_freeze_delays_requests_until_it_ends(service, client):
    """Requests would fail, or not be delayed, while the service is frozen."""
    service.set_faults(freeze_ms=300)
    started = time.monotonic()
    assert client.call("GET", "/lookups/1").status == 200
    assert time.monotonic() - started >= 0.25


def test_the_slow_factor_multiplies_the_duration(service, client):
    service.set_faults(slow_factor=200)
    started = time.monotonic()
    client.call("GET", "/lookups/1")
    service.set_faults(slow_factor=1)
    assert time.monotonic() - started >= 0.2
