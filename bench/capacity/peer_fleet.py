"""Starts the processes of a measured fleet of peers and reads their reports."""

import json
import queue
import subprocess
import sys
import threading
import time
from collections import defaultdict
from dataclasses import dataclass
from datetime import timedelta

ZONE_COUNT = 16
START_TIMEOUT = timedelta(seconds=240)


@dataclass(frozen=True, slots=True)
class Usage:
    """The resource usage of all processes of the fleet so far.

    :param cpu: processor time in seconds.
    :param resident: resident memory in bytes.
    :param received: bytes of HTTP/2 received.
    :param connections: connections opened or accepted.
    :param open: connections that are open.
    :param segments: TCP segments sent.
    :param doubts: how often a node stopped considering another one alive.
    :param at: monotonic time in seconds.
    """

    cpu: float
    resident: int
    received: int
    connections: int
    open: int
    segments: int
    doubts: int
    at: float


class HostProcess:
    """One process with some of the nodes."""

    def __init__(self, names: list[str], zones: dict[str, str]) -> None:
        self.names = names
        arguments = [f"{name}={zones[name]}" for name in names]
        self.process = subprocess.Popen(
            [sys.executable, "-m", "bench.capacity.peer_host", *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def send(self, **command: object) -> None:
        """Send one command."""
        self.process.stdin.write(json.dumps(command) + "\n")
        self.process.stdin.flush()

    def kill(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()
        self.process.stdin.close()


class Fleet:
    """Peers in processes, each with the full list of peers, as from the platform.

    :param size: number of nodes.
    :param nodes_a_process: number of nodes in each process.
    """

    def __init__(self, size: int, nodes_a_process: int = 1) -> None:
        names = [f"entry-{number}" for number in range(size)]
        self._zones = {
            name: f"zone-{number % ZONE_COUNT}" for number, name in enumerate(names)
        }
        self._size = size
        self._sent: dict[str, float] = {}
        self._received: dict[str, dict[str, float]] = defaultdict(dict)
        self._alive: dict[str, int] = {}
        self._dead: dict[str, dict[str, float]] = defaultdict(dict)
        self._measures: queue.Queue[dict] = queue.Queue()
        self.hosts = [
            HostProcess(names[start : start + nodes_a_process], self._zones)
            for start in range(0, size, nodes_a_process)
        ]
        addresses: dict[str, str] = {}
        for host in self.hosts:
            addresses |= json.loads(host.process.stdout.readline())["addresses"]
            threading.Thread(target=self._read, args=(host,), daemon=True).start()
        self._addresses = addresses
        self.candidates = [(name, self._zones[name], addresses[name]) for name in names]

    def join(self) -> float:
        """Send the list to all and return the seconds until all consider all alive."""
        start = time.monotonic()
        for host in self.hosts:
            host.send(do="introduce", candidates=self.candidates)
        self.wait(
            lambda: (
                len(self._alive) == self._size
                and set(self._alive.values()) == {self._size - 1}
            )
        )
        return time.monotonic() - start

    def usage(self) -> Usage:
        """Return the sums over all processes."""
        for host in self.hosts:
            host.send(do="measure")
        usages = [self._measures.get(timeout=30) for _ in self.hosts]
        sums = {key: sum(usage[key] for usage in usages) for key in usages[0]}
        return Usage(**(sums | {"at": sums["at"] / len(usages)}))

    def spread(self, kind: str, host: HostProcess, **command: object) -> list[float]:
        """Have a node spread an update; return sorted seconds until others have it."""
        host.send(do=kind, **command)
        number = command["sequence" if kind == "notice" else "revision"]
        update = f"{kind}-{number}"
        self.wait(lambda: len(self._received[update]) >= self._size - 1)
        start = self._sent[update]
        return sorted(at - start for at in self._received[update].values())

    def spread_wave(self, host: HostProcess, first: int, count: int) -> list[float]:
        """Have a node receive ``count`` reclaim notices at once.

        :returns: sorted seconds until each other node had received all.
        """
        name = host.names[0]
        host.send(do="wave", first=first, count=count, name=name)
        wave = [f"notice-{number}" for number in range(first, first + count)]
        others = self._size - 1
        self.wait(lambda: all(len(self._received[update]) >= others for update in wave))
        start = self._sent[wave[-1]]
        last: dict[str, float] = defaultdict(float)
        for update in wave:
            for by, at in self._received[update].items():
                last[by] = max(last[by], at - start)
        return sorted(last.values())

    def partition(self, parts: list[list[HostProcess]]) -> None:
        """Partition the parts from each other; one part of all hosts heals this."""
        for part in parts:
            inside = {id(host) for host in part}
            outside = [
                self._addresses[name]
                for host in self.hosts
                if id(host) not in inside
                for name in host.names
            ]
            for host in part:
                host.send(do="cut", addresses=outside)

    def wait_for_alive(self, part: list[HostProcess], count: int) -> float:
        """Return seconds until each node of ``part`` knows ``count`` others alive."""
        start = time.monotonic()
        names = [name for host in part for name in host.names]
        self.wait(lambda: all(self._alive.get(name) == count for name in names))
        return time.monotonic() - start

    def seconds_to_dead(self, victim: HostProcess, start: float) -> list[float]:
        """Wait until all others consider the victim's first node dead.

        :returns: sorted seconds from ``start`` until each other node did.
        """
        name = victim.names[0]
        self._dead[name] = {by: at for by, at in self._dead[name].items() if at > start}
        others = self._size - len(victim.names)
        self.wait(lambda: len(self._dead[name]) >= others)
        return sorted(at - start for at in self._dead[name].values())

    def exclude(self, host: HostProcess) -> None:
        """Expect no more reports from the nodes of a killed process."""
        self._size -= len(host.names)

    def wait(self, condition, limit: timedelta = START_TIMEOUT) -> None:
        """Wait until ``condition`` holds.

        :raises TimeoutError: after ``limit``.
        """
        deadline = time.monotonic() + limit.total_seconds()
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(f"the condition did not hold within {limit}")
            time.sleep(0.02)

    def kill(self) -> None:
        """Kill every process."""
        for host in self.hosts:
            host.kill()

    def _read(self, host: HostProcess) -> None:
        for line in host.process.stdout:
            self._handle_line(json.loads(line))

    def _handle_line(self, line: dict) -> None:
        match line:
            case {"heard": update, "by": name, "at": at}:
                self._received[update].setdefault(name, at)
            case {"sent": update, "at": at}:
                self._sent[update] = at
            case {"alive": alive, "dead": dead, "by": name, "at": at}:
                self._alive[name] = alive
                for each in dead:
                    self._dead[each].setdefault(name, at)
            case _:
                self._measures.put(line)
