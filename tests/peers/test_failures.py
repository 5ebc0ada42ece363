"""Tests of failure detection with real processes."""

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
    """Guards against hand-overs to a killed peer.

    The platform still lists it. Its port refuses connections, so direct and
    indirect probes fail.
    """
    *others, victim = processes
    victim.signal(signal.SIGKILL)
    wait_for(lambda: all_see(others, victim.name, "DEAD"), DETECTION)


def test_stopped_peer_is_found_dead_and_rejoins(processes):
    """A stopped process accepts connections but never replies; then it continues.

    The kernel still accepts connections for it, so only timeouts reveal it, and
    the others declare it dead. After SIGCONT it must become a member again, by
    raising its incarnation.
    """
    *others, victim = processes
    victim.signal(signal.SIGSTOP)
    wait_for(lambda: all_see(others, victim.name, "DEAD"), DETECTION)
    victim.signal(signal.SIGCONT)
    wait_for(lambda: all_see(others, victim.name, "ALIVE"))
    names = [each.name for each in others]
    wait_for(lambda: all(victim.members.get(each) == "ALIVE" for each in names))


def test_peer_that_sends_but_does_not_reply_stays_dead(processes):
    """One-way partition: a peer's requests arrive, but it doesn't reply to others'.

    It still probes the others, whose replies say that it is dead. If it refuted
    these, it would flap between alive and dead and be chosen for hand-overs that
    it can't accept. After the partition it becomes a member again.
    """
    *others, victim = processes
    victim.send_command(mute=True)
    wait_for(lambda: all_see(others, victim.name, "DEAD"), DETECTION)
    seen = [len(each.history) for each in others]
    time.sleep(2)
    for count, each in zip(seen, others, strict=True):
        later = [members[victim.name] for members in each.history[count:]]
        assert "ALIVE" not in later
    victim.send_command(mute=False)
    wait_for(lambda: all_see(others, victim.name, "ALIVE"))


def test_groups_rejoin_after_a_partition(processes):
    """Guards against a fleet that stays split after a partition.

    Each side declares the other dead. After the partition only the probe of one
    other member per round reaches a dead member. It includes the recorded state,
    which the reply refutes.
    """
    west, east = processes[:2], processes[2:]
    for side, other in ((west, east), (east, west)):
        for each in side:
            each.send_command(cut=[peer.peer_address for peer in other])
    for side, other in ((west, east), (east, west)):
        for lost in other:
            wait_for(partial(all_see, side, lost.name, "DEAD"), DETECTION)
    for each in processes:
        each.send_command(cut=[])
    for each in processes:
        others = [other for other in processes if other is not each]
        wait_for(partial(all_see, others, each.name, "ALIVE"))
