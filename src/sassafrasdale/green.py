"""What the package knows of the cooperative scheduler that it runs on.

Nothing is monkey-patched: green sockets are asked for by name. So the standard
library stays as it is for the thread that runs the peers' asyncio loop.
"""

import os
import socket
import warnings
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from sassafrasdale.structures import Address

# eventlet warns on import that it is in maintenance mode; docs/DEVIATIONS.md
# says why it is used all the same.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

# Nothing here looks names up, and eventlet's own resolver takes longer to load than
# all the rest of it.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

import eventlet  # noqa: E402
import eventlet.event  # noqa: E402
import eventlet.hubs  # noqa: E402
import eventlet.queue  # noqa: E402
import eventlet.semaphore  # noqa: E402
from eventlet.green import socket as green_socket  # noqa: E402

Queue = eventlet.queue.Queue
Empty = eventlet.queue.Empty
Event = eventlet.event.Event
GreenThread = eventlet.greenthread.GreenThread
GreenletExit = eventlet.greenlet.GreenletExit
Semaphore = eventlet.semaphore.Semaphore


def spawn(function: Callable[..., Any], *args: Any, **kwargs: Any) -> GreenThread:
    """Start ``function`` as a task of its own."""
    return eventlet.spawn(function, *args, **kwargs)


def current_task() -> GreenThread:
    """Return the task that runs now."""
    return eventlet.getcurrent()


def interrupt(task: GreenThread, error: BaseException) -> None:
    """Raise ``error`` in another task, where it waits."""
    eventlet.kill(task, error)


def sleep(pause: timedelta = timedelta()) -> None:
    """Let other tasks run for ``pause``."""
    eventlet.sleep(pause.total_seconds())


def make_green(sock: socket.socket) -> socket.socket:
    """Return a green socket in place of a plain one."""
    return green_socket.socket(sock.family, sock.type, sock.proto, fileno=sock.detach())


def listen(address: Address, backlog: int = 1024) -> socket.socket:
    """Return a green listening socket bound to ``address``."""
    listener = eventlet.listen((address.host, address.port), backlog=backlog)
    # Accepted sockets inherit this. Without it the last small write of a stream
    # waits for the peer's delayed acknowledgement, 40 ms on Linux.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


# Between the end of a limit and the time-out, so that sockets are looked at once more.
LAST_LOOK = timedelta(milliseconds=20)


class Timeout(eventlet.Timeout):
    """Time-out of the task that starts it, raised there.

    Timers that are due go before sockets that can be read. So work that could have
    ended while the process was held up gets the time to do so.
    """

    def start(self) -> None:
        """Begin to count."""
        self._call_after(self.seconds, self._expire, eventlet.getcurrent())

    def _expire(self, task: GreenThread) -> None:
        self._call_after(LAST_LOOK.total_seconds(), task.throw, self)

    def _call_after(self, seconds: float, function: Callable, argument: Any) -> None:
        hub = eventlet.hubs.get_hub()
        self.timer = hub.schedule_call_global(seconds, function, argument)


def timeout(limit: timedelta) -> Timeout:
    """Return a context manager that raises :class:`Timeout` after ``limit``."""
    return Timeout(limit.total_seconds())


def connect(address: Address, limit: timedelta) -> socket.socket:
    """Return a green socket connected to ``address``.

    :raises OSError: if there is no connection within ``limit``.
    """
    sock = green_socket.create_connection(
        (address.host, address.port), limit.total_seconds()
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def receive(sock: socket.socket, size: int, limit: timedelta | None = None) -> bytes:
    """Return bytes that a green socket has, waiting for them if need be.

    A green socket's own ``recv`` gives no bytes for a connection that was reset,
    as if the other end had closed it in order. What was cut off in the middle would
    then be taken for whole.

    :param limit: longest time to wait; None for any.
    :raises TimeoutError: if nothing comes within ``limit``.
    :raises OSError: if the connection is reset or was closed here.
    """
    seconds = None if limit is None else limit.total_seconds()
    while True:
        try:
            return sock.fd.recv(size)
        except BlockingIOError:
            pass
        try:
            eventlet.hubs.trampoline(
                sock.fd, read=True, timeout=seconds, timeout_exc=TimeoutError
            )
        except TimeoutError as error:
            return _receive_now(sock, size, error)


def _receive_now(sock: socket.socket, size: int, error: TimeoutError) -> bytes:
    """Return bytes that came while this process was held up, or raise ``error``.

    Timers that are due go before sockets that can be read.
    """
    try:
        return sock.fd.recv(size)
    except BlockingIOError:
        raise error from None
