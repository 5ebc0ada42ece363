"""Starts and observes nodes that run as processes."""

import json
import signal
import subprocess
import sys
import threading
import time
from datetime import timedelta

from tests.peers.nodes import ZONES

LIMIT = timedelta(seconds=20)


class PeerProcess:
    """A node in its own process, and the member states that it last reported."""

    def __init__(self, number: int) -> None:
        self.name = f"entry-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.members: dict[str, str] = {}
        self.history: list[dict[str, str]] = []
        self._process = subprocess.Popen(
            [sys.executable, "-m", "tests.peers.peer_process", self.name, self.zone],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.peer_address = json.loads(self._process.stdout.readline())["peer_address"]
        threading.Thread(target=self._read, daemon=True).start()

    def send_command(self, **command) -> None:
        """Send one command."""
        self._process.stdin.write(json.dumps(command) + "\n")
        self._process.stdin.flush()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    def end(self) -> None:
        """Kill the process, which may be stopped."""
        self._process.kill()
        self._process.wait()
        self._process.stdin.close()

    def _read(self) -> None:
        for line in self._process.stdout:
            self.members = json.loads(line)["members"]
            self.history.append(self.members)


def introduce(processes: list[PeerProcess]) -> None:
    """Send the list of all processes to every process, as the platform does."""
    listed = [[each.name, each.zone, each.peer_address] for each in processes]
    for each in processes:
        each.send_command(candidates=listed)


def wait_for(condition, limit: timedelta = LIMIT) -> timedelta:
    """Return the time until ``condition`` held; fail after ``limit``."""
    start = time.monotonic()
    while not condition():
        assert time.monotonic() - start < limit.total_seconds(), (
            "timed out waiting for the condition"
        )
        time.sleep(0.01)
    return timedelta(seconds=time.monotonic() - start)


def all_see(observers: list[PeerProcess], name: str, state: str) -> bool:
    """Return whether every observer has ``name`` in ``state``."""
    return all(each.members.get(name) == state for each in observers)
