"""Store writes and latency of claims, plain and gathered, at several rates.

Usage::

    python -m bench.claims --seconds 4

It starts the stand-in platform with its limit of 300 writes per second. Requests
arrive at an even rate; each claims, and then stores a response of 200 bytes.
"""

import argparse
import time
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from statistics import quantiles
from typing import Protocol
from uuid import uuid4

from sassafrasdale.clock import SystemClock
from sassafrasdale.coordination.batching import BatchingStore
from sassafrasdale.coordination.etcd import EtcdStore
from sassafrasdale.coordination.stores import BaseStore
from sassafrasdale.green import sleep, spawn
from sassafrasdale.requests.claims import ClaimKey, Claims, StoredResponse
from sassafrasdale.requests.exceptions import ClaimRefused
from sassafrasdale.structures import Address
from standins.processes import PlatformProcess

RATES = (1, 10, 100, 500)
RESPONSE = StoredResponse(201, (("Content-Type", "application/json"),), b"x" * 200)
SETTLE_TIME = timedelta(seconds=2)


class CallCounter(Protocol):
    """The part of the platform's interface that a run uses."""

    def counts(self) -> dict[str, dict[str, int]]:
        """Return the store's calls by kind."""


@dataclass
class Result:
    """The measurements of one run."""

    waits_ms: list[float] = field(default_factory=list)
    refused: int = 0
    settled: int = 0
    writes: int = 0

    def row(self, form: str, rate: int, sent: int) -> str:
        """Return the run as a row of a table."""
        percentiles = (
            quantiles(self.waits_ms, n=100) if len(self.waits_ms) > 1 else [0] * 99
        )
        granted = len(self.waits_ms)
        writes_per_claim = self.writes / granted if granted else 0
        return (
            f"| {form} | {rate} | {sent} | {granted} | {self.refused} "
            f"| {self.settled} | {writes_per_claim:.2f} "
            f"| {percentiles[49]:.1f} | {percentiles[94]:.1f} |"
        )


def run(platform: CallCounter, claims: Claims, rate: int, seconds: float) -> Result:
    """Send claims at an even rate and return the results."""
    result = Result()
    before = platform.counts()["store"].get("writes", 0)
    began = time.monotonic()
    tasks = []
    for number in range(int(rate * seconds)):
        send_at = began + number / rate
        sleep(timedelta(seconds=max(0.0, send_at - time.monotonic())))
        tasks.append(spawn(one_request, claims, result))
    for task in tasks:
        task.wait()
    sleep(SETTLE_TIME)
    result.writes = platform.counts()["store"].get("writes", 0) - before
    return result


def one_request(claims: Claims, result: Result) -> None:
    """Claim a new key and store its response."""
    began = time.monotonic()
    key = ClaimKey("bench", "bench", uuid4().hex)
    try:
        granted = claims.claim(key, "print", uuid4().hex, "bench")
    except ClaimRefused:
        result.refused += 1
        return
    result.waits_ms.append((time.monotonic() - began) * 1000)
    # Other tasks change the sum while this one waits, so it is read only afterwards.
    settled = claims.store_response(granted.claim, RESPONSE)
    result.settled += settled


def forms(platform: PlatformProcess) -> dict[str, BaseStore]:
    """Return the stores to compare."""
    address = Address.parse(platform.store)
    clock = SystemClock()
    return {
        "plain": EtcdStore(address, clock, Random(1)),
        "gathered": BatchingStore(EtcdStore(address, clock, Random(1))),
    }


def main() -> None:
    """Print a table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rates", type=int, nargs="*", default=RATES)
    arguments = parser.parse_args()
    print("| form | claims/s | sent | granted | refused | settled at once ", end="")
    print("| writes each | p50 ms | p95 ms |\n" + "| --- " * 9 + "|")
    for rate in arguments.rates:
        for form in ("plain", "gathered"):
            with PlatformProcess() as platform:
                claims = Claims(forms(platform)[form], SystemClock())
                one_request(claims, Result())
                result = run(platform, claims, rate, arguments.seconds)
                print(result.row(form, rate, int(rate * arguments.seconds)), flush=True)


if __name__ == "__main__":
    main()
