"""The peers' side of an entry, on the asyncio loop: probes, news and calls."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from contextlib import suppress
from datetime import timedelta
from random import Random
from typing import Any

from grpclib.server import Server
from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.texts import TextRecord
from sassafrasdale.peers.channels import ChannelPool
from sassafrasdale.peers.exceptions import PeerNotReached
from sassafrasdale.peers.generated.peers_pb2 import (
    FindRequest,
    Gossip,
    HandOverRequest,
    IndirectProbeRequest,
    ProbeRequest,
    SpreadRequest,
)
from sassafrasdale.peers.membership import Membership
from sassafrasdale.peers.messages import (
    member_from_message,
    member_to_message,
    notice_from_message,
    notice_to_message,
)
from sassafrasdale.peers.notices import NoticeBoard
from sassafrasdale.peers.pulling import TextPuller
from sassafrasdale.peers.rendezvous import first_of_each_zone, rendezvous
from sassafrasdale.peers.slowness import Slowness
from sassafrasdale.peers.spreading import News, Spreader
from sassafrasdale.peers.structures import (
    HandOver,
    Member,
    MembersChanged,
    MemberState,
    NoticeHeard,
    PeerTimings,
    TextOffered,
)
from sassafrasdale.structures import Instance, Notice

UPDATES_A_MESSAGE = 8
NOTICES_A_MESSAGE = 16
VERIFICATIONS_A_PERIOD = 2
INDIRECT_PROBES = 2
FIRST_ASKED = 2
ASKED_AT_ONCE = 8

Post = Callable[[Any], None]

log = Logger(__name__)


class PeerAgent:
    """State and tasks of one entry among its peers; lives on the loop.

    :param membership: what is believed of the others.
    :param clock: source of time.
    :param rng: source of the choice of receivers.
    :param timings: periods and limits.
    :param post: takes the messages for the green side; callable from the loop.
    """

    def __init__(
        self,
        membership: Membership,
        clock: Clock,
        rng: Random,
        timings: PeerTimings,
        post: Post,
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._rng = rng
        self._timings = timings
        self._post = post
        self._notices = NoticeBoard()
        self._channels = ChannelPool()
        self._record: TextRecord | None = None
        self._tasks: set[asyncio.Task] = set()
        self._published_version = 0
        self._is_joining = True
        self._puller = TextPuller(
            self._channels,
            timings.call_timeout,
            self.run,
            self.gossip,
            lambda: self.revision,
            self._take_text,
        )
        self._spreader = Spreader(membership, clock, rng, timings, self._send_news)
        self._slowness = Slowness()
        self._server: Server | None = None

    @property
    def membership(self) -> Membership:
        """What is believed of the others."""
        return self._membership

    @property
    def record(self) -> TextRecord | None:
        """Newest text held here."""
        return self._record

    @property
    def revision(self) -> int:
        """Revision of the newest text held here, 0 if none."""
        return self._record.revision if self._record else 0

    # Life

    async def serve(self, server: Server, sock: Any) -> None:
        """Begin to take messages on ``sock`` and to probe."""
        self._server = server
        await server.start(sock=sock)
        self.run(self._probe_forever())

    async def stop(self) -> None:
        """End every task, close the connections and take no more messages."""
        self._spreader.stop()
        for task in list(self._tasks):
            task.cancel()
        self._channels.close()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Start a task that ends with this agent."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # News from the green side

    def set_candidates(self, instances: Iterable[Instance]) -> None:
        """Take in the platform's list."""
        self._membership.set_candidates(instances)
        self._publish()

    def offer_text(self, record: TextRecord) -> None:
        """Hold ``record`` and tell the peers, if it is newer than what is held."""
        if record.revision <= self.revision:
            return
        self._record = record
        self._spreader.spread_soon(self._spreader.first_hops)

    def spread_notice(self, notice: Notice) -> None:
        """Tell the peers of ``notice``, if it is new."""
        if self._notices.add(notice):
            self._spreader.add_notice(notice, self._spreader.first_hops)

    def announce_leaving(self) -> None:
        """Tell the peers that this entry is leaving."""
        self._membership.leave()
        self._spreader.spread_soon(self._spreader.first_hops)

    # Messages

    def gossip(self, about: str = "", highest_notice: int | None = None) -> Gossip:
        """Return the part that every message carries.

        :param about: name of the receiver.
        :param highest_notice: highest notice that the receiver has seen, if known.
        """
        updates = self._membership.take_updates(UPDATES_A_MESSAGE, about)
        notices = self._notices.take(NOTICES_A_MESSAGE, highest_notice)
        return self._gossip_of(updates, notices)

    def take_in(
        self, gossip: Gossip, *, served: bool, hops_left: int | None = None
    ) -> None:
        """Take in the news of a message.

        :param gossip: that part of the message.
        :param served: whether it came as a request of a peer.
        :param hops_left: how often news is to be passed on; None for the number
            that a first hearing by a probe gets.
        """
        try:
            sender = member_from_message(gossip.sender)
            updates = [member_from_message(each) for each in gossip.updates]
        except ValueError:
            log.warning("unreadable news from {!r}", gossip.sender.name)
            return
        hops = self._spreader.first_hops if hops_left is None else hops_left
        before = self._membership.me.incarnation
        self._take_in_members(sender, gossip.revision, updates, served, hops)
        self._take_in_notices(gossip, hops)
        if self._membership.me.incarnation != before:
            self._slowness.add()
            self._spreader.spread_soon(self._spreader.first_hops)
        if gossip.revision > self.revision:
            self._puller.pull_soon(sender, gossip.revision)
        self._publish()

    def all_members(self) -> list[Member]:
        """Return the living members, for one that has just started."""
        return self._membership.reachable

    def add_members(self, gossip: Gossip, members: Iterable[Member]) -> None:
        """Add ``members`` to a message."""
        gossip.updates.extend(member_to_message(each) for each in members)

    # Calls

    async def hand_over(self, name: str, handover: HandOver) -> bool:
        """Offer ``handover`` to the member ``name``; return if it took it."""
        member = self._membership.get(name)
        if member is None:
            return False
        request = HandOverRequest(
            gossip=self.gossip(name),
            request_id=handover.request_id,
            request=handover.request,
        )
        try:
            reply = await self._channels.call_twice(
                member.peer_address,
                lambda stub: stub.HandOver(request),
                self._timings.call_timeout,
            )
        except PeerNotReached:
            return False
        self.take_in(reply.gossip, served=False)
        return reply.accepted

    async def find(self, request_id: str) -> Member | None:
        """Return the member that holds ``request_id``, or None.

        The member that a hand-over went to is among the first of each zone, so
        these are asked first; the original holder can be any.
        """
        ordered = rendezvous(request_id, self._membership.reachable)
        firsts = first_of_each_zone(ordered)[:FIRST_ASKED]
        rest = [each for each in ordered if each not in firsts]
        batches = [firsts] + [
            rest[start : start + ASKED_AT_ONCE]
            for start in range(0, len(rest), ASKED_AT_ONCE)
        ]
        for batch in batches:
            answers = await asyncio.gather(
                *(self._ask_for(member, request_id) for member in batch)
            )
            for member, held in zip(batch, answers, strict=True):
                if held:
                    return member
        return None

    async def probe_for(self, target: Member) -> bool:
        """Probe ``target`` on behalf of a peer and return whether it answered."""
        return await self._probe_once(target, self._timings.probe_timeout)

    # Probes

    async def _probe_forever(self) -> None:
        period = self._timings.period
        due = self._clock.elapsed()
        while True:
            late = self._clock.elapsed() - due
            if late > self._timings.pause:
                self._resume_after_pause()
            self._probe_period()
            due = max(due + period, self._clock.elapsed() + period / 2)
            pause = due - self._clock.elapsed()
            await asyncio.sleep(pause.total_seconds())

    def _resume_after_pause(self) -> None:
        """Say anew that this entry lives.

        A paused process does not notice its pause. The others have declared it
        dead meanwhile, and it may still believe in holding what it lost. A
        period that comes far too late shows it.
        """
        log.warning("this process was paused")
        self._membership.renew()
        self._spreader.spread_soon(self._spreader.first_hops)

    def _probe_period(self) -> None:
        for member in self._membership.expire():
            self._spreader.add_member(member, self._spreader.first_hops)
        for target in self._membership.next_targets(VERIFICATIONS_A_PERIOD):
            self.run(self._probe(target))
        self._publish()

    async def _probe(self, target: Member) -> None:
        if await self._probe_once(target, self._timings.probe_timeout):
            self._slowness.lessen()
            return
        if target.state >= MemberState.SUSPECT:
            return
        # The failed attempt dropped its channel: this one is on a fresh one.
        retry = self._probe_once(target, self._timings.retry_timeout)
        others = [
            self._probe_through(helper, target)
            for helper in self._membership.helpers(target, INDIRECT_PROBES)
        ]
        answered, *through = await asyncio.gather(retry, *others)
        if answered or any(through):
            return
        if all(each is None for each in through):
            # Nobody answered at all; a helper that did speaks for this entry.
            self._slowness.add()
        if self._membership.suspect(target.name, target.incarnation):
            self._tell(target.name)
            self._publish()

    async def _probe_once(self, target: Member, limit: timedelta) -> bool:
        request = ProbeRequest(
            gossip=self.gossip(target.name), wants_members=self._is_joining
        )
        limit *= self._slowness.factor
        try:
            reply = await self._channels.call(
                target.peer_address, lambda stub: stub.Probe(request), limit
            )
        except PeerNotReached:
            return False
        if reply.gossip.sender.name != target.name:
            # The address went to another instance: that one lives, not this.
            self.take_in(reply.gossip, served=False)
            return False
        self._is_joining = False
        if request.wants_members:
            self._learn_members(reply.gossip)
        self.take_in(reply.gossip, served=False)
        return True

    def _learn_members(self, gossip: Gossip) -> None:
        with suppress(ValueError):
            members = [member_from_message(each) for each in gossip.updates]
            self._membership.learn(members)

    async def _probe_through(self, helper: Member, target: Member) -> bool | None:
        """Return whether ``target`` answered the helper; None if that did not."""
        request = IndirectProbeRequest(
            gossip=self.gossip(helper.name), target=member_to_message(target)
        )
        try:
            reply = await self._channels.call(
                helper.peer_address,
                lambda stub: stub.ProbeIndirectly(request),
                self._timings.retry_timeout * self._slowness.factor,
            )
        except PeerNotReached:
            return None
        self.take_in(reply.gossip, served=False)
        return reply.answered

    # Spreading

    def _tell(self, name: str) -> None:
        member = self._membership.get(name)
        if member is not None:
            self._spreader.add_member(member, self._spreader.first_hops)

    def _send_news(self, news: News) -> None:
        request = SpreadRequest(
            gossip=self._gossip_of(news.members, news.notices),
            hops_left=news.hops_left,
        )
        for receiver in news.receivers:
            self.run(self._spread_to(receiver, request))

    async def _spread_to(self, receiver: Member, request: SpreadRequest) -> None:
        call = self._timings.call_timeout
        try:
            reply = await self._channels.call_twice(
                receiver.peer_address, lambda stub: stub.Spread(request), call
            )
        except PeerNotReached:
            return
        self.take_in(reply.gossip, served=False)

    def _take_in_members(
        self,
        sender: Member,
        revision: int,
        updates: list[Member],
        served: bool,
        hops: int,
    ) -> None:
        if self._membership.heard(sender, revision, served=served):
            self._pass_on(sender.name, hops)
        for update in updates:
            if self._membership.apply(update, served=served):
                self._pass_on(update.name, hops)

    def _pass_on(self, name: str, hops: int) -> None:
        member = self._membership.get(name)
        if member is not None and hops > 0:
            self._spreader.add_member(member, hops - 1)

    def _take_in_notices(self, gossip: Gossip, hops: int) -> None:
        for message in gossip.notices:
            notice = notice_from_message(message)
            if not self._notices.add(notice):
                continue
            self._post(NoticeHeard(notice))
            if hops > 0:
                self._spreader.add_notice(notice, hops - 1)

    # Text

    def _take_text(self, record: TextRecord) -> None:
        if record.revision <= self.revision:
            return
        self._record = record
        self._post(TextOffered(record))
        self._spreader.spread_soon(self._spreader.first_hops - 1)

    # Helpers

    async def _ask_for(self, member: Member, request_id: str) -> bool:
        request = FindRequest(gossip=self.gossip(member.name), request_id=request_id)
        try:
            reply = await self._channels.call_twice(
                member.peer_address,
                lambda stub: stub.Find(request),
                self._timings.call_timeout,
            )
        except PeerNotReached:
            return False
        self.take_in(reply.gossip, served=False)
        return reply.held

    def _gossip_of(self, updates: list[Member], notices: list[Notice]) -> Gossip:
        return Gossip(
            sender=member_to_message(self._membership.me),
            revision=self.revision,
            highest_notice=self._notices.highest,
            updates=[member_to_message(each) for each in updates],
            notices=[notice_to_message(each) for each in notices],
        )

    def _publish(self) -> None:
        if self._membership.version != self._published_version:
            self._published_version = self._membership.version
            self._post(MembersChanged(self._membership.members))
