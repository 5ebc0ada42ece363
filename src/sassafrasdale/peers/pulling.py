"""Fetching a newer text from the peers that have it."""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from sassafrasdale.coordination.texts import TextRecord
from sassafrasdale.peers.channels import ChannelPool
from sassafrasdale.peers.exceptions import PeerNotReached
from sassafrasdale.peers.generated.peers_pb2 import Gossip, PullTextRequest
from sassafrasdale.peers.messages import text_from_message
from sassafrasdale.peers.structures import Member

PULL_HEDGE = timedelta(milliseconds=300)
"""After this time without the text another source is asked too."""


class TextPuller:
    """Asks one source after the other for a text newer than the one held.

    :param channels: connections to the peers.
    :param call_timeout: limit of one call.
    :param run: starts a task that ends with the agent.
    :param gossip: makes the part that every message carries, for a receiver.
    :param revision: revision of the text held here.
    :param taken: takes a text that came.
    """

    def __init__(
        self,
        channels: ChannelPool,
        call_timeout: timedelta,
        run: Callable[[Coroutine[Any, Any, Any]], asyncio.Task],
        gossip: Callable[[str], Gossip],
        revision: Callable[[], int],
        taken: Callable[[TextRecord], None],
    ) -> None:
        self._channels = channels
        self._call_timeout = call_timeout
        self._run = run
        self._gossip = gossip
        self._revision = revision
        self._taken = taken
        self._is_pulling = False
        self._pulled_from: set[str] = set()
        self._sources: dict[str, tuple[Member, int]] = {}

    def pull_soon(self, source: Member, revision: int) -> None:
        """Note that ``source`` has the text of a revision, and fetch it in turn."""
        if source.name in self._pulled_from:
            return
        self._sources[source.name] = (source, revision)
        if not self._is_pulling:
            self._is_pulling = True
            self._run(self._pull_in_turn())

    async def _pull_in_turn(self) -> None:
        """Pull from one source after the other, without waiting long for any.

        A source may be out of reach although its messages arrive, as when the
        network is cut in one direction. Waiting for its whole time-out, and again
        at its next message, would keep out what the others have.
        """
        try:
            while self._sources:
                name = next(iter(self._sources))
                source, revision = self._sources.pop(name)
                if revision <= self._revision():
                    continue
                pull = self._run(self._pull(source))
                await asyncio.wait([pull], timeout=PULL_HEDGE.total_seconds())
        finally:
            self._is_pulling = False

    async def _pull(self, source: Member) -> None:
        self._pulled_from.add(source.name)
        try:
            await self._pull_from(source)
        except PeerNotReached:
            # The next message with a newer revision starts another pull.
            pass
        finally:
            self._pulled_from.discard(source.name)

    async def _pull_from(self, source: Member) -> None:
        request = PullTextRequest(gossip=self._gossip(source.name))
        reply = await self._channels.call_twice(
            source.peer_address,
            lambda stub: stub.PullText(request),
            self._call_timeout,
        )
        record = text_from_message(reply)
        if record is not None:
            self._taken(record)
