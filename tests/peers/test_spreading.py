"""Tests of the rounds of updates."""

import asyncio
from datetime import UTC, datetime, timedelta
from random import Random

import pytest

from sassafrasdale.clock import ManualClock, SystemClock
from sassafrasdale.peers.membership import Membership
from sassafrasdale.peers.spreading import Spreader
from sassafrasdale.peers.structures import Member, MemberState, PeerTimings
from sassafrasdale.structures import Address, Notice

ADDRESS = Address("127.0.0.1", 1)
TIMINGS = PeerTimings(
    coalesce=timedelta(milliseconds=1), spread_interval=timedelta(milliseconds=50)
)


def member(number, state=MemberState.ALIVE):
    return Member(f"entry-{number}", "zone-a", ADDRESS, ADDRESS, state, 1)


def make(size, sent):
    membership = Membership(member(0), ManualClock(), Random(1), TIMINGS)
    for number in range(1, size):
        membership.apply(member(number))
    return Spreader(membership, SystemClock(), Random(1), TIMINGS, sent.append)


@pytest.mark.parametrize(("size", "receivers"), [(3, 2), (17, 16), (18, 4), (320, 4)])
def test_receivers_are_all_of_a_small_fleet_and_few_of_a_large_one(size, receivers):
    sent = []

    async def spread():
        make(size, sent).spread_soon(0)
        await asyncio.sleep(0.05)

    asyncio.run(spread())
    assert len({each.name for each in sent[0].receivers}) == receivers


def test_updates_are_batched_and_rounds_are_spaced():
    """Guards against a flood of messages when all members change at once.

    Updates after a round wait for the interval and are all sent in the next round.
    """
    sent = []
    leaves_at = datetime(2026, 1, 1, tzinfo=UTC)

    async def spread():
        spreader = make(3, sent)
        spreader.add_member(member(1, MemberState.DEAD), 0)
        spreader.add_notice(Notice(1, "endpoint-1", leaves_at), 0)
        await asyncio.sleep(0.02)
        for sequence in range(2, 102):
            spreader.add_notice(Notice(sequence, "endpoint-1", leaves_at), 0)
            await asyncio.sleep(0)
        assert len(sent) == 1
        await asyncio.sleep(0.2)

    asyncio.run(spread())
    first, second = sent
    assert [each.name for each in first.members] == ["entry-1"]
    assert [each.sequence for each in first.notices] == [1]
    assert [each.sequence for each in second.notices] == list(range(2, 102))


def test_update_without_hops_left_is_not_forwarded():
    sent = []

    async def spread():
        make(3, sent).spread_soon(-1)
        await asyncio.sleep(0.1)

    asyncio.run(spread())
    assert sent == []
