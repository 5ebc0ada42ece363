"""Totals that an aggregator computes from its members' reports."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.decisions.aggregators import CONTACT_TIMEOUT, EXPIRY_TIMEOUT
from sassafrasdale.gateway.groups import Group
from sassafrasdale.gateway.peer_states import DutyClaim, EndpointLoad
from tests.gateway.fleets import WORK_WINDOW, contact, limit_usage, member

OWN = contact("a")


class ReportedGroup:
    """A group whose members' reports are made by the test."""

    def __init__(self):
        self.clock = ManualClock()
        self.group = Group(WORK_WINDOW, self.clock)

    def take(self, name, **fields):
        self.group.record_report(member(name, **fields))

    def spend(self, name, spent, *, counted=0.0, demand=0.0, share=0.0, incarnation=1):
        limit = limit_usage(demand, spent, counted=counted, share=share)
        self.take(name, incarnation=incarnation, limit_usage={"lab": limit})

    def sums(self, **options):
        return self.group.totals(OWN, **options)

    def lab(self, **options):
        return self.sums(**options).limit_usage["lab"]


@pytest.fixture
def sums():
    return ReportedGroup()


def test_a_member_gets_the_totals_without_its_own(sums):
    sums.take("b", loads={"i": EndpointLoad(1, 10)})
    sums.take("c", loads={"i": EndpointLoad(2, 20), "j": EndpointLoad(1, 5)})
    assert sums.sums().loads == {"i": EndpointLoad(3, 30), "j": EndpointLoad(1, 5)}
    assert sums.sums(without="c").loads == {"i": EndpointLoad(1, 10)}
    assert (sums.sums().gateways, sums.sums(without="c").gateways) == (2, 1)


def test_usage_grows_by_what_members_admitted_since(sums):
    sums.spend("b", 500, counted=500)
    sums.spend("c", 90, counted=90)
    assert sums.lab().spent == 0
    sums.spend("b", 700, counted=500)
    sums.spend("c", 95, counted=90)
    assert sums.lab().spent == 205
    assert sums.lab(without="b").spent == 5


def test_usage_that_no_aggregator_has_counted_is_counted_by_the_next(sums):
    """Uncounted, a customer could use again what it used without an aggregator."""
    sums.spend("b", 800, counted=500)
    assert sums.lab().spent == 300


def test_a_restarted_member_counts_from_zero(sums):
    sums.spend("b", 800, counted=800)
    sums.spend("b", 40, incarnation=2)
    assert sums.lab().spent == 40


def test_refunds_are_subtracted(sums):
    sums.spend("b", 800, counted=800)
    sums.spend("b", 300, counted=800)
    assert sums.lab().spent == -500


def test_the_share_of_a_silent_member_is_reserved(sums):
    """It may be partitioned and still use its share; the others must not divide it."""
    sums.spend("b", 0, demand=30, share=0.25)
    sums.spend("c", 0, demand=10, share=0.5)
    sums.clock.advance(CONTACT_TIMEOUT / 2)
    sums.spend("c", 0, demand=10, share=0.5)
    sums.clock.advance(CONTACT_TIMEOUT * 0.7)
    totals = sums.lab()
    assert (totals.demand, totals.share, totals.reserved) == (10, 0.5, 0.25)
    assert (sums.sums().gateways, sums.sums().silent) == (1, 1)


def test_a_gateway_that_never_reported_may_use_an_equal_share(sums):
    sums.spend("b", 0, demand=30, share=0.25)
    totals = sums.sums(listed={"b", "c", "d"}, gateway_count=10)
    assert totals.silent == 2
    assert totals.limit_usage["lab"].reserved == pytest.approx(0.2)


def test_loads_of_expired_members_are_dropped(sums):
    sums.take("b", loads={"i": EndpointLoad(1, 10)})
    sums.clock.advance(EXPIRY_TIMEOUT + timedelta(seconds=1))
    assert sums.sums().loads == {}


def test_the_engine_time_of_a_silent_member_decays(sums):
    sums.take("b", engine_time={"models": 2.0})
    sums.clock.advance(CONTACT_TIMEOUT)
    assert sums.sums().engine_time == {"models": 2.0}
    sums.clock.advance(WORK_WINDOW)
    assert 0.6 < sums.sums().engine_time["models"] < 0.9


def test_the_leader_with_the_highest_fencing_number_is_reported(sums):
    sums.take("b", duty=DutyClaim(4))
    sums.take("c", duty=DutyClaim(7))
    assert sums.sums().leader == DutyClaim(7)
    sums.clock.advance(CONTACT_TIMEOUT * 2)
    assert sums.sums().leader is None


def test_completeness_and_the_oldest_incarnation(sums):
    sums.take("b", at=100.0, incarnation=5)
    sums.take("c", at=98.5, incarnation=3)
    totals = sums.sums()
    assert (totals.complete_since, totals.oldest_incarnation) == (98.5, 3)


def test_a_reset_changes_the_counter_id(sums):
    sums.spend("b", 900, counted=0)
    before = sums.sums().counter_id
    sums.group.reset()
    assert sums.sums().counter_id != before
    assert sums.sums().limit_usage == {}


def test_prefill_times_are_averaged(sums):
    sums.take("b", prefill_times={"models": 1e-5})
    sums.take("c", prefill_times={"models": 3e-5})
    sums.take("d")
    assert sums.sums().prefill_times == {"models": pytest.approx(2e-5)}
