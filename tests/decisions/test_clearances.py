"""Tests of when features of requests were last shown to be sound."""

from sassafrasdale.decisions.clearances import Clearances


def test_earlier_times_are_covered():
    clearances = Clearances()
    clearances.note("part-aa", 10.0)
    assert clearances.covers("part-aa", 9.0)
    assert not clearances.covers("part-aa", 11.0)
    assert not clearances.covers("part-bb", 9.0)


def test_the_latest_features_are_remembered():
    """Guards against memory that grows with the prompts of callers."""
    clearances = Clearances(max_features=2)
    for second, feature in enumerate(["part-aa", "part-bb", "part-aa", "part-cc"]):
        clearances.note(feature, float(second))
    assert len(clearances) == 2
    assert clearances.covers("part-aa", 2.0)
    assert not clearances.covers("part-bb", 1.0)
