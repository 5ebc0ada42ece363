"""Failures of peers, on real processes."""

import signal
import time
from datetime import timedelta
from functools import partial

import pytest

from tests.peers.processes import PeerProcess, all_see, introduce, wait_for

DETECTION = timedelta(seconds=8)


@pytest.fixture
def processes():
    started = [PeerProcess(number) for number in range(4)]
    introduce(started)
    wait_for(
        lambda: all(
            list(each.members.values()) == ["ALIVE"] * (len(started) - 1)
            for each in started
        )
    )
    yield started
    for each in started:
        each.end()


def test_killed_peer_is_found_dead(processes):
    """Hand-overs would go to a peer that is gone.

    A peer is killed; the platform goes on listing it. Its port refuses
    connections, so probes of it fail directly and through others.
    """
    *others, victim = processes
    victim.signal(signal.SIGKILL)
    wait_for(lambda: all_see(others, victim.name, "DEAD"), DETECTION)


def test_frozen_peer_is_found_dead_and_comes_back(processes):
    """A frozen peer takes connections and never answers; then it thaws.

    The kernel goes on accepting for a stopped process, so only time-outs show
    it. The others declare it dead. After SIGCONT it must be a member again,
    although all remember it as dead: it raises its incarnation.
    """
    *others, victim = processes
    victim.signal(signal.SIGSTOP)
    wait_for(lambda: all_see(others, victim.name, "DEAD"), DETECTION)
    victim.signal(signal.SIGCONT)
    wait_for(lambda: all_see(others, victim.name, "ALIVE"))
    names = [each.name for each in others]
    wait_for(lambda: all(victim.members.get(each) == "ALIVE" for each in names))


def test_peer_that_sends_but_does_not_answer_stays_dead(processes):
    """A one-way cut: a peer's messages arrive, nothing sent to it is answered.

    It goes on probing the others, whose replies say that it is dead. If it
    refuted on their account it would flap between alive and dead for ever and
    be chosen for hand-overs that nobody takes. Once healed it comes back.
    """
    *others, victim = processes
    victim.tell(mute=True)
    wait_for(lambda: all_see(others, victim.name, "DEAD"), DETECTION)
    seen = [len(each.history) for each in others]
    time.sleep(2)
    for count, each in zip(seen, others, strict=True):
        later = [members[victim.name] for members in each.history[count:]]
        assert "ALIVE" not in later
    victim.tell(mute=False)
    wait_for(lambda: all_see(others, victim.name, "ALIVE"))


def test_parted_groups_find_each_other_again(processes):
    """Two regions lose each other for a while; then one would stay split.

    Each side declares the other dead and goes on. When the network is whole
    again, nobody has a reason to send to members believed dead, except the probe
    of one other member in each round. That one carries the belief, and the
    answer refutes it.
    """
    west, east = processes[:2], processes[2:]
    for side, other in ((west, east), (east, west)):
        for each in side:
            each.tell(cut=[peer.peer_address for peer in other])
    for side, other in ((west, east), (east, west)):
        for lost in other:
            wait_for(partial(all_see, side, lost.name, "DEAD"), DETECTION)
    for each in processes:
        each.tell(cut=[])
    for each in processes:
        others = [other for other in processes if other is not each]
        wait_for(partial(all_see, others, each.name, "ALIVE"))
