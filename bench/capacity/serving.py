"""Processor time of an entry for a request and for a stream event.

Usage::

    python -m bench.capacity serving

The cost of an idle entry is measured first and subtracted.
"""

import time
from concurrent.futures import ThreadPoolExecutor

from bench.capacity.endpoints import put_text
from bench.capacity.results import Panel, Row, fit_columns, plot, write
from bench.capacity.texts_of_size import ZONES, make_text
from bench.capacity.usage import cpu_of, resident_bytes
from standins.processes import (
    EngineProcess,
    EntryProcess,
    PlatformProcess,
    ServiceProcess,
)

REQUEST_COUNTS = (250, 500, 1000, 2000)
STREAM_TOKENS = (8, 32, 128, 512)
STREAMS = 60
WORKERS = 12
IDLE_SECONDS = 10.0
STEP_MS = 5
HEADERS = {"X-Customer": "press"}
MILLISECONDS = 1000
MICROSECONDS = 1_000_000
MEBIBYTE = 2**20


def measure() -> None:
    """Measure requests and streams and write the tables and the plot."""
    with (
        PlatformProcess() as platform,
        EngineProcess(
            "engine-0",
            ZONES[0],
            "model-0",
            instance_class="gpu-large",
            step_ms=STEP_MS,
        ) as engine,
        ServiceProcess(
            "records-0", ZONES[0], "records", instance_class="cpu-small"
        ) as service,
    ):
        platform.register(engine)
        platform.register(service)
        entry = EntryProcess("entry-0", ZONES[0], platform.store, platform.cloud)
        entry.launch()
        try:
            entry.wait_until_live()
            put_text(entry, make_text(1, replicas=1))
            entry.wait_until_ready()
            _measure_entry(entry)
        finally:
            entry.close()


def _measure_entry(entry: EntryProcess) -> None:
    time.sleep(2)
    idle = _idle_cpu(entry)
    requests = [_requests_row(entry, count, idle) for count in REQUEST_COUNTS]
    streams = [_streams_row(entry, tokens, idle) for tokens in STREAM_TOKENS]
    idle_rows = [{"idle_cpu_percent": idle * 100}]
    slopes = {
        "cpu_ms by requests": fit_columns(requests, "requests", "cpu_ms"),
        "cpu_ms of a stream by tokens": fit_columns(streams, "tokens", "cpu_ms"),
    }
    tables = {"idle": idle_rows, "requests": requests, "streams": streams}
    write("serving", tables, slopes, "python -m bench.capacity serving")
    panels = (Panel("requests", ("cpu_ms",), "processor time of all requests, ms"),)
    plot("capacity-requests", requests, panels)
    panels = (Panel("tokens", ("cpu_ms",), "processor time of one stream, ms"),)
    plot("capacity-streams", streams, panels)


def _idle_cpu(entry: EntryProcess) -> float:
    """Return the share of a core that the idle entry uses."""
    cpu, start = cpu_of(entry.pid), time.monotonic()
    time.sleep(IDLE_SECONDS)
    return (cpu_of(entry.pid) - cpu) / (time.monotonic() - start)


def _requests_row(entry: EntryProcess, count: int, idle: float) -> Row:
    """Measure ``count`` lookups."""

    def look_up(number: int) -> None:
        path = f"/v1/services/records/lookups/{number}"
        response = entry.client.call("GET", path, headers=HEADERS)
        if response.status != 200:
            raise RuntimeError(f"{response.status} {response.data!r}")

    cpu, seconds = _measure_calls(entry, look_up, count)
    row: Row = {
        "requests": count,
        "seconds": seconds,
        "requests_s": count / seconds,
        "cpu_ms": (cpu - idle * seconds) * MILLISECONDS,
        "cpu_ms_a_request": (cpu - idle * seconds) / count * MILLISECONDS,
        "resident_mib": resident_bytes(entry.pid) / MEBIBYTE,
    }
    print(row, flush=True)
    return row


def _streams_row(entry: EntryProcess, tokens: int, idle: float) -> Row:
    """Measure ``STREAMS`` streams of ``tokens`` tokens."""

    def stream(number: int) -> None:
        body = {
            "model": "model-0",
            "messages": [{"role": "user", "content": f"Batch {number}?"}],
            "max_tokens": tokens,
            "stream": True,
        }
        response = entry.client.stream("POST", "/v1/chat/completions", body, HEADERS)
        data = b"".join(response.stream(65536))
        if not data.rstrip().endswith(b"data: [DONE]"):
            raise RuntimeError(
                f"{response.status}: the stream was interrupted: {data[-200:]!r}"
            )

    cpu, seconds = _measure_calls(entry, stream, STREAMS)
    above_idle = cpu - idle * seconds
    row: Row = {
        "tokens": tokens,
        "seconds": seconds,
        "events_s": STREAMS * tokens / seconds,
        "cpu_ms": above_idle / STREAMS * MILLISECONDS,
        "cpu_us_an_event": above_idle / STREAMS / tokens * MICROSECONDS,
        "resident_mib": resident_bytes(entry.pid) / MEBIBYTE,
    }
    print(row, flush=True)
    return row


def _measure_calls(entry: EntryProcess, call, count: int) -> tuple[float, float]:
    """Return processor and elapsed seconds for ``count`` calls."""
    cpu, start = cpu_of(entry.pid), time.monotonic()
    with ThreadPoolExecutor(WORKERS) as workers:
        list(workers.map(call, range(count)))
    return cpu_of(entry.pid) - cpu, time.monotonic() - start
