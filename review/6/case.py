"""The store forgets its history right after a replica's entry has disappeared."""

import time
from random import Random

import harness
from harness import Deployment, Replica, Run, pause, spawn

# In a deployment of three zones, three gateways of a zone watch the store.
ZONES = {"a": "here", "b": "here", "c": "here"}
GATEWAYS = 6
ROUNDS = 4
# Requests a second to each gateway.
RATE = 12.0
# Time from another entry's change to the disappearance, and from that to the moment at
# which the store forgets its history.
GONE_AFTER_S = 0.04
FORGOTTEN_AFTER_S = 0.02
# Time for which a replica goes on serving after its entry has disappeared.
SERVES_ON_S = 9.0
# From here on, the machines are in touch again, and no request may reach the replica.
CONTACT_S = 3.0
SLACK_S = 0.2


class ListedReplica(Replica):
    """A replica whose entry says how much longer it remains slow after its start.

    :ivar warm_at: time from which on it is no longer slow.
    """

    warm_at = 0.0

    def register(self, state: str = "ready") -> None:
        """Write the registration."""
        cold_left_s = max(self.warm_at - time.monotonic(), 0.0)
        self.store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "addr": str(self.address),
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "coldLeftMs": int(cold_left_s * 1000),
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
    """Return whether requests reach a replica long after it has gone."""
    routes = [harness.route("hold", "desk", "non_idempotent")]
    deployment.store.put("op/config", harness.configuration(routes, ["desk"]))
    replicas = [
        ListedReplica(
            f"i-{number}",
            "desk",
            "abc"[number % 3],
            deployment.store,
            deployment.record,
            deployment.runs,
        )
        for number in range(2 * ROUNDS)
    ]
    leaving, warming = replicas[:ROUNDS], replicas[ROUNDS:]
    for number, replica in enumerate(warming):
        replica.warm_at = time.monotonic() + 12 + number * (SERVES_ON_S + 1)
    for replica in replicas:
        replica.register()
    gateways = [deployment.add_gateway("a", zones=ZONES) for _ in range(GATEWAYS)]
    for gateway in gateways:
        gateway.wait_until_ready()
    pause(8)
    until = time.monotonic() + ROUNDS * (SERVES_ON_S + 1) + 6
    for gateway in gateways:
        spawn(send_at_random, deployment, gateway, until)
    late: list[Run] = []
    for replica, other in zip(leaving, warming, strict=True):
        late += leave(deployment, replica, other)
    pause(4)
    for run in late:
        deployment.record.note(f"late     {run.request_id} at {run.replica}")
    deployment.record.note(f"{len(late)} requests reached replicas that were gone")
    return bool(late)


def leave(
    deployment: Deployment, replica: ListedReplica, other: ListedReplica
) -> list[Run]:
    """Have a replica leave as another is warm; return the runs that come too late."""
    pause(max(other.warm_at - time.monotonic(), 0.0))
    other.register()
    pause(GONE_AFTER_S)
    deployment.store.remove(f"servers/{replica.name}")
    gone_at = time.monotonic()
    deployment.record.note(f"platform removes the entry of {replica.name}")
    pause(FORGOTTEN_AFTER_S)
    if harness.has_trouble():
        deployment.store.compact_history()
        deployment.record.note("the store forgets its history")
    pause(SERVES_ON_S)
    replica.handle = _refuse
    return [
        run
        for run in deployment.runs
        if run.replica == replica.name and run.at > gone_at + CONTACT_S + SLACK_S
    ]


def _refuse(*_: object) -> None:
    raise OSError


if __name__ == "__main__":
    harness.main(case)
