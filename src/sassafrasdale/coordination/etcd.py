"""Client of the platform's key-value store, over the etcd v3 JSON gateway."""

import json
from base64 import b64decode, b64encode
from collections.abc import Mapping
from datetime import timedelta
from random import Random
from typing import Any

from urllib3 import HTTPResponse
from urllib3 import Timeout as HttpTimeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.breaker import CircuitBreaker
from sassafrasdale.coordination.exceptions import (
    LeaseNotFound,
    StoreAnswerLost,
    StoreError,
    StoreNotReached,
    StoreOverloaded,
    StoreRejected,
)
from sassafrasdale.coordination.stores import (
    ABSENT,
    BaseStore,
    ConditionalWrite,
    Lease,
    StoredValue,
    Swap,
)
from sassafrasdale.green import Timeout, timeout
from sassafrasdale.green_http import GreenHttpPool, http_pool
from sassafrasdale.structures import Address

CONNECT_TIMEOUT = timedelta(milliseconds=500)
CALL_TIMEOUT = timedelta(seconds=1)
OVERLOAD_DELAY = timedelta(seconds=1)


class EtcdStore(BaseStore):
    """Store client for the etcd v3 API, through its JSON gateway.

    :param address: address of the JSON gateway.
    :param clock: source of elapsed time.
    :param rng: source of jitter.
    :param call_timeout: timeout of one call.
    """

    def __init__(
        self,
        address: Address,
        clock: Clock,
        rng: Random | None = None,
        *,
        call_timeout: timedelta = CALL_TIMEOUT,
    ) -> None:
        self._address = address
        self._call_timeout = call_timeout
        self._breaker = CircuitBreaker(clock, rng or Random())
        self._connections = self._new_connections()

    def get(self, key: str) -> StoredValue | None:
        """Return the value of ``key``, None if it doesn't exist."""
        response = self._read("/v3/kv/range", {"key": _encode(key)})
        values = _values(response)
        return values[0] if values else None

    def revision_of(self, key: str) -> int:
        """Return the ``mod_revision`` of ``key`` without fetching its value."""
        request = {"key": _encode(key), "keys_only": True}
        values = _values(self._read("/v3/kv/range", request))
        return values[0].mod_revision if values else ABSENT

    def list(
        self, prefix: str, *, limit: int = 0, newest_first: bool = False
    ) -> tuple[StoredValue, ...]:
        """Return the keys that begin with ``prefix``, sorted by name."""
        request = {
            "key": _encode(prefix),
            "range_end": _encode(_prefix_end(prefix)),
            "limit": str(limit),
            "sort_target": "KEY",
            "sort_order": "DESCEND" if newest_first else "ASCEND",
        }
        return _values(self._read("/v3/kv/range", request))

    def compare_and_swap(
        self,
        key: str,
        value: bytes,
        mod_revision: int,
        *,
        also: Mapping[str, bytes] | None = None,
        lease: Lease | None = None,
    ) -> Swap:
        """Write ``key`` if it still has ``mod_revision``."""
        puts = [_put(key, value, lease)]
        puts += [_put(name, other, None) for name, other in (also or {}).items()]
        transaction = {
            "compare": [_compare(key, mod_revision)],
            "success": puts,
            "failure": [_range(key)],
        }
        (swap,) = _swaps(self._call("/v3/kv/txn", transaction), 1)
        return swap

    def swap_all(self, writes: tuple[ConditionalWrite, ...]) -> tuple[Swap, ...]:
        """Apply all of ``writes``, or none if one of their conditions fails."""
        transaction = {
            "compare": [_compare(write.key, write.mod_revision) for write in writes],
            "success": [_put(write.key, write.value, write.lease) for write in writes],
            "failure": [_range(write.key) for write in writes],
        }
        return _swaps(self._call("/v3/kv/txn", transaction), len(writes))

    def delete(self, key: str) -> None:
        """Delete ``key``."""
        self._call("/v3/kv/deleterange", {"key": _encode(key)})

    def grant_lease(self, ttl: timedelta) -> Lease:
        """Return a new lease that expires after ``ttl`` unless it is kept alive."""
        seconds = int(ttl.total_seconds())
        response = self._call("/v3/lease/grant", {"TTL": str(seconds), "ID": "0"})
        granted = timedelta(seconds=int(response["TTL"]))
        return Lease(int(response["ID"]), granted)

    def keep_alive(self, lease: Lease) -> None:
        """Extend ``lease`` to its full time to live from now."""
        response = self._call("/v3/lease/keepalive", {"ID": str(lease.id)})
        if int(response.get("result", {}).get("TTL", 0)) <= 0:
            raise LeaseNotFound(f"lease {lease.id} has expired")

    def revoke(self, lease: Lease) -> None:
        """Revoke ``lease`` and delete the keys attached to it."""
        self._call("/v3/lease/revoke", {"ID": str(lease.id)})

    def watch(self, key: str, after: int, limit: timedelta) -> StoredValue | None:
        """Wait until ``key`` is written at a revision above ``after``."""
        request = {
            "create_request": {"key": _encode(key), "start_revision": str(after + 1)}
        }
        self._check_breaker(may_probe=True)
        try:
            with timeout(limit):
                return self._first_event(request)
        except Timeout:
            return None
        except (ConnectTimeoutError, NewConnectionError) as error:
            raise self._not_reached(error) from error
        except (HTTPError, OSError, ValueError) as error:
            raise StoreAnswerLost(
                f"watch of {key} broke: {error}", retry_after=self._breaker.retry_after
            ) from error

    def _first_event(self, request: Mapping[str, Any]) -> StoredValue | None:
        response = self._post("/v3/watch", request, preload_content=False)
        try:
            self._check_status(response)
            for line in response:
                result = json.loads(line).get("result", {})
                for event in result.get("events", ()):
                    return _stored(event["kv"])
                if result.get("canceled"):
                    return None
            return None
        finally:
            # The response is an endless stream, so its connection cannot be
            # returned to the pool.
            response.close()

    def _read(self, path: str, body: Mapping[str, Any]) -> dict[str, Any]:
        """Call ``path``, and retry once on a new connection if no response came.

        A pooled connection can stay unresponsive while new ones work. This shows
        as a timeout, after which the pool is replaced, so the retry uses a new
        connection.
        """
        try:
            return self._call(path, body, may_probe=True)
        except StoreAnswerLost:
            return self._call(path, body, may_probe=True)

    def _call(
        self, path: str, body: Mapping[str, Any], *, may_probe: bool = False
    ) -> dict[str, Any]:
        """Call ``path`` and return its response.

        During an outage only reads probe the store. Callers wait for a write: as
        the probe of an unresponsive store it would block one of them for the full
        timeout each time, and its outcome would be unknown. Reads suffice as
        probes, since the configuration is polled continually.
        """
        self._check_breaker(may_probe=may_probe)
        connections = self._connections
        try:
            with timeout(self._call_timeout):
                response = self._post(path, body)
                self._check_status(response)
                document = json.loads(response.data)
        except (ConnectTimeoutError, NewConnectionError) as error:
            raise self._not_reached(error) from error
        except (Timeout, HTTPError, OSError, ValueError) as error:
            self._handle_lost_response(connections)
            raise StoreAnswerLost(
                f"no answer of the store to {path}: {error}",
                retry_after=self._breaker.retry_after,
            ) from error
        connections.has_responded = True
        self._breaker.record_success()
        return document

    def _post(
        self,
        path: str,
        body: Mapping[str, Any],
        *,
        preload_content: bool = True,
    ) -> HTTPResponse:
        # No read timeout here: the timeout around the call covers reading.
        wait = HttpTimeout(connect=CONNECT_TIMEOUT.total_seconds(), read=None)
        return self._connections.pool.request(
            "POST",
            path,
            body=json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
            timeout=wait,
            preload_content=preload_content,
        )

    def _check_status(self, response: HTTPResponse) -> None:
        if response.status == 200:
            return
        if response.status == 429:
            raise StoreOverloaded(
                "the store refused a call over its rate",
                retry_after=_retry_after(response),
            )
        detail = response.data.decode(errors="replace")[:200]
        if response.status >= 500:
            raise ValueError(f"status {response.status}: {detail}")
        if response.status == 404 or "lease not found" in detail:
            raise LeaseNotFound(detail)
        raise StoreRejected(f"status {response.status}: {detail}")

    def _check_breaker(self, *, may_probe: bool) -> None:
        delay = self._breaker.check(may_probe=may_probe)
        if delay is not None:
            raise StoreNotReached("the store is out", retry_after=delay)

    def _not_reached(self, error: Exception) -> StoreError:
        self._breaker.record_failure()
        return StoreNotReached(
            f"no connection to the store at {self._address}: {error}",
            retry_after=self._breaker.retry_after,
        )

    def _handle_lost_response(self, connections: "_Connections") -> None:
        """Record that a response was lost on one of ``connections``.

        All connections of a pool that worked earlier may have become unresponsive
        while new ones work. So the first lost response replaces the pool, and lost
        responses of such a pool are no sign of an outage. A lost response counts as
        a failure of the store only on a pool that has had no response yet.
        """
        if not connections.has_responded:
            self._breaker.record_failure()
        if connections is self._connections:
            self._connections = self._new_connections()
            connections.pool.close()

    def _new_connections(self) -> "_Connections":
        pool = http_pool(
            self._address,
            connect_timeout=CONNECT_TIMEOUT,
            read_timeout=self._call_timeout,
        )
        return _Connections(pool)


class _Connections:
    """A connection pool, and whether any response came over it.

    :param pool: the pool.
    """

    def __init__(self, pool: GreenHttpPool) -> None:
        self.pool = pool
        self.has_responded = False


def _encode(text: str | bytes) -> str:
    raw = text.encode() if isinstance(text, str) else text
    return b64encode(raw).decode("ascii")


def _prefix_end(prefix: str) -> bytes:
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


def _put(key: str, value: bytes, lease: Lease | None) -> dict[str, Any]:
    put = {"key": _encode(key), "value": _encode(value)}
    if lease is not None:
        put["lease"] = str(lease.id)
    return {"request_put": put}


def _compare(key: str, mod_revision: int) -> dict[str, Any]:
    return {
        "key": _encode(key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(mod_revision),
    }


def _stored(kv: Mapping[str, str]) -> StoredValue:
    return StoredValue(
        key=b64decode(kv["key"]).decode(),
        value=b64decode(kv.get("value", "")),
        mod_revision=int(kv["mod_revision"]),
        create_revision=int(kv.get("create_revision", 0)),
    )


def _values(response: Mapping[str, Any]) -> tuple[StoredValue, ...]:
    return tuple(_stored(kv) for kv in response.get("kvs", ()))


def _range(key: str) -> dict[str, Any]:
    return {"request_range": {"key": _encode(key)}}


def _swaps(response: Mapping[str, Any], count: int) -> tuple[Swap, ...]:
    revision = int(response["header"]["revision"])
    if response.get("succeeded"):
        return (Swap(True, revision),) * count
    found = (_values(result["response_range"]) for result in response["responses"])
    return tuple(Swap(False, revision, next(iter(values), None)) for values in found)


def _retry_after(response: HTTPResponse) -> timedelta:
    try:
        return timedelta(seconds=float(response.headers["Retry-After"]))
    except (KeyError, ValueError):
        return OVERLOAD_DELAY
