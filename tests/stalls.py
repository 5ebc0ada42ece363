"""Simulated stalls of the whole process for longer than its tasks' time-outs."""

import socket
import time
from collections.abc import Callable
from datetime import timedelta

from sassafrasdale.green import make_green, receive, sleep, spawn


def hold_up(pause: timedelta, first: Callable[[], object] = lambda: None) -> None:
    """Block the whole process from a task that has just received bytes."""
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
    """Return a connected pair of a green and a plain socket."""
    here, there = socket.socketpair()
    return make_green(here), there
