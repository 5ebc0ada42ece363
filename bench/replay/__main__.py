"""Replays every trace with every routing strategy and prints the table.

Usage::

    python -m bench.replay            # all but the cost: some seconds
    python -m bench.replay --cost     # with the cost at the latency target
    python -m bench.replay --customers
    python -m bench.replay --unseen   # on traces that nothing was tuned on
"""

from functools import partial
from multiprocessing import Pool

from cyclopts import App

from bench.replay.entries import STRATEGIES
from bench.replay.measures import (
    Case,
    Measures,
    cost_at_target,
    measure,
)
from bench.replay.measures import equivalent_case as reduced
from bench.replay.structures import SCENARIOS, USERS
from bench.replay.tables import HEADER, customer_rows, row

PROCESSES = 3
"""Processes that replay at the same time; the result does not depend on it."""

app = App(help="Replay the recorded traces.")


@app.default
def main(*, cost: bool = False, customers: bool = False, unseen: bool = False) -> None:
    """Print the table of every user, trace and way of routing.

    :param cost: seek the cost at the latency target as well.
    :param unseen: replay other traces, that nothing was tuned on.
    :param customers: print the share in time of each customer too.
    """
    cases = [
        Case(user, scenario, strategy, held_out=unseen)
        for user in USERS
        for scenario in SCENARIOS
        for strategy in STRATEGIES
    ]
    distinct = list(dict.fromkeys(reduced(case) for case in cases))
    with Pool(PROCESSES) as pool:
        found = pool.map(partial(_figures, cost=cost), distinct, chunksize=1)
    figures = dict(zip(distinct, found, strict=True))
    print(HEADER)
    for case in cases:
        print(row(case, *figures[reduced(case)]))
    if customers:
        for case in cases:
            print(*customer_rows(case, figures[reduced(case)][0]), sep="\n")


def _figures(case: Case, cost: bool) -> tuple[Measures, float | None]:
    return measure(case), cost_at_target(case) if cost else None


if __name__ == "__main__":
    app()
