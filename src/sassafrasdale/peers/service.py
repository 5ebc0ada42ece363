"""The server side of the peers' messages."""

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
from sassafrasdale.peers.structures import FindAsked, HandOver, HandOverOffered

ANSWER_LIMIT = timedelta(milliseconds=1500)

Ask = Callable[[Callable[[bool], None]], None]


class _LateCancellations(logging.Filter):
    """Drops what grpclib logs as an error when a sender closes its connection.

    A sender closes idle channels right after an answer, sometimes while the
    handler is in its last step. grpclib then reports that the handler did not
    end by cancellation. Errors of handlers are logged in other words.
    """

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether ``record`` is to be logged."""
        return record.msg != "Failed to handle cancellation"


logging.getLogger("grpclib.server").addFilter(_LateCancellations())


class PeersService(PeersBase):
    """Answers the messages of other entries.

    :param agent: state and tasks of this entry.
    :param post: takes the messages for the green side.
    """

    def __init__(self, agent: PeerAgent, post: Callable[[object], None]) -> None:
        self._agent = agent
        self._post = post

    async def Probe(  # noqa: N802
        self, stream: Stream[ProbeRequest, ProbeReply]
    ) -> None:
        """Answer that this entry lives, with what the sender may lack."""
        request = await stream.recv_message()
        self._agent.take_in(request.gossip, served=True)
        sender = request.gossip.sender.name
        gossip = self._agent.gossip(sender, request.gossip.highest_notice)
        if request.wants_members:
            self._agent.add_members(gossip, self._agent.all_members())
        await stream.send_message(ProbeReply(gossip=gossip))

    async def ProbeIndirectly(  # noqa: N802
        self, stream: Stream[IndirectProbeRequest, IndirectProbeReply]
    ) -> None:
        """Probe another entry for the sender."""
        request = await stream.recv_message()
        self._agent.take_in(request.gossip, served=True)
        target = member_from_message(request.target)
        # In a task of its own: when the sender gives up, grpclib cancels this
        # handler, and the call inside would take that for its own failure.
        probe = self._agent.run(self._agent.probe_for(target))
        answered = await asyncio.shield(probe)
        gossip = self._agent.gossip(request.gossip.sender.name)
        await stream.send_message(IndirectProbeReply(gossip=gossip, answered=answered))

    async def Spread(  # noqa: N802
        self, stream: Stream[SpreadRequest, SpreadReply]
    ) -> None:
        """Take in news and pass it on."""
        request = await stream.recv_message()
        self._agent.take_in(request.gossip, served=True, hops_left=request.hops_left)
        gossip = self._agent.gossip(request.gossip.sender.name)
        await stream.send_message(SpreadReply(gossip=gossip))

    async def PullText(  # noqa: N802
        self, stream: Stream[PullTextRequest, PullTextReply]
    ) -> None:
        """Give the newest text held here."""
        request = await stream.recv_message()
        self._agent.take_in(request.gossip, served=True)
        reply = PullTextReply(gossip=self._agent.gossip(request.gossip.sender.name))
        if self._agent.record is not None:
            fill_text(reply, self._agent.record)
        await stream.send_message(reply)

    async def HandOver(  # noqa: N802
        self, stream: Stream[HandOverRequest, HandOverReply]
    ) -> None:
        """Offer a request to the green side and acknowledge if it took it."""
        request = await stream.recv_message()
        self._agent.take_in(request.gossip, served=True)
        sender = request.gossip.sender.name
        handover = HandOver(request.request_id, sender, request.request)
        accepted = await self._ask(
            lambda reply: self._post(HandOverOffered(handover, reply))
        )
        gossip = self._agent.gossip(sender)
        await stream.send_message(HandOverReply(gossip=gossip, accepted=accepted))

    async def Find(  # noqa: N802
        self, stream: Stream[FindRequest, FindReply]
    ) -> None:
        """Ask the green side whether it holds a request."""
        request = await stream.recv_message()
        self._agent.take_in(request.gossip, served=True)
        held = await self._ask(
            lambda reply: self._post(FindAsked(request.request_id, reply))
        )
        gossip = self._agent.gossip(request.gossip.sender.name)
        await stream.send_message(FindReply(gossip=gossip, held=held))

    async def _ask(self, ask: Ask) -> bool:
        """Return the green side's reply, or False if it gives none in time.

        A reply after the limit is lost: then the sender keeps the request and so
        does this entry, which is safe as resuming is idempotent.
        """
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[bool] = loop.create_future()

        def settle(value: bool) -> None:
            if not answer.done():
                answer.set_result(value)

        ask(lambda value: loop.call_soon_threadsafe(settle, bool(value)))
        try:
            async with asyncio.timeout(ANSWER_LIMIT.total_seconds()):
                return await answer
        except TimeoutError:
            return False
