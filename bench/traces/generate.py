"""Writes the recorded traces: each user's launch day, compressed to five minutes.

Usage::

    python -m bench.traces.generate
"""

import csv
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from random import Random

FOLDER = Path(__file__).parent
COLUMNS = (
    "at_ms",
    "customer",
    "kind",
    "thread",
    "prompt_tokens",
    "max_tokens",
    "priority",
)

DURATION = 300.0
"""Length of a trace, in seconds."""

# Time in seconds and load as a share of the peak: quiet, an unexpected rise within
# half a minute, the peak, and about half of it for the rest of the day.
LAUNCH = ((0, 0.15), (60, 0.2), (90, 1.0), (210, 1.0), (230, 0.5), (300, 0.4))


@dataclass(frozen=True, slots=True)
class Workload:
    """The traffic of one user.

    :param name: the user.
    :param seed: seed of the trace.
    :param generations_peak: generations per second at the peak.
    :param lookups_peak: lookups per second at the peak.
    :param customers: customer names with their shares of the load.
    :param threads: threads of all customers; 0 if no prompt belongs to a thread.
    """

    name: str
    seed: int
    generations_peak: float
    lookups_peak: float
    customers: dict[str, float]
    threads: int


AUTHORITY = Workload(
    "authority",
    20261,
    11.0,
    20.0,
    {"ready-mix": 0.4, "metro": 0.3, "inspectors": 0.15, "labs": 0.1, "village": 0.05},
    0,
)
ASSOCIATION = Workload(
    "association",
    20262,
    6.0,
    5.0,
    {"beach": 0.4, "hills": 0.3, "garden": 0.15, "chapel": 0.1, "boat": 0.05},
    180,
)

WORKLOADS = {workload.name: workload for workload in (AUTHORITY, ASSOCIATION)}


def main() -> None:
    """Write both traces beside this module."""
    for workload in WORKLOADS.values():
        path = FOLDER / f"{workload.name}.csv"
        with path.open("w", encoding="utf-8", newline="") as file:
            writer = csv.writer(file, lineterminator="\n")
            writer.writerow(COLUMNS)
            writer.writerows(rows(workload))


def rows(workload: Workload) -> list[tuple]:
    """Return the rows of a workload's trace, by time."""
    rng = Random(workload.seed)
    make = _threads if workload.threads else _reports
    trace = []
    times = _arrivals(workload.generations_peak, rng)
    for at, row in zip(times, make(workload, rng), strict=False):
        trace.append((int(at * 1000), *row))
    for at in _arrivals(workload.lookups_peak, rng):
        trace.append((int(at * 1000), _customer(workload, rng), "lookup", "", 0, 1, 0))
    return sorted(trace)


def share_of_peak(at: float) -> float:
    """Return the load at a time, as a share of the peak."""
    for (start, low), (end, high) in zip(LAUNCH, LAUNCH[1:], strict=False):
        if start <= at < end:
            return low + (high - low) * (at - start) / (end - start)
    return LAUNCH[-1][1]


def _arrivals(peak: float, rng: Random) -> Iterator[float]:
    """Yield the times of a Poisson process, thinned to the load of the launch."""
    at = rng.expovariate(peak)
    while at < DURATION:
        if rng.random() < share_of_peak(at):
            yield at
        at += rng.expovariate(peak)


def _customer(workload: Workload, rng: Random) -> str:
    names = list(workload.customers)
    return rng.choices(names, list(workload.customers.values()))[0]


def _reports(workload: Workload, rng: Random) -> Iterator[tuple]:
    """Yield reports, and technicians' questions, which are interactive."""
    while True:
        customer = _customer(workload, rng)
        if rng.random() < 0.3:
            prompt, response = rng.randint(560, 800), rng.randint(40, 120)
            yield customer, "question", "", prompt, response, 1
        else:
            prompt = min(4000, int(rng.lognormvariate(6.9, 0.4)) + 512)
            yield customer, "report", "", prompt, rng.randint(120, 320), 3


def _threads(workload: Workload, rng: Random) -> Iterator[tuple]:
    """Yield turns of long threads, of which a few have far more turns than others."""
    lengths = [
        int(rng.lognormvariate(8.3, 0.5)) + 1536 for _ in range(workload.threads)
    ]
    owners = [_customer(workload, rng) for _ in range(workload.threads)]
    weights = [1 / (rank + 8) for rank in range(workload.threads)]
    while True:
        thread = rng.choices(range(workload.threads), weights)[0]
        response = rng.randint(100, 350)
        prompt = min(24_000, lengths[thread])
        yield owners[thread], "draft", f"t{thread}", prompt, response, 3
        lengths[thread] += response + rng.randint(50, 400)


if __name__ == "__main__":
    main()
