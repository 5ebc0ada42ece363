"""The cost of a peer, and the times to spread updates and detect failures.

Usage::

    python -m bench.capacity peers
"""

import signal
import time
import tracemalloc
from dataclasses import replace
from random import Random

from bench.capacity.peer_fleet import ZONE_COUNT, Fleet, HostProcess, Usage
from bench.capacity.results import Line, Panel, Row, fit_columns, plot, write
from bench.capacity.traffic import HEADERS_OF_SEGMENT
from bench.capacity.usage import own_cpu
from sassafrasdale.clock import SystemClock
from sassafrasdale.peers.agent import UPDATES_PER_MESSAGE, VERIFICATIONS_PER_PERIOD
from sassafrasdale.peers.membership import Membership
from sassafrasdale.peers.structures import Member, PeerTimings
from sassafrasdale.structures import Address

SIZES = ((3, 1), (9, 1), (27, 1), (81, 1))
# Sizes for the membership table alone; such fleets need several machines.
TABLE_SIZES = (9, 81, 320, 1280)
TABLE_CHANGES = 200
QUIET_SECONDS = 40.0
# After all start at once: the time until their joins are no longer passed on.
SETTLE_SECONDS = 5.0
SETTLE_SECONDS_A_NODE = 0.3
UPDATE_COUNT = 20
UPDATE_INTERVAL = 0.5
# About the size of the operators' configuration for 30 services.
TEXT = "services:\n" + "".join(
    f"  service-{number}:\n    timeout: {number}s\n" for number in range(600)
)
MEBIBYTE = 2**20
KIBIBYTE = 2**10
ADDRESS = Address("127.0.0.1", 1)
PERCENT = 100
MILLISECONDS = 1000


def measure() -> None:
    """Measure every size and write the table and the plot."""
    alone = _measure_alone()
    rows = [_measure_size(size, share) for size, share in SIZES]
    tables = {
        "peers": rows,
        "alone": [alone],
        "membership": [_measure_table(size) for size in TABLE_SIZES],
    }
    slopes = _slopes(rows)
    write("peers", tables, slopes, "python -m bench.capacity peers")
    panels = (
        Panel("nodes", ("cpu_percent",), "processor time, % of a core a node"),
        Panel(
            "nodes", ("payload_bytes_s", "wire_bytes_s"), "bytes sent a second a node"
        ),
        Panel("nodes", ("text_p99_s", "notice_p99_s"), "news known by all but 1%, s"),
        Panel("nodes", ("killed_s", "frozen_s"), "failure known by all, s"),
    )
    plot("capacity-peers", rows, panels)


def _measure_alone() -> Row:
    """Measure a process with a node that has no peers, as the baseline."""
    fleet = Fleet(1)
    try:
        before, after = _quiet(fleet)
    finally:
        fleet.kill()
    return {
        "cpu_percent": (after.cpu - before.cpu) / (after.at - before.at) * PERCENT,
        "resident_mib": after.resident / MEBIBYTE,
    }


def _measure_table(size: int) -> Row:
    """Measure one entry's membership table of ``size`` nodes, without messages."""
    members = [
        Member(f"entry-{number}", f"zone-{number % ZONE_COUNT}", ADDRESS, ADDRESS)
        for number in range(size)
    ]
    tracemalloc.start()
    membership = Membership(members[0], SystemClock(), Random(1), PeerTimings())
    for member in members[1:]:
        membership.apply(replace(member, incarnation=1))
    allocated = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    start = own_cpu()
    for number in range(TABLE_CHANGES):
        member = members[1 + number % (size - 1)]
        membership.apply(replace(member, incarnation=number + 2))
        membership.take_updates(UPDATES_PER_MESSAGE)
        membership.next_targets(VERIFICATIONS_PER_PERIOD)
        membership.expire()
        _ = membership.members
    cpu = (own_cpu() - start) / TABLE_CHANGES
    row: Row = {
        "nodes": size,
        "membership_kib": allocated / KIBIBYTE,
        "change_cpu_ms": cpu * MILLISECONDS,
    }
    print(row, flush=True)
    return row


def _measure_size(size: int, share: int) -> Row:
    fleet = Fleet(size, share)
    try:
        joined = fleet.join()
        time.sleep(SETTLE_SECONDS + SETTLE_SECONDS_A_NODE * size)
        row: Row = {"nodes": size, "nodes_a_process": share, "join_s": joined}
        row |= _quiet_row(fleet, size)
        row |= _update_row(fleet, size, row)
        row |= _failure_row(fleet, size)
    finally:
        fleet.kill()
    print(row, flush=True)
    return row


def _quiet(fleet: Fleet) -> tuple[Usage, Usage]:
    before = fleet.usage()
    time.sleep(QUIET_SECONDS)
    return before, fleet.usage()


def _quiet_row(fleet: Fleet, size: int) -> Row:
    """Measure while peers only probe each other."""
    before, after = _quiet(fleet)
    node_seconds = (after.at - before.at) * size
    payload = (after.received - before.received) / node_seconds
    segments = (after.segments - before.segments) / node_seconds
    return {
        "cpu_percent": (after.cpu - before.cpu) / node_seconds * PERCENT,
        "payload_bytes_s": payload,
        "wire_bytes_s": payload + segments * HEADERS_OF_SEGMENT,
        "segments_s": segments,
        "connections_s": (after.connections - before.connections) / node_seconds / 2,
        "open_connections": after.open / size,
        "false_doubts": after.doubts - before.doubts,
        "resident_mib": after.resident / len(fleet.hosts) / MEBIBYTE,
    }


def _update_row(fleet: Fleet, size: int, quiet: Row) -> Row:
    """Spread notices and texts from random nodes; costs exclude those while quiet."""
    rng = Random(size)
    times: dict[str, list[float]] = {"notice": [], "text": []}
    costs: dict[str, float] = {}
    for kind in times:
        before = fleet.usage()
        for number in range(1, UPDATE_COUNT + 1):
            host = rng.choice(fleet.hosts)
            extra = {"sequence": number}
            if kind == "text":
                extra = {"revision": number, "text": f"{TEXT}# {number}\n"}
            times[kind] += fleet.spread(kind, host, name=host.names[0], **extra)
            time.sleep(UPDATE_INTERVAL)
        after = fleet.usage()
        window = after.at - before.at
        cpu = (after.cpu - before.cpu) / size - quiet["cpu_percent"] / PERCENT * window
        payload = (after.received - before.received) / size
        payload -= quiet["payload_bytes_s"] * window
        costs[f"{kind}_cpu_ms"] = cpu / UPDATE_COUNT * MILLISECONDS
        costs[f"{kind}_bytes"] = payload / UPDATE_COUNT
    return {
        "notice_p50_s": _percentile(times["notice"], 50),
        "notice_p99_s": _percentile(times["notice"], 99),
        "notice_max_s": max(times["notice"]),
        "text_p50_s": _percentile(times["text"], 50),
        "text_p99_s": _percentile(times["text"], 99),
        "text_max_s": max(times["text"]),
        **costs,
    }


def _failure_row(fleet: Fleet, size: int) -> Row:
    """Kill one process and freeze another; a fleet of three only loses one."""
    killed = _seconds_to_dead(fleet, fleet.hosts[-1], signal.SIGKILL)
    row: Row = {"killed_first_s": killed[0], "killed_s": killed[-1]}
    if size > 3:
        fleet.exclude(fleet.hosts[-1])
        frozen = _seconds_to_dead(fleet, fleet.hosts[0], signal.SIGSTOP)
        row |= {"frozen_first_s": frozen[0], "frozen_s": frozen[-1]}
    return row


def _seconds_to_dead(
    fleet: Fleet, victim: HostProcess, number: signal.Signals
) -> list[float]:
    start = time.monotonic()
    victim.process.send_signal(number)
    return fleet.seconds_to_dead(victim, start)


def _percentile(values: list[float], percent: int) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]


def _slopes(rows: list[Row]) -> dict[str, Line]:
    return {
        f"{y} by nodes": fit_columns(rows, "nodes", y)
        for y in ("cpu_percent", "wire_bytes_s", "resident_mib", "open_connections")
    }
