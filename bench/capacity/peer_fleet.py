"""Starts the processes of a measured fleet of peers and reads what they hear."""

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
START_LIMIT = timedelta(seconds=240)


@dataclass(frozen=True, slots=True)
class Usage:
    """What all processes of the fleet have used so far.

    :param cpu: processor time in seconds.
    :param resident: resident memory in bytes.
    :param received: bytes of HTTP/2 received.
    :param connections: connections made or taken.
    :param open: connections that are open.
    :param segments: TCP segments sent.
    :param doubts: how often a node ceased to take another for alive.
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

    def tell(self, **command: object) -> None:
        """Send one command."""
        self.process.stdin.write(json.dumps(command) + "\n")
        self.process.stdin.flush()

    def end(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()
        self.process.stdin.close()


class Fleet:
    """Peers in processes, each knowing the full list, as from the platform.

    :param size: number of nodes.
    :param nodes_a_process: how many share a process.
    """

    def __init__(self, size: int, nodes_a_process: int = 1) -> None:
        names = [f"entry-{number}" for number in range(size)]
        self._zones = {
            name: f"zone-{number % ZONE_COUNT}" for number, name in enumerate(names)
        }
        self._size = size
        self._sent: dict[str, float] = {}
        self._heard: dict[str, dict[str, float]] = defaultdict(dict)
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
        """Give the list to all and return seconds until all know all alive."""
        start = time.monotonic()
        for host in self.hosts:
            host.tell(do="introduce", candidates=self.candidates)
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
            host.tell(do="measure")
        parts = [self._measures.get(timeout=30) for _ in self.hosts]
        sums = {key: sum(part[key] for part in parts) for key in parts[0]}
        return Usage(**(sums | {"at": sums["at"] / len(parts)}))

    def spread(self, what: str, host: HostProcess, **command: object) -> list[float]:
        """Have a node spread news; return sorted seconds until each other heard."""
        host.tell(do=what, **command)
        number = command["sequence" if what == "notice" else "revision"]
        news = f"{what}-{number}"
        self.wait(lambda: len(self._heard[news]) >= self._size - 1)
        start = self._sent[news]
        return sorted(at - start for at in self._heard[news].values())

    def spread_wave(self, host: HostProcess, first: int, count: int) -> list[float]:
        """Have a node hear of ``count`` reclaims at once.

        :returns: sorted seconds until each other node had heard of all.
        """
        name = host.names[0]
        host.tell(do="wave", first=first, count=count, name=name)
        wave = [f"notice-{number}" for number in range(first, first + count)]
        others = self._size - 1
        self.wait(lambda: all(len(self._heard[news]) >= others for news in wave))
        start = self._sent[wave[-1]]
        last: dict[str, float] = defaultdict(float)
        for news in wave:
            for by, at in self._heard[news].items():
                last[by] = max(last[by], at - start)
        return sorted(last.values())

    def cut(self, parts: list[list[HostProcess]]) -> None:
        """Let no part reach another; one part of all hosts heals the cut."""
        for part in parts:
            inside = {id(host) for host in part}
            outside = [
                self._addresses[name]
                for host in self.hosts
                if id(host) not in inside
                for name in host.names
            ]
            for host in part:
                host.tell(do="cut", addresses=outside)

    def wait_for_alive(self, part: list[HostProcess], count: int) -> float:
        """Return seconds until every node of ``part`` has ``count`` others alive."""
        start = time.monotonic()
        names = [name for host in part for name in host.names]
        self.wait(lambda: all(self._alive.get(name) == count for name in names))
        return time.monotonic() - start

    def seconds_to_dead(self, victim: HostProcess, start: float) -> list[float]:
        """Wait until all others have the victim's first node as dead.

        :returns: sorted seconds from ``start`` until each other node did.
        """
        name = victim.names[0]
        self._dead[name] = {by: at for by, at in self._dead[name].items() if at > start}
        others = self._size - len(victim.names)
        self.wait(lambda: len(self._dead[name]) >= others)
        return sorted(at - start for at in self._dead[name].values())

    def leave_out(self, host: HostProcess) -> None:
        """Expect nothing more of the nodes of a killed process."""
        self._size -= len(host.names)

    def wait(self, condition, limit: timedelta = START_LIMIT) -> None:
        """Wait until ``condition`` holds.

        :raises TimeoutError: after ``limit``.
        """
        until = time.monotonic() + limit.total_seconds()
        while not condition():
            if time.monotonic() > until:
                raise TimeoutError(f"not so within {limit}")
            time.sleep(0.02)

    def end(self) -> None:
        """Kill every process."""
        for host in self.hosts:
            host.end()

    def _read(self, host: HostProcess) -> None:
        for line in host.process.stdout:
            self._take(json.loads(line))

    def _take(self, line: dict) -> None:
        match line:
            case {"heard": news, "by": name, "at": at}:
                self._heard[news].setdefault(name, at)
            case {"sent": news, "at": at}:
                self._sent[news] = at
            case {"alive": alive, "dead": dead, "by": name, "at": at}:
                self._alive[name] = alive
                for each in dead:
                    self._dead[each].setdefault(name, at)
            case _:
                self._measures.put(line)
