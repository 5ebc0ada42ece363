"""Endpoints under notice of reclaim get no new requests."""

from datetime import timedelta

from bench.reclaims.notices import ENTRIES, run_round

BETWEEN_SECONDS = 1.0
LIMIT = timedelta(seconds=2)
"""Longest time from a notice to the last new request of any entry."""


def test_no_entry_sends_to_endpoints_after_their_notice():
    """A caller's request would be sent to an endpoint that is about to disappear.

    Nine entries send lookups and prompts as fast as they can. The platform's instance
    list lags by 10 s and the store is unavailable, so entries learn of the reclaim
    from the notices only. One engine and one service are reclaimed, then a second of
    each.
    """
    times, failed = run_round(BETWEEN_SECONDS)
    assert failed == []
    assert len(times) >= ENTRIES
    assert max(times) < LIMIT
