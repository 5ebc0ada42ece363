"""Bytes and calls of an idle entry to the store, the cloud API and the engines.

Usage::

    python -m bench.capacity control

All connections pass through counting proxies. ``peers`` measures the cost of peers.
"""

import time

from bench.capacity.endpoints import instance_document, put_text, wait_for_endpoints
from bench.capacity.proxies import CountingProxy
from bench.capacity.results import Line, Panel, Row, fit_columns, plot, write
from bench.capacity.texts_of_size import ZONES, make_text
from bench.capacity.usage import cpu_of
from standins.processes import EngineProcess, EntryProcess, PlatformProcess

SIZES = (3, 9, 30, 120)
MODEL_COUNTS = (2, 8, 32, 128)
WINDOW_SECONDS = 30.0
SETTLE_SECONDS = 4.0
PERCENT = 100
KINDS = ("kv/range", "kv/txn", "watch")


def measure() -> None:
    """Measure every number of endpoints and write the table and the plot."""
    rows = [_measure_size(size, 1) for size in SIZES]
    texts = [_measure_size(SIZES[0], models) for models in MODEL_COUNTS]
    ys = ("store_bytes_s", "cloud_bytes_s", "engine_bytes_s", "cpu_percent")
    slopes: dict[str, Line] = {
        f"{y} by endpoints": fit_columns(rows, "endpoints", y) for y in ys
    }
    slopes["store_bytes_s by services"] = fit_columns(
        texts, "services", "store_bytes_s"
    )
    tables = {"by endpoints": rows, "by services": texts}
    write("control", tables, slopes, "python -m bench.capacity control")
    plot("capacity-control", rows, (Panel("endpoints", ys[:3], "bytes a second"),))


def _measure_size(size: int, models: int) -> Row:
    with PlatformProcess() as platform, EngineProcess("engine-0", ZONES[0]) as engine:
        store, cloud, engines = map(
            CountingProxy, (platform.store, platform.cloud, engine.address)
        )
        for number in range(size):
            platform.control(
                "POST", "instances", instance_document(number, engines.address)
            )
        entry = EntryProcess("entry-0", ZONES[0], store.address, cloud.address)
        platform.register(entry)
        entry.launch()
        try:
            entry.wait_until_live()
            put_text(entry, make_text(models, replicas=size))
            entry.wait_until_ready()
            wait_for_endpoints(entry, size)
            time.sleep(SETTLE_SECONDS)
            row = _measure_window(platform, entry, (store, cloud, engines))
        finally:
            entry.close()
    row = {"endpoints": size, "services": models + 1} | row
    print(row, flush=True)
    return row


def _measure_window(
    platform: PlatformProcess, entry: EntryProcess, proxies: tuple[CountingProxy, ...]
) -> Row:
    before, calls = [each.bytes for each in proxies], _calls(platform)
    cpu, start = cpu_of(entry.pid), time.monotonic()
    time.sleep(WINDOW_SECONDS)
    seconds = time.monotonic() - start
    cpu = cpu_of(entry.pid) - cpu
    names = ("store", "cloud", "engine")
    row: Row = {
        f"{name}_bytes_s": (proxy.bytes - count) / seconds
        for name, proxy, count in zip(names, proxies, before, strict=True)
    }
    row["cpu_percent"] = cpu / seconds * PERCENT
    for kind, count in _calls(platform).items():
        row[f"{kind}_s"] = (count - calls.get(kind, 0)) / seconds
    return row


def _calls(platform: PlatformProcess) -> dict[str, int]:
    counts = platform.counts()
    store = {kind: counts["store"].get(kind, 0) for kind in KINDS}
    return store | {f"cloud {kind}": count for kind, count in counts["cloud"].items()}
