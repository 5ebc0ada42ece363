"""Diffs of two texts, at a bounded cost."""

import re
from collections.abc import Iterator, Sequence
from difflib import unified_diff
from itertools import islice, takewhile

CONTEXT = 3
# Pairs of lines to compare; 250,000 took 1 to 51 ms, depending on their similarity.
MAX_PAIRS = 250_000
MAX_LINES = 400
HEADER_LINES = 2

_RANGE = re.compile(r"^@@ -(\d+)(\S*) \+(\d+)(\S*) @@$")


def format_difference(
    before: str, after: str, before_name: str, after_name: str
) -> str:
    """Return a unified diff of two texts, empty if they are the same.

    The time to compare texts with many similar lines grows with the product of their
    lengths: 18 s for 16,000 lines in one measurement, in which the entry would serve
    no requests. So the common lines at the beginning and end are removed first, and if
    too many are left, only their line numbers are returned.

    Usage::

        print(format_difference(old, new, "revision 6", "your text"))

    :param before_name: name of the first text in the header.
    :param after_name: name of the second text in the header.
    """
    old, new = before.splitlines(), after.splitlines()
    if old == new:
        return ""
    start = _count_common(old, new)
    end = _count_common(old[start:][::-1], new[start:][::-1])
    changed = (len(old) - start - end) * (len(new) - start - end)
    header = [f"--- {before_name}", f"+++ {after_name}"]
    if changed > MAX_PAIRS:
        return "\n".join([*header, _describe_range(old, new, start, end)])
    return "\n".join(_truncate([*header, *_compare(old, new, start, end)]))


def _compare(old: list[str], new: list[str], start: int, end: int) -> Iterator[str]:
    first = max(start - CONTEXT, 0)
    after = max(end - CONTEXT, 0)
    lines = unified_diff(
        old[first : len(old) - after],
        new[first : len(new) - after],
        lineterm="",
        n=CONTEXT,
    )
    for line in islice(lines, HEADER_LINES, None):
        yield _RANGE.sub(lambda match: _shift(match, first), line)


def _shift(match: re.Match, lines: int) -> str:
    return (
        f"@@ -{int(match[1]) + lines}{match[2]} +{int(match[3]) + lines}{match[4]} @@"
    )


def _count_common(old: Sequence[str], new: Sequence[str]) -> int:
    pairs = zip(old, new, strict=False)
    return sum(1 for _ in takewhile(lambda pair: pair[0] == pair[1], pairs))


def _describe_range(old: list[str], new: list[str], start: int, end: int) -> str:
    return (
        f"lines {start + 1} to {len(old) - end} became lines {start + 1} to "
        f"{len(new) - end}, which are too many to compare"
    )


def _truncate(lines: list[str]) -> list[str]:
    omitted = len(lines) - MAX_LINES
    if omitted <= 0:
        return lines
    return [*lines[:MAX_LINES], f"... and {omitted} more lines"]
