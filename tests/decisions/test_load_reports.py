"""Tests of the estimates from old load reports."""

from datetime import timedelta

from sassafrasdale.decisions.load_reports import (
    NO_LOAD,
    ReportedLoad,
    remaining_prefill_tokens,
    unreported_work,
)

TOKEN_TIME = timedelta(microseconds=10)
MILLISECOND = timedelta(milliseconds=1)


def test_reported_tokens_are_processed_since():
    """Guards against avoiding an engine that has long been idle until the next report.

    A peer reported 10,000 tokens, a tenth of a second of prefill, 60 ms ago.
    """
    reported = ReportedLoad(3, 10_000, 60 * MILLISECOND)
    assert remaining_prefill_tokens(reported, TOKEN_TIME) == 4000


def test_no_more_is_processed_than_was_reported():
    assert (
        remaining_prefill_tokens(ReportedLoad(3, 10_000, 900 * MILLISECOND), TOKEN_TIME)
        == 0
    )
    assert remaining_prefill_tokens(NO_LOAD, TOKEN_TIME) == 0


def test_unreported_work_grows_with_load_and_age_and_is_shared_by_endpoints():
    age = 200 * MILLISECOND
    assert unreported_work(1.5, age, 3) == 100 * MILLISECOND
    assert unreported_work(1.5, age, 6) == 50 * MILLISECOND
    assert unreported_work(0.0, age, 6) == timedelta()
    assert unreported_work(1.5, age, 0) == 300 * MILLISECOND
