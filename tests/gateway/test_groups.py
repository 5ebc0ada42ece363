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

    def report(self, name, **fields):
        self.group.record_report(member(name, **fields))

    def report_usage(
        self, name, spent, *, counted=0.0, demand=0.0, share=0.0, incarnation=1
    ):
        limit = limit_usage(demand, spent, counted=counted, share=share)
        self.report(name, incarnation=incarnation, limit_usage={"lab": limit})

    def totals(self, **options):
        return self.group.totals(OWN, **options)

    def lab(self, **options):
        return self.totals(**options).limit_usage["lab"]


@pytest.fixture
def reported():
    return ReportedGroup()


def test_a_member_gets_the_totals_without_its_own(reported):
    reported.report("b", loads={"i": EndpointLoad(1, 10)})
    reported.report("c", loads={"i": EndpointLoad(2, 20), "j": EndpointLoad(1, 5)})
    assert reported.totals().loads == {
        "i": EndpointLoad(3, 30),
        "j": EndpointLoad(1, 5),
    }
    assert reported.totals(without="c").loads == {"i": EndpointLoad(1, 10)}
    assert (reported.totals().gateways, reported.totals(without="c").gateways) == (2, 1)


def test_usage_grows_by_what_members_admitted_since(reported):
    reported.report_usage("b", 500, counted=500)
    reported.report_usage("c", 90, counted=90)
    assert reported.lab().admitted == 0
    reported.report_usage("b", 700, counted=500)
    reported.report_usage("c", 95, counted=90)
    assert reported.lab().admitted == 205
    assert reported.lab(without="b").admitted == 5


def test_usage_that_no_aggregator_has_counted_is_counted_by_the_next(reported):
    """Uncounted, a customer could use again what it used without an aggregator."""
    reported.report_usage("b", 800, counted=500)
    assert reported.lab().admitted == 300


def test_a_restarted_member_counts_from_zero(reported):
    reported.report_usage("b", 800, counted=800)
    reported.report_usage("b", 40, incarnation=2)
    assert reported.lab().admitted == 40


def test_refunds_are_subtracted(reported):
    reported.report_usage("b", 800, counted=800)
    reported.report_usage("b", 300, counted=800)
    assert reported.lab().admitted == -500


def test_the_share_of_a_silent_member_is_reserved(reported):
    """It may be partitioned and still use its share; the others must not divide it."""
    reported.report_usage("b", 0, demand=30, share=0.25)
    reported.report_usage("c", 0, demand=10, share=0.5)
    reported.clock.advance(CONTACT_TIMEOUT / 2)
    reported.report_usage("c", 0, demand=10, share=0.5)
    reported.clock.advance(CONTACT_TIMEOUT * 0.7)
    totals = reported.lab()
    assert (totals.demand, totals.share, totals.reserved) == (10, 0.5, 0.25)
    assert (reported.totals().gateways, reported.totals().silent) == (1, 1)


def test_a_gateway_that_never_reported_may_use_an_equal_share(reported):
    reported.report_usage("b", 0, demand=30, share=0.25)
    totals = reported.totals(listed={"b", "c", "d"}, gateway_count=10)
    assert totals.silent == 2
    assert totals.limit_usage["lab"].reserved == pytest.approx(0.2)


def test_loads_of_expired_members_are_dropped(reported):
    reported.report("b", loads={"i": EndpointLoad(1, 10)})
    reported.clock.advance(EXPIRY_TIMEOUT + timedelta(seconds=1))
    assert reported.totals().loads == {}


def test_the_engine_time_of_a_silent_member_decays(reported):
    reported.report("b", engine_time={"models": 2.0})
    reported.clock.advance(CONTACT_TIMEOUT)
    assert reported.totals().engine_time == {"models": 2.0}
    reported.clock.advance(WORK_WINDOW)
    assert 0.6 < reported.totals().engine_time["models"] < 0.9


def test_the_leader_with_the_highest_fencing_number_is_reported(reported):
    reported.report("b", duty=DutyClaim(4))
    reported.report("c", duty=DutyClaim(7))
    assert reported.totals().leader == DutyClaim(7)
    reported.clock.advance(CONTACT_TIMEOUT * 2)
    assert reported.totals().leader is None


def test_completeness_and_the_oldest_incarnation(reported):
    reported.report("b", at=100.0, incarnation=5)
    reported.report("c", at=98.5, incarnation=3)
    totals = reported.totals()
    assert (totals.complete_since, totals.oldest_incarnation) == (98.5, 3)


def test_a_reset_changes_the_counter_id(reported):
    reported.report_usage("b", 900, counted=0)
    before = reported.totals().counter_id
    reported.group.reset()
    assert reported.totals().counter_id != before
    assert reported.totals().limit_usage == {}


def test_prefill_times_are_averaged(reported):
    reported.report("b", prefill_times={"models": 1e-5})
    reported.report("c", prefill_times={"models": 3e-5})
    reported.report("d")
    assert reported.totals().prefill_times == {"models": pytest.approx(2e-5)}
