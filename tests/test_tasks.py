"""Tasks that must never end."""

from datetime import timedelta

from sassafrasdale import tasks
from sassafrasdale.green import Queue, spawn
from sassafrasdale.tasks import run_for_good


def test_a_task_that_fails_is_started_again(monkeypatch):
    """A duty would stand still until the process is restarted by hand."""
    monkeypatch.setattr(tasks, "TASK_PAUSE", timedelta(milliseconds=1))
    starts = Queue()

    def fail():
        starts.put(None)
        raise ValueError("unforeseen")

    running = spawn(run_for_good, fail)
    for _ in range(3):
        starts.get(timeout=2)
    running.kill()
