"""Tests of the platform's store over HTTP, and of each of its faults."""

import json
import time
from datetime import timedelta

import pytest
from urllib3.exceptions import HTTPError, ProtocolError, ReadTimeoutError

from standins.clients import Client
from standins.processes import PlatformProcess
from tests.standins.etcd import encode, get, put, value, watch


def create(client: Client, key: str, text: str) -> dict:
    absent = {"key": encode(key), "target": "CREATE", "create_revision": "0"}
    write = {"request_put": {"key": encode(key), "value": encode(text)}}
    read = {"request_range": {"key": encode(key)}}
    body = {"compare": [absent], "success": [write], "failure": [read]}
    return client.call("POST", "/v3/kv/txn", body).json()


def test_create_if_absent_takes_effect_once(store):
    assert create(store, "claim", "first")["succeeded"] is True
    answer = create(store, "claim", "second")
    assert "succeeded" not in answer
    found = answer["responses"][0]["response_range"]["kvs"][0]
    assert found["value"] == encode("first")


@pytest.mark.parametrize(
    ("target", "field", "wanted"),
    [
        ("MOD", "mod_revision", None),
        ("VERSION", "version", "1"),
        ("VALUE", "value", encode("v")),
    ],
)
def test_transaction_compares(store, target, field, wanted):
    put(store, f"compare-{target}", "v")
    found = get(store, f"compare-{target}")
    compare = {"key": found["key"], "target": target, field: wanted or found[field]}
    body = {"compare": [compare]}
    assert store.call("POST", "/v3/kv/txn", body).json()["succeeded"] is True
    body["compare"][0]["result"] = "NOT_EQUAL"
    assert "succeeded" not in store.call("POST", "/v3/kv/txn", body).json()


def test_json_names_of_fields_are_accepted(store):
    write = {"requestPut": {"key": encode("camel"), "value": encode("v")}}
    compare = {"key": encode("camel"), "target": "CREATE", "createRevision": "0"}
    body = {"compare": [compare], "success": [write]}
    assert store.call("POST", "/v3/kv/txn", body).json()["succeeded"] is True
    body = {"key": encode("came"), "rangeEnd": encode("camf")}
    assert store.call("POST", "/v3/kv/range", body).json()["count"] == "1"


def test_a_value_above_a_mebibyte_is_refused(store):
    assert put(store, "large", "x" * 1024 * 1024).status == 200
    assert put(store, "large", "x" * (1024 * 1024 + 1)).status == 400


@pytest.mark.parametrize(
    ("keys", "status"), [(["t1", "t2"], 200), (["t1", "t1"], 400), (["t"] * 129, 400)]
)
def test_a_transaction_has_limits(store, keys, status):
    writes = [{"request_put": {"key": encode(key), "value": ""}} for key in keys]
    answer = store.call("POST", "/v3/kv/txn", {"success": writes})
    assert answer.status == status


def test_a_key_is_deleted_with_its_lease(store):
    lease = store.call("POST", "/v3/lease/grant", {"TTL": "2"}).json()["ID"]
    put(store, "leased", "v", lease=lease)
    kept = store.call("POST", "/v3/lease/keepalive", {"ID": lease}).json()
    assert kept["result"]["TTL"] == "2"
    deadline = time.monotonic() + 5
    while value(store, "leased") and time.monotonic() < deadline:
        time.sleep(0.05)
    assert value(store, "leased") is None
    kept = store.call("POST", "/v3/lease/keepalive", {"ID": lease}).json()
    assert "TTL" not in kept["result"]


def test_a_watch_replays_and_follows(store):
    put(store, "watched", "1")
    revision = int(get(store, "watched")["mod_revision"])
    answer = watch(store, "watched", revision)
    lines = iter(answer)
    assert json.loads(next(lines))["result"]["created"] is True
    assert json.loads(next(lines))["result"]["events"][0]["kv"]["value"] == encode("1")
    store.call("POST", "/v3/kv/deleterange", {"key": encode("watched")})
    assert json.loads(next(lines))["result"]["events"][0]["type"] == "DELETE"
    answer.close()


def test_calls_above_the_rate_are_refused_without_effect(platform, store):
    put(store, "rate", "before")
    platform.set_faults(store={"writes_per_second": 0.01})
    status = put(store, "rate", "after").status
    platform.set_faults(store={"writes_per_second": 300})
    assert status == 429
    assert value(store, "rate") == "before"
    counts = platform.counts()["store"]
    assert counts["refused"] >= 1
    assert counts["kv/put"] >= 2


@pytest.mark.parametrize("kind", ["refuse", "close", "silent"])
def test_a_call_during_an_outage_has_no_effect(platform, kind):
    """A call that failed during an outage would take effect all the same.

    The call fails, or hangs until the caller's timeout. Control calls have to work
    during the outage, or no test could end it.
    """
    client = Client(platform.store, timedelta(seconds=0.3))
    platform.set_faults(store={"outage": kind})
    try:
        if kind == "refuse":
            assert put(client, f"outage-{kind}", "v").status == 503
        else:
            with pytest.raises((ProtocolError, ReadTimeoutError)):
                put(client, f"outage-{kind}", "v")
    finally:
        platform.set_faults(store={"outage": None})
    assert value(client, f"outage-{kind}") is None


def test_a_response_is_dropped_after_the_write_took_effect(platform, store):
    """A write whose response is dropped would have no effect, or others be dropped.

    The connection closes without a response, so only reading the key back shows that
    the write took effect.
    """
    platform.set_faults(store={"drop_writes": 1, "drop_key_prefix": "lost/"})
    assert put(store, "other", "v").status == 200
    with pytest.raises(ProtocolError):
        put(store, "lost/key", "v")
    assert value(store, "lost/key") == "v"
    assert put(store, "lost/key", "w").status == 200


def test_a_response_is_withheld_after_the_write_took_effect(platform):
    """A write whose response is withheld would have no effect.

    The connection stays open without a response, so the writer waits until its own
    timeout.
    """
    client = Client(platform.store, timedelta(seconds=0.3))
    platform.set_faults(
        store={"drop_writes": 1, "drop_key_prefix": "", "drop_silently": True}
    )
    with pytest.raises(ReadTimeoutError):
        put(client, "lost/silently", "v")
    platform.set_faults(store={"drop_silently": False})
    assert value(client, "lost/silently") == "v"


def test_a_stalled_watch_stays_stalled_but_a_new_one_delivers(platform, store):
    """A stalled watch would deliver events again once the fault is cleared.

    This is how an entry keeps an old text forever although its watch is open. A watch
    that is opened after the fault delivers the missed events.
    """
    answer = watch(store, "deaf")
    lines = iter(answer)
    next(lines)
    platform.set_faults(store={"deaf_watches": True})
    put(store, "deaf", "1")
    platform.set_faults(store={"deaf_watches": False})
    put(store, "deaf", "2")
    answer.connection.sock.settimeout(1)
    with pytest.raises((HTTPError, TimeoutError)):
        next(lines)
    revision = int(get(store, "deaf")["mod_revision"])
    lines = iter(watch(store, "deaf", revision))
    next(lines)
    assert json.loads(next(lines))["result"]["events"][0]["kv"]["value"] == encode("2")


def test_an_outage_closes_open_watches(platform, store):
    """A watch would stay open although the store is down."""
    lines = iter(watch(store, "cut"))
    next(lines)
    platform.set_faults(store={"outage": "close"})
    with pytest.raises(ProtocolError):
        next(lines)


def test_the_store_can_be_delayed(platform, store):
    platform.set_faults(store={"delay_ms": 200})
    started = time.monotonic()
    assert put(store, "slow", "v").status == 200
    assert time.monotonic() - started >= 0.2


def test_open_connections_stop_responding_while_new_ones_work(
    platform: PlatformProcess,
):
    """A pooled connection hangs although the store is available.

    After the fault, the used connection gets no response, and a new one does.
    """
    old = Client(platform.store, timedelta(seconds=0.3))
    put(old, "silence", "1")
    platform.set_faults(store={"silence_connections": True})
    with pytest.raises(ReadTimeoutError):
        put(old, "silence", "2")
    assert value(Client(platform.store), "silence") == "1"


def test_an_unknown_fault_is_refused(platform):
    answer = platform.client.call("POST", "/standin/faults", {"store": {"no": 1}})
    assert answer.status == 400
