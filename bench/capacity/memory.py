"""Resident memory of an idle entry, by the modules that are loaded.

Usage::

    python -m bench.capacity memory
"""

import subprocess
import sys
import time

from bench.capacity.endpoints import put_text
from bench.capacity.results import Row, write
from bench.capacity.texts_of_size import ZONES, make_text
from bench.capacity.usage import resident_bytes
from standins.processes import ROOT, EntryProcess, PlatformProcess

MEBIBYTE = 2**20
REPORT = (
    "; import sys; from bench.capacity.usage import resident_bytes;"
    " print(resident_bytes())"
)
STAGES = {
    "bare interpreter": "pass",
    "eventlet": "import sassafrasdale.green",
    "eventlet, grpclib and peers": "import sassafrasdale.peers.node",
    "eventlet and OpenTelemetry": "import sassafrasdale.metrics, sassafrasdale.green",
    "the whole package": "import sassafrasdale.entry",
}
SETTLE_SECONDS = 5


def measure() -> None:
    """Measure every stage and write the table."""
    rows: list[Row] = [_row(name, _imported(code)) for name, code in STAGES.items()]
    rows.append(_row("an entry that is ready and idle", _ready_entry()))
    write("memory", {"memory": rows}, {}, "python -m bench.capacity memory")


def _row(stage: str, resident: int) -> Row:
    return {"stage": stage, "resident_mib": resident / MEBIBYTE}


def _imported(code: str) -> int:
    """Return the resident memory of an interpreter that has run ``code``."""
    output = subprocess.run(
        [sys.executable, "-c", code + REPORT],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    return int(output)


def _ready_entry() -> int:
    with PlatformProcess() as platform:
        entry = EntryProcess("entry-0", ZONES[0], platform.store, platform.cloud)
        entry.launch()
        try:
            entry.wait_until_live()
            put_text(entry, make_text(2))
            entry.wait_until_ready()
            time.sleep(SETTLE_SECONDS)
            return resident_bytes(entry.pid)
        finally:
            entry.close()
