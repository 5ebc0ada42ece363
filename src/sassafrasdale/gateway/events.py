"""Splitting of a server-sent event stream into complete events.

An endpoint may fail in the middle of an event. The data sent to the caller must end
with a complete event, or another endpoint can't resume the stream.
"""

import re

from sassafrasdale.http.event_blocks import EventBlocks
from sassafrasdale.http.exceptions import MalformedResponse

# Maximum number of bytes in a row that don't advance the stream: an incomplete event,
# comments, and events that repeat an id. Keep-alive comments take some bytes a second.
MAX_IDLE_BYTES = 1024 * 1024
# Ids count events, so longer ones are no ids.
MAX_ID_DIGITS = 18
_ID = re.compile(rb"(?:^|\n)id:[ \t]*(\d+)")
_DATA = re.compile(rb"(?:^|\n)data:")


class EventSplitter:
    """Collects bytes into complete events.

    :param last_id: id of the last event that the caller has received.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self._blocks = EventBlocks(MAX_IDLE_BYTES)
        self._last_id = last_id
        self._highest_id = last_id
        self._idle_bytes = 0
        self._has_advanced = False

    @property
    def last_id(self) -> int | None:
        """Id of the last complete event."""
        return self._last_id

    @property
    def count(self) -> int:
        """Number of complete events."""
        return self._blocks.count

    @property
    def has_partial(self) -> bool:
        """Whether bytes of an incomplete event are buffered."""
        return self._blocks.partial_bytes > 0

    @property
    def has_advanced(self) -> bool:
        """Whether the last bytes have advanced the stream.

        Comments don't, nor do events without a new id in a stream that has ids.
        """
        return self._has_advanced

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that are now complete.

        :raises MalformedResponse: if too many bytes don't advance the stream, or an id
            is too long.
        """
        self._has_advanced = False
        complete = self._blocks.feed(data)
        if complete:
            self._note(complete)
        self._idle_bytes = 0 if self._has_advanced else self._idle_bytes + len(data)
        if self._idle_bytes > MAX_IDLE_BYTES:
            raise MalformedResponse(f"{MAX_IDLE_BYTES} bytes without a new event")
        return complete

    def drop_partial(self) -> None:
        """Discard an incomplete event; the next endpoint sends all of it."""
        self._blocks.drop_partial()
        self._idle_bytes = 0

    def _note(self, complete: bytes) -> None:
        """Record the ids of complete events, and whether they advance the stream."""
        for match in _ID.finditer(complete):
            self._note_id(match.group(1))
        if self._last_id is None and _DATA.search(complete):
            self._has_advanced = True

    def _note_id(self, digits: bytes) -> None:
        if len(digits) > MAX_ID_DIGITS:
            raise MalformedResponse("the id of an event is too long")
        self._last_id = int(digits)
        if self._highest_id is None or self._last_id > self._highest_id:
            self._highest_id = self._last_id
            self._has_advanced = True
