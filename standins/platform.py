"""Stand-in for the platform: its key-value store and its cloud API.

Usage::

    python -m standins.platform --store 127.0.0.1:0 --cloud 127.0.0.1:0

It prints ``{"store": "host:port", "cloud": "host:port"}``. Control calls are served on
both addresses, also during an outage:

- ``POST /standin/faults`` with ``{"store": {...}, "cloud": {...}}``. Both accept the
  fields of :class:`standins.faults.Faults`. A ``cut_connections`` beside them closes
  the open connections of both. The store also accepts

  - ``drop_writes``: the next N writes take effect, then the connection is closed
    without a response, or with ``drop_silently`` stays open without one;
  - ``drop_key_prefix``: limits that to writes of keys with the prefix;
  - ``deaf_watches``: while true, watches deliver no events, and watches that are open
    then stay stalled afterwards;
  - ``writes_per_second`` and ``calls_per_second``: the rate limits.

  The cloud also accepts ``list_lag_ms`` and ``refuse_starts``.
- ``POST /standin/instances`` with an instance, or with ``{"instances": [...]}``,
  adds to the instance list; ``DELETE /standin/instances/{name}`` removes from it;
  ``GET`` returns it without lag.
- ``POST /standin/notices`` with ``{"instance" or "availability_zone", "seconds",
  "times"}`` sends a notice of reclaim, ``times`` times.
- ``POST /standin/zones/{zone}`` with ``{"state": "reclaimed", "seconds"}`` sends a
  notice to every reclaimable instance in the zone and refuses starts there;
  ``{"state": "given_back"}`` allows starts again.
- ``POST /standin/prices`` with ``{"prices": [...]}`` sets the prices.
- ``GET /standin/starts`` lists the requested starts and the released instances.
- ``GET /standin/counts`` returns the store's and the cloud's calls by kind.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any

from sassafrasdale.clock import Clock, SystemClock
from sassafrasdale.green import listen, spawn
from sassafrasdale.structures import Address
from standins.cloud import Cloud
from standins.command import announce, argument_parser
from standins.faults import Faults
from standins.store_service import StoreService
from standins.web import (
    Application,
    Connection,
    Request,
    Response,
    Route,
    bound_address,
    serve,
)


class CloudService:
    """The cloud API with faults and counts."""

    def __init__(self, clock: Clock) -> None:
        self._faults = Faults(clock)
        self._counts: Counter[str] = Counter()
        self.cloud = Cloud(clock)

    def middleware(
        self, request: Request, handler: Callable[[Request], Response]
    ) -> Response:
        """Handle one call of the cloud API."""
        if request.path.startswith("/cloud/"):
            self._counts[request.path.split("/")[3]] += 1
            self._counts["calls"] += 1
        return self._faults.apply(request, handler)

    def set_faults(self, wanted: Mapping[str, Any]) -> None:
        """Set the faults named in ``wanted``."""
        for name, value in wanted.items():
            match name:
                case "list_lag_ms":
                    self.cloud.faults.list_lag = timedelta(milliseconds=value)
                case "refuse_starts":
                    self.cloud.faults.refuse_starts = bool(value)
                case _:
                    self._faults.set({name: value})

    def counts(self) -> dict[str, int]:
        """Return the number of calls by kind."""
        return dict(self._counts)


def main() -> None:
    """Serve until the process is terminated."""
    parser = argument_parser(__doc__)
    parser.add_argument("--store", type=Address.parse, default="127.0.0.1:0")
    parser.add_argument("--cloud", type=Address.parse, default="127.0.0.1:0")
    arguments = parser.parse_args()
    clock = SystemClock()
    store = StoreService(clock)
    cloud = CloudService(clock)

    def set_faults(request: Request) -> Response:
        body = request.json()
        if body.get("cut_connections"):
            Connection.cut_all(kept=request.connection)
        store.set_faults(body.get("store", {}))
        cloud.set_faults(body.get("cloud", {}))
        return Response({})

    def count(_request: Request) -> Response:
        return Response({"store": store.counts(), "cloud": cloud.counts()})

    controls = (
        Route("POST", "/standin/faults", set_faults),
        Route("GET", "/standin/counts", count),
        *cloud.cloud.routes(),
    )
    store_application = Application(
        (*store.gateway.routes(), *controls), store.middleware
    )
    cloud_application = Application(controls, cloud.middleware)
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
