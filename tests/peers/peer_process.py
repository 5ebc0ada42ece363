"""A node in its own process, controlled by JSON lines.

Commands on standard input are
``{"candidates": [[name, zone, peer_address], ...]}``, ``{"mute": bool}``,
``{"claim": revision}`` and ``{"cut": [peer_address, ...]}``. A muted node keeps its
sockets open and sends requests, but no replies. A node that is cut from addresses
can't send to them. Standard output has ``{"peer_address"}`` once and then
``{"members": {name: state}}`` after each change.
"""

import asyncio
import json
import sys
import threading
from datetime import UTC, datetime
from random import Random

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import Queue
from sassafrasdale.peers import agent as agent_module
from sassafrasdale.peers import node as node_module
from sassafrasdale.peers.channels import ChannelPool
from sassafrasdale.peers.exceptions import PeerNotReached
from sassafrasdale.peers.node import PeerNode
from sassafrasdale.peers.service import PeersService
from sassafrasdale.peers.structures import MembersChanged, TextRecord
from sassafrasdale.structures import Address
from tests.peers.nodes import FAST, Settings, instance_of


class MutableService(PeersService):
    """Service that can stop replying."""

    is_muted = False

    async def Probe(self, stream):  # noqa: N802
        """Reply to a probe, unless muted."""
        await self._hang_if_muted()
        await super().Probe(stream)

    async def ProbeIndirectly(self, stream):  # noqa: N802
        """Reply to an indirect probe, unless muted."""
        await self._hang_if_muted()
        await super().ProbeIndirectly(stream)

    async def Spread(self, stream):  # noqa: N802
        """Reply to updates, unless muted."""
        await self._hang_if_muted()
        await super().Spread(stream)

    async def PullText(self, stream):  # noqa: N802
        """Return the configuration, unless muted."""
        await self._hang_if_muted()
        await super().PullText(stream)

    async def _hang_if_muted(self):
        if MutableService.is_muted:
            await asyncio.Event().wait()


class CuttableChannels(ChannelPool):
    """Channels that fail for some addresses."""

    cut: frozenset[Address] = frozenset()

    async def call(self, address, call, limit):
        """Make a call, or fail immediately if the address is cut off."""
        if address in CuttableChannels.cut:
            raise PeerNotReached(f"{address} is cut off")
        return await super().call(address, call, limit)


def write(**line):
    """Write one JSON line."""
    print(json.dumps(line), flush=True)


def run_commands(node):
    """Execute the commands from standard input; runs in a thread."""
    for line in sys.stdin:
        command = json.loads(line)
        MutableService.is_muted = command.get("mute", MutableService.is_muted)
        if "claim" in command:
            node.offer_text(_claimed(command["claim"]))
        if "cut" in command:
            CuttableChannels.cut = frozenset(map(Address.parse, command["cut"]))
        if "candidates" in command:
            node.set_candidates(
                instance_of(name, zone, Address.parse(address))
                for name, zone, address in command["candidates"]
            )


def _claimed(revision):
    return TextRecord(revision, "edit", "ana", datetime.now(UTC).isoformat(), "")


def main():
    """Run the node until it is killed."""
    node_module.PeersService = MutableService
    agent_module.ChannelPool = CuttableChannels
    name, zone = sys.argv[1:]
    inbox = Queue()
    node = PeerNode(Settings(name, zone), SystemClock(), Random(name), inbox, FAST)
    node.start()
    write(peer_address=str(node.peer_address))
    threading.Thread(target=run_commands, args=(node,), daemon=True).start()
    while True:
        message = inbox.get()
        if isinstance(message, MembersChanged):
            write(members={each.name: each.state.name for each in message.members})


if __name__ == "__main__":
    main()
