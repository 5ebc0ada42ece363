"""Replays the Authority's launch with six times the load, entries and replicas.

Usage::

    python -m bench.replay.sizes
"""

from dataclasses import replace
from multiprocessing import Pool

from bench.replay.entries import LEAST_REQUESTS, OURS, ROUND_ROBIN
from bench.replay.measures import Case, measure
from bench.replay.simulation import Fleet, policy_of
from bench.replay.structures import AUTHORITY, SCENARIOS

PROCESSES = 3
LOAD_FACTOR = 6
LARGE = Fleet(entries=36, models=36, plains=18)
SAMPLES = (2, 4, 8, 16, 36)
MIRRORED = (0, 35)


def main() -> None:
    """Print the table."""
    cases = [
        Case(AUTHORITY, SCENARIOS[0], strategy, fleet=LARGE)
        for strategy in (ROUND_ROBIN, LEAST_REQUESTS)
    ]
    for mirrored in MIRRORED:
        for sample in SAMPLES:
            policy = replace(
                policy_of(AUTHORITY),
                sample_size=sample,
                mirrored_entries=mirrored,
            )
            cases.append(Case(AUTHORITY, SCENARIOS[0], OURS, policy, fleet=LARGE))
    with Pool(PROCESSES) as pool:
        rows = pool.map(_row, cases, chunksize=1)
    print("| way | sample | mirrored | recomputed | p95 | p99 | in time |")
    print("| --- | ---: | ---: | ---: | ---: | ---: | ---: |")
    print(*rows, sep="\n")


def _row(case: Case) -> str:
    found = measure(case, speed=LOAD_FACTOR)
    sample = mirrored = "-"
    if case.policy is not None:
        sample = case.policy.sample_size
        mirrored = case.policy.mirrored_entries
    return (
        f"| {case.strategy} | {sample} | {mirrored} "
        f"| {found.recomputed_tokens / 1000:.0f} k | {found.first_token_95:.3f} s "
        f"| {found.first_token_99:.3f} s | {found.share_in_time:.2%} |"
    )


if __name__ == "__main__":
    main()
