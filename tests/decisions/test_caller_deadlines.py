"""Callers that come back after a rejection are told from new ones."""

from datetime import timedelta

from sassafrasdale.decisions.caller_deadlines import MIN_REQUESTS, CallerDeadlines

MS = timedelta(milliseconds=1)
USUAL = 3000 * MS


def known() -> CallerDeadlines:
    """Return what is known after some first requests on a route."""
    deadlines = CallerDeadlines()
    for _ in range(3 * MIN_REQUESTS):
        assert not deadlines.time_spent("r-1", USUAL)
    return deadlines


def test_a_caller_that_comes_back_has_spent_time() -> None:
    """Guards against callers that come back and count as on time when they are late."""
    assert known().time_spent("r-1", 2400 * MS) == 600 * MS


def test_many_callers_that_come_back_do_not_count_as_usual() -> None:
    """Guards against an estimate that fails in the overload that it is made for."""
    deadlines = known()
    for number in range(200):
        is_back = number % 5 < 2
        spent = deadlines.time_spent("r-1", USUAL - (500 * MS if is_back else 0 * MS))
        assert spent == (500 * MS if is_back else 0 * MS)


def test_rounding_counts_for_nothing() -> None:
    assert not known().time_spent("r-1", USUAL - 20 * MS)


def test_routes_are_separate_and_few_requests_say_nothing() -> None:
    """Guards against the deadlines of one route that judge those of another."""
    deadlines = known()
    assert not deadlines.time_spent("r-2", 100 * MS)
    assert not deadlines.time_spent("r-1", None)


def test_a_changed_deadline_becomes_usual() -> None:
    """Guards against callers that count as coming back for ever."""
    deadlines = known()
    for _ in range(100):
        spent = deadlines.time_spent("r-1", 1000 * MS)
    assert not spent
