"""The etcd v3 JSON gateway, on the store's state."""

import json
from base64 import b64decode, b64encode
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum, auto
from typing import Any

from sassafrasdale.clock import Clock
from sassafrasdale.green import Empty
from standins.store import (
    DuplicateKeyError,
    KeyRange,
    LeaseNotFoundError,
    Store,
    StoredKey,
    Transaction,
    ValueTooLargeError,
    Watch,
)
from standins.web import Request, Response, Route

WATCH_POLL = timedelta(seconds=0.5)
MAX_OPERATIONS = 128
"""Operations in one transaction, etcd's own default."""

INVALID_ARGUMENT = 3
NOT_FOUND = 5
CLUSTER_ID = "1"


class TooManyOperationsError(ValueError):
    """A transaction has more operations than the store allows."""


class WatchState(Enum):
    """Whether an open watch delivers events, delivers none, or is closed."""

    DELIVERING = auto()
    STALLED = auto()
    CLOSED = auto()


@dataclass(frozen=True, slots=True)
class OpenWatch:
    """A watch that a client holds open.

    :param opened_at: elapsed time of the clock.
    """

    request: Request
    opened_at: timedelta


class EtcdGateway:
    """Handlers of ``/v3/...``.

    :param store: state that the calls read and change.
    :param clock: source of the time at which a watch was opened.
    :param watch_state: returns the state of an open watch.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        watch_state: Callable[[OpenWatch], WatchState],
    ) -> None:
        self._store = store
        self._clock = clock
        self._watch_state = watch_state

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of the gateway."""
        return (
            Route("POST", "/v3/kv/range", self._guarded(self._range)),
            Route("POST", "/v3/kv/put", self._guarded(self._put)),
            Route("POST", "/v3/kv/txn", self._guarded(self._txn)),
            Route("POST", "/v3/kv/deleterange", self._guarded(self._delete)),
            Route("POST", "/v3/lease/grant", self._guarded(self._grant)),
            Route("POST", "/v3/lease/keepalive", self._guarded(self._keep_alive)),
            Route("POST", "/v3/lease/revoke", self._guarded(self._revoke)),
            Route("POST", "/v3/kv/lease/revoke", self._guarded(self._revoke)),
            Route("POST", "/v3/watch", self._watch),
        )

    def _guarded(self, handler: Callable[[dict[str, Any]], Any]) -> Callable:
        def handle(request: Request) -> Response:
            try:
                return Response(handler(request.json()))
            except (
                ValueTooLargeError,
                DuplicateKeyError,
                TooManyOperationsError,
            ) as error:
                return error_response(400, INVALID_ARGUMENT, f"etcdserver: {error}")
            except LeaseNotFoundError:
                message = "etcdserver: requested lease not found"
                return error_response(404, NOT_FOUND, message)

        return handle

    def _header(self) -> dict[str, str]:
        return {
            "cluster_id": CLUSTER_ID,
            "member_id": CLUSTER_ID,
            "revision": str(self._store.revision),
            "raft_term": "1",
        }

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        found = self._store.range(_key_range(body))
        return {"header": self._header(), **_range_result(body, found)}

    def _put(self, body: dict[str, Any]) -> dict[str, Any]:
        self._store.transact(lambda txn: _run_put(txn, body))
        return {"header": self._header()}

    def _delete(self, body: dict[str, Any]) -> dict[str, Any]:
        results: list[dict[str, Any]] = []
        self._store.transact(lambda txn: results.append(_run_delete(txn, body)))
        return {"header": self._header(), **results[0]}

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        succeeded = all(self._holds(compare) for compare in body.get("compare", ()))
        operations = body.get("success" if succeeded else "failure", ())
        if len(operations) > MAX_OPERATIONS:
            raise TooManyOperationsError("too many operations in txn request")
        responses: list[dict[str, Any]] = []

        def run(transaction: Transaction) -> None:
            for operation in operations:
                responses.append(_run(transaction, operation))

        self._store.transact(run)
        result: dict[str, Any] = {"header": self._header()}
        if succeeded:
            result["succeeded"] = True
        if responses:
            result["responses"] = responses
        return result

    def _holds(self, compare: dict[str, Any]) -> bool:
        found = self._store.range(KeyRange(_bytes(compare, "key")))
        stored = found[0] if found else StoredKey(b"", b"", 0, 0, 0)
        actual, wanted = _compared(stored, compare)
        match compare.get("result", "EQUAL"):
            case "EQUAL":
                return actual == wanted
            case "NOT_EQUAL":
                return actual != wanted
            case "GREATER":
                return actual > wanted
            case "LESS":
                return actual < wanted
            case other:
                raise ValueError(f"unknown compare result {other!r}")

    def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        ttl = timedelta(seconds=int(body["TTL"]))
        lease = self._store.grant(ttl, int(body.get("ID", 0)))
        return {
            "header": self._header(),
            "ID": str(lease.lease_id),
            "TTL": str(int(lease.ttl.total_seconds())),
        }

    def _keep_alive(self, body: dict[str, Any]) -> dict[str, Any]:
        lease_id = int(body["ID"])
        result: dict[str, Any] = {"header": self._header(), "ID": str(lease_id)}
        try:
            lease = self._store.keep_alive(lease_id)
        except LeaseNotFoundError:
            return {"result": result}
        result["TTL"] = str(int(lease.ttl.total_seconds()))
        return {"result": result}

    def _revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        self._store.revoke(int(body["ID"]))
        return {"header": self._header()}

    def _watch(self, request: Request) -> Response:
        body = request.json()
        wanted = body.get("create_request") or body["createRequest"]
        start = int(_field(wanted, "start_revision", "0"))
        watch = self._store.watch(_key_range(wanted), start)
        opened = OpenWatch(request, self._clock.elapsed())
        return Response(chunks=self._watch_lines(watch, opened))

    def _watch_lines(self, watch: Watch, opened: OpenWatch) -> Iterator[bytes]:
        connection = opened.request.connection
        try:
            yield self._line({"created": True})
            while not connection.is_closed():
                batch = _next_batch(watch)
                match self._watch_state(opened):
                    case WatchState.CLOSED:
                        connection.cut()
                        return
                    case WatchState.DELIVERING if batch:
                        events = [_event(change) for change in batch]
                        yield self._line({"events": events})
        finally:
            watch.close()

    def _line(self, result: dict[str, Any]) -> bytes:
        message = {"result": {"header": self._header(), **result}}
        return json.dumps(message).encode() + b"\n"


def _next_batch(watch: Watch) -> list[StoredKey] | None:
    try:
        return watch.inbox.get(timeout=WATCH_POLL.total_seconds())
    except Empty:
        return None


def error_response(status: int, code: int, message: str) -> Response:
    """Return an error response in the format of the etcd gateway."""
    return Response({"error": message, "code": code, "message": message}, status)


def is_write(path: str, body: Mapping[str, Any]) -> bool:
    """Return whether a call counts as a write of the store."""
    match path:
        case "/v3/kv/put" | "/v3/kv/deleterange":
            return True
        case "/v3/lease/grant" | "/v3/lease/revoke" | "/v3/kv/lease/revoke":
            return True
        case "/v3/kv/txn":
            operations = [*body.get("success", ()), *body.get("failure", ())]
            return any(_kind(operation) != "range" for operation in operations)
        case _:
            return False


def written_keys(path: str, body: Mapping[str, Any]) -> list[bytes]:
    """Return the keys that a call may write."""
    if path != "/v3/kv/txn":
        return [_bytes(body, "key")] if "key" in body else []
    operations = [*body.get("success", ()), *body.get("failure", ())]
    return [
        _bytes(_argument(operation), "key")
        for operation in operations
        if _kind(operation) != "range"
    ]


def _field(body: Mapping[str, Any], name: str, default: Any = None) -> Any:
    """Return a field by its proto or JSON name; the etcd gateway accepts both."""
    if name in body:
        return body[name]
    first, *rest = name.split("_")
    return body.get(first + "".join(word.capitalize() for word in rest), default)


def _bytes(body: Mapping[str, Any], name: str) -> bytes:
    return b64decode(_field(body, name, "") or "", validate=True)


def _key_range(body: Mapping[str, Any]) -> KeyRange:
    return KeyRange(_bytes(body, "key"), _bytes(body, "range_end"))


def _kv(stored: StoredKey, *, keys_only: bool = False) -> dict[str, str]:
    message = {
        "key": b64encode(stored.key).decode(),
        "create_revision": str(stored.create_revision),
        "mod_revision": str(stored.mod_revision),
        "version": str(stored.version),
    }
    if stored.value and not keys_only:
        message["value"] = b64encode(stored.value).decode()
    if stored.lease:
        message["lease"] = str(stored.lease)
    return message


def _event(change: StoredKey) -> dict[str, Any]:
    if change.version:
        return {"kv": _kv(change)}
    kv = {
        "key": b64encode(change.key).decode(),
        "mod_revision": str(change.mod_revision),
    }
    return {"type": "DELETE", "kv": kv}


def _range_result(body: Mapping[str, Any], found: list[StoredKey]) -> dict[str, Any]:
    limit = int(_field(body, "limit", 0))
    if _field(body, "sort_order") == "DESCEND":
        found = found[::-1]
    result: dict[str, Any] = {}
    shown = found[:limit] if limit else found
    keys_only = bool(_field(body, "keys_only", False))
    if shown and not _field(body, "count_only", False):
        result["kvs"] = [_kv(stored, keys_only=keys_only) for stored in shown]
    if len(shown) < len(found):
        result["more"] = True
    if found:
        result["count"] = str(len(found))
    return result


def _compared(stored: StoredKey, compare: Mapping[str, Any]) -> tuple[Any, Any]:
    match compare.get("target", "VERSION"):
        case "VERSION":
            return stored.version, int(_field(compare, "version", 0))
        case "CREATE":
            return stored.create_revision, int(_field(compare, "create_revision", 0))
        case "MOD":
            return stored.mod_revision, int(_field(compare, "mod_revision", 0))
        case "VALUE":
            return stored.value, _bytes(compare, "value")
        case other:
            raise ValueError(f"unknown compare target {other!r}")


_OPERATIONS = {
    "request_put": "put",
    "requestPut": "put",
    "request_range": "range",
    "requestRange": "range",
    "request_delete_range": "delete_range",
    "requestDeleteRange": "delete_range",
}


def _kind(operation: Mapping[str, Any]) -> str:
    return _OPERATIONS[next(iter(operation))]


def _argument(operation: Mapping[str, Any]) -> Mapping[str, Any]:
    return next(iter(operation.values()))


def _run(transaction: Transaction, operation: Mapping[str, Any]) -> dict[str, Any]:
    argument = _argument(operation)
    match _kind(operation):
        case "put":
            _run_put(transaction, argument)
            return {"response_put": {}}
        case "range":
            found = transaction.range(_key_range(argument))
            return {"response_range": _range_result(argument, found)}
        case _:
            return {"response_delete_range": _run_delete(transaction, argument)}


def _run_put(transaction: Transaction, body: Mapping[str, Any]) -> None:
    lease = int(_field(body, "lease", 0))
    transaction.put(_bytes(body, "key"), _bytes(body, "value"), lease)


def _run_delete(transaction: Transaction, body: Mapping[str, Any]) -> dict[str, Any]:
    deleted = transaction.delete(_key_range(body))
    return {"deleted": str(len(deleted))} if deleted else {}
