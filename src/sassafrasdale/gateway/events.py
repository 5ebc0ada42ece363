"""Splitting a stream of server-sent events, so that only whole ones go on.

An endpoint that breaks off may do so in the middle of an event. What has gone to
the caller must end with a whole event, or another endpoint can't continue it.
"""

import re

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"(?:^|\n)id:\s*(\d+)")


class EventSplitter:
    """Gathers bytes into whole events.

    :param last_id: id of the last event that the caller has.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self._partial = b""
        self._last_id = last_id
        self._count = 0

    @property
    def last_id(self) -> int | None:
        """Id of the last whole event."""
        return self._last_id

    @property
    def count(self) -> int:
        """Whole events seen."""
        return self._count

    @property
    def has_partial(self) -> bool:
        """Whether bytes of an unfinished event are held."""
        return bool(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that are now whole."""
        data = self._partial + data
        end = 0
        for match in _END.finditer(data):
            end = match.end()
            self._count += 1
        whole, self._partial = data[:end], data[end:]
        for match in _ID.finditer(whole):
            self._last_id = int(match.group(1))
        return whole

    def drop_partial(self) -> None:
        """Forget an unfinished event; the next endpoint sends it whole."""
        self._partial = b""
