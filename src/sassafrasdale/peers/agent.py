"""Gossip agent of an entry, on the asyncio loop: probes, updates and calls."""

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
from sassafrasdale.peers.local_health import LocalHealth
from sassafrasdale.peers.membership import Membership
from sassafrasdale.peers.messages import (
    member_from_message,
    member_to_message,
    notice_from_message,
    notice_to_message,
)
from sassafrasdale.peers.notices import NoticeLog
from sassafrasdale.peers.pulling import TextPuller
from sassafrasdale.peers.rendezvous import first_of_each_zone, rendezvous
from sassafrasdale.peers.spreading import Spreader, SpreadRound
from sassafrasdale.peers.structures import (
    HandOver,
    Member,
    MembersChanged,
    MemberState,
    NoticeReceived,
    PeerTimings,
    TextOffered,
)
from sassafrasdale.structures import Instance, Notice

UPDATES_PER_MESSAGE = 8
NOTICES_PER_MESSAGE = 16
VERIFICATIONS_PER_PERIOD = 2
INDIRECT_PROBES = 2
FIRST_FIND_PEERS = 2
FIND_BATCH_SIZE = 8

Post = Callable[[Any], None]

log = Logger(__name__)


class PeerAgent:
    """Gossip state and tasks of one entry; used on the asyncio loop only.

    :param membership: state of the other entries, as known here.
    :param clock: source of time.
    :param rng: source of the random choice of receivers.
    :param timings: periods and timeouts.
    :param post: posts messages to the green tasks; called on the loop.
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
        self._notices = NoticeLog()
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
            self._apply_text,
        )
        self._spreader = Spreader(membership, clock, rng, timings, self._send_round)
        self._local_health = LocalHealth()
        self._server: Server | None = None

    @property
    def membership(self) -> Membership:
        """State of the other entries, as known here."""
        return self._membership

    @property
    def record(self) -> TextRecord | None:
        """Newest configuration known here."""
        return self._record

    @property
    def revision(self) -> int:
        """Revision of the newest configuration known here, 0 if none."""
        return self._record.revision if self._record else 0

    # Start and stop

    async def serve(self, server: Server, sock: Any) -> None:
        """Start the server on ``sock`` and the probes."""
        self._server = server
        await server.start(sock=sock)
        self.run(self._probe_forever())

    async def stop(self) -> None:
        """Cancel every task, close the connections and stop the server."""
        self._spreader.stop()
        for task in list(self._tasks):
            task.cancel()
        self._channels.close()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Start a task that is cancelled when this agent stops."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Updates from the green tasks

    def set_candidates(self, instances: Iterable[Instance]) -> None:
        """Apply the platform's list of instances."""
        self._membership.set_candidates(instances)
        self._publish()

    def offer_text(self, record: TextRecord) -> None:
        """Keep ``record`` and announce it to the peers, if it is newer."""
        if record.revision <= self.revision:
            return
        self._record = record
        self._spreader.spread_soon(self._spreader.first_hops)

    def spread_notice(self, notice: Notice) -> None:
        """Spread ``notice`` to the peers, if it is new."""
        if self._notices.add(notice):
            self._spreader.add_notice(notice, self._spreader.first_hops)

    def announce_leaving(self) -> None:
        """Announce to the peers that this entry is leaving."""
        self._membership.leave()
        self._spreader.spread_soon(self._spreader.first_hops)

    # Messages

    def gossip(self, about: str = "", highest_notice: int | None = None) -> Gossip:
        """Return the gossip that every message includes.

        :param about: name of the receiver.
        :param highest_notice: highest notice that the receiver has seen, if known.
        """
        updates = self._membership.take_updates(UPDATES_PER_MESSAGE, about)
        notices = self._notices.take(NOTICES_PER_MESSAGE, highest_notice)
        return self._gossip_of(updates, notices)

    def merge(
        self, gossip: Gossip, *, from_request: bool, hops_left: int | None = None
    ) -> None:
        """Merge the gossip of a message into the local state.

        :param gossip: gossip of the message.
        :param from_request: whether the message is a request, not a reply.
        :param hops_left: how many more times to forward updates; None for as many
            times as an update that starts here.
        """
        try:
            sender = member_from_message(gossip.sender)
            updates = [member_from_message(each) for each in gossip.updates]
        except ValueError:
            log.warning("malformed gossip from {!r}", gossip.sender.name)
            return
        hops = self._spreader.first_hops if hops_left is None else hops_left
        before = self._membership.me.incarnation
        self._merge_updates(sender, gossip.revision, updates, from_request, hops)
        self._merge_notices(gossip, hops)
        if self._membership.me.incarnation != before:
            self._local_health.degrade()
            self._spreader.spread_soon(self._spreader.first_hops)
        if gossip.revision > self.revision:
            self._puller.pull_soon(sender, gossip.revision)
        self._publish()

    def all_members(self) -> list[Member]:
        """Return the members that aren't dead, for an entry that is joining."""
        return self._membership.reachable

    def add_members(self, gossip: Gossip, members: Iterable[Member]) -> None:
        """Add ``members`` to a message."""
        gossip.updates.extend(member_to_message(each) for each in members)

    # Calls

    async def hand_over(self, name: str, handover: HandOver) -> bool:
        """Offer ``handover`` to the member ``name``; return whether it accepted."""
        member = self._membership.get(name)
        if member is None:
            return False
        request = HandOverRequest(
            gossip=self.gossip(name),
            request_id=handover.request_id,
            request=handover.request,
        )
        try:
            reply = await self._channels.call_with_retry(
                member.peer_address,
                lambda stub: stub.HandOver(request),
                self._timings.call_timeout,
            )
        except PeerNotReached:
            return False
        self.merge(reply.gossip, from_request=False)
        return reply.accepted

    async def find(self, request_id: str) -> Member | None:
        """Return the member that holds ``request_id``, or None.

        The receiver of a hand-over is among the first members of each zone in
        rendezvous order, so these are asked first; the original holder can be any
        member.
        """
        ordered = rendezvous(request_id, self._membership.reachable)
        firsts = first_of_each_zone(ordered)[:FIRST_FIND_PEERS]
        rest = [each for each in ordered if each not in firsts]
        batches = [firsts] + [
            rest[start : start + FIND_BATCH_SIZE]
            for start in range(0, len(rest), FIND_BATCH_SIZE)
        ]
        for batch in batches:
            results = await asyncio.gather(
                *(self._holds(member, request_id) for member in batch)
            )
            for member, held in zip(batch, results, strict=True):
                if held:
                    return member
        return None

    async def probe_for(self, target: Member) -> bool:
        """Probe ``target`` on behalf of a peer and return whether it replied."""
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
            delay = due - self._clock.elapsed()
            await asyncio.sleep(delay.total_seconds())

    def _resume_after_pause(self) -> None:
        """Raise the incarnation after a pause of this process, and spread it.

        A paused process doesn't observe its pause, but a probe period that starts
        far too late reveals it. The others have declared the entry dead by then,
        and it may act on state that it has lost.
        """
        log.warning("this process was paused")
        self._membership.raise_incarnation()
        self._spreader.spread_soon(self._spreader.first_hops)

    def _probe_period(self) -> None:
        for member in self._membership.expire():
            self._spreader.add_member(member, self._spreader.first_hops)
        for target in self._membership.next_targets(VERIFICATIONS_PER_PERIOD):
            self.run(self._probe(target))
        self._publish()

    async def _probe(self, target: Member) -> None:
        if await self._probe_once(target, self._timings.probe_timeout):
            self._local_health.improve()
            return
        if target.state >= MemberState.SUSPECT:
            return
        # The failed attempt closed its channel, so the retry uses a new one.
        retry = self._probe_once(target, self._timings.retry_timeout)
        others = [
            self._probe_indirectly(helper, target)
            for helper in self._membership.helpers(target, INDIRECT_PROBES)
        ]
        replied, *indirect = await asyncio.gather(retry, *others)
        if replied or any(indirect):
            return
        if all(each is None for each in indirect):
            # No helper replied either, so this entry itself may be slow. A reply
            # from any helper shows that it isn't.
            self._local_health.degrade()
        if self._membership.suspect(target.name, target.incarnation):
            self._spread_member(target.name)
            self._publish()

    async def _probe_once(self, target: Member, limit: timedelta) -> bool:
        request = ProbeRequest(
            gossip=self.gossip(target.name), wants_members=self._is_joining
        )
        limit *= self._local_health.timeout_factor
        try:
            reply = await self._channels.call(
                target.peer_address, lambda stub: stub.Probe(request), limit
            )
        except PeerNotReached:
            return False
        if reply.gossip.sender.name != target.name:
            # Another instance has the address now; only that one is alive.
            self.merge(reply.gossip, from_request=False)
            return False
        self._is_joining = False
        if request.wants_members:
            self._merge_members(reply.gossip)
        self.merge(reply.gossip, from_request=False)
        return True

    def _merge_members(self, gossip: Gossip) -> None:
        with suppress(ValueError):
            members = [member_from_message(each) for each in gossip.updates]
            self._membership.merge_members(members)

    async def _probe_indirectly(self, helper: Member, target: Member) -> bool | None:
        """Return whether ``target`` replied; None if ``helper`` itself didn't reply."""
        request = IndirectProbeRequest(
            gossip=self.gossip(helper.name), target=member_to_message(target)
        )
        try:
            reply = await self._channels.call(
                helper.peer_address,
                lambda stub: stub.ProbeIndirectly(request),
                self._timings.retry_timeout * self._local_health.timeout_factor,
            )
        except PeerNotReached:
            return None
        self.merge(reply.gossip, from_request=False)
        return reply.answered

    # Spreading

    def _spread_member(self, name: str) -> None:
        member = self._membership.get(name)
        if member is not None:
            self._spreader.add_member(member, self._spreader.first_hops)

    def _send_round(self, spread_round: SpreadRound) -> None:
        request = SpreadRequest(
            gossip=self._gossip_of(spread_round.members, spread_round.notices),
            hops_left=spread_round.hops_left,
        )
        for receiver in spread_round.receivers:
            self.run(self._spread_to(receiver, request))

    async def _spread_to(self, receiver: Member, request: SpreadRequest) -> None:
        call = self._timings.call_timeout
        try:
            reply = await self._channels.call_with_retry(
                receiver.peer_address, lambda stub: stub.Spread(request), call
            )
        except PeerNotReached:
            return
        self.merge(reply.gossip, from_request=False)

    def _merge_updates(
        self,
        sender: Member,
        revision: int,
        updates: list[Member],
        from_request: bool,
        hops: int,
    ) -> None:
        if self._membership.apply_sender(sender, revision, from_request=from_request):
            self._forward(sender.name, hops)
        for update in updates:
            if self._membership.apply(update, from_request=from_request):
                self._forward(update.name, hops)

    def _forward(self, name: str, hops: int) -> None:
        member = self._membership.get(name)
        if member is not None and hops > 0:
            self._spreader.add_member(member, hops - 1)

    def _merge_notices(self, gossip: Gossip, hops: int) -> None:
        for message in gossip.notices:
            notice = notice_from_message(message)
            if not self._notices.add(notice):
                continue
            self._post(NoticeReceived(notice))
            if hops > 0:
                self._spreader.add_notice(notice, hops - 1)

    # Configuration
    def _apply_text(self, record: TextRecord) -> None:
        if record.revision <= self.revision:
            return
        self._record = record
        self._post(TextOffered(record))
        self._spreader.spread_soon(self._spreader.first_hops - 1)

    # Helpers

    async def _holds(self, member: Member, request_id: str) -> bool:
        request = FindRequest(gossip=self.gossip(member.name), request_id=request_id)
        try:
            reply = await self._channels.call_with_retry(
                member.peer_address,
                lambda stub: stub.Find(request),
                self._timings.call_timeout,
            )
        except PeerNotReached:
            return False
        self.merge(reply.gossip, from_request=False)
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
