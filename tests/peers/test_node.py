"""Tests of several nodes in one process."""

from datetime import UTC, datetime, timedelta

import pytest

from sassafrasdale.coordination.texts import TextRecord
from sassafrasdale.green import Empty, spawn
from sassafrasdale.peers.structures import (
    FindRequested,
    HandOver,
    HandOverOffered,
    MemberState,
    NoticeReceived,
    TextOffered,
)
from sassafrasdale.structures import Notice
from tests.peers.nodes import instances_of, start_node, wait_until

NOON = datetime(2026, 1, 1, 12, tzinfo=UTC)


@pytest.fixture
def cluster():
    started = [start_node(number) for number in range(3)]
    nodes = [node for node, _ in started]
    for node in nodes:
        node.set_candidates(instances_of(nodes))
    wait_until(lambda: all(count_alive(node) == 2 for node in nodes))
    yield started
    for node in nodes:
        node.stop()


def count_alive(node) -> int:
    return sum(each.state is MemberState.ALIVE for each in node.members())


def take(inbox, kind, limit=timedelta(seconds=5)):
    """Return the first message of ``kind`` from ``inbox``."""
    while True:
        try:
            message = inbox.get(timeout=limit.total_seconds())
        except Empty:
            pytest.fail(f"no {kind.__name__} message")
        if isinstance(message, kind):
            return message


def test_text_reaches_every_peer(cluster):
    record = TextRecord(4, "edit", "ann", NOON, "deployment: x")
    cluster[0][0].offer_text(record)
    for _, inbox in cluster[1:]:
        assert take(inbox, TextOffered).record == record


def test_notice_reaches_every_peer_once(cluster):
    notice = Notice(7, "endpoint-1", NOON)
    cluster[0][0].spread_notice(notice)
    cluster[0][0].spread_notice(notice)
    for _, inbox in cluster[1:]:
        assert take(inbox, NoticeReceived).notice == notice
        assert not any(isinstance(each, NoticeReceived) for each in inbox.queue)


@pytest.mark.parametrize("accepted", [True, False])
def test_hand_over_returns_the_receivers_decision(cluster, accepted):
    node, _ = cluster[0]
    receiver = node.receivers("r-1")[0]
    inbox = cluster[int(receiver.name[-1])][1]
    body = bytes(300_000)

    def decide():
        offered = take(inbox, HandOverOffered)
        assert offered.handover == HandOver("r-1", "entry-0", body)
        offered.reply(accepted)

    deciding = spawn(decide)
    handover = HandOver("r-1", "entry-0", body)
    assert node.hand_over(receiver.name, handover) is accepted
    deciding.wait()


def test_find_returns_the_holder(cluster):
    def reply_to_find(inbox, held):
        take(inbox, FindRequested, timedelta(seconds=8)).reply(held)

    replying = [
        spawn(reply_to_find, inbox, number == 2)
        for number, (_, inbox) in enumerate(cluster)
        if number
    ]
    assert cluster[0][0].find("r-2").name == "entry-2"
    for each in replying:
        each.kill()


def test_find_without_a_holder_returns_none(cluster):
    def reply_to_find(inbox):
        take(inbox, FindRequested).reply(False)

    replying = [spawn(reply_to_find, inbox) for _, inbox in cluster[1:]]
    assert cluster[0][0].find("r-3") is None
    for each in replying:
        each.wait()


def test_leaving_is_announced(cluster):
    cluster[0][0].announce_leaving()
    wait_until(
        lambda: all(
            node.members()[0].state is MemberState.LEAVING for node, _ in cluster[1:]
        )
    )
    assert all(
        each.name != "entry-0"
        for node, _ in cluster[1:]
        for each in node.receivers("r")
    )


def test_unlisted_new_entry_is_discovered_through_peers(cluster):
    """The platform's list doesn't include a new entry yet.

    The new entry's list has a single other entry. It probes that entry, which
    sends it the other members and spreads the new one to them.
    """
    nodes = [node for node, _ in cluster]
    joiner, _ = start_node(3)
    try:
        joiner.set_candidates(instances_of(nodes)[:1])
        wait_until(lambda: all(count_alive(each) == 3 for each in [*nodes, joiner]))
    finally:
        joiner.stop()
