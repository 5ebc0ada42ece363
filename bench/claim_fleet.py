"""Claims of several entries at once against one store with its limit.

Usage::

    python -m bench.claim_fleet --processes 9 --rate 50 --seconds 6

Each process claims at its own rate, as an entry would; the stand-in store accepts
300 writes per second in total.
"""

import argparse
import json
import subprocess
import sys

from bench.claims import Result, one_request, run
from sassafrasdale.clock import SystemClock
from sassafrasdale.coordination.batching import BatchingStore
from sassafrasdale.coordination.etcd import EtcdStore
from sassafrasdale.requests.claims import Claims
from sassafrasdale.structures import Address
from standins.processes import PlatformProcess


def run_entry(arguments: argparse.Namespace) -> None:
    """Claim as one entry and print the results as JSON."""
    store = EtcdStore(Address.parse(arguments.store), SystemClock())
    store_form = BatchingStore(store) if arguments.form == "gathered" else store
    claims = Claims(store_form, SystemClock())
    one_request(claims, Result())
    result = run(NoCounts(), claims, arguments.rate, arguments.seconds)
    print(json.dumps([result.waits_ms, result.refused, result.settled]))


class NoCounts:
    """Replaces the platform in a child process, as the parent counts all writes."""

    def counts(self) -> dict[str, dict[str, int]]:
        """Return no counts."""
        return {"store": {}}


def run_fleet(arguments: argparse.Namespace, form: str) -> str:
    """Run all processes with ``form`` of the store and return a row of the table."""
    with PlatformProcess() as platform:
        command = [sys.executable, "-m", "bench.claim_fleet", "--store", platform.store]
        command += ["--form", form, "--rate", str(arguments.rate)]
        command += ["--seconds", str(arguments.seconds)]
        children = [
            subprocess.Popen(command, stdout=subprocess.PIPE)
            for _ in range(arguments.processes)
        ]
        outputs = [child.communicate()[0] for child in children]
        writes = platform.counts()["store"]["writes"]
    total = Result(writes=writes)
    for output in outputs:
        waits_ms, refused, settled = json.loads(output)
        total.waits_ms += waits_ms
        total.refused += refused
        total.settled += settled
    rate = arguments.rate * arguments.processes
    return total.row(form, rate, int(rate * arguments.seconds))


def main() -> None:
    """Print a table, or act as one entry if a store is named."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--processes", type=int, default=9)
    parser.add_argument("--rate", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--store")
    parser.add_argument("--form", default="gathered")
    arguments = parser.parse_args()
    if arguments.store:
        run_entry(arguments)
        return
    for form in ("plain", "gathered"):
        print(run_fleet(arguments, form), flush=True)


if __name__ == "__main__":
    main()
