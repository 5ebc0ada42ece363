"""Client of the platform's key-value store."""

import json
from base64 import b64decode, b64encode
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from urllib.parse import urlencode

from logbook import Logger

from sassafrasdale.clock import Clock, milliseconds
from sassafrasdale.coordination.exceptions import (
    LeaseNotFound,
    StoreAnswerLost,
    StoredValueMalformed,
    StoreError,
    StoreHistoryLost,
    StoreNotReached,
    StoreOverloaded,
    StoreRejected,
    StoreWatchDropped,
)
from sassafrasdale.coordination.stores import (
    BaseStore,
    ConditionalWrite,
    Lease,
    StoredValue,
    Swap,
    epoch_of,
    ordered_revision,
    stored_revision,
)
from sassafrasdale.http.connections import HttpClient
from sassafrasdale.http.exceptions import HttpError, NotConnected
from sassafrasdale.http.messages import Request, Response
from sassafrasdale.structures import Address

# The store normally answers in milliseconds. A longer call has lost its response, or
# the store is failing.
CALL_LIMIT = timedelta(seconds=1.5)
# The store is milliseconds away, so a connection that takes longer is unlikely to open.
# A call that starts shortly before the store recovers must not block for long.
CONNECT_LIMIT = timedelta(milliseconds=500)
# Extra time for the response of a watch beyond its requested wait.
WATCH_MARGIN = timedelta(seconds=1)
# Wait of a watch that only polls for changes.
MIN_WAIT = timedelta(milliseconds=1)
_JSON = (("content-type", "application/json"),)
_ERA = "store-era"
_MAX_ERA_DIGITS = 6

log = Logger("store")


@dataclass(frozen=True, slots=True)
class Change:
    """One change of a key.

    :param value: the written value; None if the key was deleted.
    """

    key: str
    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Keys with a prefix, and the revision from which to watch them."""

    values: tuple[StoredValue, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Result of a watch, and the revision from which to continue."""

    events: tuple[Change, ...]
    revision: int


class PlatformStore(BaseStore):
    """Client of the platform's store, with the package's store interface.

    :param address: the store's address.
    :param clock: source of elapsed time.
    """

    def __init__(self, address: Address, clock: Clock) -> None:
        self._client = HttpClient(address, clock, CONNECT_LIMIT)
        # A watch blocks its connection, and dropping watches must not affect calls.
        self._watches = HttpClient(address, clock, CONNECT_LIMIT)
        self._drops = 0
        self._era = 0
        self._has_responded = False

    @property
    def epoch(self) -> int:
        """Number of the store's restores, as far as known."""
        return self._era

    def _era_of(self, response: Response) -> int:
        """Return the era of a response, the last known one if it does not name any.

        It rises as the store is restored.
        """
        value = response.header(_ERA)
        if not value.isdecimal() or len(value) > _MAX_ERA_DIGITS:
            return self._era
        return int(value)

    def _record_era(self, response: Response) -> None:
        era = self._era_of(response)
        if era > self._era and self._has_responded:
            log.warning("store restored", era=era, before=self._era)
        self._era = max(era, self._era)
        self._has_responded = True

    def get(self, key: str) -> StoredValue | None:
        """Return the value of ``key``."""
        response = self._call("GET", "/v1/kv-key?" + urlencode({"key": key}))
        if response.status == 404:
            return None
        return _stored_value(_document(response), self._era_of(response))

    def revision_of(self, key: str) -> int:
        """Return the revision of the last write of ``key``, 0 if there is none."""
        held = self.get(key)
        return held.mod_revision if held else 0

    def list(
        self, prefix: str, *, limit: int = 0, newest_first: bool = False
    ) -> tuple[StoredValue, ...]:
        """Return the keys that begin with ``prefix``, in the order of their names."""
        values = self.snapshot(prefix).values
        if newest_first:
            values = values[::-1]
        return values[:limit] if limit else values

    def snapshot(self, prefix: str) -> Snapshot:
        """Return the keys that begin with ``prefix``, and the revision to watch from.

        The revision is that of the first page: changes made while later pages are
        read are returned again by the watch.
        """
        values: list[StoredValue] = []
        revision = 0
        after = ""
        while True:
            query = {"prefix": prefix, **({"after": after} if after else {})}
            response = self._call("GET", "/v1/kv-range?" + urlencode(query))
            page = _document(response)
            era = self._era_of(response)
            values += [_stored_value(item, era) for item in page["items"]]
            revision = revision or ordered_revision(era, page["at"])
            if epoch_of(revision) != era:
                raise StoreAnswerLost("the store was restored within a listing")
            if not page.get("hasMore") or not page["items"]:
                return Snapshot(tuple(values), revision)
            after = page["items"][-1]["key"]

    def follow(self, prefix: str, after: int, limit: timedelta) -> Changes:
        """Wait for changes of keys with ``prefix`` after the revision ``after``.

        :raises StoreHistoryLost: if the store no longer has that history.
        :raises StoreWatchDropped: if :meth:`drop_watches` was called meanwhile.
        """
        drops = self._drops
        try:
            return self._changes(
                prefix, after, limit, limit + WATCH_MARGIN, self._watches
            )
        except StoreError as error:
            if self._drops != drops:
                raise StoreWatchDropped(f"watch of {prefix} dropped") from error
            raise

    def changes(self, prefix: str, after: int) -> Changes:
        """Return the current changes of keys with ``prefix`` after revision ``after``.

        :raises StoreHistoryLost: if the store no longer has that history.
        """
        return self._changes(prefix, after, MIN_WAIT, CALL_LIMIT, self._client)

    def _changes(
        self,
        prefix: str,
        after: int,
        wait: timedelta,
        limit: timedelta,
        client: HttpClient,
    ) -> Changes:
        era = epoch_of(after)
        if era < self._era:
            raise StoreHistoryLost(f"the store was restored after {after}")
        query = urlencode(
            {
                "prefix": prefix,
                "after": stored_revision(after),
                "waitMs": milliseconds(wait),
            }
        )
        response = self._call(
            "GET", "/v1/kv-watch?" + query, limit=limit, client=client
        )
        if response.status == 410 or self._era_of(response) != era:
            raise StoreHistoryLost(f"changes of {prefix} after {after} are gone")
        document = _document(response)
        return Changes(
            tuple(_change(item, era) for item in document["events"]),
            max(after, ordered_revision(era, document["at"])),
        )

    def drop_watches(self) -> None:
        """Cancel the current watches, so that their callers start new ones."""
        self._drops += 1
        self._watches.abort()

    def compare_and_swap(
        self,
        key: str,
        value: bytes,
        mod_revision: int,
        *,
        also: Mapping[str, bytes] | None = None,
        lease: Lease | None = None,
        unchanged: Mapping[str, int] | None = None,
    ) -> Swap:
        """Write ``key`` if its last write still has ``mod_revision``.

        :param unchanged: required revisions of other keys.
        """
        others = [_write(name, other, None) for name, other in (also or {}).items()]
        writes = [_write(key, value, lease), *others]
        conditions = [(key, mod_revision), *(unchanged or {}).items()]
        return self._commit(conditions, writes)[0]

    def swap_all(self, writes: tuple[ConditionalWrite, ...]) -> tuple[Swap, ...]:
        """Apply all of ``writes``, or none if one of their conditions fails."""
        return self._commit(
            [(write.key, write.mod_revision) for write in writes],
            [_write(write.key, write.value, write.lease) for write in writes],
        )

    def put(self, key: str, value: bytes, lease: Lease | None = None) -> None:
        """Write ``key`` unconditionally."""
        self._commit([], [_write(key, value, lease)])

    def delete(self, key: str) -> None:
        """Delete ``key``."""
        self._transaction({"ifRev": [], "writes": [], "delete": [key]})

    def grant_lease(self, ttl: timedelta) -> Lease:
        """Return a new lease that expires after ``ttl`` unless it is renewed."""
        wanted = {"ttlMs": milliseconds(ttl)}
        document = _document(self._call("POST", "/v1/kv-lease", wanted))
        return Lease(document["lease"], timedelta(milliseconds=document["ttlMs"]))

    def keep_alive(self, lease: Lease) -> None:
        """Renew ``lease`` for its full TTL."""
        response = self._call("POST", f"/v1/kv-keep/{lease.id}")
        if response.status == 404:
            raise LeaseNotFound(f"lease {lease.id} has ended")

    def revoke(self, lease: Lease) -> None:
        """Revoke ``lease``, which deletes the keys attached to it."""
        self._call("DELETE", f"/v1/kv-lease-end/{lease.id}")

    def watch(self, key: str, after: int, limit: timedelta) -> StoredValue | None:
        """Wait until ``key`` is written at a revision above ``after``."""
        for change in self.follow(key, after, limit).events:
            if change.key == key and change.value is not None:
                return StoredValue(key, change.value, change.revision, change.revision)
        return None

    def _commit(
        self, conditions: Iterable[tuple[str, int]], writes: Iterable[dict]
    ) -> tuple[Swap, ...]:
        conditions = list(conditions)
        era = self._era
        if any(rev and epoch_of(rev) != era for _, rev in conditions):
            # The same number may stand for another write since the restore.
            return tuple(Swap(False, 0, self.get(key)) for key, _ in conditions)
        response = self._transaction(
            {
                "ifRev": [
                    {"key": key, "rev": stored_revision(rev)} for key, rev in conditions
                ],
                "writes": list(writes),
                "delete": [],
            }
        )
        if response.status == 404:
            raise LeaseNotFound("the lease has ended")
        document = _document(response, also=(412,))
        now = self._era_of(response)
        if response.status == 412:
            held = {item["key"]: item for item in document["items"]}
            return tuple(
                Swap(False, 0, _stored_value(held[key], now) if held.get(key) else None)
                for key, _ in conditions
            )
        if now != era and any(rev for _, rev in conditions):
            raise StoreAnswerLost("the store was restored as it was written")
        revision = ordered_revision(now, document["rev"])
        return tuple(Swap(True, revision) for _ in conditions)

    def _transaction(self, body: dict) -> Response:
        return self._call("POST", "/v1/kv-txn", body)

    def _call(
        self,
        method: str,
        target: str,
        body: dict | None = None,
        *,
        limit: timedelta = CALL_LIMIT,
        client: HttpClient | None = None,
    ) -> Response:
        data = b"" if body is None else json.dumps(body).encode()
        request = Request(method, target, _JSON if data else (), data)
        try:
            response = (client or self._client).call(request, limit)
        except NotConnected as error:
            raise StoreNotReached(error.message) from error
        except HttpError as error:
            raise StoreAnswerLost(error.message) from error
        self._record_era(response)
        match response.status:
            case 429:
                raise StoreOverloaded("the store's rate limit was exceeded")
            case 503:
                raise StoreNotReached("the store is unavailable")
            case 400 | 403 | 413:
                raise StoreRejected(f"the store rejected a call: {response.status}")
        return response


def _write(key: str, value: bytes, lease: Lease | None) -> dict:
    written = {"key": key, "value": b64encode(value).decode("ascii")}
    if lease is not None:
        written["lease"] = lease.id
    return written


def _document(response: Response, also: tuple[int, ...] = ()) -> dict:
    if response.status != 200 and response.status not in also:
        raise StoreRejected(f"the store answered {response.status}")
    try:
        return json.loads(response.body)
    except ValueError as error:
        raise StoredValueMalformed("the store's response is not JSON") from error


def _stored_value(item: dict, era: int) -> StoredValue | None:
    if not item.get("rev") or "value" not in item:
        return None
    return StoredValue(
        item["key"],
        b64decode(item["value"]),
        ordered_revision(era, item["rev"]),
        ordered_revision(era, item["created"]),
    )


def _change(item: dict, era: int) -> Change:
    deleted = item.get("deleted", False)
    value = None if deleted else b64decode(item["value"])
    return Change(item["key"], ordered_revision(era, item["rev"]), value)
