"""Tests of the difference of two texts."""

import time
from difflib import unified_diff

from hypothesis import given
from hypothesis import strategies as st

from sassafrasdale.text.differences import MAX_LINES, format_difference

LINES = st.lists(st.sampled_from(["a", "b", "c", "count: 12"]), max_size=30)


@given(LINES, LINES, LINES, LINES)
def test_small_edits_are_a_unified_diff_with_the_lines_of_the_whole(
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
    place = 0
    for line in difference[2:]:
        if line.startswith("@@"):
            start, _, count = line.split()[1][1:].partition(",")
            until = int(start) - (count != "0")
            result += lines[place:until]
            place = until
            continue
        if line[0] in " -":
            assert lines[place] == line[1:]
            place += 1
        if line[0] in " +":
            result.append(line[1:])
    return result + lines[place:]


def test_a_changed_line_far_down_is_shown_as_by_the_library():
    old = [f"line {number}" for number in range(1000)]
    new = [*old[:700], "other", *old[701:]]

    shown = format_difference("\n".join(old), "\n".join(new), "old", "new")

    assert shown.splitlines() == list(unified_diff(old, new, "old", "new", lineterm=""))


def test_texts_that_are_alike_all_over_do_not_hold_up_the_entry():
    """Meet a conflict between two long generated texts.

    Operators would see the whole entry stand still: the difference for the answer
    compares 16,000 lines that are nearly all alike with as many others, 18 s.
    """
    old = "\n".join(f"x: {number // 3}" for number in range(16_000))
    new = "\n".join(f"x: {(number + 7) // 4}" for number in range(16_000))
    begun = time.process_time()

    difference = format_difference(old, new, "old", "new")

    assert time.process_time() - begun < 1
    assert "lines 1 to 16000 became lines 1 to 16000, which are too" in difference


def test_a_long_difference_is_cut():
    new = "\n".join(f"line {number}" for number in range(5000))

    lines = format_difference("", new, "old", "new").splitlines()

    assert len(lines) == MAX_LINES + 1
    assert lines[-1] == f"... and {5003 - MAX_LINES} more lines"
