"""Splitting of a server-sent event stream into complete events.

An endpoint may fail in the middle of an event. The data sent to the caller must end
with a complete event, or another endpoint can't resume the stream.
"""

import re

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"(?:^|\n)id:\s*(\d+)")


class EventSplitter:
    """Collects bytes into complete events.

    :param last_id: id of the last event that the caller has received.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self._partial = b""
        self._last_id = last_id
        self._count = 0

    @property
    def last_id(self) -> int | None:
        """Id of the last complete event."""
        return self._last_id

    @property
    def count(self) -> int:
        """Number of complete events."""
        return self._count

    @property
    def has_partial(self) -> bool:
        """Whether bytes of an incomplete event are buffered."""
        return bool(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that are now complete."""
        data = self._partial + data
        end = 0
        for match in _END.finditer(data):
            end = match.end()
            self._count += 1
        complete, self._partial = data[:end], data[end:]
        for match in _ID.finditer(complete):
            self._last_id = int(match.group(1))
        return complete

    def drop_partial(self) -> None:
        """Discard an incomplete event; the next endpoint sends all of it."""
        self._partial = b""
