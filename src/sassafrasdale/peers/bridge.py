"""Connects green tasks with an asyncio loop in a native thread.

The standard library is not monkey-patched, so the loop runs in an ordinary thread
beside the green hub. Neither side accesses the other's objects: green tasks submit
coroutines to the loop, and the loop posts functions that a green task runs.
"""

import asyncio
import socket
import threading
from collections import deque
from collections.abc import Callable, Coroutine
from concurrent.futures import Future
from datetime import timedelta
from typing import Any, TypeVar

from logbook import Logger

from sassafrasdale.green import (
    Event,
    GreenletExit,
    Timeout,
    green_socket,
    spawn,
    timeout,
)
from sassafrasdale.peers.exceptions import PeerCallTimeout

Result = TypeVar("Result")

WAKE_BYTES = 4096

log = Logger(__name__)


class Mailbox:
    """Queue of functions, posted by any thread and run in order by a green task."""

    def __init__(self) -> None:
        self._posted: deque[tuple[Callable[..., Any], tuple[Any, ...]]] = deque()
        receiver, self._sender = socket.socketpair()
        self._sender.setblocking(False)
        self._receiver = green_socket.socket(receiver)
        self._task = spawn(self._run)

    def post(self, function: Callable[..., Any], *args: Any) -> None:
        """Have the green task call ``function``; callable from any thread."""
        self._posted.append((function, args))
        try:
            self._sender.send(b"\0")
        except BlockingIOError:
            # The buffer is full of unread wake-ups, so the task will run anyway.
            pass
        except OSError:
            # The mailbox is closed, so the message isn't needed.
            pass

    def close(self) -> None:
        """Stop the green task and discard the remaining functions."""
        self._task.kill()
        self._sender.close()
        self._receiver.close()

    def _run(self) -> None:
        while self._receiver.recv(WAKE_BYTES):
            self._drain()

    def _drain(self) -> None:
        while self._posted:
            function, args = self._posted.popleft()
            try:
                function(*args)
            except GreenletExit:
                raise
            except Exception:
                log.exception("failed to handle a message from the peers' thread")


class LoopThread:
    """An asyncio loop in its own thread.

    :param mailbox: delivers results to green tasks.
    :param name: name of the thread.
    """

    def __init__(self, mailbox: Mailbox, name: str = "peers") -> None:
        self._mailbox = mailbox
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The loop; other threads may only call ``call_soon_threadsafe``."""
        return self._loop

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the loop and wait for the thread to end."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def submit(self, function: Callable[..., Any], *args: Any) -> None:
        """Schedule a call of ``function`` on the loop."""
        self._loop.call_soon_threadsafe(function, *args)

    def call(self, coroutine: Coroutine[Any, Any, Result], limit: timedelta) -> Result:
        """Run ``coroutine`` on the loop; block the green task until its result.

        :raises PeerCallTimeout: if it has not finished within ``limit``.
        """
        done = Event()
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        future.add_done_callback(lambda result: self._mailbox.post(done.send, result))
        return self._wait(done, future, limit)

    def _wait(self, done: Event, future: Future, limit: timedelta) -> Any:
        timer = timeout(limit)
        try:
            return done.wait().result()
        except Timeout as expired:
            if expired is not timer:
                raise
            future.cancel()
            raise PeerCallTimeout(f"no result within {limit}") from None
        finally:
            timer.cancel()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        try:
            self._loop.run_forever()
        finally:
            self._close_loop()

    def _close_loop(self) -> None:
        tasks = asyncio.all_tasks(self._loop)
        for task in tasks:
            task.cancel()
        self._loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        self._loop.close()
