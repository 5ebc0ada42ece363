"""Tests of the division of limits by reported demand."""

from datetime import timedelta

import pytest

from sassafrasdale.decisions.shares import REPORT_LIFETIME, DemandShares

NOW = timedelta(seconds=10)


def make_shares(arrivals: int) -> DemandShares:
    shares = DemandShares()
    for _ in range(arrivals):
        shares.add("lab", NOW)
    return shares


def test_divides_evenly_without_reports():
    assert make_shares(5).share("lab", 4, NOW) == 0.25


def test_follows_the_demand():
    """Guards against a seventh of the limit for a customer that uses one entry only.

    The limit was divided equally among seven entries, six of which it never calls.
    """
    busy = make_shares(9)
    for peer in range(6):
        busy.add_report(f"entry-{peer}", {}, NOW)
    assert busy.share("lab", 7, NOW) > 0.9


def test_shares_of_all_entries_add_up_to_the_limit():
    entries = [make_shares(count) for count in (0, 3, 9)]
    for sender, entry in enumerate(entries):
        for other in entries:
            if other is not entry:
                other.add_report(str(sender), entry.report(NOW), NOW)
    total = sum(entry.share("lab", 3, NOW) for entry in entries)
    assert total == pytest.approx(1.0)


def test_entry_without_report_counts_with_the_mean():
    shares = make_shares(5)
    shares.add_report("entry-2", make_shares(5).report(NOW), NOW)
    assert shares.share("lab", 4, NOW) == pytest.approx(0.25)


def test_old_report_is_ignored():
    shares = make_shares(5)
    shares.add_report("entry-2", {}, NOW)
    later = NOW + REPORT_LIFETIME * 2
    shares.add("lab", later)
    assert shares.share("lab", 2, later) == 0.5
