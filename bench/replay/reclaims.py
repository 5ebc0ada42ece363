"""Replays the reclaim of a zone with other policies for draining its replicas.

Usage::

    python -m bench.replay.reclaims
"""

from dataclasses import replace
from datetime import timedelta
from multiprocessing import Pool

from bench.replay.entries import OURS
from bench.replay.measures import percentile, share_in_time
from bench.replay.simulation import Replay
from bench.replay.structures import SCENARIOS, USERS, User
from bench.replay.traces import load_trace
from sassafrasdale.decisions.structures import ReclaimPolicy

PROCESSES = 3
NOTICES = (2.0, 5.0, 10.0)
"""Notice periods, in seconds."""

RECLAIM = next(scenario for scenario in SCENARIOS if scenario.reclaimed_zone)

POLICIES = {
    "wait only": ReclaimPolicy(margin=timedelta(days=-1)),
    "recompute only": ReclaimPolicy(move_rate=1.0),
    "margin 0 s": ReclaimPolicy(margin=timedelta()),
    "margin 0.5 s": ReclaimPolicy(margin=timedelta(seconds=0.5)),
    "margin 1 s": ReclaimPolicy(),
    "margin 2 s": ReclaimPolicy(margin=timedelta(seconds=2)),
    "move rate 25,000": ReclaimPolicy(move_rate=25_000),
    "move rate 100,000": ReclaimPolicy(move_rate=100_000),
}


def main() -> None:
    """Print the table."""
    cases = [
        (user, notice, name)
        for user in USERS
        for notice in NOTICES
        for name in POLICIES
    ]
    with Pool(PROCESSES) as pool:
        rows = pool.starmap(_row, cases, chunksize=1)
    print("| user | notice | way | recomputed | p99 | in time |")
    print("| --- | ---: | --- | ---: | ---: | ---: |")
    print(*rows, sep="\n")


def _row(user: User, notice: float, name: str) -> str:
    scenario = replace(RECLAIM, notice=notice)
    trace = load_trace(user)
    replay = Replay(user, trace, scenario, OURS, reclaims=POLICIES[name])
    outcome = replay.run()
    delays = sorted(outcome.first_tokens.values())
    return (
        f"| {user.name} | {notice:g} s | {name} "
        f"| {outcome.recomputed_tokens / 1000:.0f} k "
        f"| {percentile(delays, 0.99):.3f} s | {share_in_time(delays, user):.2%} |"
    )


if __name__ == "__main__":
    main()
