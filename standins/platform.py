"""Stand-in for the platform: its key-value store and its cloud API.

Usage::

    python -m standins.platform --store 127.0.0.1:0 --cloud 127.0.0.1:0

It prints ``{"store": "host:port", "cloud": "host:port"}``. Controls answer on both
addresses and go on working during an outage:

- ``POST /standin/faults`` with ``{"store": {...}, "cloud": {...}}``. Both take the
  fields of :class:`standins.faults.Faults`. The store also takes ``drop_writes``
  (the next N writes take effect, then the connection is closed with no answer),
  ``drop_key_prefix`` (limits that to writes of such a key), ``deaf_watches``
  (while true, watches deliver nothing, and those open then never do again),
  ``writes_per_second``, ``calls_per_second``; the cloud also takes
  ``list_lag_ms`` and ``refuse_starts``. ``cut_connections`` stands beside
  ``store`` and ``cloud`` and closes the open connections of both.
- ``POST /standin/instances`` with an instance registers it in the list;
  ``DELETE /standin/instances/{name}`` takes it out; ``GET`` lists without lag.
- ``POST /standin/notices`` with ``{"instance" or "availability_zone", "seconds",
  "times"}`` gives a notice; 2 times gives it twice.
- ``POST /standin/zones/{zone}`` with ``{"state": "reclaimed", "seconds"}`` notifies
  every reclaimable instance there and refuses starts; ``{"state": "given_back"}``.
- ``POST /standin/prices`` with ``{"prices": [...]}``.
- ``GET /standin/starts`` lists the starts that were asked for and the instances
  given back.
- ``GET /standin/counts`` gives the store's and the cloud's calls by kind.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any

from sassafrasdale.clock import Clock, SystemClock
from sassafrasdale.green import listen, sleep, spawn
from sassafrasdale.structures import Address
from standins.cloud import Cloud
from standins.command import announce, argument_parser
from standins.faults import Faults
from standins.gateway import (
    Gateway,
    OpenWatch,
    WatchState,
    error_answer,
    is_write,
    written_keys,
)
from standins.store import Store
from standins.web import (
    Answer,
    AnswerDroppedError,
    Application,
    Connection,
    Request,
    Route,
    bound_address,
    serve,
)

LEASE_POLL = timedelta(milliseconds=50)
RESOURCE_EXHAUSTED = 8
WRITES_PER_SECOND = 300.0
CALLS_PER_SECOND = 2000.0


class TokenBucket:
    """Rate limit that allows a burst of one second's worth."""

    def __init__(self, clock: Clock, rate: float) -> None:
        self._clock = clock
        self._filled_at = clock.elapsed()
        self._tokens = rate
        self.rate = rate

    def take(self) -> bool:
        """Take a token and return whether there was one."""
        now = self._clock.elapsed()
        gained = (now - self._filled_at).total_seconds() * self.rate
        self._tokens = min(self.rate, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class StoreService:
    """The store's HTTP side: limits, faults and counts around the gateway."""

    def __init__(self, clock: Clock) -> None:
        self._store = Store(clock)
        self._writes = TokenBucket(clock, WRITES_PER_SECOND)
        self._calls = TokenBucket(clock, CALLS_PER_SECOND)
        self._faults = Faults(clock)
        self._clock = clock
        self._deaf = False
        self._deaf_until = timedelta(seconds=-1)
        self._drop_writes = 0
        self._drop_key_prefix = b""
        self._counts: Counter[str] = Counter()
        self.gateway = Gateway(self._store, clock, self._watch_state)

    def around(self, request: Request, answer: Callable[[Request], Answer]) -> Answer:
        """Answer one call of the store."""
        return self._faults.around(request, lambda call: self._limited(call, answer))

    def set_faults(self, wanted: Mapping[str, Any]) -> None:
        """Take over the faults named in ``wanted``."""
        for name, value in wanted.items():
            match name:
                case "drop_writes":
                    self._drop_writes = int(value)
                case "drop_key_prefix":
                    self._drop_key_prefix = value.encode()
                case "deaf_watches":
                    self._deaf = bool(value)
                    self._deaf_until = self._clock.elapsed()
                case "writes_per_second":
                    self._writes.rate = float(value)
                case "calls_per_second":
                    self._calls.rate = float(value)
                case _:
                    self._faults.set({name: value})

    def counts(self) -> dict[str, int]:
        """Return calls by kind, and the watches that wait."""
        return {**self._counts, "open_watches": self._store.watchers}

    def expire_leases(self) -> None:
        """Expire leases for as long as the process runs."""
        while True:
            self._store.expire_leases()
            sleep(LEASE_POLL)

    def _watch_state(self, watch: OpenWatch) -> WatchState:
        if self._faults.outage in ("refuse", "close"):
            return WatchState.CUT
        if self._faults.is_silent(watch.request):
            return WatchState.DEAF
        if self._deaf or watch.opened_at <= self._deaf_until:
            return WatchState.DEAF
        return WatchState.DELIVERS

    def _limited(self, request: Request, answer: Callable[[Request], Answer]) -> Answer:
        if not request.path.startswith("/v3/"):
            return answer(request)
        kind = request.path.removeprefix("/v3/")
        body = request.json()
        write = is_write(request.path, body)
        self._counts[kind] += 1
        self._counts["calls"] += 1
        self._counts["writes"] += write
        if not self._calls.take() or (write and not self._writes.take()):
            self._counts["refused"] += 1
            message = "etcdserver: too many requests"
            return error_answer(429, RESOURCE_EXHAUSTED, message)
        result = answer(request)
        if write and self._takes_drop(written_keys(request.path, body)):
            raise AnswerDroppedError
        return result

    def _takes_drop(self, keys: list[bytes]) -> bool:
        if not self._drop_writes:
            return False
        prefix = self._drop_key_prefix
        if prefix and not any(key.startswith(prefix) for key in keys):
            return False
        self._drop_writes -= 1
        return True


class CloudService:
    """The cloud API's HTTP side: faults and counts."""

    def __init__(self, clock: Clock) -> None:
        self._faults = Faults(clock)
        self._counts: Counter[str] = Counter()
        self.cloud = Cloud(clock)

    def around(self, request: Request, answer: Callable[[Request], Answer]) -> Answer:
        """Answer one call of the cloud API."""
        if request.path.startswith("/cloud/"):
            self._counts[request.path.split("/")[3]] += 1
            self._counts["calls"] += 1
        return self._faults.around(request, answer)

    def set_faults(self, wanted: Mapping[str, Any]) -> None:
        """Take over the faults named in ``wanted``."""
        for name, value in wanted.items():
            match name:
                case "list_lag_ms":
                    self.cloud.faults.list_lag = timedelta(milliseconds=value)
                case "refuse_starts":
                    self.cloud.faults.refuse_starts = bool(value)
                case _:
                    self._faults.set({name: value})

    def counts(self) -> dict[str, int]:
        """Return calls by kind."""
        return dict(self._counts)


def main() -> None:
    """Serve until the process is ended."""
    parser = argument_parser(__doc__)
    parser.add_argument("--store", type=Address.parse, default="127.0.0.1:0")
    parser.add_argument("--cloud", type=Address.parse, default="127.0.0.1:0")
    arguments = parser.parse_args()
    clock = SystemClock()
    store = StoreService(clock)
    cloud = CloudService(clock)

    def set_faults(request: Request) -> Answer:
        body = request.json()
        if body.get("cut_connections"):
            Connection.cut_all(kept=request.connection)
        store.set_faults(body.get("store", {}))
        cloud.set_faults(body.get("cloud", {}))
        return Answer({})

    def count(_request: Request) -> Answer:
        return Answer({"store": store.counts(), "cloud": cloud.counts()})

    controls = (
        Route("POST", "/standin/faults", set_faults),
        Route("GET", "/standin/counts", count),
        *cloud.cloud.routes(),
    )
    store_application = Application((*store.gateway.routes(), *controls), store.around)
    cloud_application = Application(controls, cloud.around)
    store_listener = listen(arguments.store)
    cloud_listener = listen(arguments.cloud)
    spawn(store.expire_leases)
    spawn(serve, store_listener, store_application)
    announce(
        arguments,
        store=bound_address(store_listener),
        cloud=bound_address(cloud_listener),
    )
    serve(cloud_listener, cloud_application)


if __name__ == "__main__":
    main()
