"""The difference of two texts, at a bounded cost."""

import re
from collections.abc import Iterator, Sequence
from difflib import unified_diff
from itertools import islice, takewhile

CONTEXT = 3
# Pairs of lines to compare; 250,000 took from 1 to 51 ms, by how alike they were.
MAX_PAIRS = 250_000
MAX_LINES = 400
HEAD_LINES = 2

_RANGE = re.compile(r"^@@ -(\d+)(\S*) \+(\d+)(\S*) @@$")


def format_difference(
    before: str, after: str, before_name: str, after_name: str
) -> str:
    """Return a unified diff of two texts, empty if they are the same.

    Comparing texts in which many lines are alike takes time with the product of
    their lengths: 18 s for 16,000 lines in one measurement, in which the entry would
    answer nobody. So the lines that both begin and end with are set aside first, and
    if too much is left, the places are told without the lines in them.

    Usage::

        print(format_difference(old, new, "revision 6", "your text"))

    :param before_name: name of the first text in the head.
    :param after_name: name of the second text in the head.
    """
    old, new = before.splitlines(), after.splitlines()
    if old == new:
        return ""
    start = _count_equal(old, new)
    end = _count_equal(old[start:][::-1], new[start:][::-1])
    changed = (len(old) - start - end) * (len(new) - start - end)
    head = [f"--- {before_name}", f"+++ {after_name}"]
    if changed > MAX_PAIRS:
        return "\n".join([*head, _describe(old, new, start, end)])
    return "\n".join(_shorten([*head, *_compare(old, new, start, end)]))


def _compare(old: list[str], new: list[str], start: int, end: int) -> Iterator[str]:
    first = max(start - CONTEXT, 0)
    after = max(end - CONTEXT, 0)
    lines = unified_diff(
        old[first : len(old) - after],
        new[first : len(new) - after],
        lineterm="",
        n=CONTEXT,
    )
    for line in islice(lines, HEAD_LINES, None):
        yield _RANGE.sub(lambda match: _shift(match, first), line)


def _shift(match: re.Match, lines: int) -> str:
    return (
        f"@@ -{int(match[1]) + lines}{match[2]} +{int(match[3]) + lines}{match[4]} @@"
    )


def _count_equal(old: Sequence[str], new: Sequence[str]) -> int:
    pairs = zip(old, new, strict=False)
    return sum(1 for _ in takewhile(lambda pair: pair[0] == pair[1], pairs))


def _describe(old: list[str], new: list[str], start: int, end: int) -> str:
    return (
        f"lines {start + 1} to {len(old) - end} became lines {start + 1} to "
        f"{len(new) - end}, which are too many to compare"
    )


def _shorten(lines: list[str]) -> list[str]:
    left_out = len(lines) - MAX_LINES
    if left_out <= 0:
        return lines
    return [*lines[:MAX_LINES], f"... and {left_out} more lines"]
