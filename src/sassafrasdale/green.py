"""Wrapper of the cooperative scheduler, eventlet.

Nothing is monkey-patched: callers create green sockets explicitly. So the standard
library is unchanged for the thread that runs the peers' asyncio loop.
"""

import fcntl
import os
import socket
import sys
import termios
import warnings
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from sassafrasdale.structures import Address

# eventlet warns on import that it is in maintenance mode; docs/DEVIATIONS.md
# explains why it is used anyway.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

# The package resolves no host names, and eventlet's DNS resolver takes longer to import
# than the rest of eventlet.
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
    """Start ``function`` in a new task."""
    return eventlet.spawn(function, *args, **kwargs)


def current_task() -> GreenThread:
    """Return the current task."""
    return eventlet.getcurrent()


def interrupt(task: GreenThread, error: BaseException) -> None:
    """Raise ``error`` in another task, at the point where it waits."""
    eventlet.kill(task, error)


def sleep(pause: timedelta = timedelta()) -> None:
    """Suspend the current task for ``pause``."""
    eventlet.sleep(pause.total_seconds())


def make_green(sock: socket.socket) -> socket.socket:
    """Convert a plain socket to a green one."""
    return green_socket.socket(sock.family, sock.type, sock.proto, fileno=sock.detach())


def listen(address: Address, backlog: int = 1024) -> socket.socket:
    """Return a green listening socket bound to ``address``."""
    listener = eventlet.listen((address.host, address.port), backlog=backlog)
    # Inherited by accepted sockets. Without it, the last small write of a stream waits
    # for the peer's delayed acknowledgement, 40 ms on Linux.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


def close_listener(listener: socket.socket) -> None:
    """Close a listening socket, and wake the task that waits for its connections.

    Otherwise the event loop would keep that task for the descriptor, whose number may
    be another socket's by then.
    """
    # Its `notify_close` does nothing; this one wakes whoever waits for the descriptor.
    eventlet.hubs.notify_opened(listener.fileno())
    listener.close()


def datagram_socket(address: Address) -> socket.socket:
    """Return a green datagram socket bound to ``address``.

    :raises OSError: if it can't be bound.
    """
    sock = green_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.bind((address.host, address.port))
    except OSError:
        sock.close()
        raise
    return sock


# Delay from the expiry of a timer to its time-out; sockets are polled once more in it.
EXPIRY_GRACE = timedelta(milliseconds=20)


class Timeout(eventlet.Timeout):
    """Time-out that is raised in the task that starts it.

    The event loop runs expired timers before readable sockets. The grace period allows
    work to complete that could have completed while the process was stalled.
    """

    def start(self) -> None:
        """Start the timer."""
        self._call_after(self.seconds, self._expire, eventlet.getcurrent())

    def _expire(self, task: GreenThread) -> None:
        self._call_after(EXPIRY_GRACE.total_seconds(), task.throw, self)

    def _call_after(self, seconds: float, function: Callable, argument: Any) -> None:
        hub = eventlet.hubs.get_hub()
        self.timer = hub.schedule_call_global(seconds, function, argument)


def timeout(limit: timedelta) -> Timeout:
    """Return a context manager that raises :class:`Timeout` after ``limit``."""
    return Timeout(limit.total_seconds())


def connect(address: Address, limit: timedelta) -> socket.socket:
    """Return a green socket connected to ``address``.

    :raises OSError: if the connection is not established within ``limit``.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = green_socket.socket(family, socket.SOCK_STREAM)
    sock.settimeout(limit.total_seconds())
    try:
        _connect(sock, address)
    except BaseException:
        sock.close()
        raise
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def _connect(sock: socket.socket, address: Address) -> None:
    """Connect a green socket, also if that was done while the process was stalled.

    The event loop runs expired timers before writable sockets.
    """
    try:
        sock.connect((address.host, address.port))
    except TimeoutError as error:
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code)) from error
        try:
            sock.getpeername()
        except OSError:
            raise error from None


def receive(sock: socket.socket, size: int, limit: timedelta | None = None) -> bytes:
    """Receive bytes from a green socket, waiting if there are none.

    The ``recv`` of a green socket returns no bytes for a connection that was reset, as
    if the peer had closed it normally. A truncated message would then be taken for a
    complete one.

    :param limit: maximum time to wait; None for no limit.
    :raises TimeoutError: if no bytes arrive within ``limit``.
    :raises OSError: if the connection was reset, or was closed locally.
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


def unread_bytes(sock: socket.socket) -> int:
    """Return how many bytes have arrived at a green socket and were not received.

    :raises OSError: if it is closed.
    """
    size = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4))
    return int.from_bytes(size, sys.byteorder)


def _receive_now(sock: socket.socket, size: int, error: TimeoutError) -> bytes:
    """Return bytes that arrived while the process was stalled, or raise ``error``.

    The event loop runs expired timers before readable sockets.
    """
    try:
        return sock.fd.recv(size)
    except BlockingIOError:
        raise error from None
