"""Known gateways, and the preferred aggregator of each zone."""

from datetime import timedelta

import pytest
from msgspec.structs import replace

from sassafrasdale.clock import ManualClock
from sassafrasdale.decisions.aggregators import rank_aggregators
from sassafrasdale.gateway.roster import AVOID_TIME, RETENTION_TIME, Roster
from tests.gateway.fleets import contact

NAMES = ("b", "c", "d", "e")


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def roster(clock):
    roster = Roster(contact("b"), clock)
    roster.merge([contact(name) for name in NAMES[1:]])
    roster.merge([contact("z", "other")])
    return roster


def test_all_gateways_choose_the_same_candidate(clock):
    rosters = [Roster(contact(name), clock) for name in NAMES]
    for roster in rosters:
        roster.merge([contact(name) for name in NAMES])
    assert len({roster.aggregator_candidate("a").name for roster in rosters}) == 1


def test_the_fastest_instances_go_first(roster):
    strong = replace(contact("e"), incarnation=2, cpu_cores=2.15)
    roster.merge([strong])
    assert roster.aggregator_candidate("a").name == "e"


def test_an_unresponsive_gateway_is_avoided_for_a_while(roster, clock):
    first, second, *_ = rank_aggregators("a", dict.fromkeys(NAMES, 1.0))
    roster.record_failure(contact(first), "no answer")
    assert roster.aggregator_candidate("a").name == second
    clock.advance(AVOID_TIME)
    assert roster.aggregator_candidate("a").name == first


def test_a_gateway_that_sends_is_no_longer_avoided(roster):
    first, *_ = rank_aggregators("a", dict.fromkeys(NAMES, 1.0))
    roster.record_failure(contact(first), "no answer")
    roster.record_contact(contact(first))
    assert roster.aggregator_candidate("a").name == first


def test_leaving_gateways_are_no_candidates(roster):
    for name in NAMES[1:]:
        roster.merge([contact(name, incarnation=1, leaving=True)])
    assert roster.aggregator_candidate("a").name == "b"
    roster.leave()
    assert roster.aggregator_candidate("a") is None


def test_a_restart_with_an_earlier_clock_is_taken_from_the_gateway_only(roster):
    """Ignoring it would keep the gateway's old address forever.

    A lower incarnation from another gateway is outdated; from the gateway itself it
    means that its clock was set back.
    """
    roster.merge([contact("c", incarnation=9)])
    roster.merge([contact("c", incarnation=4)])
    assert roster.get("c").incarnation == 9
    roster.record_contact(contact("c", incarnation=4))
    assert roster.get("c").incarnation == 4


def test_digests_differ_if_the_known_gateways_of_the_zone_differ(roster, clock):
    same = Roster(contact("c"), clock)
    same.merge([contact(name) for name in NAMES])
    assert roster.digest() == same.digest()
    same.merge([contact("f")])
    assert roster.digest() != same.digest()


def test_other_zones_are_not_in_the_digest(roster):
    before = roster.digest()
    roster.merge([contact("y", "other")])
    assert roster.digest() == before


def test_gateways_that_nobody_receives_from_are_removed(roster, clock):
    clock.advance(timedelta(seconds=30))
    roster.mark_alive(["c"])
    clock.advance(RETENTION_TIME - timedelta(seconds=29))
    roster.remove_expired()
    assert roster.get("c") is not None
    assert roster.get("d") is None
