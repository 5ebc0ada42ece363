"""Incremental splitting of a server-sent event stream into blocks.

A block is an event or a comment with the blank line that ends it. The cost per byte is
constant, however the bytes are split over reads, and so is the memory.
"""

import re

from sassafrasdale.http.exceptions import MalformedResponse

# Maximum size of a block. An event holds a few tokens, some hundred bytes.
MAX_BLOCK_BYTES = 1024 * 1024
_END = re.compile(rb"\r?\n\r?\n")
# Bytes of an end that may have come with an earlier read.
_END_OVERLAP = len(b"\r\n\r\n") - 1


def split_blocks(complete: bytes) -> list[bytes]:
    """Return complete blocks one by one, without the blank lines that end them."""
    return _END.split(complete)[:-1]


class EventBlocks:
    """Collects bytes into complete blocks.

    :param max_bytes: maximum size of a block.
    """

    def __init__(self, max_bytes: int = MAX_BLOCK_BYTES) -> None:
        self._max_bytes = max_bytes
        self._partial = bytearray()
        self._count = 0

    @property
    def count(self) -> int:
        """Number of complete blocks."""
        return self._count

    @property
    def partial_bytes(self) -> int:
        """Size of the incomplete block that is buffered."""
        return len(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the blocks that are now complete.

        :raises MalformedResponse: if the incomplete block is too long.
        """
        searched_from = max(len(self._partial) - _END_OVERLAP, 0)
        self._partial += data
        end = 0
        for match in _END.finditer(self._partial, searched_from):
            end = match.end()
            self._count += 1
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        if len(self._partial) > self._max_bytes:
            raise MalformedResponse(f"an event is over {self._max_bytes} bytes")
        return complete

    def drop_partial(self) -> None:
        """Discard the incomplete block."""
        self._partial.clear()
