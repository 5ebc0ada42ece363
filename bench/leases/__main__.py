"""Measure how long the capacity duty is without a holder that acts.

Usage::

    python -m bench.leases --rounds 4
"""

import argparse
import time
from collections.abc import Callable, Iterable
from datetime import timedelta

import urllib3

from standins.fleet import Fleet
from standins.processes import EntryProcess, ProcessError

ENTRIES = 3
EXAMPLE = "examples/authority.yaml"
TAKEOVER_TIMEOUT = timedelta(seconds=60)
POLL_INTERVAL = timedelta(milliseconds=20)
# States in which the leader sends orders to engines that check fencing, and to all.
ACTS_ON_CHECKING = ("settling", "holding")
ACTS_ON_ALL = ("holding",)
SHUTDOWNS: dict[str, Callable[[EntryProcess], None]] = {
    "killed": EntryProcess.kill,
    "stopped (SIGSTOP)": EntryProcess.freeze,
    "planned stop (SIGTERM)": lambda entry: entry.terminate(),
}


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rounds", type=int, default=4)
    rounds = parser.parse_args().rounds
    with open(EXAMPLE, encoding="utf-8") as file:
        text = file.read()
    print(f"{ENTRIES} entries, {rounds} times each; shortest to longest")
    print()
    print("| end of the holder | orders to checking engines | all orders |")
    print("| --- | --- | --- |")
    with Fleet(text, entries=ENTRIES) as fleet:
        for name, shut_down in SHUTDOWNS.items():
            times = [_take_over(fleet, shut_down) for _ in range(rounds)]
            checking = _range([each[0] for each in times])
            print(f"| {name} | {checking} | {_range([each[1] for each in times])} |")


def _take_over(
    fleet: Fleet, shut_down: Callable[[EntryProcess], None]
) -> tuple[float, ...]:
    """Shut the leader down; return the times until another acts, partly and fully."""
    leader, _ = _wait_for(fleet.entries, ACTS_ON_ALL)
    others = [entry for entry in fleet.entries if entry is not leader]
    began = time.monotonic()
    shut_down(leader)
    _, partly = _wait_for(others, ACTS_ON_CHECKING)
    _, fully = _wait_for(others, ACTS_ON_ALL)
    leader.close()
    fleet.platform.remove(leader.name)
    fleet.entries.remove(leader)
    fleet.add_entry(leader.name, leader.zone).wait_until_ready()
    return partly - began, fully - began


def _wait_for(
    entries: Iterable[EntryProcess], states: Iterable[str]
) -> tuple[EntryProcess, float]:
    deadline = time.monotonic() + TAKEOVER_TIMEOUT.total_seconds()
    while time.monotonic() < deadline:
        for entry in entries:
            if _duty_state(entry) in states:
                return entry, time.monotonic()
        time.sleep(POLL_INTERVAL.total_seconds())
    raise ProcessError("no entry took over the duty")


def _duty_state(entry: EntryProcess) -> str:
    try:
        status = entry.client.call("GET", "/admin/v1/status").json()
    except urllib3.exceptions.HTTPError:
        return ""
    return status["duties"]["capacity"]


def _range(seconds: list[float]) -> str:
    return f"{min(seconds):.1f} to {max(seconds):.1f} s"


if __name__ == "__main__":
    main()
