"""Resource usage of a process, from the kernel's counters."""

import os
import time
from pathlib import Path

TICKS = os.sysconf("SC_CLK_TCK")
KIBIBYTE = 1024


def own_cpu() -> float:
    """Return this process's processor time in seconds."""
    return time.process_time()


def cpu_of(pid: int) -> float:
    """Return the processor time of a process in seconds, to a clock tick."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_bytes(pid: int | str = "self") -> int:
    """Return the resident memory of a process in bytes."""
    return _status(pid, "VmRSS")


def _status(pid: int | str, field: str) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1]) * KIBIBYTE
    raise KeyError(field)
