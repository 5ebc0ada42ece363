"""Structured logs as JSON lines.

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

MAX_QUEUED_LINES = 10_000
CLOSE_TIMEOUT = timedelta(seconds=1)

_request_id: ContextVar[str | None] = ContextVar("request_id", default=None)


@contextmanager
def request_context(request_id: str) -> Iterator[None]:
    """Add ``request_id`` to every line that this task logs within the block."""
    token = _request_id.set(request_id)
    try:
        yield
    finally:
        _request_id.reset(token)


class LineWriter:
    """Writes lines to a stream from a background thread.

    If the reader of the stream stops reading, the pipe fills up and the next write
    blocks. That would stall all requests in the main thread; here it stalls only the
    background thread, and lines beyond the limit are counted and dropped.

    :param stream: output stream.
    :param limit: maximum number of queued lines.
    """

    def __init__(self, stream: TextIO, limit: int = MAX_QUEUED_LINES) -> None:
        self._stream = stream
        self._limit = limit
        self._queue: deque[str] = deque()
        self._dropped = 0
        self._closed = False
        self._changed = Condition()
        self._thread = Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the start."""
        return self._dropped

    def write(self, line: str) -> None:
        """Queue a line without blocking on the stream."""
        with self._changed:
            if len(self._queue) >= self._limit:
                self._dropped += 1
                return
            self._queue.append(line)
            self._changed.notify()

    def close(self, timeout: timedelta = CLOSE_TIMEOUT) -> None:
        """Write the queued lines, for at most ``timeout``."""
        with self._changed:
            self._closed = True
            self._changed.notify()
        self._thread.join(timeout.total_seconds())

    def _run(self) -> None:
        while lines := self._take_queued():
            try:
                self._stream.write("".join(f"{line}\n" for line in lines))
                self._stream.flush()
            except (OSError, ValueError):
                # The stream is closed; logging must not end the process.
                self._dropped += len(lines)

    def _take_queued(self) -> list[str]:
        with self._changed:
            while not self._queue and not self._closed:
                self._changed.wait()
            lines = list(self._queue)
            self._queue.clear()
            return lines


class JsonHandler(Handler):
    """Log handler that formats records as JSON lines.

    :param writer: writer of the lines.
    :param entry: name of the entry, added to each line.
    :param level: minimum level of the records.
    """

    def __init__(self, writer: LineWriter, entry: str, level: str) -> None:
        super().__init__(lookup_level(level.upper()))
        self._writer = writer
        self._entry = entry

    def emit(self, record: LogRecord) -> None:
        """Queue a record as a JSON line."""
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
    """Log output of a process.

    :param handler: installed handler of the process.
    :param writer: writer that the handler uses.
    """

    def __init__(self, handler: JsonHandler, writer: LineWriter) -> None:
        self._handler = handler
        self._writer = writer
        self._closed = False

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the start."""
        return self._writer.dropped

    def close(self) -> None:
        """Write the queued lines and remove the handler; further calls do nothing."""
        if self._closed:
            return
        self._closed = True
        self._handler.pop_application()
        self._writer.close()


def start_logs(entry: str, level: str, stream: TextIO | None = None) -> Logs:
    """Send the logs of the process, including those of libraries, to ``stream``.

    :param entry: name of the entry.
    :param level: minimum log level, in lower case.
    :param stream: output stream; standard error by default.
    """
    writer = LineWriter(stream or sys.stderr)
    handler = JsonHandler(writer, entry, level)
    handler.push_application()
    redirect_logging()
    return Logs(handler, writer)
