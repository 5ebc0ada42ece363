"""Loads the recorded traces."""

import csv
from dataclasses import replace
from functools import cache
from pathlib import Path

from xxhash import xxh64_intdigest

from bench.replay.structures import BLOCK, TraceRequest, User
from bench.traces.generate import COLUMNS, WORKLOADS, rows

HELD_OUT_SEED_STEP = 1000
"""Added to a workload's seed for a held-out trace, on which nothing was tuned."""

FOLDER = Path(__file__).parent.parent / "traces"


@cache
def load_trace(user: User, held_out: bool = False) -> tuple[TraceRequest, ...]:
    """Return the trace of a user's launch day.

    :param user: the user whose trace to load.
    :param held_out: whether to generate another one, on which nothing was tuned.
    """
    if held_out:
        workload = WORKLOADS[user.name]
        made = rows(replace(workload, seed=workload.seed + HELD_OUT_SEED_STEP))
        named = (dict(zip(COLUMNS, map(str, row), strict=True)) for row in made)
        return tuple(_request(number, row, user) for number, row in enumerate(named))
    path = FOLDER / f"{user.name}.csv"
    with path.open(encoding="utf-8", newline="") as file:
        read = list(csv.DictReader(file))
    return tuple(_request(number, row, user) for number, row in enumerate(read))


def _request(number: int, row: dict[str, str], user: User) -> TraceRequest:
    prompt_tokens = int(row["prompt_tokens"])
    thread = row["thread"] or f"alone-{number}"
    return TraceRequest(
        number=number,
        at=int(row["at_ms"]) / 1000,
        customer=row["customer"],
        kind=row["kind"],
        prompt_tokens=prompt_tokens,
        max_tokens=int(row["max_tokens"]),
        priority=int(row["priority"]),
        key=xxh64_intdigest(thread.encode()),
        blocks=_blocks(row["customer"], thread, prompt_tokens, user),
        continues=bool(row["thread"]),
    )


def _blocks(
    customer: str, thread: str, prompt_tokens: int, user: User
) -> tuple[int, ...]:
    """Return block hashes: the customer's template first, then the thread's own."""
    template = user.template_tokens // BLOCK
    count = prompt_tokens // BLOCK
    return tuple(
        xxh64_intdigest(f"{customer if n < template else thread}/{n}".encode())
        for n in range(count)
    )
