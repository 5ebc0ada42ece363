"""Processes that stand still: all tasks at once, for longer than they wait."""

import socket
import time
from collections.abc import Callable
from datetime import timedelta

from sassafrasdale.green import make_green, receive, sleep, spawn


def hold_up(pause: timedelta, first: Callable[[], object] = lambda: None) -> None:
    """Have a task that has just read something keep the process busy."""
    here, there = green_pair()

    def read_and_work() -> None:
        receive(here, 10)
        first()
        time.sleep(pause.total_seconds())

    task = spawn(read_and_work)
    sleep()
    there.send(b"work")
    task.wait()


def green_pair() -> tuple[socket.socket, socket.socket]:
    """Return a green socket and the plain one at its other end."""
    here, there = socket.socketpair()
    return make_green(here), there
