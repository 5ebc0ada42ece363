"""Processor time of handing over a request, at sender and receiver, by its size.

Usage::

    python -m bench.capacity handovers
"""

import time
from datetime import timedelta
from random import Random

from bench.capacity.peer_fleet import Fleet
from bench.capacity.peer_host import Settings
from bench.capacity.results import Panel, Row, fit_columns, plot, write
from bench.capacity.usage import own_cpu
from sassafrasdale.clock import SystemClock
from sassafrasdale.green import Queue, sleep, spawn
from sassafrasdale.peers.node import PeerNode
from sassafrasdale.peers.structures import HandOver
from sassafrasdale.structures import Address, Instance, Role

SIZES_KIB = (1, 8, 32, 128)
COUNT = 260
CONCURRENCY = 16
KIBIBYTE = 2**10
MILLISECONDS = 1000


def measure() -> None:
    """Measure every size and write the table and the plot."""
    fleet = Fleet(1)
    try:
        node, inbox = _sender(fleet)
        rows = [_measure_size(node, fleet, size) for size in SIZES_KIB]
        node.stop()
    finally:
        fleet.kill()
    slopes = {
        f"{y} by KiB": fit_columns(rows, "kib", y)
        for y in ("holder_cpu_ms", "receiver_cpu_ms")
    }
    write(
        "handovers", {"handovers": rows}, slopes, "python -m bench.capacity handovers"
    )
    panels = (
        Panel("kib", ("holder_cpu_ms", "receiver_cpu_ms"), "processor time each, ms"),
        Panel("kib", ("handovers_s",), "hand-overs a second"),
    )
    plot("capacity-handovers", rows, panels)


def _sender(fleet: Fleet) -> tuple[PeerNode, Queue]:
    """Return a node in this process that knows the fleet's node, and its inbox."""
    inbox: Queue = Queue()
    settings = Settings("leaving", "zone-b")
    node = PeerNode(settings, SystemClock(), Random(1), inbox)
    node.start()
    name, zone, address = fleet.candidates[0]
    receiver = Instance(
        name, Role.ENTRY, zone, Address("127.0.0.1", 1), Address.parse(address)
    )
    node.set_candidates([receiver])
    while not any(member.is_usable for member in node.members()):
        sleep(timedelta(milliseconds=50))
    return node, inbox


def _measure_size(node: PeerNode, fleet: Fleet, kib: int) -> Row:
    """Hand over ``COUNT`` requests, several concurrently, as a leaving entry does."""
    body = bytes(kib * KIBIBYTE)
    refused = []

    def send(first: int) -> None:
        for number in range(first, COUNT, CONCURRENCY):
            handover = HandOver(f"request-{number}", "leaving", body)
            if not node.hand_over(fleet.candidates[0][0], handover):
                refused.append(number)

    before = fleet.usage()
    cpu, start = own_cpu(), time.monotonic()
    tasks = [spawn(send, first) for first in range(CONCURRENCY)]
    for task in tasks:
        task.wait()
    seconds = time.monotonic() - start
    cpu = own_cpu() - cpu
    after = fleet.usage()
    row: Row = {
        "kib": kib,
        "handovers": COUNT,
        "refused": len(refused),
        "seconds": seconds,
        "handovers_s": COUNT / seconds,
        "holder_cpu_ms": cpu / COUNT * MILLISECONDS,
        "receiver_cpu_ms": (after.cpu - before.cpu) / COUNT * MILLISECONDS,
    }
    print(row, flush=True)
    return row
