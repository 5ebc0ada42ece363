"""Which endpoint is expected to hold which prompt prefix in its cache.

Own sends come first: a prompt that this entry sent is cached there until the
endpoint says otherwise or the index forgets it. Cache events, which are late and
have gaps, only correct it.
"""

from bisect import bisect_left
from collections import OrderedDict
from collections.abc import Iterable, Sequence

from xxhash import xxh64_intdigest

BLOCK_BYTES = 256
"""Length of the pieces of a prompt that are hashed, in bytes of UTF-8."""

BLOCK_TOKENS = 64
"""Tokens that one block stands for, at four bytes a token."""

MAX_BLOCKS = 2048
"""Blocks that the index keeps for one endpoint."""

BACKING_SPAN = 8
"""Blocks before the deepest known one that are looked at."""

BACKING_BLOCKS = 4
"""Number of them that must be known too."""

RING_POINTS = 64
"""Points that each endpoint has on the ring."""


def prompt_blocks(text: str) -> tuple[int, ...]:
    """Return a hash for each whole block of ``text``, each covering all before it."""
    encoded = text.encode()
    hashes = []
    seed = 0
    for end in range(BLOCK_BYTES, len(encoded) + 1, BLOCK_BYTES):
        seed = xxh64_intdigest(encoded[end - BLOCK_BYTES : end], seed)
        hashes.append(seed)
    return tuple(hashes)


def conversation_key(contents: Sequence[str]) -> int:
    """Return the hash of what every turn of a conversation begins with.

    :param contents: the messages up to and including the user's first.
    """
    seed = 0
    for content in contents:
        seed = xxh64_intdigest(content.encode(), seed)
    return seed


class HashRing:
    """Names one endpoint for a key, the same on every entry.

    Entries that don't know who holds a conversation's prefix meet at its home
    without a message. When an endpoint comes or goes, only its keys move.

    :param endpoints: names of the endpoints.
    """

    def __init__(self, endpoints: Iterable[str]) -> None:
        points = [
            (xxh64_intdigest(name.encode(), point), name)
            for name in endpoints
            for point in range(RING_POINTS)
        ]
        points.sort()
        self._hashes = [point for point, _ in points]
        self._names = [name for _, name in points]

    def home(self, key: int) -> str:
        """Return the endpoint of ``key``; empty if there are no endpoints."""
        if not self._names:
            return ""
        place = bisect_left(self._hashes, key)
        return self._names[place % len(self._names)]


class PrefixIndex:
    """Bounded memory of the prefixes that each endpoint has cached.

    A block's hash covers all before it, and an endpoint drops the end of a prefix
    first. So the deepest block known to be stored tells the whole match, and the
    gaps that lost events leave before it do no harm.

    :param max_blocks: blocks kept for one endpoint; the least recent go first.
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._order: dict[str, OrderedDict[int, None]] = {}
        self._holders: dict[int, dict[str, int]] = {}
        self._sequence = 0

    def blocks(self, messages_text: str) -> tuple[int, ...]:
        """Return the block hashes of a prompt."""
        return prompt_blocks(messages_text)

    def record(self, endpoint: str, prefix: Sequence[int]) -> None:
        """Note that a prompt with the block hashes ``prefix`` was sent."""
        self._sequence += 1
        # The last block is the first to go, as a prefix without its beginning
        # is of no use to the endpoint.
        for block in reversed(prefix):
            self._note(endpoint, block, self._sequence)

    def matches(self, prefix: Sequence[int]) -> dict[str, int]:
        """Return the tokens of a prompt that each endpoint is expected to hold.

        Endpoints that hold none of it are left out.
        """
        found: dict[str, int] = {}
        for place in range(len(prefix) - 1, -1, -1):
            holders = self._holders.get(prefix[place])
            if holders is None:
                continue
            for endpoint in holders:
                if endpoint not in found and self._backed(endpoint, prefix, place):
                    found[endpoint] = (place + 1) * BLOCK_TOKENS
            if len(found) == len(self._order):
                break
        return found

    def matched_tokens(self, endpoint: str, prefix: Sequence[int]) -> int:
        """Return the tokens of a prompt that ``endpoint`` is expected to hold."""
        return self.matches(prefix).get(endpoint, 0)

    def stored(self, endpoint: str, prefix: int) -> None:
        """Take in the event that ``endpoint`` cached a block."""
        self._sequence += 1
        self._note(endpoint, prefix, self._sequence)

    def removed(self, endpoint: str, prefix: int) -> None:
        """Take in the event that ``endpoint`` dropped a block."""
        order = self._order.get(endpoint)
        if order is not None and prefix in order:
            del order[prefix]
            self._drop(endpoint, prefix)

    def forget(self, endpoint: str) -> None:
        """Drop all that is known of an endpoint, as it is gone or restarted."""
        for block in self._order.pop(endpoint, ()):
            self._drop(endpoint, block)

    def _backed(self, endpoint: str, prefix: Sequence[int], place: int) -> bool:
        """Return whether enough blocks just before ``place`` are known as well.

        A block that stands alone was dropped with those around it, and the event
        of its removal was lost.
        """
        before = prefix[max(0, place - BACKING_SPAN) : place]
        if len(before) < BACKING_SPAN:
            return True
        backing = sum(1 for b in before if endpoint in self._holders.get(b, ()))
        return backing >= BACKING_BLOCKS

    def _note(self, endpoint: str, block: int, sequence: int) -> None:
        order = self._order.setdefault(endpoint, OrderedDict())
        order[block] = None
        order.move_to_end(block)
        self._holders.setdefault(block, {})[endpoint] = sequence
        if len(order) > self._max_blocks:
            oldest, _ = order.popitem(last=False)
            self._drop(endpoint, oldest)

    def _drop(self, endpoint: str, block: int) -> None:
        holders = self._holders[block]
        del holders[endpoint]
        if not holders:
            del self._holders[block]

    def __len__(self) -> int:
        return sum(len(order) for order in self._order.values())
