"""Restart of background tasks after errors."""

from collections.abc import Callable
from datetime import timedelta

from logbook import Logger

from sassafrasdale.green import sleep

log = Logger("tasks")

# Delay before a failed task is restarted.
RESTART_DELAY = timedelta(seconds=1)


def run_forever(task: Callable[[], None]) -> None:
    """Run a task for ever, restarting it after an unexpected error.

    Otherwise an error would silently end the task, and its process would go on without,
    for example, handling reclaim notices.
    """
    while True:
        try:
            task()
        except Exception:
            log.exception("task {} failed and is started again", task.__qualname__)
        sleep(RESTART_DELAY)
