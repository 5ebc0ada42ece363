"""gRPC service for the peers."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta

from grpclib.server import Stream

from sassafrasdale.peers.agent import PeerAgent
from sassafrasdale.peers.generated.peers_grpc import PeersBase
from sassafrasdale.peers.generated.peers_pb2 import (
    FindReply,
    FindRequest,
    HandOverReply,
    HandOverRequest,
    IndirectProbeReply,
    IndirectProbeRequest,
    ProbeReply,
    ProbeRequest,
    PullTextReply,
    PullTextRequest,
    SpreadReply,
    SpreadRequest,
)
from sassafrasdale.peers.messages import fill_text, member_from_message
from sassafrasdale.peers.structures import FindRequested, HandOver, HandOverOffered

DECISION_TIMEOUT = timedelta(milliseconds=1500)

PostRequest = Callable[[Callable[[bool], None]], None]


class _LateCancellations(logging.Filter):
    """Suppresses grpclib's error when a client closes its connection late in a call.

    A client may close an idle channel right after a reply, while the handler is
    still returning. grpclib then logs that the handler was not cancelled. Errors
    raised by handlers are logged with another message.
    """

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to log ``record``."""
        return record.msg != "Failed to handle cancellation"


logging.getLogger("grpclib.server").addFilter(_LateCancellations())


class PeersService(PeersBase):
    """Handles the requests of other entries.

    :param agent: gossip agent of this entry.
    :param post: posts messages to the green tasks.
    """

    def __init__(self, agent: PeerAgent, post: Callable[[object], None]) -> None:
        self._agent = agent
        self._post = post

    async def Probe(  # noqa: N802
        self, stream: Stream[ProbeRequest, ProbeReply]
    ) -> None:
        """Reply that this entry is alive, with gossip that the sender may lack."""
        request = await stream.recv_message()
        self._agent.merge(request.gossip, from_request=True)
        sender = request.gossip.sender.name
        gossip = self._agent.gossip(sender, request.gossip.highest_notice)
        if request.wants_members:
            self._agent.add_members(gossip, self._agent.all_members())
        await stream.send_message(ProbeReply(gossip=gossip))

    async def ProbeIndirectly(  # noqa: N802
        self, stream: Stream[IndirectProbeRequest, IndirectProbeReply]
    ) -> None:
        """Probe another entry on behalf of the sender."""
        request = await stream.recv_message()
        self._agent.merge(request.gossip, from_request=True)
        target = member_from_message(request.target)
        # Runs in its own task: when the sender cancels its call, grpclib cancels
        # this handler, and the inner call would count that as a failed probe.
        probe = self._agent.run(self._agent.probe_for(target))
        replied = await asyncio.shield(probe)
        gossip = self._agent.gossip(request.gossip.sender.name)
        await stream.send_message(IndirectProbeReply(gossip=gossip, answered=replied))

    async def Spread(  # noqa: N802
        self, stream: Stream[SpreadRequest, SpreadReply]
    ) -> None:
        """Merge updates and forward them."""
        request = await stream.recv_message()
        self._agent.merge(
            request.gossip, from_request=True, hops_left=request.hops_left
        )
        gossip = self._agent.gossip(request.gossip.sender.name)
        await stream.send_message(SpreadReply(gossip=gossip))

    async def PullText(  # noqa: N802
        self, stream: Stream[PullTextRequest, PullTextReply]
    ) -> None:
        """Return the newest configuration known here."""
        request = await stream.recv_message()
        self._agent.merge(request.gossip, from_request=True)
        reply = PullTextReply(gossip=self._agent.gossip(request.gossip.sender.name))
        if self._agent.record is not None:
            fill_text(reply, self._agent.record)
        await stream.send_message(reply)

    async def HandOver(  # noqa: N802
        self, stream: Stream[HandOverRequest, HandOverReply]
    ) -> None:
        """Offer a request to the green tasks and reply whether they accepted it."""
        request = await stream.recv_message()
        self._agent.merge(request.gossip, from_request=True)
        sender = request.gossip.sender.name
        handover = HandOver(request.request_id, sender, request.request)
        accepted = await self._request_decision(
            lambda reply: self._post(HandOverOffered(handover, reply))
        )
        gossip = self._agent.gossip(sender)
        await stream.send_message(HandOverReply(gossip=gossip, accepted=accepted))

    async def Find(  # noqa: N802
        self, stream: Stream[FindRequest, FindReply]
    ) -> None:
        """Ask the green tasks whether this entry holds a request."""
        request = await stream.recv_message()
        self._agent.merge(request.gossip, from_request=True)
        held = await self._request_decision(
            lambda reply: self._post(FindRequested(request.request_id, reply))
        )
        gossip = self._agent.gossip(request.gossip.sender.name)
        await stream.send_message(FindReply(gossip=gossip, held=held))

    async def _request_decision(self, post_request: PostRequest) -> bool:
        """Return the green tasks' decision, or False if it takes too long.

        A later decision is ignored. Then both the sender and this entry may have
        the request, which is safe, as resuming is idempotent.
        """
        loop = asyncio.get_running_loop()
        decision: asyncio.Future[bool] = loop.create_future()

        def resolve(value: bool) -> None:
            if not decision.done():
                decision.set_result(value)

        post_request(lambda value: loop.call_soon_threadsafe(resolve, bool(value)))
        try:
            async with asyncio.timeout(DECISION_TIMEOUT.total_seconds()):
                return await decision
        except TimeoutError:
            return False
