"""The cloud API: a lagging instance list, notices, prices and starts."""

from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from sassafrasdale.clock import Clock
from sassafrasdale.green import Empty, Queue
from standins.web import Request, Response, Route

RETRY_AFTER_SECONDS = "2"
INSTANCE_DEFAULTS: dict[str, Any] = {
    "role": "endpoint",
    "availability_zone": "",
    "address": "",
    "peer_address": None,
    "service": "",
    "instance_class": "",
    "reclaimable": True,
    "checks_fencing": False,
    "state": "running",
}


@dataclass(slots=True)
class CloudFaults:
    """Faults that are injected into the cloud API at present."""

    list_lag: timedelta = timedelta()
    refuse_starts: bool = False
    reclaimed_zones: set[str] = field(default_factory=set)


class Cloud:
    """Instances, notices and prices.

    :param clock: determines what the lagging list shows.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._instances: dict[str, dict[str, Any]] = {}
        self._snapshots: list[tuple[timedelta, list[dict[str, Any]]]] = []
        self._horizon = timedelta()
        self._notices: list[dict[str, Any]] = []
        self._waiters: set[Queue] = set()
        self._prices: list[dict[str, Any]] = []
        self._starts: dict[str, dict[str, Any]] = {}
        self._released: list[str] = []
        self.faults = CloudFaults()

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of the API and of its controls."""
        return (
            Route("GET", "/cloud/v1/instances", self._list),
            Route("POST", "/cloud/v1/instances", self._start),
            Route("DELETE", "/cloud/v1/instances/{name}", self._release),
            Route("GET", "/cloud/v1/notices", self._wait_for_notices),
            Route("GET", "/cloud/v1/prices", self._list_prices),
            Route("GET", "/standin/instances", self._list_without_lag),
            Route("POST", "/standin/instances", self._register),
            Route("DELETE", "/standin/instances/{name}", self._remove),
            Route("POST", "/standin/notices", self._send_notice),
            Route("POST", "/standin/prices", self._set_prices),
            Route("POST", "/standin/zones/{zone}", self._change_zone),
            Route("GET", "/standin/starts", self._list_starts),
        )

    def _list(self, _request: Request) -> Response:
        # A longer lag delays later changes; changes that were shown stay visible.
        horizon = self._clock.elapsed() - self.faults.list_lag
        self._horizon = max(self._horizon, horizon)
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= self._horizon:
            self._snapshots.pop(0)
        shown: list[dict[str, Any]] = []
        if self._snapshots and self._snapshots[0][0] <= self._horizon:
            shown = self._snapshots[0][1]
        return Response({"instances": shown})

    def _list_without_lag(self, _request: Request) -> Response:
        return Response({"instances": list(self._instances.values())})

    def _register(self, request: Request) -> Response:
        body = request.json()
        for instance in body.get("instances", [body]):
            full = {**INSTANCE_DEFAULTS, **instance}
            self._instances[full["name"]] = full
        self._record_snapshot()
        return Response({}, status=201)

    def _remove(self, _request: Request, name: str) -> Response:
        self._instances.pop(name, None)
        self._record_snapshot()
        return Response({})

    def _release(self, _request: Request, name: str) -> Response:
        if name not in self._instances:
            return Response({"error": f"no instance {name}"}, status=404)
        self._instances.pop(name)
        self._released.append(name)
        self._record_snapshot()
        return Response({})

    def _start(self, request: Request) -> Response:
        body = request.json()
        request_id = body["request_id"]
        if request_id in self._starts:
            return Response(self._starts[request_id], status=201)
        zone = body.get("availability_zone", "")
        if self.faults.refuse_starts or zone in self.faults.reclaimed_zones:
            return Response(
                {"error": "no capacity"},
                status=409,
                headers=(("Retry-After", RETRY_AFTER_SECONDS),),
            )
        started = {"name": f"i-{len(self._starts) + 1}", **body}
        self._starts[request_id] = started
        return Response(started, status=201)

    def _list_starts(self, _request: Request) -> Response:
        starts = list(self._starts.values())
        return Response({"starts": starts, "given_back": self._released})

    def _wait_for_notices(self, request: Request) -> Response:
        after = int(request.query.get("after", 0))
        limit = timedelta(milliseconds=int(request.query.get("wait_ms", 0)))
        deadline = self._clock.elapsed() + limit
        while not self._notices_after(after):
            if not self._wait(deadline - self._clock.elapsed()):
                break
        found = self._notices_after(after)
        last = found[-1]["sequence"] if found else after
        return Response({"notices": found, "next": last})

    def _notices_after(self, after: int) -> list[dict[str, Any]]:
        return [notice for notice in self._notices if notice["sequence"] > after]

    def _wait(self, limit: timedelta) -> bool:
        if limit <= timedelta():
            return False
        inbox: Queue = Queue()
        self._waiters.add(inbox)
        try:
            inbox.get(timeout=limit.total_seconds())
        except Empty:
            return False
        finally:
            self._waiters.discard(inbox)
        return True

    def _send_notice(self, request: Request) -> Response:
        body = request.json()
        seconds = timedelta(seconds=float(body.get("seconds", 30)))
        names = [body["instance"]] if "instance" in body else []
        if "availability_zone" in body:
            names.extend(self._reclaimable_in(body["availability_zone"]))
        notices = []
        for _ in range(int(body.get("times", 1))):
            notices.extend(self._notify(names, seconds))
        return Response({"notices": notices}, status=201)

    def _reclaimable_in(self, zone: str) -> list[str]:
        return [
            instance["name"]
            for instance in self._instances.values()
            if instance["availability_zone"] == zone and instance["reclaimable"]
        ]

    def _notify(self, names: list[str], limit: timedelta) -> list[dict[str, Any]]:
        leaves_at = (self._clock.now() + limit).isoformat()
        notices = []
        for name in names:
            notice = {
                "sequence": len(self._notices) + 1,
                "instance": name,
                "leaves_at": leaves_at,
            }
            self._notices.append(notice)
            notices.append(notice)
            if name in self._instances:
                self._instances[name] = {**self._instances[name], "state": "leaving"}
        self._record_snapshot()
        for inbox in list(self._waiters):
            inbox.put(None)
        return notices

    def _change_zone(self, request: Request, zone: str) -> Response:
        body = request.json()
        match body["state"]:
            case "reclaimed":
                self.faults.reclaimed_zones.add(zone)
                seconds = timedelta(seconds=float(body.get("seconds", 30)))
                return Response(
                    {"notices": self._notify(self._reclaimable_in(zone), seconds)}
                )
            case "given_back":
                self.faults.reclaimed_zones.discard(zone)
                return Response({"notices": []})
            case other:
                raise ValueError(f"unknown zone state {other!r}")

    def _set_prices(self, request: Request) -> Response:
        self._prices = request.json()["prices"]
        return Response({})

    def _list_prices(self, _request: Request) -> Response:
        return Response({"prices": self._prices})

    def _record_snapshot(self) -> None:
        now = self._clock.elapsed()
        self._snapshots.append((now, list(self._instances.values())))
