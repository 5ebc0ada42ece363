"""Stand-in of the users' platform's store: keys, ranges, watches, leases, outages.

It speaks the published calls over HTTP and keeps everything in memory. A test sets
:attr:`KvStore.fault` to have calls refused, left without an answer, or carried out
and left without one.
"""

import json
from base64 import b64decode, b64encode
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from urllib.parse import parse_qsl, urlsplit

from sassafrasdale.clock import Clock
from sassafrasdale.green import listen, sleep, spawn
from sassafrasdale.http.messages import Request
from sassafrasdale.http.server import HttpServer, ServerConnection
from sassafrasdale.structures import Address

POLL = timedelta(milliseconds=5)
PAGE = 50


class Fault(StrEnum):
    """What is wrong with the store."""

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    LOSES_ANSWERS = "loses answers"


@dataclass(slots=True)
class Item:
    """A key as it was last written."""

    value: bytes
    revision: int
    created: int
    lease: int


@dataclass(slots=True)
class HeldLease:
    """A lease that runs."""

    ttl: timedelta
    ends_at: timedelta


class KvStore:
    """The store.

    :param clock: source of elapsed time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._items: dict[str, Item] = {}
        self._leases: dict[int, HeldLease] = {}
        self._history: list[tuple[int, str]] = []
        self._forgotten = 0
        self._revision = 1
        self._last_lease = 0
        self.calls = 0
        self.fault = Fault.NONE

    def serve(self, address: Address) -> Address:
        """Serve calls, and return the address that was bound."""
        listener = listen(address)
        spawn(HttpServer(listener, self._answer, self._clock).serve)
        spawn(self._expire_for_good)
        host, port = listener.getsockname()
        return Address(host, port)

    def put(self, key: str, document: object) -> int:
        """Write a key as the platform does, and return its revision."""
        return self._write(key, json.dumps(document).encode(), 0)

    def remove(self, key: str) -> None:
        """Delete a key."""
        if self._items.pop(key, None) is not None:
            self._note(key)

    def value(self, key: str) -> bytes | None:
        """Return what a key holds."""
        item = self._items.get(key)
        return item.value if item else None

    def keys(self, prefix: str) -> list[str]:
        """Return the keys that begin with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def forget_history(self) -> None:
        """Drop all history, so that watches have to begin anew."""
        self._forgotten = self._revision
        self._history.clear()

    def _answer(self, connection: ServerConnection, request: Request) -> None:
        self.calls += 1
        if self.fault is Fault.BUSY:
            connection.answer(503)
            return
        if self.fault is Fault.SILENT:
            self._hold(connection)
            return
        status, document = self._carry_out(connection, request)
        if self.fault is not Fault.NONE:
            self._hold(connection)
            return
        body = b"" if document is None else json.dumps(document).encode()
        connection.answer(status, [("content-type", "application/json")], body)

    def _hold(self, connection: ServerConnection) -> None:
        while not connection.is_gone:
            sleep(POLL)

    def _carry_out(
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
                return self._keep(int(lease))
            case "DELETE", ["kv-lease-end", lease]:
                self._end(int(lease))
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
        until = self._clock.elapsed() + timedelta(milliseconds=int(query["waitMs"]))
        while True:
            if after < self._forgotten:
                return 410, None
            events = [
                self._event(key, revision)
                for revision, key in self._history
                if revision > after and key.startswith(query["prefix"])
            ]
            if events or self._clock.elapsed() >= until or connection.is_gone:
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
        self._leases[self._last_lease] = HeldLease(ttl, self._clock.elapsed() + ttl)
        return 200, {"lease": self._last_lease, "ttlMs": ttl_ms}

    def _keep(self, lease: int) -> tuple[int, dict | None]:
        held = self._leases.get(lease)
        if held is None:
            return 404, None
        held.ends_at = self._clock.elapsed() + held.ttl
        return 200, {"ttlMs": int(held.ttl / timedelta(milliseconds=1))}

    def _end(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, item in self._items.items() if item.lease == lease]:
            self.remove(key)

    def _expire_for_good(self) -> None:
        while True:
            sleep(POLL)
            now = self._clock.elapsed()
            for lease, held in list(self._leases.items()):
                if now >= held.ends_at:
                    self._end(lease)

    def _write(self, key: str, value: bytes, lease: int) -> int:
        old = self._items.get(key)
        self._note(key)
        created = old.created if old else self._revision
        self._items[key] = Item(value, self._revision, created, lease)
        return self._revision

    def _note(self, key: str) -> None:
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
