"""Entries detect dead peers, and a returning entry brings back no old text.

Four observed entries; one of them is killed or paused, or a stand-in peer simulates a
network that is cut in one direction.
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
OBSERVATION = timedelta(seconds=3)
NONEXISTENT_REVISION = 10_000
RETURN_LIMIT = timedelta(seconds=5)
"""Time in which all peers see a thawed entry as alive, with the newest text."""


@pytest.fixture(scope="module")
def deployment():
    """Start four entries and their observer."""
    with Fleet(TEXT, entries=4) as fleet, RevisionObserver(fleet.entries) as observer:
        observer.wait_for(1, IN_FORCE_LIMIT)
        yield fleet, observer


@pytest.fixture
def fleet(deployment):
    """Return the fleet with all entries alive.

    Afterwards check that no entry went back to an older revision.
    """
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
    """Return the observer of the fleet's entries."""
    return deployment[1]


def _seen(entry):
    """Return the states of an entry's peers as reported by the entry."""
    status = entry.client.call("GET", "/admin/v1/status").json()
    return {peer["name"]: peer["state"] for peer in status["peers"]}


def _all_see(fleet, name, *states):
    others = [entry for entry in fleet.entries if entry.name != name]
    return all(_seen(entry).get(name) in states for entry in others)


def test_frozen_entry_is_dead_and_returns_with_the_newest_text(fleet, observer):
    """A thawed entry would be considered dead forever, or bring an old text back.

    One entry is frozen; the others declare it dead, an edit is accepted, and then the
    store becomes unavailable. The entry thaws with the old text, and the other members
    consider it dead. It must refute that, fetch the text from a peer and serve again;
    the others keep the newer text.
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
    observer.wait_for(base + 1, RETURN_LIMIT)
    wait_until(lambda: _all_see(fleet, victim.name, "alive"), RETURN_LIMIT)
    assert victim.client.call("GET", "/health/ready").status == 200
    found = victim.client.call(
        "GET", "/v1/services/records/lookups/7", None, {"X-Customer": "cube-labs"}
    )
    assert found.status == 200
    assert {revision_of(entry) for entry in fleet.entries} == {base + 1}


def test_killed_entry_is_dead_and_restarts_under_its_name(fleet, observer):
    """Hand-overs would go to a dead entry, or its successor be considered dead.

    An entry is killed while the platform still lists it. The others declare it dead.
    A new process starts under the same name at other addresses.
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
    """Start a peer that sends to every entry and responds to none of them."""
    with _peer_beside(fleet, "entry-8", {"mute": True}) as peer:
        yield peer


@pytest.fixture
def answering_peer(fleet):
    """Start a peer that responds to every entry and can send to none of them."""
    cut = [entry.peer_address for entry in fleet.entries]
    with _peer_beside(fleet, "entry-9", {"cut": cut}) as peer:
        yield peer


@contextmanager
def _peer_beside(fleet, name, command):
    """Start a stand-in peer, register it, and give it the entries' addresses."""
    peer = PeerProcess(int(name.removeprefix("entry-")))
    try:
        peer.send_command(**command)
        instance = {
            "name": name,
            "role": "entry",
            "availability_zone": peer.zone,
            "address": peer.peer_address,
            "peer_address": peer.peer_address,
        }
        fleet.platform.control("POST", "instances", instance)
        entries = [[each.name, each.zone, each.peer_address] for each in fleet.entries]
        peer.send_command(candidates=entries)
        yield peer
    finally:
        peer.end()
        fleet.platform.remove(name)


def test_peer_that_sends_but_does_not_respond_stays_dead(fleet, mute_peer):
    """An unreachable peer would flap between states and be chosen for hand-overs.

    Its messages arrive at every entry, but it responds to no call. Each entry must
    declare it dead and never alive again, however many messages it receives.
    """
    wait_until(lambda: _all_see(fleet, mute_peer.name, "dead"), DETECTION)
    ended = time.monotonic() + OBSERVATION.total_seconds()
    while time.monotonic() < ended:
        for entry in fleet.entries:
            assert _seen(entry)[mute_peer.name] in ("dead", "suspect")
    for entry in fleet.entries:
        states = {_seen(entry)[other.name] for other in fleet.entries if other != entry}
        assert states == {"alive"}


def test_peer_that_responds_but_can_not_send_stays_alive(fleet, answering_peer):
    """A working peer would be declared dead because none of its messages arrive.

    The network is cut in the other direction: its messages reach no entry, but it
    responds to every call. The entries probe it, so each one must see it alive.
    """
    name = answering_peer.name
    wait_until(lambda: _all_see(fleet, name, "alive"), DETECTION)
    ended = time.monotonic() + OBSERVATION.total_seconds()
    while time.monotonic() < ended:
        assert _all_see(fleet, name, "alive")


def test_newer_text_of_an_unreachable_peer_does_not_delay_edits(
    fleet, observer, mute_peer
):
    """An edit would take more than 5 s because entries wait for an unreachable peer.

    A peer announces a newer text in all its messages but responds to no call, as when
    the network is cut in one direction. Watches have stalled and the store is
    unavailable. Entries must fetch an edit that other peers offer from these at once.
    """
    mute_peer.send_command(claim=NONEXISTENT_REVISION)
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
