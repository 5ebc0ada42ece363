"""Processor time of one routing decision.

Usage::

    python -m bench.replay.choices
"""

import tracemalloc
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from random import Random
from statistics import median
from time import process_time

from sassafrasdale.decisions.affinity import MAX_BLOCKS, PrefixIndex
from sassafrasdale.decisions.routing import choose, draw_candidates
from sassafrasdale.decisions.structures import (
    EndpointView,
    RoutingPolicy,
    RoutingRequest,
)

ROUNDS = 7
CALLS = 500
PROMPT_BLOCKS = 100
HASH_STEP = 2**40
"""Difference between block numbers, so that these are as large as real hashes."""


def main() -> None:
    """Print microseconds of processor time per call, the median of several rounds."""
    print("| call | endpoints | us |\n| --- | ---: | ---: |")
    for count in (6, 12, 30, 100):
        for name, call in _calls(count).items():
            print(f"| {name} | {count} | {_median_us(call):.1f} |")
    print("\n| endpoints | blocks | bytes a block |\n| ---: | ---: | ---: |")
    for count in (6, 30):
        blocks, size = _index_size(count)
        print(f"| {count} | {blocks} | {size / blocks:.0f} |")


def _calls(count: int) -> dict[str, Callable[[], object]]:
    """Return the calls of one choice among ``count`` endpoints."""
    request = RoutingRequest(prompt_tokens=6400, owner="e3", fallback_owner="e4")
    policy = RoutingPolicy()
    rng = Random(1)
    names = [f"e{n}" for n in range(count)]
    matches = dict.fromkeys(names, 512)
    index, prompt = _index(count)
    owners = (request.owner, request.fallback_owner)
    return {
        f"match {PROMPT_BLOCKS} blocks": partial(index.matches, prompt),
        "draw candidates": partial(
            draw_candidates, names, matches, owners, policy, rng
        ),
        "build views": partial(_views, count),
        "choose": partial(choose, request, _views(count), policy, rng),
    }


def _views(count: int) -> list[EndpointView]:
    age = timedelta(seconds=2)
    network_delay = timedelta(milliseconds=1)
    return [
        EndpointView(
            f"e{n}",
            "abc"[n % 3],
            in_flight=n % 5,
            reported_load=n % 9,
            report_age=age,
            network_delay=network_delay,
            cached_tokens=6400 if n < 3 else 0,
        )
        for n in range(count)
    ]


def _index(count: int) -> tuple[PrefixIndex, tuple[int, ...]]:
    """Return an index with a prompt at three endpoints, and its start at all."""
    prompt = tuple(range(PROMPT_BLOCKS))
    index = PrefixIndex()
    for n in range(count):
        index.record(f"e{n}", prompt if n < 3 else prompt[:8])
    return index, prompt


def _index_size(count: int) -> tuple[int, int]:
    """Return the blocks in a full index and its size in bytes."""
    tracemalloc.start()
    index = PrefixIndex()
    for n in range(count):
        first = n * MAX_BLOCKS * HASH_STEP
        index.record(f"e{n}", range(first, first + MAX_BLOCKS * HASH_STEP, HASH_STEP))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return len(index), size


def _median_us(function: Callable[[], object]) -> float:
    rounds = []
    for _ in range(ROUNDS):
        start = process_time()
        for _ in range(CALLS):
            function()
        rounds.append((process_time() - start) / CALLS * 1e6)
    return median(rounds)


if __name__ == "__main__":
    main()
