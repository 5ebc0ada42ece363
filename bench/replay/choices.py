"""Processor time of one choice.

Usage::

    python -m bench.replay.choices
"""

from collections.abc import Callable
from datetime import timedelta
from random import Random
from statistics import median
from time import process_time

from sassafrasdale.decisions.affinity import PrefixIndex
from sassafrasdale.decisions.routing import choose, draw_candidates
from sassafrasdale.decisions.structures import (
    EndpointView,
    RoutingPolicy,
    RoutingRequest,
)

ROUNDS = 7
CALLS = 2000
PROMPT_BLOCKS = 100


def main() -> None:
    """Print microseconds of processor time a call, as the median of some rounds."""
    print("| call | endpoints | us |\n| --- | ---: | ---: |")
    for count in (6, 12, 30, 100):
        policy = RoutingPolicy()
        names = [f"e{n}" for n in range(count)]
        request = RoutingRequest(prompt_tokens=6400, home="e3")
        views = _views(count)
        rng = Random(1)
        taken = _taken(lambda: choose(request, views, policy, rng))  # noqa: B023
        print(f"| choose | {count} | {taken:.1f} |")
        taken = _taken(lambda: _views(count), calls=200)  # noqa: B023
        print(f"| building the views | {count} | {taken:.1f} |")
        matches = dict.fromkeys(names, 512)
        taken = _taken(lambda: draw_candidates(names, matches, "e3", policy, rng))  # noqa: B023
        print(f"| drawing candidates | {count} | {taken:.1f} |")
        index, prompt = _index(count)
        taken = _taken(lambda: index.matches(prompt))  # noqa: B023
        print(f"| matching {PROMPT_BLOCKS} blocks | {count} | {taken:.1f} |")


def _views(count: int) -> list[EndpointView]:
    age = timedelta(seconds=2)
    distance = timedelta(milliseconds=1)
    return [
        EndpointView(
            f"e{n}",
            "abc"[n % 3],
            in_flight=n % 5,
            reported_load=n % 9,
            report_age=age,
            distance=distance,
            cached_tokens=6400 if n < 3 else 0,
        )
        for n in range(count)
    ]


def _index(count: int) -> tuple[PrefixIndex, tuple[int, ...]]:
    """Return an index in which three endpoints hold a prompt, and all its start."""
    prompt = tuple(range(PROMPT_BLOCKS))
    index = PrefixIndex()
    for n in range(count):
        index.record(f"e{n}", prompt if n < 3 else prompt[:8])
    return index, prompt


def _taken(function: Callable[[], object], calls: int = CALLS) -> float:
    rounds = []
    for _ in range(ROUNDS):
        start = process_time()
        for _ in range(calls):
            function()
        rounds.append((process_time() - start) / calls * 1e6)
    return median(rounds)


if __name__ == "__main__":
    main()
