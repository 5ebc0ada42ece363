"""Sweeps of the routing policy's constants.

Usage::

    python -m bench.replay.sweeps queue_delay 0 0.002 0.01 0.02 0.05
"""

from dataclasses import replace
from datetime import timedelta
from functools import partial
from multiprocessing import Pool

from cyclopts import App

from bench.replay.entries import OURS
from bench.replay.measures import Case, Measures, cost_at_target, measure
from bench.replay.simulation import policy_of
from bench.replay.structures import SCENARIOS, USERS, User
from bench.replay.tables import HEADER, row

PROCESSES = 4

app = App(help="Sweep one constant of the routing policy.")


@app.default
def main(constant: str, *values: float, cost: bool = False, user: str = "") -> None:
    """Print the table of our own way for each value of a constant.

    :param constant: name of a field of the routing policy.
    :param values: values to try; seconds for times.
    :param cost: seek the cost at the latency target as well.
    :param user: the only user to replay; both by default.
    """
    cases = [
        (value, Case(owner, scenario, OURS, _policy(owner, constant, value)))
        for owner in USERS
        if user in ("", owner.name)
        for scenario in SCENARIOS
        for value in values
    ]
    with Pool(PROCESSES) as pool:
        found = pool.map(
            partial(_figures, cost=cost), [case for _, case in cases], chunksize=1
        )
    print(HEADER.replace("| way |", f"| {constant} |"))
    for (value, case), figures in zip(cases, found, strict=True):
        print(row(replace(case, way=f"{value:g}"), *figures))


def _policy(user: User, constant: str, value: float):
    policy = policy_of(user)
    if isinstance(getattr(policy, constant), timedelta):
        return replace(policy, **{constant: timedelta(seconds=value)})
    return replace(policy, **{constant: type(getattr(policy, constant))(value)})


def _figures(case: Case, cost: bool) -> tuple[Measures, float | None]:
    return measure(case), cost_at_target(case) if cost else None


if __name__ == "__main__":
    app()
