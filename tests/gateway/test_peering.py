"""What gateways tell each other."""

from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.gateway.peer_states import (
    DutyClaim,
    Exchange,
    PeerState,
)
from sassafrasdale.gateway.peering import FAN_OUT, FRESH, LIFETIME, PASSED_ON, Peering
from sassafrasdale.gateway.usage import ClockReading
from sassafrasdale.structures import Address


def state(name: str, sequence: int = 1, incarnation: int = 1, **fields) -> PeerState:
    return PeerState(
        name, incarnation, sequence, "127.0.0.1", 7, ClockReading(0, 0, 0), **fields
    )


class Node:
    """One gateway's view, with exchanges brought by hand."""

    def __init__(self):
        self.clock = ManualClock()
        self.heard = []
        self.peering = Peering(
            "a",
            lambda: state("a"),
            lambda state, first_hand: self.heard.append((state, first_hand)),
            lambda prefix: None,
            self.clock,
            Random(1),
        )

    def take(self, *states):
        self.peering._take(Exchange(states))


@pytest.fixture
def node():
    return Node()


def test_newer_states_replace_older_ones(node):
    node.take(state("b", 2))
    node.take(state("b", 1))
    node.take(state("b", 3))
    assert [state.sequence for state, _ in node.heard] == [2, 3]


def test_its_own_state_is_no_news(node):
    node.take(state("b"), state("a", 9))
    assert [state.name for state, _ in node.heard] == ["b"]


def test_third_parties_are_told_apart(node):
    node.take(state("b"), state("c"))
    assert [(state.name, first) for state, first in node.heard] == [
        ("b", True),
        ("c", False),
    ]


def test_a_gateway_that_started_anew_with_a_clock_set_back(node):
    """A restarted gateway would be ignored for good.

    Its machine's clock was set back, so its incarnation is lower than before.
    """
    node.take(state("b", 50, incarnation=9))
    node.take(state("b", 1, incarnation=4))
    assert node.heard[-1][0].incarnation == 4


def test_silent_peers_are_not_alive_but_counted(node):
    """A cut-off gateway spends its part of each limit on.

    If its peers divided the limit among themselves meanwhile, customers would get
    more than their limit.
    """
    node.take(state("b"))
    node.take(state("c"))
    node.clock.advance(LIFETIME + timedelta(seconds=1))
    node.take(state("c", 2))
    assert [peer.name for peer in node.peering.alive()] == ["c"]
    assert node.peering.count() == 3


def test_leaving_peers_are_not_counted(node):
    node.take(state("b", leaving=True))
    assert node.peering.alive() == []
    assert node.peering.count() == 1


def test_listed_gateways_count_before_they_are_heard(node):
    """Each of many gateways that start at once would take whole limits for itself."""
    for name in ("b", "c", "a"):
        node.peering.introduce(name, Address("127.0.0.1", 8))
    assert node.peering.count() == 3
    assert node.peering.alive() == []


def test_messages_do_not_grow_with_the_fleet(node):
    for number in range(40):
        node.take(state(f"n-{number}"))
    message = node.peering._message()
    assert message.count(b'"incarnation"') == 1 + PASSED_ON
    assert len(node.peering._peers) > FAN_OUT


def test_silent_gateways_are_known(node):
    for name in ("b", "c", "d"):
        node.take(state(name))
    assert node.peering.silent() == []
    node.clock.advance(timedelta(seconds=2))
    node.take(state("b", 2))
    assert node.peering.silent() == ["c", "d"]
    node.take(state("c", 2))
    assert node.peering.silent() == ["d"]


def test_a_gateway_that_left_is_not_silent(node):
    node.take(state("b", 2, leaving=True))
    node.clock.advance(timedelta(seconds=2))
    assert node.peering.silent() == []


def test_an_introduced_gateway_is_silent_until_it_speaks(node):
    node.peering.introduce("b", Address("127.0.0.1", 1))
    assert node.peering.silent() == ["b"]


def test_the_work_of_a_gateway_that_stopped_fades(node):
    """Endpoints would be given back in the middle of a restart of all gateways.

    One after the other stops, and its callers go to those that are left. There its
    requests show only bit by bit, since each averages over some seconds.
    """
    node.take(state("b", work={"models": 2.0}, leaving=True))
    node.clock.advance(timedelta(seconds=1))
    assert node.peering.work("models", timedelta(seconds=5)) == 2.0
    node.clock.advance(timedelta(seconds=5.5))
    assert 0.6 < node.peering.work("models", timedelta(seconds=5)) < 0.9
    assert node.peering.work("others", timedelta(seconds=5)) == 0


def test_a_holder_that_was_killed_is_not_believed_for_long(node):
    """No orders would be given for five seconds after the holder was killed.

    A peer says that it has the duties and is killed. The others took its last word
    for true until it was held to be gone, two seconds after its lease had lapsed.
    """
    node.take(state("b", duty=DutyClaim(7)))
    assert node.peering.names_holder()
    node.clock.advance(FRESH + timedelta(milliseconds=10))
    assert not node.peering.names_holder()


def test_a_peer_that_was_never_heard_may_be_an_older_one(node):
    """A gateway would take the duties before it has seen anything of the deployment.

    It has just started, reads the list of gateways, and has heard none of them yet.
    """
    assert not node.peering.may_have_older(9)
    node.peering.introduce("b", Address("127.0.0.1", 8))
    assert node.peering.may_have_older(9)
    node.take(state("b", incarnation=12))
    assert not node.peering.may_have_older(9)
