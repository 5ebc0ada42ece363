"""Tests of a map that keeps the keys that were set most recently."""

from sassafrasdale.decisions.recent_map import RecentMap


def test_the_keys_set_the_longest_ago_are_dropped():
    """Guards against memory that grows with what callers send."""
    recent = RecentMap(2)
    for value, key in enumerate(["a", "b", "a", "c"]):
        recent.set(key, value)
    assert len(recent) == 2
    assert [recent.get(key) for key in ("a", "b", "c")] == [2, None, 3]
