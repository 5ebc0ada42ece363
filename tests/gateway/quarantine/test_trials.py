"""Trial attempts of quarantined requests."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.gateway.quarantine.trials import MIN_QUERY_INTERVAL, Trials
from sassafrasdale.gateway.usage import ClusterTime
from tests.coordination.fakes import FakeStore

DAY = timedelta(days=1)
HOUR = timedelta(hours=1)


class Fleet:
    """Trials of several gateways."""

    def __init__(self, gateways: int) -> None:
        self.clock = ManualClock()
        self.store = FakeStore(self.clock)
        self.time = ClusterTime(self.clock)
        self.trials = [
            Trials(self.store, self.time, self.clock) for _ in range(gateways)
        ]
        self.last_crash_at = self.time.seconds

    def claims(self, *, has_new: bool = True) -> int:
        """Return how many gateways may make a trial attempt now."""
        return sum(
            trials.try_claim("crashing", self.last_crash_at, has_new=has_new)
            for trials in self.trials
        )


@pytest.fixture
def fleet():
    return Fleet(9)


def test_only_one_gateway_makes_a_trial_attempt(fleet):
    """Guards against one crashed endpoint per gateway after a release."""
    fleet.clock.advance(HOUR)
    assert fleet.claims() == 1
    fleet.clock.advance(MIN_QUERY_INTERVAL)
    assert fleet.claims() == 0


def test_a_recent_crash_needs_no_query(fleet):
    fleet.clock.advance(timedelta(seconds=5))
    assert fleet.claims() == 0
    assert fleet.store.calls == 0


def test_without_a_new_version_the_trial_is_later(fleet):
    fleet.clock.advance(timedelta(minutes=2))
    assert fleet.claims(has_new=False) == 0
    fleet.clock.advance(HOUR)
    assert fleet.claims(has_new=False) == 1


def test_trial_attempts_are_limited(fleet):
    """Guards against a crash now and then for as long as a caller retries."""
    attempts = 0
    for _ in range(60):
        fleet.clock.advance(HOUR)
        attempts += fleet.claims()
    assert attempts == 2


def test_there_are_no_trials_while_the_store_is_out(fleet):
    fleet.clock.advance(HOUR)
    fleet.store.faults = ["unreached"] * 9
    assert fleet.claims() == 0


def test_a_claim_without_a_response_is_not_used(fleet):
    """Guards against two gateways that both make the trial attempt."""
    fleet.clock.advance(HOUR)
    fleet.trials = fleet.trials[:2]
    fleet.store.faults = [None, "lost_after"]
    assert fleet.claims() == 0


def test_queries_are_rate_limited(fleet):
    """Guards against a call to the store for each retry of a persistent caller."""
    fleet.clock.advance(HOUR)
    fleet.claims()
    calls = fleet.store.calls
    for _ in range(50):
        fleet.clock.advance(MIN_QUERY_INTERVAL / 100)
        fleet.claims()
    assert fleet.store.calls == calls


def test_a_malformed_record_counts_as_none(fleet):
    fleet.store.create("sassafrasdale/trials/crashing", b"\xff")
    fleet.clock.advance(HOUR)
    assert fleet.claims() == 1
