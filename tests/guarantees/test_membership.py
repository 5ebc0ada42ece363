"""Entries know which entries live, and none comes back with an old text.

Four entries under observation; one of them is killed, stopped, or cut off in one
direction by a stand-in peer that sends and does not answer.
"""

import time
from contextlib import contextmanager
from datetime import timedelta

import pytest

from bench.configuration.observers import RevisionObserver
from standins.fleet import Fleet
from tests.guarantees.operators import (
    IN_FORCE_LIMIT,
    TEXT,
    edited,
    put_text,
    revision_of,
    wait_until,
)
from tests.peers.processes import PeerProcess

DETECTION = timedelta(seconds=8)
STEADY = timedelta(seconds=3)
NEVER_GIVEN = 10_000
RETURN = timedelta(seconds=5)
"""Time in which a thawed entry is alive to all, with the newest text."""


@pytest.fixture(scope="module")
def deployment():
    """Start four entries under observation."""
    with Fleet(TEXT, entries=4) as fleet, RevisionObserver(fleet.entries) as observer:
        observer.wait_for(1, IN_FORCE_LIMIT)
        yield fleet, observer


@pytest.fixture
def fleet(deployment):
    """Give the fleet with all entries alive; check that no entry steps back."""
    fleet, observer = deployment
    names = [entry.name for entry in fleet.entries]
    for name in names:
        wait_until(lambda name=name: _all_see(fleet, name, "alive"), DETECTION)
    yield fleet
    fleet.platform.set_faults(store={"outage": None, "deaf_watches": False})
    for entry in fleet.entries:
        assert revision_of(entry) >= observer.newest(entry.name)
    assert observer.regressions == []


@pytest.fixture
def observer(deployment):
    """Give the observer of the fleet's entries."""
    return deployment[1]


def _seen(entry):
    """Return the states of an entry's peers, as it sees them."""
    status = entry.client.call("GET", "/admin/v1/status").json()
    return {peer["name"]: peer["state"] for peer in status["peers"]}


def _all_see(fleet, name, *states):
    others = [entry for entry in fleet.entries if entry.name != name]
    return all(_seen(entry).get(name) in states for entry in others)


def test_stopped_entry_is_dead_and_comes_back_with_the_newest_text(fleet, observer):
    """A thawed entry would be shunned for good, or bring an old text back.

    One entry is stopped; the others find it dead, and an edit is accepted, after
    which the store goes out. It is let go on with the old text and with a
    membership in which it is dead. It must refute that, take the text from a peer
    and serve again; the others keep the newer text.
    """
    victim = fleet.entries[3]
    others = fleet.entries[:3]
    base = revision_of(victim)
    victim.freeze()
    try:
        wait_until(lambda: _all_see(fleet, victim.name, "dead"), DETECTION)
        assert put_text(others[0], edited(80), base).status == 200
        names = [entry.name for entry in others]
        observer.wait_for(base + 1, IN_FORCE_LIMIT, names)
        fleet.platform.set_faults(store={"outage": "silent"})
    finally:
        victim.thaw()
    observer.wait_for(base + 1, RETURN)
    wait_until(lambda: _all_see(fleet, victim.name, "alive"), RETURN)
    assert victim.client.call("GET", "/health/ready").status == 200
    found = victim.client.call(
        "GET", "/v1/services/records/lookups/7", None, {"X-Customer": "cube-labs"}
    )
    assert found.status == 200
    assert {revision_of(entry) for entry in fleet.entries} == {base + 1}


def test_killed_entry_is_dead_and_starts_again_under_its_name(fleet, observer):
    """Hand-overs would go to a dead entry, or its successor would stay dead.

    An entry is killed while the platform's list goes on naming it. The others
    find it dead. A process starts again under the name, at other addresses.
    """
    victim = fleet.entries[2]
    victim.kill()
    wait_until(lambda: _all_see(fleet, victim.name, "dead"), DETECTION)
    fleet.entries.remove(victim)
    successor = fleet.add_entry(victim.name, victim.zone)
    successor.wait_until_ready()
    wait_until(lambda: _all_see(fleet, victim.name, "alive"), DETECTION)
    assert revision_of(successor) == revision_of(fleet.entries[0])
    observer.add(successor)


@pytest.fixture
def mute_peer(fleet):
    """Start a peer that sends to every entry and answers none of them."""
    with _peer_beside(fleet, "entry-8", {"mute": True}) as peer:
        yield peer


@pytest.fixture
def answering_peer(fleet):
    """Start a peer that answers every entry and can send to none of them."""
    cut = [entry.peer_address for entry in fleet.entries]
    with _peer_beside(fleet, "entry-9", {"cut": cut}) as peer:
        yield peer


@contextmanager
def _peer_beside(fleet, name, command):
    """Start a stand-in peer, list it, and introduce the entries to it."""
    peer = PeerProcess(int(name.removeprefix("entry-")))
    try:
        peer.tell(**command)
        instance = {
            "name": name,
            "role": "entry",
            "availability_zone": peer.zone,
            "address": peer.peer_address,
            "peer_address": peer.peer_address,
        }
        fleet.platform.control("POST", "instances", instance)
        entries = [[each.name, each.zone, each.peer_address] for each in fleet.entries]
        peer.tell(candidates=entries)
        yield peer
    finally:
        peer.end()
        fleet.platform.remove(name)


def test_peer_that_sends_and_does_not_answer_stays_dead(fleet, mute_peer):
    """A peer that nobody reaches would flap, and be chosen for hand-overs.

    Its messages arrive at every entry; no call to it is answered. Each entry must
    find it dead and never alive again, however often it is heard.
    """
    wait_until(lambda: _all_see(fleet, mute_peer.name, "dead"), DETECTION)
    ended = time.monotonic() + STEADY.total_seconds()
    while time.monotonic() < ended:
        for entry in fleet.entries:
            assert _seen(entry)[mute_peer.name] in ("dead", "suspect")
    for entry in fleet.entries:
        states = {_seen(entry)[other.name] for other in fleet.entries if other != entry}
        assert states == {"alive"}


def test_peer_that_answers_and_can_not_send_stays_alive(fleet, answering_peer):
    """A peer that serves would be written off since nothing comes from it.

    The network is cut in the other direction: what it sends reaches nobody, and it
    answers every call. The others probe it, so that each sees it alive.
    """
    name = answering_peer.name
    wait_until(lambda: _all_see(fleet, name, "alive"), DETECTION)
    ended = time.monotonic() + STEADY.total_seconds()
    while time.monotonic() < ended:
        assert _all_see(fleet, name, "alive")


def test_newer_text_of_an_unreachable_peer_does_not_keep_others_out(
    fleet, observer, mute_peer
):
    """An edit would take more than 5 s, since an entry waits for the wrong peer.

    A peer says in all its messages that it holds a newer text, and a call to it
    is never answered, as when the network is cut in one direction. Watches are
    deaf and the store goes out. An edit that the other peers offer meanwhile must
    be taken from them at once.
    """
    mute_peer.tell(claim=NEVER_GIVEN)
    for number in range(3):
        base = revision_of(fleet.entries[0])
        fleet.platform.set_faults(store={"deaf_watches": True, "outage": None})
        answer = wait_until(
            lambda base=base, number=number: _accepted(
                put_text(fleet.entries[0], edited(90 + number), base)
            ),
            IN_FORCE_LIMIT,
        )
        fleet.platform.set_faults(store={"outage": "silent"})
        assert answer.json()["revision"] == base + 1
        observer.wait_for(base + 1, timedelta(seconds=2))


def _accepted(answer):
    return answer if answer.status == 200 else None
