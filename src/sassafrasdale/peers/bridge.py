"""Messages between the green tasks and an asyncio loop in a native thread.

Nothing is monkey-patched, so the loop runs on an ordinary thread beside the
green hub. Neither side touches the other's objects: green tasks submit
coroutines, and the loop posts functions that a green task runs.
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
    """Functions that any thread posts and one green task runs in order."""

    def __init__(self) -> None:
        self._posted: deque[tuple[Callable[..., Any], tuple[Any, ...]]] = deque()
        reading, self._waking = socket.socketpair()
        self._waking.setblocking(False)
        self._reading = green_socket.socket(reading)
        self._task = spawn(self._run)

    def post(self, function: Callable[..., Any], *args: Any) -> None:
        """Have the green task call ``function``; callable from any thread."""
        self._posted.append((function, args))
        try:
            self._waking.send(b"\0")
        except BlockingIOError:
            # The buffer is full of wake-ups that are still to be read.
            pass
        except OSError:
            # Closed: nobody waits for the message any more.
            pass

    def close(self) -> None:
        """Stop the green task; what is still posted is dropped."""
        self._task.kill()
        self._waking.close()
        self._reading.close()

    def _run(self) -> None:
        while self._reading.recv(WAKE_BYTES):
            self._drain()

    def _drain(self) -> None:
        while self._posted:
            function, args = self._posted.popleft()
            try:
                function(*args)
            except GreenletExit:
                raise
            except Exception:
                log.exception("a message from the peers' thread was not taken")


class LoopThread:
    """An asyncio loop in a thread of its own.

    :param mailbox: where results go on their way to green tasks.
    :param name: name of the thread.
    """

    def __init__(self, mailbox: Mailbox, name: str = "peers") -> None:
        self._mailbox = mailbox
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The loop; only ``call_soon_threadsafe`` is for other threads."""
        return self._loop

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the loop and wait for the thread to end."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def submit(self, function: Callable[..., Any], *args: Any) -> None:
        """Have the loop call ``function`` soon."""
        self._loop.call_soon_threadsafe(function, *args)

    def call(self, coroutine: Coroutine[Any, Any, Result], limit: timedelta) -> Result:
        """Run ``coroutine`` on the loop and wait, green, for its result.

        :raises PeerCallTimeout: if it has not ended within ``limit``.
        """
        done = Event()
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        future.add_done_callback(lambda ended: self._mailbox.post(done.send, ended))
        return self._wait(done, future, limit)

    def _wait(self, done: Event, future: Future, limit: timedelta) -> Any:
        waiting = timeout(limit)
        try:
            return done.wait().result()
        except Timeout as expired:
            if expired is not waiting:
                raise
            future.cancel()
            raise PeerCallTimeout(f"no result within {limit}") from None
        finally:
            waiting.cancel()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        try:
            self._loop.run_forever()
        finally:
            self._finish()

    def _finish(self) -> None:
        tasks = asyncio.all_tasks(self._loop)
        for task in tasks:
            task.cancel()
        self._loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        self._loop.close()
