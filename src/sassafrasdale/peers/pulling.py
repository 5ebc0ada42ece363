"""Pulls a newer configuration from the peers that have it."""

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
"""Time without a reply after which the next source is tried as well."""


class TextPuller:
    """Pulls a newer configuration from one source after the other.

    :param channels: channels to the peers.
    :param call_timeout: timeout of one call.
    :param run: starts a task that is cancelled when the agent stops.
    :param gossip: returns the gossip for a receiver.
    :param revision: returns the revision of the configuration known here.
    :param on_text: called with each pulled configuration.
    """

    def __init__(
        self,
        channels: ChannelPool,
        call_timeout: timedelta,
        run: Callable[[Coroutine[Any, Any, Any]], asyncio.Task],
        gossip: Callable[[str], Gossip],
        revision: Callable[[], int],
        on_text: Callable[[TextRecord], None],
    ) -> None:
        self._channels = channels
        self._call_timeout = call_timeout
        self._run = run
        self._gossip = gossip
        self._revision = revision
        self._on_text = on_text
        self._is_running = False
        self._in_progress: set[str] = set()
        self._sources: dict[str, tuple[Member, int]] = {}

    def pull_soon(self, source: Member, revision: int) -> None:
        """Add ``source``, which has the given revision, to the sources to pull from."""
        if source.name in self._in_progress:
            return
        self._sources[source.name] = (source, revision)
        if not self._is_running:
            self._is_running = True
            self._run(self._pull_sources())

    async def _pull_sources(self) -> None:
        """Pull from one source after the other, with a hedge delay between them.

        A source may be unreachable although its messages arrive, for instance in
        a one-way partition. Waiting for its full timeout, and again after its next
        message, would delay the pull from the other sources.
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
            self._is_running = False

    async def _pull(self, source: Member) -> None:
        self._in_progress.add(source.name)
        try:
            await self._pull_from(source)
        except PeerNotReached:
            # The next message that has a newer revision starts another pull.
            pass
        finally:
            self._in_progress.discard(source.name)

    async def _pull_from(self, source: Member) -> None:
        request = PullTextRequest(gossip=self._gossip(source.name))
        reply = await self._channels.call_with_retry(
            source.peer_address,
            lambda stub: stub.PullText(request),
            self._call_timeout,
        )
        record = text_from_message(reply)
        if record is not None:
            self._on_text(record)
