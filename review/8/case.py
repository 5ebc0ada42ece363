"""The next version is ordered before the replicas of a rolled back one have left."""

import json
import time
from random import Random

import harness
from harness import Deployment, Message, Replica, pause, spawn

GATEWAYS = 3
REPLICAS = 3
WORK = 0.03
SLOTS = 12
# Requests a second to each gateway.
RATE = 60.0
# The bad version is bad on one route only: this portion of its responses is slower.
# The route has this share of the requests.
BAD_ROUTE = "/audit/"
BAD_PORTION = 0.95
SLOWER = 6
ROUTE_SHARE = 0.1
OVER_S = 14.0
# Time from an order until the replicas of its version are listed.
BOOT_S = 1.0
# The operator orders the next version this long after it has read `rolled_back`.
NEXT_ORDER_AFTER_S = 0.5
# The platform drains the replicas of the bad version this long after `rolled_back`.
DRAIN_AFTER_S = 8.0
CANARY_SHARE = 0.1
CANARY_SLACK = 50
ROLLBACK_S = 5.0


class VersionedReplica(Replica):
    """A replica of one version, which may be bad.

    :param version: version of its software.
    :param bad: portion of its responses that is slower, on the bad route.
    """

    def __init__(self, *arguments, version: str, bad: float = 0.0, **options) -> None:
        """Build the replica."""
        super().__init__(*arguments, **options)
        self.version = version
        self.bad = bad
        self.bad_at: list[float] = []
        self._rng = Random(self.name)

    def register(self, state: str = "ready") -> None:
        """Write the registration."""
        self.store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "addr": str(self.address),
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": state,
                "coldLeftMs": 0,
                "calls": 0,
            },
        )

    def run(self, request: Message) -> bytes:
        """Run a request, and return its response."""
        is_bad = request.target.startswith(BAD_ROUTE)
        if not is_bad or self._rng.random() >= self.bad:
            return super().run(request)
        self.record.note(f"is slow  {request.header('request-id')} at {self.name}")
        pause(self.work * (SLOWER - 1))
        answer = super().run(request)
        self.bad_at.append(time.monotonic())
        return answer


class Rollout:
    """The operator and the platform, as far as a rollout concerns them."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._store = deployment.store
        self._record = deployment.record

    def start(self, version: str, bad: float = 0.0) -> list[VersionedReplica]:
        """Start replicas of a version, and return them."""
        replicas = [
            VersionedReplica(
                f"i-{version}-{number}",
                "desk",
                "ab"[number % 2],
                self._store,
                self._record,
                self._deployment.runs,
                work=WORK,
                slots=SLOTS,
                version=version,
                bad=bad,
            )
            for number in range(REPLICAS)
        ]
        for replica in replicas:
            replica.register()
        return replicas

    def order(self, version: str) -> float:
        """Order a rollout; return when."""
        order = {"service": "desk", "target": version, "overS": OVER_S}
        self._store.put("op/rollout/desk", order)
        self._record.note(f"operator orders {version} over {OVER_S:g} s")
        return time.monotonic()

    def wait_for(self, state: str, version: str, limit: float) -> bool:
        """Return whether a version's rollout reaches a state in time."""
        until = time.monotonic() + limit
        while time.monotonic() < until:
            value = self._store.value("status/rollout/desk")
            status = json.loads(value) if value else {}
            if (status.get("state"), status.get("target")) == (state, version):
                self._record.note(f"status   {version} {state}")
                return True
            pause(0.02)
        return False

    def remove(self, replicas: list[VersionedReplica]) -> None:
        """Drain replicas, and remove their entries once they have left."""
        self._record.note(f"platform drains {', '.join(r.name for r in replicas)}")
        for replica in replicas:
            replica.register("draining")
        pause(harness.BOUNDS["drainMs"] / 1000 + 0.5)
        for replica in replicas:
            self._store.remove(f"servers/{replica.name}")


def send_at_random(deployment: Deployment, gateway, until: float) -> None:
    """Send requests to a gateway at random times."""
    rng = Random(gateway.name)
    while time.monotonic() < until:
        pause(rng.expovariate(RATE))
        target = BAD_ROUTE if rng.random() < ROUTE_SHARE else "/hold/"
        spawn(deployment.send, gateway, target + "1")


def case(deployment: Deployment) -> bool:
    """Return whether the bad version gets more requests than it may."""
    routes = [
        harness.route(name, "desk", "non_idempotent", timeoutMs=2000)
        for name in ("hold", "audit")
    ]
    deployment.store.put("op/config", harness.configuration(routes, ["desk"]))
    rollout = Rollout(deployment)
    rollout.start("v1")
    gateways = [deployment.add_gateway("ab"[n % 2]) for n in range(GATEWAYS)]
    for gateway in gateways:
        gateway.wait_until_ready()
    pause(3)
    until = time.monotonic() + 34
    for gateway in gateways:
        spawn(send_at_random, deployment, gateway, until)
    pause(5)
    ordered_at = rollout.order("v2")
    pause(BOOT_S)
    bad = rollout.start("v2", BAD_PORTION)
    if not rollout.wait_for("rolled_back", "v2", OVER_S):
        raise RuntimeError("v2 was not rolled back in time")
    spawn(_leave, rollout, bad)
    if harness.has_trouble():
        pause(NEXT_ORDER_AFTER_S)
        rollout.order("v3")
        pause(BOOT_S)
        rollout.start("v3")
    pause(until + 1 - time.monotonic())
    return is_broken(deployment, bad, ordered_at)


def _leave(rollout: Rollout, replicas: list[VersionedReplica]) -> None:
    pause(DRAIN_AFTER_S)
    rollout.remove(replicas)


def is_broken(
    deployment: Deployment, bad: list[VersionedReplica], ordered_at: float
) -> bool:
    """Return whether EXPOSURE is broken."""
    names = {replica.name for replica in bad}
    counted = [
        run for run in deployment.runs if ordered_at <= run.at <= ordered_at + OVER_S
    ]
    to_bad = sum(run.replica in names for run in counted)
    allowed = CANARY_SHARE * len(counted) + CANARY_SLACK
    deployment.record.note(
        f"from the order to its deadline {len(counted)} requests,"
        f" {to_bad} to v2, {allowed:.0f} allowed"
    )
    bad_at = sorted(at for replica in bad for at in replica.bad_at)
    late = 0
    if len(bad_at) >= 50:
        last = bad_at[49] + ROLLBACK_S
        sent_at = {sent.request_id: sent.at for sent in deployment.sent}
        late = sum(
            run.replica in names and sent_at[run.request_id] > last
            for run in deployment.runs
        )
    deployment.record.note(
        f"{len(bad_at)} bad answers of v2,"
        f" {late} requests later than 5 s after the 50th"
    )
    return to_bad > allowed or late > 0


if __name__ == "__main__":
    harness.main(case)
