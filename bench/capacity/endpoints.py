"""Processor time and memory of one entry, by the number of known endpoints.

Usage::

    python -m bench.capacity endpoints
"""

import os
import time
from datetime import timedelta
from random import Random

from bench.capacity.records import record_of
from bench.capacity.results import Panel, Row, fit_columns, plot, write
from bench.capacity.texts_of_size import ZONES, make_text
from bench.capacity.usage import cpu_of, own_cpu, resident_bytes
from sassafrasdale.clock import SystemClock
from sassafrasdale.endpoints.adapters import HttpAdapter
from sassafrasdale.endpoints.directory import Directory
from sassafrasdale.endpoints.load_poller import LoadPoller
from sassafrasdale.green import sleep, spawn
from sassafrasdale.requests.selection import Selector
from sassafrasdale.structures import Address, Instance, Role
from sassafrasdale.text.current import CurrentText
from standins.processes import (
    Client,
    EngineProcess,
    EntryProcess,
    PlatformProcess,
    StandInProcess,
)

SIZES = (6, 30, 120, 480, 1900)
SERVICE = "model-0"
WINDOW_SECONDS = 20.0
SETTLE_SECONDS = 4.0
CHOICES = 200
PROMPT = "Draft the compliance report of batch 7. " * 50
PERCENT = 100
MILLISECONDS = 1000
MEBIBYTE = 2**20
KIBIBYTE = 2**10


def measure() -> None:
    """Measure every size and write the table and the plot."""
    rows = [_measure_size(size) for size in SIZES]
    slopes = {
        f"{y} by endpoints": fit_columns(rows, "endpoints", y)
        for y in ("resident_mib", "choice_ms", "list_kib_s")
    }
    write(
        "endpoints", {"endpoints": rows}, slopes, "python -m bench.capacity endpoints"
    )
    panels = (
        Panel("endpoints", ("cpu_percent",), "idle entry, % of a core"),
        Panel("endpoints", ("resident_mib",), "resident memory, MiB"),
        Panel("endpoints", ("choice_ms",), "one choice of an endpoint, ms"),
        Panel("endpoints", ("list_kib_s",), "list of instances, KiB/s"),
    )
    plot("capacity-endpoints", rows, panels)


def _measure_size(size: int) -> Row:
    with PlatformProcess() as platform, EngineProcess("engine-0", ZONES[0]) as engine:
        for number in range(size):
            platform.control(
                "POST", "instances", instance_document(number, engine.address)
            )
        row: Row = {"endpoints": size}
        row |= _entry_row(platform, size)
        row |= _reports_row(engine, size)
    row["choice_ms"] = _choice_ms(size)
    print(row, flush=True)
    return row


def _entry_row(platform: PlatformProcess, size: int) -> Row:
    """Measure an idle entry that knows ``size`` endpoints."""
    entry = EntryProcess("entry-0", ZONES[0], platform.store, platform.cloud)
    entry.launch()
    try:
        entry.wait_until_live()
        put_text(entry, make_text(1, replicas=size))
        entry.wait_until_ready()
        wait_for_endpoints(entry, size)
        time.sleep(SETTLE_SECONDS)
        lists = platform.counts()["cloud"].get("instances", 0)
        cpu, start = cpu_of(entry.pid), time.monotonic()
        time.sleep(WINDOW_SECONDS)
        seconds = time.monotonic() - start
        lists = platform.counts()["cloud"].get("instances", 0) - lists
        return {
            "cpu_percent": (cpu_of(entry.pid) - cpu) / seconds * PERCENT,
            "resident_mib": resident_bytes(entry.pid) / MEBIBYTE,
            "open_files": len(os.listdir(f"/proc/{entry.pid}/fd")),
            "lists_s": lists / seconds,
            "list_kib_s": lists / seconds * _list_bytes(platform) / KIBIBYTE,
        }
    finally:
        entry.close()


def put_text(entry: EntryProcess, text: str, revision: int = 0) -> None:
    """Apply an operators' configuration."""
    headers = {"If-Match": f'"{revision}"', "Content-Type": "application/yaml"}
    response = entry.client.call("PUT", "/admin/v1/text", text.encode(), headers)
    if response.status != 200:
        raise RuntimeError(f"the configuration was not accepted: {response.data!r}")


def instance_document(number: int, address: str) -> dict:
    """Return an engine's entry for the platform's instance list."""
    return {
        "name": f"engine-{number}",
        "role": "endpoint",
        "availability_zone": ZONES[number % len(ZONES)],
        "address": address,
        "service": SERVICE,
        "instance_class": "gpu-large",
    }


def wait_for_endpoints(entry: EntryProcess, size: int) -> None:
    """Wait until the entry lists ``size`` endpoints."""
    deadline = time.monotonic() + 60
    while time.monotonic() < deadline:
        status = entry.client.call("GET", "/admin/v1/status").json()
        if len(status["endpoints"]) == size:
            return
        time.sleep(0.2)
    raise TimeoutError(f"the entry did not list {size} endpoints")


def _list_bytes(platform: PlatformProcess) -> int:
    return len(Client(platform.cloud).call("GET", "/cloud/v1/instances").data)


class CountingAdapter(HttpAdapter):
    """Adapter that counts its calls."""

    calls = 0

    def ask(self, *args, **kwargs):
        """Call the endpoint and count the call."""
        CountingAdapter.calls += 1
        return super().ask(*args, **kwargs)


def _reports_row(engine: StandInProcess, size: int) -> Row:
    """Read load reports in this process, as an entry does."""
    clock = SystemClock()
    directory = Directory(clock, adapter_factory=CountingAdapter)
    directory.replace(_instances(size, Address.parse(engine.address)))
    reader = LoadPoller(directory, lambda service: True, clock, Random(1))
    calls, cpu, start = CountingAdapter.calls, own_cpu(), time.monotonic()
    reading = spawn(reader.run)
    sleep(timedelta(seconds=WINDOW_SECONDS))
    reading.kill()
    calls = CountingAdapter.calls - calls
    return {
        "reports_s": calls / (time.monotonic() - start),
        "report_cpu_ms": (own_cpu() - cpu) / calls * MILLISECONDS,
        "report_round_s": size / calls * (time.monotonic() - start),
    }


def _instances(size: int, address: Address) -> list[Instance]:
    return [
        Instance(
            f"engine-{number}",
            Role.ENDPOINT,
            ZONES[number % len(ZONES)],
            address,
            service=SERVICE,
            instance_class="gpu-large",
        )
        for number in range(size)
    ]


def _choice_ms(size: int) -> float:
    """Return the processor time of choosing among ``size`` endpoints, in ms."""
    clock = SystemClock()
    directory = Directory(clock)
    directory.replace(_instances(size, Address("127.0.0.1", 1)))
    current = CurrentText()
    current.accept(record_of(1, make_text(1, replicas=size)))
    selector = Selector(directory, current, ZONES[0], clock, Random(1))
    selector.refresh()
    deadline = clock.elapsed() + timedelta(seconds=60)
    wanted = selector.query_for(SERVICE, deadline, 4, prompt=PROMPT, max_tokens=200)
    start = own_cpu()
    for _ in range(CHOICES):
        selector.choose(wanted, frozenset())
    return (own_cpu() - start) / CHOICES * MILLISECONDS
