"""The reaction of a fleet of peers to the loss of many members at once.

Usage::

    python -m bench.capacity faults

Three faults at each size: one node receives the reclaim notices of a whole
availability zone of endpoints; a fifth of the entries, the size of a region, is
partitioned from the rest for a while; a sixteenth is killed at once.
"""

import time

from bench.capacity.peer_fleet import Fleet, HostProcess, Usage
from bench.capacity.results import Panel, Row, plot, write

SIZES = ((16, 1), (32, 1), (48, 1), (80, 1))
ENDPOINTS_OF_A_ZONE = 119
ZONES = 16
REGIONS = 5
PARTITION_SECONDS = 30.0
SETTLE_SECONDS = 10.0
PERCENT = 100


def measure() -> None:
    """Measure every size and write the table and the plot."""
    rows = [_measure_size(size, share) for size, share in SIZES]
    write("faults", {"faults": rows}, {}, "python -m bench.capacity faults")
    panels = (
        Panel("nodes", ("wave_p99_s", "wave_max_s"), "119 notices known by all, s"),
        Panel("nodes", ("zone_dead_s",), "a sixteenth killed, known by all, s"),
        Panel("nodes", ("region_dead_s", "region_healed_s"), "a fifth cut, healed, s"),
    )
    plot("capacity-faults", rows, panels)


def _measure_size(size: int, share: int) -> Row:
    fleet = Fleet(size, share)
    try:
        row: Row = {"nodes": size, "nodes_a_process": share, "join_s": fleet.join()}
        time.sleep(SETTLE_SECONDS)
        row |= _wave_row(fleet, size)
        row |= _region_row(fleet, size)
        row |= _zone_row(fleet, size)
    finally:
        fleet.kill()
    print(row, flush=True)
    return row


def _wave_row(fleet: Fleet, size: int) -> Row:
    before = fleet.usage()
    times = fleet.spread_wave(fleet.hosts[0], 1, ENDPOINTS_OF_A_ZONE)
    time.sleep(SETTLE_SECONDS)
    return {
        "wave_p50_s": times[len(times) // 2],
        "wave_p99_s": times[len(times) * 99 // 100],
        "wave_max_s": times[-1],
    } | _usage_row("wave", before, fleet.usage(), size)


def _region_row(fleet: Fleet, size: int) -> Row:
    """Partition a fifth from the rest, then heal the partition."""
    count = max(1, len(fleet.hosts) // REGIONS)
    region, rest = fleet.hosts[:count], fleet.hosts[count:]
    before = fleet.usage()
    fleet.partition([region, rest])
    start = time.monotonic()
    for part in (region, rest):
        fleet.wait_for_alive(part, _nodes(part) - 1)
    seconds_to_dead = time.monotonic() - start
    time.sleep(PARTITION_SECONDS)
    partition_cost = _usage_row("region", before, fleet.usage(), size)
    fleet.partition([fleet.hosts])
    healed = fleet.wait_for_alive(fleet.hosts, size - 1)
    return {
        "region_dead_s": seconds_to_dead,
        "region_healed_s": healed,
    } | partition_cost


def _zone_row(fleet: Fleet, size: int) -> Row:
    """Kill a sixteenth of the nodes at once."""
    count = max(1, len(fleet.hosts) // ZONES)
    killed, rest = fleet.hosts[-count:], fleet.hosts[:-count]
    for host in killed:
        host.process.kill()
    seconds = fleet.wait_for_alive(rest, _nodes(rest) - 1)
    return {"zone_killed": _nodes(killed), "zone_dead_s": seconds}


def _nodes(hosts: list[HostProcess]) -> int:
    return sum(len(host.names) for host in hosts)


def _usage_row(name: str, before: Usage, after: Usage, size: int) -> Row:
    node_seconds = (after.at - before.at) * size
    return {
        f"{name}_window_s": after.at - before.at,
        f"{name}_cpu_percent": (after.cpu - before.cpu) / node_seconds * PERCENT,
        f"{name}_payload_bytes_s": (after.received - before.received) / node_seconds,
    }
