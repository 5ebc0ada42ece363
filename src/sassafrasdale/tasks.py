"""Tasks that must never end."""

from collections.abc import Callable
from datetime import timedelta

from logbook import Logger

from sassafrasdale.green import sleep

log = Logger("tasks")

# Pause before a task that failed is started again.
TASK_PAUSE = timedelta(seconds=1)


def run_for_good(task: Callable[[], None]) -> None:
    """Run a task that must never end, also after an unforeseen error.

    Without this an error would end the task in silence, and its process would go on
    without, for example, heeding notices.
    """
    while True:
        try:
            task()
        except Exception:
            log.exception("task {} failed and is started again", task.__qualname__)
        sleep(TASK_PAUSE)
