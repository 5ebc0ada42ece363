"""Stand-in for the platform's key-value store: ranges, watches, leases, faults.

It implements the published HTTP API and keeps everything in memory. A test sets
:attr:`KvStore.fault` to have calls refused, ignored without a response, or carried out
without a response.
"""

import json
from base64 import b64decode, b64encode
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from enum import StrEnum
from functools import partial
from urllib.parse import parse_qsl, urlsplit

from sassafrasdale.clock import Clock
from sassafrasdale.green import listen, sleep, spawn
from sassafrasdale.http.messages import Request
from sassafrasdale.http.server import HttpServer, ServerConnection
from sassafrasdale.structures import Address

POLL = timedelta(milliseconds=5)
PAGE = 50
ValueMapper = Callable[[str, bytes], bytes]


def unchanged(key: str, value: bytes) -> bytes:
    """Return a value as it is."""
    return value


class Fault(StrEnum):
    """The injected fault.

    Calls are refused (``BUSY``), ignored without a response (``SILENT``), or carried
    out without a response (``LOSES_ANSWERS``).
    """

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    LOSES_ANSWERS = "loses answers"


@dataclass(slots=True)
class Item:
    """The last written value of a key, with its revisions and lease."""

    value: bytes
    revision: int
    created: int
    lease: int


@dataclass(slots=True)
class Lease:
    """A lease that has not expired."""

    ttl: timedelta
    ends_at: timedelta


@dataclass(frozen=True, slots=True)
class Copy:
    """A copy of the store at one moment."""

    items: dict[str, Item]
    leases: dict[int, Lease]
    revision: int


class KvStore:
    """Keys, their history, and leases, with the HTTP API.

    :param clock: source of elapsed time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._items: dict[str, Item] = {}
        self._leases: dict[int, Lease] = {}
        self._history: list[tuple[int, str]] = []
        self._compacted = 0
        self._revision = 1
        self._last_lease = 0
        self._era = 0
        self._is_served = False
        self.calls = 0
        self.fault = Fault.NONE

    def serve(self, address: Address, seen_as: ValueMapper = unchanged) -> Address:
        """Start to serve calls, and return the bound address.

        :param seen_as: maps a key and its value to the value that these callers get.
        """
        listener = listen(address)
        handle = partial(self._handle, seen_as)
        spawn(HttpServer(listener, handle, self._clock).serve)
        if not self._is_served:
            self._is_served = True
            spawn(self._expire_leases)
        host, port = listener.getsockname()
        return Address(host, port)

    def put(self, key: str, document: object) -> int:
        """Write a document as the platform does, and return the new revision."""
        return self._write(key, json.dumps(document).encode(), 0)

    def remove(self, key: str) -> None:
        """Delete a key."""
        if self._items.pop(key, None) is not None:
            self._record(key)

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, or None if there is no such key."""
        item = self._items.get(key)
        return item.value if item else None

    def keys(self, prefix: str) -> list[str]:
        """Return the keys that begin with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def take_copy(self) -> Copy:
        """Return a copy from which the store can be restored."""
        items = {key: replace(item) for key, item in self._items.items()}
        leases = {lease: replace(held) for lease, held in self._leases.items()}
        return Copy(items, leases, self._revision)

    def restore(self, copy: Copy) -> None:
        """Restore the store from a copy: what was written since is lost.

        Its revisions are given out again. No watch from before goes on.
        """
        self._items = {key: replace(item) for key, item in copy.items.items()}
        self._leases = {lease: replace(held) for lease, held in copy.leases.items()}
        self._revision = copy.revision
        self._history.clear()
        self._compacted = copy.revision
        self._era += 1

    def compact_history(self) -> None:
        """Drop the history, so that watches of earlier revisions get 410."""
        self._compacted = self._revision
        self._history.clear()

    def _handle(
        self, seen_as: ValueMapper, connection: ServerConnection, request: Request
    ) -> None:
        self.calls += 1
        if self.fault is Fault.BUSY:
            connection.answer(503)
            return
        if self.fault is Fault.SILENT:
            self._withhold_response(connection)
            return
        status, document = self._route(connection, request)
        if self.fault is not Fault.NONE:
            self._withhold_response(connection)
            return
        body = b"" if document is None else _encoded(document, seen_as)
        headers = [("content-type", "application/json")]
        if self._era:
            headers.append(("store-era", str(self._era)))
        connection.answer(status, headers, body)

    def _withhold_response(self, connection: ServerConnection) -> None:
        while not connection.is_disconnected:
            sleep(POLL)

    def _route(
        self, connection: ServerConnection, request: Request
    ) -> tuple[int, dict | None]:
        url = urlsplit(request.target)
        query = dict(parse_qsl(url.query))
        body = json.loads(request.body) if request.body else {}
        match request.method, url.path.split("/")[2:]:
            case "GET", ["kv-key"]:
                return self._get(query["key"])
            case "GET", ["kv-range"]:
                return self._range(query["prefix"], query.get("after", ""))
            case "GET", ["kv-watch"]:
                return self._watch(connection, query)
            case "POST", ["kv-txn"]:
                return self._commit(body)
            case "POST", ["kv-lease"]:
                return self._grant(body["ttlMs"])
            case "POST", ["kv-keep", lease]:
                return self._keep_alive(int(lease))
            case "DELETE", ["kv-lease-end", lease]:
                self._end_lease(int(lease))
                return 200, {}
        return 404, None

    def _get(self, key: str) -> tuple[int, dict | None]:
        if key not in self._items:
            return 404, None
        return 200, {**self._document(key), "at": self._revision}

    def _range(self, prefix: str, after: str) -> tuple[int, dict]:
        keys = [key for key in self.keys(prefix) if key > after]
        items = [self._document(key) for key in keys[:PAGE]]
        return 200, {
            "items": items,
            "hasMore": len(keys) > PAGE,
            "at": self._revision,
        }

    def _watch(
        self, connection: ServerConnection, query: dict[str, str]
    ) -> tuple[int, dict | None]:
        after = int(query["after"])
        deadline = self._clock.elapsed() + timedelta(milliseconds=int(query["waitMs"]))
        era = self._era
        while True:
            if after < self._compacted or after > self._revision or era != self._era:
                return 410, None
            events = [
                self._event(key, revision)
                for revision, key in self._history
                if revision > after and key.startswith(query["prefix"])
            ]
            if (
                events
                or self._clock.elapsed() >= deadline
                or connection.is_disconnected
            ):
                return 200, {"events": events, "at": self._revision}
            sleep(POLL)

    def _commit(self, body: dict) -> tuple[int, dict | None]:
        conditions = body.get("ifRev", [])
        for condition in conditions:
            item = self._items.get(condition["key"])
            if (item.revision if item else 0) != condition["rev"]:
                held = [c["key"] for c in conditions if c["key"] in self._items]
                return 412, {"items": [self._document(key) for key in held]}
        writes = body.get("writes", [])
        if any(w.get("lease") and w["lease"] not in self._leases for w in writes):
            return 404, None
        for write in writes:
            value = b64decode(write["value"])
            self._write(write["key"], value, write.get("lease", 0))
        for key in body.get("delete", []):
            self.remove(key)
        return 200, {"rev": self._revision}

    def _grant(self, ttl_ms: int) -> tuple[int, dict]:
        self._last_lease += 1
        ttl = timedelta(milliseconds=ttl_ms)
        self._leases[self._last_lease] = Lease(ttl, self._clock.elapsed() + ttl)
        return 200, {"lease": self._last_lease, "ttlMs": ttl_ms}

    def _keep_alive(self, lease: int) -> tuple[int, dict | None]:
        held = self._leases.get(lease)
        if held is None:
            return 404, None
        held.ends_at = self._clock.elapsed() + held.ttl
        return 200, {"ttlMs": int(held.ttl / timedelta(milliseconds=1))}

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, item in self._items.items() if item.lease == lease]:
            self.remove(key)

    def _expire_leases(self) -> None:
        while True:
            sleep(POLL)
            now = self._clock.elapsed()
            for lease, held in list(self._leases.items()):
                if now >= held.ends_at:
                    self._end_lease(lease)

    def _write(self, key: str, value: bytes, lease: int) -> int:
        old = self._items.get(key)
        self._record(key)
        created = old.created if old else self._revision
        self._items[key] = Item(value, self._revision, created, lease)
        return self._revision

    def _record(self, key: str) -> None:
        self._revision += 1
        self._history.append((self._revision, key))

    def _document(self, key: str) -> dict:
        item = self._items[key]
        return {
            "key": key,
            "value": b64encode(item.value).decode("ascii"),
            "rev": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    def _event(self, key: str, revision: int) -> dict:
        if key in self._items:
            return self._document(key)
        return {"key": key, "rev": revision, "deleted": True}


def _encoded(document: dict, seen_as: ValueMapper) -> bytes:
    items = [document, *document.get("items", ()), *document.get("events", ())]
    for item in items:
        if "value" in item:
            value = seen_as(item["key"], b64decode(item["value"]))
            item["value"] = b64encode(value).decode("ascii")
    return json.dumps(document).encode()
