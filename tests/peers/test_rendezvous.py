"""Tests of the rendezvous order of members for a request."""

from hypothesis import given
from hypothesis import strategies as st

from sassafrasdale.peers.rendezvous import first_of_each_zone, rendezvous
from sassafrasdale.peers.structures import Member
from sassafrasdale.structures import Address

ADDRESS = Address("127.0.0.1", 1)
MEMBERS = [
    Member(f"entry-{number}", f"zone-{number % 3}", ADDRESS, ADDRESS)
    for number in range(9)
]


@given(st.text(), st.sampled_from(MEMBERS))
def test_leaving_member_does_not_change_the_order_of_others(request_id, leaving):
    ordered = rendezvous(request_id, MEMBERS)
    rest = [each for each in MEMBERS if each is not leaving]
    assert rendezvous(request_id, rest) == [
        each for each in ordered if each is not leaving
    ]


@given(st.text(), st.sampled_from(MEMBERS))
def test_receiver_in_another_zone_is_among_the_first_two_asked(request_id, holder):
    """Guards against a resuming caller that waits until every entry was asked."""
    ordered = rendezvous(request_id, MEMBERS)
    receiver = next(
        each for each in ordered if each.availability_zone != holder.availability_zone
    )
    assert receiver in first_of_each_zone(ordered)[:2]
