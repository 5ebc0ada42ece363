"""Compare rules of judgement on the same drawn roll-outs.

Usage::

    python -m bench.canary.run --seeds 200

For each sort of version, with many requests and with few, it prints how often each rule
condemned it, and how many bad answers there were by then (median and highest).
"""

from argparse import ArgumentParser
from datetime import timedelta
from random import Random
from statistics import median

from bench.canary.histories import SORTS, simulate_rollout
from sassafrasdale.decisions.canary import (
    CanaryAnalysis,
    FixedThreshold,
    Rule,
    SequentialTest,
)

DURATION = timedelta(seconds=20)
SIZES = (6000, 3000, 600)
RULES = {"fixed threshold": FixedThreshold(), "sequential test": SequentialTest()}


def bad_responses_until_rejected(
    sort: str, seed: int, requests: int, rule: Rule
) -> int | None:
    """Return the bad responses until a canary is rejected; None if it never is."""
    analysis = CanaryAnalysis(rule)
    for snapshot in simulate_rollout(
        sort, Random(f"{sort} {seed}"), requests, DURATION
    ):
        if analysis.evaluate(snapshot.rows, snapshot.at).is_rejected:
            return snapshot.bad
    last = analysis.evaluate(snapshot.rows, DURATION, final=True)
    return snapshot.bad if last.is_rejected else None


def main() -> None:
    """Print the table."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=100)
    seeds = parser.parse_args().seeds
    print("| version | requests | rule | condemned | bad answers by then |")
    print("|---|---|---|---|---|")
    for sort in SORTS:
        for requests in SIZES:
            for name, rule in RULES.items():
                results = [
                    bad_responses_until_rejected(sort, seed, requests, rule)
                    for seed in range(seeds)
                ]
                bad = [count for count in results if count is not None]
                seen = f"{median(bad):.0f}, {max(bad)}" if bad else "-"
                print(f"| {sort} | {requests} | {name} | {len(bad)}/{seeds} | {seen} |")


if __name__ == "__main__":
    main()
