"""Helpers that call the store through the etcd JSON gateway."""

from base64 import b64decode, b64encode
from typing import Any

from standins.clients import Client, Response


def encode(text: str) -> str:
    return b64encode(text.encode()).decode()


def put(client: Client, key: str, value: str, **fields: Any) -> Response:
    body = {"key": encode(key), "value": encode(value), **fields}
    return client.call("POST", "/v3/kv/put", body)


def get(client: Client, key: str) -> dict[str, Any] | None:
    body = {"key": encode(key)}
    kvs = client.call("POST", "/v3/kv/range", body).json().get("kvs")
    return kvs[0] if kvs else None


def value(client: Client, key: str) -> str | None:
    kv = get(client, key)
    return b64decode(kv["value"]).decode() if kv else None


def watch(client: Client, key: str, start_revision: int = 0):
    body = {"create_request": {"key": encode(key), "start_revision": start_revision}}
    return client.stream("POST", "/v3/watch", body)
