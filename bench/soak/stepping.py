"""A gateway whose time of day is stepped by signals, as when a machine's clock is set.

Usage: ``python -m bench.soak.stepping gateway ...``, with the gateway's own arguments.
SIGUSR1 steps its time of day forward, SIGUSR2 back; the elapsed time is not affected.
"""

import runpy
import signal
from datetime import datetime, timedelta

from sassafrasdale.clock import SystemClock

PROGRAM = "bench.soak.stepping"
STEP_FORWARD = signal.SIGUSR1
STEP_BACK = signal.SIGUSR2
STEP = timedelta(seconds=3)


def install_clock_steps() -> None:
    """Install signal handlers that step this process's time of day."""
    original = SystemClock.now
    offsets = [timedelta()]

    def stepped(self: SystemClock) -> datetime:
        return original(self) + sum(offsets, timedelta())

    SystemClock.now = stepped
    signal.signal(STEP_FORWARD, lambda number, frame: offsets.append(STEP))
    signal.signal(STEP_BACK, lambda number, frame: offsets.append(-STEP))


if __name__ == "__main__":
    install_clock_steps()
    runpy.run_module("sassafrasdale", run_name="__main__", alter_sys=True)
