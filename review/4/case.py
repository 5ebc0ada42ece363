"""All gateways are killed right after a rollout to the present version was ordered."""

import signal
import time
from random import Random

import harness
from harness import Deployment, Replica, pause, spawn

GATEWAYS = 3
REPLICAS = 3
VERSION = "v2"
OVER_S = 60.0
# Requests a second to each gateway.
RATE = 10.0
# Time until the killed gateways are started again.
DOWN_S = 1.0
RECOVERY_S = 12.0
MEASURED_S = 20.0


class VersionedReplica(Replica):
    """A replica of the present version."""

    def register(self, state: str = "ready") -> None:
        """Write the registration."""
        self.store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "addr": str(self.address),
                "zone": self.zone,
                "version": VERSION,
                "slots": self.slots,
                "state": state,
                "coldLeftMs": 0,
                "calls": 0,
            },
        )


def send_at_random(deployment: Deployment, gateway, until: float) -> None:
    """Send requests to a gateway at random times."""
    rng = Random(gateway.name)
    while time.monotonic() < until:
        pause(rng.expovariate(RATE))
        spawn(deployment.send, gateway, "/hold/1")


def case(deployment: Deployment) -> bool:
    """Return whether too few requests are served after the final fault."""
    routes = [harness.route("hold", "desk", "non_idempotent", timeoutMs=2000)]
    deployment.store.put("op/config", harness.configuration(routes, ["desk"]))
    for number in range(REPLICAS):
        VersionedReplica(
            f"i-{number}",
            "desk",
            "ab"[number % 2],
            deployment.store,
            deployment.record,
            deployment.runs,
        ).register()
    gateways = [deployment.add_gateway("ab"[n % 2]) for n in range(GATEWAYS)]
    for gateway in gateways:
        gateway.wait_until_ready()
    pause(4)
    until = time.monotonic() + 5 + DOWN_S + RECOVERY_S + 3 + MEASURED_S
    began_at = time.monotonic()
    for gateway in gateways:
        spawn(send_at_random, deployment, gateway, until)
    pause(5)
    order = {"service": "desk", "target": VERSION, "overS": OVER_S}
    deployment.store.put("op/rollout/desk", order)
    fault_at = time.monotonic()
    deployment.record.note(f"operator orders {VERSION} over {OVER_S:g} s")
    if harness.has_trouble():
        kill_all(deployment, gateways)
    back_at = time.monotonic()
    pause(until + 3 - time.monotonic())
    status = deployment.store.value("status/rollout/desk")
    deployment.record.note(f"status   {status}")
    before = served_share(deployment, began_at, fault_at - 1)
    after = served_share(deployment, back_at + RECOVERY_S, until)
    deployment.record.note(f"served before {before:.2f}, after {after:.2f}")
    if before < 0.25:
        raise RuntimeError("too few requests were served before the fault")
    return after < 0.25


def kill_all(deployment: Deployment, gateways: list) -> None:
    """Kill all gateways at once, and start them again."""
    for gateway in gateways:
        gateway.signal(signal.SIGKILL)
    deployment.record.note("all gateways are killed")
    pause(DOWN_S)
    for gateway in gateways:
        gateway.start()
    deployment.record.note("all gateways are started again")


def served_share(deployment: Deployment, since: float, until: float) -> float:
    """Return the share of the requests sent in a time that were served."""
    sent = [each for each in deployment.sent if since <= each.at < until]
    served = [each for each in sent if each.answer and each.answer.status == 200]
    deployment.record.note(f"{len(served)} of {len(sent)} requests served")
    return len(served) / max(len(sent), 1)


if __name__ == "__main__":
    harness.main(case)
