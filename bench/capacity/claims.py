"""Non-idempotent requests per second, against the store's write limit.

Usage::

    python -m bench.capacity claims

Claims are made and settled at a constant rate against the platform's stand-in,
which refuses writes above its limit as the platform does.
"""

import time
from datetime import timedelta
from uuid import uuid4

from bench.capacity.results import Panel, Row, fit_columns, plot, write
from bench.capacity.usage import own_cpu
from sassafrasdale.clock import SystemClock
from sassafrasdale.coordination.etcd import EtcdStore
from sassafrasdale.coordination.exceptions import StoreError
from sassafrasdale.green import GreenThread, sleep, spawn
from sassafrasdale.requests.claims import ClaimKey, Claims, Granted, StoredResponse
from sassafrasdale.requests.exceptions import ClaimRefused
from sassafrasdale.structures import Address
from standins.processes import PlatformProcess

RATES = (25, 50, 100, 140, 200, 400)
SECONDS = 10.0
SETTLE_TIME = timedelta(seconds=3)
WRITES_PER_SECOND = 300
RESPONSE = StoredResponse(201, (("Content-Type", "application/json"),), b"{}" * 100)
MILLISECONDS = 1000


def measure() -> None:
    """Measure every rate and write the table and the plot."""
    rows = [_measure_rate(rate) for rate in RATES]
    below = [row for row in rows if not row["refused"]]
    slopes = {
        f"{y} by claims a second": fit_columns(below, "offered_s", y)
        for y in ("writes_asked_s", "reads_asked_s", "cpu_percent")
    }
    write("claims", {"claims": rows}, slopes, "python -m bench.capacity claims")
    panels = (
        Panel(
            "offered_s",
            ("writes_asked_s", "reads_asked_s"),
            "the store's calls a second",
        ),
        Panel("offered_s", ("granted_s", "refused_s"), "claims a second"),
    )
    plot("capacity-claims", rows, panels)


class ClaimLoad:
    """Makes claims at a constant rate from one process.

    :param claims: makes the claims.
    """

    def __init__(self, claims: Claims) -> None:
        self._claims = claims
        self.times: list[float] = []
        self.refused = 0

    def run(self, rate: int) -> None:
        """Make ``rate`` claims per second, without waiting for earlier ones."""
        start = time.monotonic()
        tasks: list[GreenThread] = []
        for number in range(int(rate * SECONDS)):
            delay = start + number / rate - time.monotonic()
            if delay > 0:
                sleep(timedelta(seconds=delay))
            tasks.append(spawn(self._claim_once))
        for task in tasks:
            task.wait()

    def _claim_once(self) -> None:
        key = ClaimKey("records", "press", uuid4().hex)
        start = time.monotonic()
        try:
            result = self._claims.claim(key, "fingerprint", uuid4().hex, "entry-0")
        except (ClaimRefused, StoreError):
            self.refused += 1
            return
        self.times.append(time.monotonic() - start)
        if isinstance(result, Granted):
            self._claims.store_response(result.claim, RESPONSE)


def _measure_rate(rate: int) -> Row:
    with PlatformProcess() as platform:
        platform.control(
            "POST", "faults", {"store": {"writes_per_second": WRITES_PER_SECOND}}
        )
        clock = SystemClock()
        claims = Claims(EtcdStore(Address.parse(platform.store), clock), clock)
        load = ClaimLoad(claims)
        cpu, start = own_cpu(), time.monotonic()
        load.run(rate)
        seconds = time.monotonic() - start
        cpu = own_cpu() - cpu
        sleep(SETTLE_TIME)
        counts = platform.counts()["store"]
    times = sorted(load.times)
    writes, calls = counts.get("writes", 0), counts.get("calls", 0)
    row: Row = {
        "offered_s": rate,
        "granted_s": len(times) / seconds,
        "refused_s": load.refused / seconds,
        "refused": load.refused,
        "store_refusals": counts.get("refused", 0),
        "writes_asked_s": writes / seconds,
        "reads_asked_s": (calls - writes) / seconds,
        "writes_a_claim": writes / (rate * SECONDS),
        "claim_p50_ms": times[len(times) // 2] * MILLISECONDS,
        "claim_p99_ms": times[len(times) * 99 // 100] * MILLISECONDS,
        "cpu_percent": cpu / seconds * 100,
        "cpu_ms_a_claim": cpu / (rate * SECONDS) * MILLISECONDS,
    }
    print(row, flush=True)
    return row
