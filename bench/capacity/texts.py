"""The cost of configuration changes, by size and by number.

Usage::

    python -m bench.capacity texts
"""

import time
import zlib
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from random import Random

from bench.capacity.endpoints import put_text
from bench.capacity.records import record_of
from bench.capacity.results import Panel, Row, fit_columns, plot, write
from bench.capacity.texts_of_size import ZONES, make_text
from bench.capacity.usage import cpu_of, own_cpu
from sassafrasdale.text.parser import parse_text
from standins.processes import EntryProcess, PlatformProcess

MODEL_COUNTS = (2, 8, 32, 128, 500)
CHANGE_COUNTS = (1, 10, 50, 200)
ENTRY_COUNT = 6
MODELS = 4
IDLE_SECONDS = 15.0
PARSES = 3
WAIT_MS = 20_000
MILLISECONDS = 1000
STORE_KINDS = ("kv/range", "kv/txn", "watch", "writes", "calls")


def measure() -> None:
    """Measure both tables and write them and the plot."""
    sizes = [_measure_text(count) for count in MODEL_COUNTS]
    changes = _measure_changes()
    slopes = {
        f"{y} by services": fit_columns(sizes, "services", y)
        for y in ("text_bytes", "compressed_bytes", "parse_ms")
    } | {
        f"{y} by changes": fit_columns(changes, "changes", y)
        for y in ("cpu_ms", "writes", "calls")
    }
    tables = {"texts": sizes, "changes": changes}
    write("texts", tables, slopes, "python -m bench.capacity texts")
    panels = (
        Panel("services", ("parse_ms",), "processor time to check a text, ms"),
        Panel("services", ("text_bytes", "compressed_bytes"), "size of a text, bytes"),
    )
    plot("capacity-texts", sizes, panels)
    panels = (
        Panel("changes", ("cpu_ms",), "processor time an entry, ms, all changes"),
        Panel("changes", ("writes", "calls"), "calls to the store, all entries"),
        Panel("changes", ("in_force_p50_ms", "in_force_max_ms"), "in force on all, ms"),
    )
    plot("capacity-changes", changes, panels)


def _measure_text(models: int) -> Row:
    text = make_text(models)
    start = own_cpu()
    for _ in range(PARSES):
        parse_text(text)
    row: Row = {
        "services": models + 1,
        "text_bytes": len(text),
        "compressed_bytes": len(zlib.compress(text.encode())),
        "stored_bytes": len(record_of(1, text).to_json()),
        "parse_ms": (own_cpu() - start) / PARSES * MILLISECONDS,
    }
    print(row, flush=True)
    return row


def _measure_changes() -> list[Row]:
    with ExitStack() as stack:
        platform = stack.enter_context(PlatformProcess())
        entries = [
            EntryProcess(
                f"entry-{number}",
                ZONES[number % len(ZONES)],
                platform.store,
                platform.cloud,
            )
            for number in range(ENTRY_COUNT)
        ]
        for entry in entries:
            entry.launch()
            stack.callback(entry.close)
            platform.register(entry)
        entries[0].wait_until_live()
        put_text(entries[0], make_text(MODELS))
        for entry in entries:
            entry.wait_until_ready()
        time.sleep(5)
        return Changes(platform, entries).rows()


class Changes:
    """Edits of the current configuration on a few entries.

    :param platform: the platform's stand-in.
    :param entries: the entries, which are ready.
    """

    def __init__(self, platform: PlatformProcess, entries: list[EntryProcess]) -> None:
        self._platform = platform
        self._entries = entries
        self._revision = 1
        self._rng = Random(1)

    def rows(self) -> list[Row]:
        """Return a row for each number of changes."""
        idle_cpu, idle_calls = self._idle()
        return [self._row(count, idle_cpu, idle_calls) for count in CHANGE_COUNTS]

    def _idle(self) -> tuple[float, dict[str, float]]:
        """Return the cost of one second without changes."""
        cpu, calls, start = self._cpu(), self._calls(), time.monotonic()
        time.sleep(IDLE_SECONDS)
        seconds = time.monotonic() - start
        after = self._calls()
        rates = {kind: (after[kind] - calls[kind]) / seconds for kind in STORE_KINDS}
        return (self._cpu() - cpu) / seconds, rates

    def _row(self, count: int, idle_cpu: float, idle_calls: dict[str, float]) -> Row:
        cpu, calls, start = self._cpu(), self._calls(), time.monotonic()
        with ThreadPoolExecutor(len(self._entries)) as waiters:
            times = [self._change(waiters) for _ in range(count)]
        seconds = time.monotonic() - start
        after = self._calls()
        above_idle = self._cpu() - cpu - idle_cpu * seconds
        times.sort()
        row: Row = {
            "changes": count,
            "seconds": seconds,
            "cpu_ms": above_idle / len(self._entries) * MILLISECONDS,
            "in_force_p50_ms": times[len(times) // 2] * MILLISECONDS,
            "in_force_max_ms": times[-1] * MILLISECONDS,
        }
        for kind in STORE_KINDS:
            row[kind.removeprefix("kv/")] = after[kind] - calls[kind]
            row[f"idle_{kind.removeprefix('kv/')}_s"] = idle_calls[kind]
        print(row, flush=True)
        return row

    def _change(self, waiters: ThreadPoolExecutor) -> float:
        """Make one edit and return the seconds until all entries have applied it."""
        revision = self._revision
        waits = [
            waiters.submit(_wait_for_newer, each, revision) for each in self._entries
        ]
        text = make_text(MODELS, mark=f"edit {revision}")
        start = time.monotonic()
        put_text(self._rng.choice(self._entries), text, revision)
        self._revision += 1
        return max(wait.result() for wait in waits) - start

    def _cpu(self) -> float:
        return sum(cpu_of(entry.pid) for entry in self._entries)

    def _calls(self) -> dict[str, int]:
        counts = self._platform.counts()["store"]
        return {kind: counts.get(kind, 0) for kind in STORE_KINDS}


def _wait_for_newer(entry: EntryProcess, revision: int) -> float:
    """Return the monotonic time at which a newer configuration was applied."""
    response = entry.client.call(
        "GET",
        f"/admin/v1/text?wait_ms={WAIT_MS}",
        headers={"If-None-Match": f'"{revision}"'},
    )
    if response.status != 200:
        raise RuntimeError(f"{entry.name}: {response.status} while waiting for a text")
    return time.monotonic()
