"""Logs as JSON lines.

Usage::

    logs = start_logs("entry-1", "info")
    with request_context("r-1"):
        Logger("callers").info("request began", service="reports")
    logs.close()
"""

import json
import sys
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from datetime import UTC, timedelta
from threading import Condition, Thread
from typing import TextIO

from logbook import Handler, Logger, LogRecord, lookup_level
from logbook.compat import redirect_logging

__all__ = ["Logger", "Logs", "request_context", "start_logs"]

MAX_WAITING_LINES = 10_000
CLOSE_TIMEOUT = timedelta(seconds=1)

_request_id: ContextVar[str | None] = ContextVar("request_id", default=None)


@contextmanager
def request_context(request_id: str) -> Iterator[None]:
    """Put ``request_id`` on every line that this task logs within the block."""
    token = _request_id.set(request_id)
    try:
        yield
    finally:
        _request_id.reset(token)


class LineWriter:
    """Writes lines to a stream from a thread of its own.

    A reader of the stream that stops reading fills the pipe, and the next write
    then blocks. In the entry's own thread that would hold up every request; here
    it holds up this thread only, and lines above the limit are counted and
    dropped.

    :param stream: where the lines go.
    :param limit: lines that may wait.
    """

    def __init__(self, stream: TextIO, limit: int = MAX_WAITING_LINES) -> None:
        self._stream = stream
        self._limit = limit
        self._waiting: deque[str] = deque()
        self._dropped = 0
        self._closed = False
        self._changed = Condition()
        self._thread = Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    @property
    def dropped(self) -> int:
        """Lines dropped since the writer began."""
        return self._dropped

    def write(self, line: str) -> None:
        """Queue a line; never waits for the stream."""
        with self._changed:
            if len(self._waiting) >= self._limit:
                self._dropped += 1
                return
            self._waiting.append(line)
            self._changed.notify()

    def close(self, timeout: timedelta = CLOSE_TIMEOUT) -> None:
        """Write what waits, for at most ``timeout``."""
        with self._changed:
            self._closed = True
            self._changed.notify()
        self._thread.join(timeout.total_seconds())

    def _run(self) -> None:
        while lines := self._take():
            try:
                self._stream.write("".join(f"{line}\n" for line in lines))
                self._stream.flush()
            except (OSError, ValueError):
                # The stream is gone; logs must not end the process.
                self._dropped += len(lines)

    def _take(self) -> list[str]:
        with self._changed:
            while not self._waiting and not self._closed:
                self._changed.wait()
            lines = list(self._waiting)
            self._waiting.clear()
            return lines


class JsonHandler(Handler):
    """Turns log records into JSON lines.

    :param writer: where the lines go.
    :param entry: name of the entry, put on each line.
    :param level: least level that is logged.
    """

    def __init__(self, writer: LineWriter, entry: str, level: str) -> None:
        super().__init__(lookup_level(level.upper()))
        self._writer = writer
        self._entry = entry

    def emit(self, record: LogRecord) -> None:
        """Queue a record as one line."""
        line = {
            "time": record.time.replace(tzinfo=UTC).isoformat(timespec="microseconds"),
            "level": record.level_name.lower(),
            "logger": record.channel,
            "entry": self._entry,
            "message": record.message,
        }
        if request_id := _request_id.get():
            line["request_id"] = request_id
        if record.exc_info:
            line["exception"] = record.formatted_exception
        for name, value in {**record.kwargs, **record.extra}.items():
            if value is not None:
                line.setdefault(name, value)
        self._writer.write(json.dumps(line, default=str, ensure_ascii=False))


class Logs:
    """The running log output of a process.

    :param handler: handler of the whole process.
    :param writer: writer behind it.
    """

    def __init__(self, handler: JsonHandler, writer: LineWriter) -> None:
        self._handler = handler
        self._writer = writer
        self._closed = False

    @property
    def dropped(self) -> int:
        """Lines dropped since the start."""
        return self._writer.dropped

    def close(self) -> None:
        """Write what waits and take the handler away; a second call does nothing."""
        if self._closed:
            return
        self._closed = True
        self._handler.pop_application()
        self._writer.close()


def start_logs(entry: str, level: str, stream: TextIO | None = None) -> Logs:
    """Send the logs of the whole process, libraries' too, to ``stream``.

    :param entry: name of the entry.
    :param level: least level that is logged, in lower case.
    :param stream: standard error if absent.
    """
    writer = LineWriter(stream or sys.stderr)
    handler = JsonHandler(writer, entry, level)
    handler.push_application()
    redirect_logging()
    return Logs(handler, writer)
