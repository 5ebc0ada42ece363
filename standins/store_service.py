"""The store's HTTP service: rate limits, faults and counts for the gateway."""

from collections import Counter
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any

from sassafrasdale.clock import Clock
from sassafrasdale.green import sleep
from standins.buckets import TokenBucket
from standins.etcd_gateway import (
    EtcdGateway,
    OpenWatch,
    WatchState,
    error_response,
    is_write,
    written_keys,
)
from standins.faults import Faults
from standins.store import Store
from standins.web import Request, Response

LEASE_POLL = timedelta(milliseconds=50)
RESOURCE_EXHAUSTED = 8
WRITES_PER_SECOND = 300.0
CALLS_PER_SECOND = 2000.0


class StoreService:
    """The store with its HTTP API, rate limits and faults.

    :param clock: measures rates, leases and pauses.
    """

    def __init__(self, clock: Clock) -> None:
        self._store = Store(clock)
        self._writes = TokenBucket(clock, WRITES_PER_SECOND)
        self._calls = TokenBucket(clock, CALLS_PER_SECOND)
        self._faults = Faults(clock)
        self._clock = clock
        self._stalled = False
        self._stalled_until = timedelta(seconds=-1)
        self._drop_writes = 0
        self._drop_key_prefix = b""
        self._counts: Counter[str] = Counter()
        self.gateway = EtcdGateway(self._store, clock, self._watch_state)

    def middleware(
        self, request: Request, handler: Callable[[Request], Response]
    ) -> Response:
        """Handle one call of the store."""
        return self._faults.apply(request, lambda call: self._limited(call, handler))

    def set_faults(self, wanted: Mapping[str, Any]) -> None:
        """Set the faults named in ``wanted``."""
        for name, value in wanted.items():
            match name:
                case "drop_writes":
                    self._drop_writes = int(value)
                case "drop_key_prefix":
                    self._drop_key_prefix = value.encode()
                case "deaf_watches":
                    self._stalled = bool(value)
                    self._stalled_until = self._clock.elapsed()
                case "writes_per_second":
                    self._writes.rate = float(value)
                case "calls_per_second":
                    self._calls.rate = float(value)
                case _:
                    self._faults.set({name: value})

    def counts(self) -> dict[str, int]:
        """Return the number of calls by kind and written prefix, and open watches."""
        return {**self._counts, "open_watches": self._store.watchers}

    def expire_leases(self) -> None:
        """Expire leases until the process ends."""
        while True:
            self._store.expire_leases()
            sleep(LEASE_POLL)

    def _watch_state(self, watch: OpenWatch) -> WatchState:
        if self._faults.outage in ("refuse", "close"):
            return WatchState.CLOSED
        if self._faults.is_silent(watch.request):
            return WatchState.STALLED
        if self._stalled or watch.opened_at <= self._stalled_until:
            return WatchState.STALLED
        return WatchState.DELIVERING

    def _limited(
        self, request: Request, handler: Callable[[Request], Response]
    ) -> Response:
        if not request.path.startswith("/v3/"):
            return handler(request)
        kind = request.path.removeprefix("/v3/")
        body = request.json()
        write = is_write(request.path, body)
        self._counts[kind] += 1
        self._counts["calls"] += 1
        self._counts["writes"] += write
        keys = written_keys(request.path, body) if write else []
        for prefix in {_prefix_of(key) for key in keys}:
            self._counts[f"writes below {prefix}"] += 1
        if not self._calls.take() or (write and not self._writes.take()):
            self._counts["refused"] += 1
            message = "etcdserver: too many requests"
            return error_response(429, RESOURCE_EXHAUSTED, message)
        response = handler(request)
        if write and self._consume_drop(keys):
            self._faults.drop(request)
        return response

    def _consume_drop(self, keys: list[bytes]) -> bool:
        if not self._drop_writes:
            return False
        prefix = self._drop_key_prefix
        if prefix and not any(key.startswith(prefix) for key in keys):
            return False
        self._drop_writes -= 1
        return True


def _prefix_of(key: bytes) -> str:
    """Return the first two segments of a key's path."""
    return b"/".join(key.split(b"/")[:2]).decode("utf-8", "replace")
