"""Restart of background tasks."""

from datetime import timedelta

from sassafrasdale import tasks
from sassafrasdale.green import Queue, spawn
from sassafrasdale.tasks import run_forever


def test_a_failed_task_is_restarted(monkeypatch):
    """Guards against a duty that stops until the process is restarted manually."""
    monkeypatch.setattr(tasks, "RESTART_DELAY", timedelta(milliseconds=1))
    starts = Queue()

    def fail():
        starts.put(None)
        raise ValueError("unforeseen")

    running = spawn(run_forever, fail)
    for _ in range(3):
        starts.get(timeout=2)
    running.kill()
