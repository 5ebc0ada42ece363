"""Reading of the recorded traces."""

import csv
from functools import cache
from pathlib import Path

from xxhash import xxh64_intdigest

from bench.replay.structures import BLOCK, TraceRequest, User

FOLDER = Path(__file__).parent.parent / "traces"


@cache
def load_trace(user: User) -> tuple[TraceRequest, ...]:
    """Return the trace of a user's launch day."""
    path = FOLDER / f"{user.name}.csv"
    with path.open(encoding="utf-8", newline="") as file:
        rows = list(csv.DictReader(file))
    return tuple(_request(number, row, user) for number, row in enumerate(rows))


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
