"""What an outage of the store costs callers of non-idempotent requests.

Usage::

    python -m bench.claim_outages --seconds 6

Two entries, one service. Requests with new keys arrive at an even rate at one entry
during an outage of the store; then the store recovers.
"""

import argparse
import time
from collections import Counter
from datetime import timedelta
from statistics import quantiles
from uuid import uuid4

from tests.guarantees.certificates import Deployment, Reply, deployment

OUTAGES = ("refuse", "close", "silent")
RATE = 20
DEADLINE = timedelta(seconds=10)
POLL_INTERVAL = timedelta(milliseconds=20)


def timed_issue(system: Deployment) -> tuple[Reply, float]:
    """Ask for a certificate; return the reported outcome and the time in ms."""
    began = time.monotonic()
    reply = system.issue(system.entries[0], uuid4().hex, DEADLINE)
    return reply, (time.monotonic() - began) * 1000


def measure(system: Deployment, outage: str, seconds: float) -> str:
    """Return a row of the table for one kind of outage."""
    system.platform.set_faults(store={"outage": outage})
    calls = []
    for _ in range(int(RATE * seconds)):
        calls.append(system.threads.submit(timed_issue, system))
        time.sleep(1 / RATE)
    results = [call.result() for call in calls]
    system.platform.set_faults(store={"outage": None})
    recovered_from = time.monotonic()
    while timed_issue(system)[0].outcome != "answered":
        time.sleep(POLL_INTERVAL.total_seconds())
    recovery = time.monotonic() - recovered_from
    outcomes = Counter(reply.outcome for reply, _wait in results)
    percentiles = quantiles([wait for _reply, wait in results], n=100)
    max_wait = max(wait for _reply, wait in results)
    return (
        f"| {outage} | {dict(outcomes)} | {percentiles[49]:.0f} "
        f"| {percentiles[94]:.0f} | {max_wait:.0f} | {recovery:.2f} |"
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
