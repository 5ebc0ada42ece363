"""The latency and processor time that an entry adds, against direct calls."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

from hdrh.histogram import HdrHistogram

from bench.load.callers import MICROSECOND, histogram
from sassafrasdale.clock import Clock, SystemClock
from sassafrasdale.green import sleep, spawn
from sassafrasdale.green_http import GreenHttpPool, http_pool
from sassafrasdale.structures import Address
from standins.fleet import Fleet

CUSTOMER = {"X-Customer": "cube-labs"}
JSON_TYPE = {"Content-Type": "application/json"}
PROC_TICKS_PER_SECOND = 100
USER_TICKS_FIELD = 13
# Time of a caller between two lookups.
THINK_TIME = timedelta(milliseconds=50)


@dataclass(frozen=True, slots=True)
class Comparison:
    """Times of one kind of request, direct and through the entry.

    :param kind: kind of the requests.
    :param direct: times of direct calls, in microseconds.
    :param through_entry: times through the entry, in microseconds.
    """

    kind: str
    direct: HdrHistogram
    through_entry: HdrHistogram

    def row(self) -> dict:
        """Return the figures, times in milliseconds."""
        row: dict = {"kind": self.kind}
        for percentile in (50, 95):
            direct = self.direct.get_value_at_percentile(percentile) / 1000
            through = self.through_entry.get_value_at_percentile(percentile) / 1000
            row[f"p{percentile}_direct_ms"] = round(direct, 2)
            row[f"p{percentile}_entry_ms"] = round(through, 2)
            row[f"p{percentile}_ratio"] = round(through / direct, 2)
        return row


@dataclass(frozen=True, slots=True)
class Throughput:
    """Work of one entry at full load, per second of its processor time.

    :param kind: kind of the counted work.
    :param count: number of units of work.
    :param cpu: processor time that the entry used.
    """

    kind: str
    count: int
    cpu: timedelta

    def row(self) -> dict:
        """Return the figures."""
        per_second = round(self.count / max(self.cpu.total_seconds(), 1e-6))
        return {
            "kind": self.kind,
            "count": self.count,
            "cpu_s": round(self.cpu.total_seconds(), 2),
            "per_cpu_second": per_second,
        }


AskFunction = Callable[[GreenHttpPool, int, bool], int]


def ask_lookup(pool: GreenHttpPool, number: int, direct: bool) -> int:
    """Ask for a lookup; return 1."""
    path = f"/lookups/{number}"
    target = path if direct else f"/v1/services/records{path}"
    response = pool.request("GET", target, headers=CUSTOMER)
    _expect(response.status == 200, response.data)
    return 1


def ask_complete(pool: GreenHttpPool, number: int, direct: bool) -> int:
    """Ask for a complete response of one token; return 1."""
    response = _chat(pool, number, tokens=1, stream=False)
    _expect(response.status == 200, response.data)
    return 1


def ask_streamed(pool: GreenHttpPool, number: int, direct: bool) -> int:
    """Ask for a stream of 20 tokens; return its number of events."""
    response = _chat(pool, number, tokens=20, stream=True)
    _expect(response.data.endswith(b"data: [DONE]\n\n"), response.data)
    return response.data.count(b"data: ")


KINDS: dict[str, AskFunction] = {
    "lookup": ask_lookup,
    "whole": ask_complete,
    "streamed": ask_streamed,
}


def _chat(pool: GreenHttpPool, number: int, *, tokens: int, stream: bool):
    body = {
        "model": "reports",
        "messages": [{"role": "user", "content": f"question {number}"}],
        "max_tokens": tokens,
        "stream": stream,
    }
    return pool.request(
        "POST",
        "/v1/chat/completions",
        body=json.dumps(body).encode(),
        headers={**CUSTOMER, **JSON_TYPE},
    )


def _expect(holds: bool, data: bytes) -> None:
    if not holds:
        raise AssertionError(data[:500])


def compare(fleet: Fleet, kind: str, repeats: int) -> Comparison:
    """Send the same requests alternately to an endpoint and to the entry."""
    clock = SystemClock()
    service = "records" if kind == "lookup" else "reports"
    direct_pool = _pool(fleet.endpoints_of(service)[0].address)
    entry_pool = _pool(fleet.entries[0].address)
    comparison = Comparison(kind, histogram(), histogram())
    for number in range(repeats):
        _time(clock, comparison.direct, KINDS[kind], direct_pool, number, True)
        _time(clock, comparison.through_entry, KINDS[kind], entry_pool, number, False)
    return comparison


def saturate(fleet: Fleet, kind: str, callers: int, duration: timedelta) -> Throughput:
    """Load one entry with concurrent ``callers`` and count its work."""
    clock = SystemClock()
    pool = _pool(fleet.entries[0].address)
    pid = fleet.entries[0].pid
    deadline = clock.elapsed() + duration
    before = cpu_time(pid)

    def run(caller: int) -> int:
        count = number = 0
        while clock.elapsed() < deadline:
            number += 1
            count += KINDS[kind](pool, caller * 1_000_000 + number, False)
        return count

    tasks = [spawn(run, caller) for caller in range(callers)]
    count = sum(task.wait() for task in tasks)
    return Throughput(kind, count, cpu_time(pid) - before)


def time_lookups(fleet: Fleet, callers: int, duration: timedelta) -> HdrHistogram:
    """Return the times of lookups through one entry by several callers."""
    clock = SystemClock()
    pool = _pool(fleet.entries[0].address)
    times = histogram()
    deadline = clock.elapsed() + duration

    def run(caller: int) -> None:
        number = 0
        while clock.elapsed() < deadline:
            number += 1
            lookup = caller * 1_000_000 + number
            _time(clock, times, ask_lookup, pool, lookup, False)
            sleep(THINK_TIME)

    for task in [spawn(run, caller) for caller in range(callers)]:
        task.wait()
    return times


def cpu_time(pid: int) -> timedelta:
    """Return the processor time that a process has used."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[USER_TICKS_FIELD - 2]) + int(fields[USER_TICKS_FIELD - 1])
    return timedelta(seconds=ticks / PROC_TICKS_PER_SECOND)


def _pool(address: str) -> GreenHttpPool:
    return http_pool(
        Address.parse(address), size=256, read_timeout=timedelta(seconds=60)
    )


def _time(
    clock: Clock,
    times: HdrHistogram,
    ask: AskFunction,
    pool: GreenHttpPool,
    number: int,
    direct: bool,
) -> None:
    began = clock.elapsed()
    ask(pool, number, direct)
    times.record_value((clock.elapsed() - began) // MICROSECOND)
