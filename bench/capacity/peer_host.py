"""A process with one or more peer nodes, driven by JSON lines.

Standard input takes commands, standard output reports what the nodes receive. Times
are from the machine's monotonic clock, which all processes share.
"""

import asyncio
import gc
import json
import os
import sys
import threading
import time
from dataclasses import dataclass
from datetime import UTC, datetime
from random import Random

from bench.capacity.traffic import count_traffic, total_segments
from bench.capacity.usage import own_cpu, resident_bytes
from sassafrasdale.clock import SystemClock
from sassafrasdale.coordination.texts import TextRecord
from sassafrasdale.green import Event, Queue, spawn
from sassafrasdale.peers import agent as agent_module
from sassafrasdale.peers.channels import ChannelPool
from sassafrasdale.peers.exceptions import PeerNotReached
from sassafrasdale.peers.node import PeerNode
from sassafrasdale.peers.structures import (
    HandOverOffered,
    MembersChanged,
    MemberState,
    NoticeReceived,
    TextOffered,
)
from sassafrasdale.structures import Address, Instance, Notice, Role

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a measured node."""

    name: str
    availability_zone: str
    address: Address = Address("127.0.0.1", 1)
    peer_address: Address = Address("127.0.0.1", 0)


class PartitionableChannels(ChannelPool):
    """Channels that can be partitioned from some addresses."""

    unreachable: frozenset[Address] = frozenset()

    async def call(self, address, call, limit):
        """Make a call; it times out if the address is unreachable."""
        if address in PartitionableChannels.unreachable:
            await asyncio.sleep(limit.total_seconds())
            raise PeerNotReached(f"{address} is unreachable")
        return await super().call(address, call, limit)


class Host:
    """The nodes of this process.

    :param names: names of the nodes, each with its availability zone.
    """

    def __init__(self, names: list[tuple[str, str]]) -> None:
        self._traffic = count_traffic()
        self._write_lock = threading.Lock()
        self._doubts = 0
        self._alive: dict[str, int] = {}
        self._nodes = {name: self._start(name, zone) for name, zone in names}

    def run(self) -> None:
        """Report the addresses and then what the nodes receive, until input ends."""
        addresses = {name: str(node.peer_address) for name, node in self.nodes.items()}
        self.write(addresses=addresses)
        threading.Thread(target=self._run_commands, daemon=True).start()
        Event().wait()

    @property
    def nodes(self) -> dict[str, PeerNode]:
        """The nodes by name."""
        return self._nodes

    def write(self, **line: object) -> None:
        """Write one JSON line."""
        with self._write_lock:
            sys.stdout.write(json.dumps(line) + "\n")
            sys.stdout.flush()

    def _start(self, name: str, zone: str) -> PeerNode:
        inbox = Queue()
        node = PeerNode(Settings(name, zone), SystemClock(), Random(name), inbox)
        node.start()
        spawn(self._report, name, inbox)
        return node

    def _report(self, name: str, inbox: Queue) -> None:
        """Report what one node receives."""
        while True:
            message = inbox.get()
            now = time.monotonic()
            match message:
                case TextOffered(record):
                    self.write(heard=f"text-{record.revision}", by=name, at=now)
                case NoticeReceived(notice):
                    self.write(heard=f"notice-{notice.sequence}", by=name, at=now)
                case HandOverOffered(_, reply):
                    reply(True)
                case MembersChanged(members):
                    alive = sum(each.is_usable for each in members)
                    self._doubts += max(0, self._alive.get(name, 0) - alive)
                    self._alive[name] = alive
                    dead = [
                        each.name for each in members if each.state is MemberState.DEAD
                    ]
                    self.write(alive=alive, dead=dead, by=name, at=now)

    def _run_commands(self) -> None:
        for line in sys.stdin:
            command = json.loads(line)
            getattr(self, f"_do_{command.pop('do')}")(**command)
        os._exit(0)

    def _do_introduce(self, candidates: list[tuple[str, str, str]]) -> None:
        instances = [
            Instance(name, Role.ENTRY, zone, Address("127.0.0.1", 1), Address.parse(at))
            for name, zone, at in candidates
        ]
        for node in self._nodes.values():
            node.set_candidates(instances)

    def _do_notice(self, sequence: int, name: str) -> None:
        notice = Notice(sequence, f"endpoint-{sequence}", EPOCH)
        self.write(sent=f"notice-{sequence}", at=time.monotonic())
        self._nodes[name].spread_notice(notice)

    def _do_wave(self, first: int, count: int, name: str) -> None:
        """Have a node receive many reclaim notices at once."""
        self.write(sent=f"notice-{first + count - 1}", at=time.monotonic())
        for sequence in range(first, first + count):
            notice = Notice(sequence, f"endpoint-{sequence}", EPOCH)
            self._nodes[name].spread_notice(notice)

    def _do_cut(self, addresses: list[str]) -> None:
        PartitionableChannels.unreachable = frozenset(map(Address.parse, addresses))

    def _do_text(self, revision: int, name: str, text: str) -> None:
        record = TextRecord(revision, f"edit-{revision}", "bench", EPOCH, text)
        self.write(sent=f"text-{revision}", at=time.monotonic())
        self._nodes[name].offer_text(record)

    def _do_measure(self) -> None:
        gc.collect()
        self.write(
            cpu=own_cpu(),
            resident=resident_bytes(),
            received=self._traffic.received,
            connections=self._traffic.connections,
            open=self._traffic.open_protocols,
            segments=total_segments(self._traffic),
            doubts=self._doubts,
            at=time.monotonic(),
        )


if __name__ == "__main__":
    agent_module.ChannelPool = PartitionableChannels
    Host([tuple(name.split("=")) for name in sys.argv[1:]]).run()
