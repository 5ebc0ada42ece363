"""Tests of the membership rules, without I/O."""

from collections import Counter
from datetime import timedelta
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sassafrasdale.clock import ManualClock
from sassafrasdale.peers.membership import Membership
from sassafrasdale.peers.structures import Member, MemberState, PeerTimings
from sassafrasdale.structures import Address
from tests.peers.nodes import instance_of

ADDRESS = Address("127.0.0.1", 1)


def member(name, state=MemberState.ALIVE, incarnation=1):
    return Member(name, "zone-a", ADDRESS, ADDRESS, state, incarnation)


def make(clock=None):
    me = member("me", incarnation=5)
    return Membership(me, clock or ManualClock(), Random(1), PeerTimings())


updates = st.builds(
    member,
    st.sampled_from(["a", "b", "me"]),
    st.sampled_from(MemberState),
    st.integers(1, 9),
)


@given(st.lists(updates), st.randoms())
def test_states_do_not_depend_on_the_order_of_updates(received, random):
    """Guards against entries that permanently disagree about a member's state.

    Updates reach entries in different orders and more than once. The state with
    the highest precedence must win everywhere.
    """
    first, second = make(), make()
    for membership in (first, second):
        for name in ("a", "b"):
            membership.apply(member(name, incarnation=0))
    shuffled = received * 2
    random.shuffle(shuffled)
    for each in received:
        first.apply(each)
    for each in shuffled:
        second.apply(each)
    assert first.members == second.members


@given(st.lists(updates))
def test_incarnation_of_this_entry_never_decreases(received):
    membership = make()
    for each in received:
        before = membership.me.incarnation
        membership.apply(each)
        assert membership.me.incarnation >= before
        assert membership.me.state is MemberState.ALIVE
        if each.name == "me":
            assert membership.me.precedence >= each.precedence


def test_suspect_dies_unless_it_refutes():
    clock = ManualClock()
    membership = make(clock)
    for name in ("a", "b"):
        membership.apply(member(name))
        assert membership.suspect(name, 1)
    membership.apply(member("a", incarnation=2))
    clock.advance(timedelta(seconds=2))
    assert [each.name for each in membership.expire()] == ["b"]
    assert membership.get("a").is_usable


def test_newer_incarnation_overrides_a_failed_probe():
    membership = make()
    membership.apply(member("a", incarnation=2))
    assert not membership.suspect("a", 1)


def test_dead_member_is_kept_while_listed_and_then_removed():
    clock = ManualClock()
    membership = make(clock)
    membership.set_candidates([instance_of("a", "zone-a", ADDRESS)])
    membership.next_targets(2)
    clock.advance(timedelta(seconds=2))
    membership.expire()
    clock.advance(timedelta(seconds=61))
    membership.expire()
    assert membership.get("a").state is MemberState.DEAD
    membership.set_candidates([])
    membership.expire()
    assert membership.get("a") is None


def make_fleet(size):
    """Return the memberships of a fleet in which every entry knows all others."""
    names = [f"entry-{number}" for number in range(size)]
    fleet = []
    for name in names:
        membership = Membership(
            member(name), ManualClock(), Random(name), PeerTimings()
        )
        for other in names:
            if other != name:
                membership.apply(member(other))
        fleet.append(membership)
    return fleet


@pytest.mark.parametrize("size", [2, 9, 17])
def test_round_of_a_small_fleet_probes_every_member_once(size):
    membership = make_fleet(size)[0]
    probed = [membership.next_targets(8)[0].name for _ in range(size - 1)]
    assert set(probed) == {each.name for each in membership.members}


def test_round_of_a_large_fleet_probes_neighbours_and_one_other():
    membership = make_fleet(50)[0]
    neighbours = {each.name for each in membership.neighbours}
    probed = [membership.next_targets(8)[0].name for _ in range(17)]
    assert len(neighbours) == 16
    assert len(set(probed)) == 17
    assert neighbours < set(probed)


def test_every_member_of_a_large_fleet_has_neighbours_that_probe_it():
    """The failure of a member that nobody probes would not be detected."""
    fleet = make_fleet(320)
    probers = Counter(
        neighbour.name for membership in fleet for neighbour in membership.neighbours
    )
    assert len(probers) == 320
    assert min(probers.values()) >= 4


def test_dead_members_are_probed_in_some_rounds():
    """Regions must find each other again after a partition."""
    membership = make_fleet(50)[0]
    membership.apply(member("entry-7", MemberState.DEAD))
    assert "entry-7" not in {each.name for each in membership.neighbours}
    rounds = [membership.next_targets(8)[0].name for _ in range(17 * 200)]
    assert "entry-7" in rounds


def test_when_a_dead_member_rejoins_the_other_dead_members_are_probed():
    """Guards against slow recovery from a partition, one member per round."""
    membership = make_fleet(50)[0]
    dead = {f"entry-{number}" for number in range(1, 9)}
    for name in dead:
        membership.apply(member(name, MemberState.DEAD))
    membership.apply(member("entry-1", incarnation=2))
    probed = {each.name for _ in range(4) for each in membership.next_targets(2)}
    assert dead - {"entry-1"} <= probed


def test_updates_are_bounded_and_expire():
    membership = make()
    for number in range(20):
        membership.apply(member(f"entry-{number}"))
    count = 0
    while taken := membership.take_updates(8):
        assert len(taken) <= 8
        count += len(taken)
    assert 20 < count <= 20 * 20


def test_suspect_or_dead_receiver_is_always_included():
    membership = make()
    membership.apply(member("a", MemberState.DEAD))
    membership.apply(member("b"))
    membership.apply(member("b", MemberState.DEAD))
    while membership.take_updates(8):
        pass
    assert [each.name for each in membership.take_updates(8, about="b")] == ["b"]
