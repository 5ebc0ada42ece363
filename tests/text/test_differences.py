"""Tests of diffs of two texts."""

import time
from difflib import unified_diff

from hypothesis import given
from hypothesis import strategies as st

from sassafrasdale.text.differences import MAX_LINES, format_difference

LINES = st.lists(st.sampled_from(["a", "b", "c", "count: 12"]), max_size=30)


@given(LINES, LINES, LINES, LINES)
def test_small_edits_give_a_unified_diff_with_correct_line_numbers(
    head, before, after, tail
):
    old = "\n".join([*head, *before, *tail])
    new = "\n".join([*head, *after, *tail])

    difference = format_difference(old, new, "old", "new").splitlines()

    assert _apply(old.splitlines(), difference) == new.splitlines()
    if old.splitlines() == new.splitlines():
        assert difference == []
    else:
        assert difference[:2] == ["--- old", "+++ new"]


def _apply(lines: list[str], difference: list[str]) -> list[str]:
    """Return ``lines`` with a unified diff applied, by its line numbers."""
    result: list[str] = []
    position = 0
    for line in difference[2:]:
        if line.startswith("@@"):
            start, _, count = line.split()[1][1:].partition(",")
            end = int(start) - (count != "0")
            result += lines[position:end]
            position = end
            continue
        if line[0] in " -":
            assert lines[position] == line[1:]
            position += 1
        if line[0] in " +":
            result.append(line[1:])
    return result + lines[position:]


def test_a_late_change_gives_the_same_diff_as_difflib():
    old = [f"line {number}" for number in range(1000)]
    new = [*old[:700], "other", *old[701:]]

    difference = format_difference("\n".join(old), "\n".join(new), "old", "new")

    assert difference.splitlines() == list(
        unified_diff(old, new, "old", "new", lineterm="")
    )


def test_similar_texts_do_not_stall_the_entry():
    """A conflict between two long generated configurations stalled the entry.

    The diff for the response compared 16,000 lines, nearly all similar, with as many
    others, which took 18 s.
    """
    old = "\n".join(f"x: {number // 3}" for number in range(16_000))
    new = "\n".join(f"x: {(number + 7) // 4}" for number in range(16_000))
    started = time.process_time()

    difference = format_difference(old, new, "old", "new")

    assert time.process_time() - started < 1
    assert "lines 1 to 16000 became lines 1 to 16000, which are too" in difference


def test_a_long_diff_is_truncated():
    new = "\n".join(f"line {number}" for number in range(5000))

    lines = format_difference("", new, "old", "new").splitlines()

    assert len(lines) == MAX_LINES + 1
    assert lines[-1] == f"... and {5003 - MAX_LINES} more lines"
