"""What an outage of the store costs callers of non-idempotent requests.

Usage::

    python -m bench.claim_outages --seconds 6

Two entries, one service. Requests with new keys come at an even rate through one
entry while the store is out; then it comes back.
"""

import argparse
import time
from collections import Counter
from datetime import timedelta
from statistics import quantiles
from uuid import uuid4

from tests.guarantees.certificates import Deployment, Told, deployment

OUTAGES = ("refuse", "close", "silent")
RATE = 20
DEADLINE = timedelta(seconds=10)
POLL = timedelta(milliseconds=20)


def timed_issue(system: Deployment) -> tuple[Told, float]:
    """Ask for a certificate; return what was told and after how many ms."""
    began = time.monotonic()
    told = system.issue(system.entries[0], uuid4().hex, DEADLINE)
    return told, (time.monotonic() - began) * 1000


def measure(system: Deployment, outage: str, seconds: float) -> str:
    """Return a row of the table for one kind of outage."""
    system.platform.set_faults(store={"outage": outage})
    calls = []
    for _ in range(int(RATE * seconds)):
        calls.append(system.threads.submit(timed_issue, system))
        time.sleep(1 / RATE)
    results = [call.result() for call in calls]
    system.platform.set_faults(store={"outage": None})
    back = time.monotonic()
    while timed_issue(system)[0].outcome != "answered":
        time.sleep(POLL.total_seconds())
    recovery = time.monotonic() - back
    outcomes = Counter(told.outcome for told, _wait in results)
    cuts = quantiles([wait for _told, wait in results], n=100)
    longest = max(wait for _told, wait in results)
    return (
        f"| {outage} | {dict(outcomes)} | {cuts[49]:.0f} | {cuts[94]:.0f} "
        f"| {longest:.0f} | {recovery:.2f} |"
    )


def main() -> None:
    """Print a table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=6.0)
    arguments = parser.parse_args()
    print("| outage | told | p50 ms | p95 ms | longest ms | back after s |")
    print("| --- " * 6 + "|")
    with deployment() as system:
        for outage in OUTAGES:
            print(measure(system, outage, arguments.seconds), flush=True)
        runs = system.service.counts()["by_idempotency_key"].values()
        print(f"\nmost executions of one key: {max(runs)}")


if __name__ == "__main__":
    main()
