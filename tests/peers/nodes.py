"""Nodes for the tests, and helpers to list them and to wait."""

from dataclasses import dataclass
from datetime import timedelta
from random import Random

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import Queue, sleep
from sassafrasdale.peers.node import PeerNode
from sassafrasdale.peers.structures import PeerTimings
from sassafrasdale.structures import Address, Instance, Role

ZONES = ("zone-a", "zone-b", "zone-c")
FAST = PeerTimings(
    period=timedelta(milliseconds=200),
    probe_timeout=timedelta(milliseconds=300),
    retry_timeout=timedelta(milliseconds=400),
    suspicion=timedelta(milliseconds=500),
    forget=timedelta(seconds=2),
    pause=timedelta(milliseconds=800),
    spread_interval=timedelta(milliseconds=50),
)


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a node in a test."""

    name: str
    availability_zone: str
    address: Address = Address("127.0.0.1", 1)
    peer_address: Address = Address("127.0.0.1", 0)


def start_node(number: int, timings: PeerTimings = FAST) -> tuple[PeerNode, Queue]:
    """Return a started node and its inbox."""
    inbox = Queue()
    settings = Settings(f"entry-{number}", ZONES[number % len(ZONES)])
    node = PeerNode(settings, SystemClock(), Random(number), inbox, timings)
    node.start()
    return node, inbox


def instance_of(name: str, availability_zone: str, peer_address: Address) -> Instance:
    """Return the node as the platform lists it."""
    return Instance(
        name=name,
        role=Role.ENTRY,
        availability_zone=availability_zone,
        address=Address("127.0.0.1", 1),
        peer_address=peer_address,
    )


def instances_of(nodes: list[PeerNode]) -> list[Instance]:
    """Return the nodes as the platform lists them."""
    return [
        instance_of(f"entry-{number}", ZONES[number % len(ZONES)], node.peer_address)
        for number, node in enumerate(nodes)
    ]


def wait_until(condition, limit: timedelta = timedelta(seconds=15)) -> timedelta:
    """Return the time until ``condition`` held; fail after ``limit``."""
    clock = SystemClock()
    start = clock.elapsed()
    while not condition():
        assert clock.elapsed() - start < limit, "timed out waiting for the condition"
        sleep(timedelta(milliseconds=10))
    return clock.elapsed() - start
