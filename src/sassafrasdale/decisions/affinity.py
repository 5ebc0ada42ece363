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

    def homes(self, key: int) -> tuple[str, str]:
        """Return the home of ``key`` and its second home; empty if there is none.

        All entries turn to the same second home when the first is busy, so that
        a conversation is computed there once and not on every endpoint.
        """
        if not self._names:
            return "", ""
        place = bisect_left(self._hashes, key)
        first = self._names[place % len(self._names)]
        for step in range(1, len(self._names)):
            second = self._names[(place + step) % len(self._names)]
            if second != first:
                return first, second
        return first, ""


class _CachedBlocks:
    """Blocks expected in one endpoint's cache, the least recent first.

    :param mark: bit that stands for the endpoint.
    """

    __slots__ = ("mark", "order")

    def __init__(self, mark: int) -> None:
        self.mark = mark
        self.order: OrderedDict[int, None] = OrderedDict()


class PrefixIndex:
    """Bounded memory of the prefixes that each endpoint has cached.

    A block's hash covers all before it, and an endpoint drops the end of a prefix
    first. So the deepest block known to be stored tells the whole match, and the
    gaps that lost events leave before it do no harm.

    :param max_blocks: blocks kept for one endpoint; the least recent go first.
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._endpoints: dict[str, _CachedBlocks] = {}
        self._names: dict[int, str] = {}
        self._marks: dict[int, int] = {}

    def blocks(self, messages_text: str) -> tuple[int, ...]:
        """Return the block hashes of a prompt."""
        return prompt_blocks(messages_text)

    def record(self, endpoint: str, prefix: Sequence[int]) -> None:
        """Note that a prompt with the block hashes ``prefix`` was sent."""
        cached = self._cached(endpoint)
        # The last block is the first to go, as a prefix without its beginning
        # is of no use to the endpoint.
        for block in reversed(prefix):
            self._add(cached, block)

    def matches(self, prefix: Sequence[int]) -> dict[str, int]:
        """Return the tokens of a prompt that each endpoint is expected to hold.

        Endpoints that hold none of it are left out.
        """
        marks = [self._marks.get(block, 0) for block in prefix]
        found: dict[str, int] = {}
        missing = sum(self._names)
        for place in range(len(marks) - 1, -1, -1):
            new = marks[place] & missing
            while new:
                mark = new & -new
                new ^= mark
                if _backed(marks, place, mark):
                    missing ^= mark
                    found[self._names[mark]] = (place + 1) * BLOCK_TOKENS
            if not missing:
                break
        return found

    def matched_tokens(self, endpoint: str, prefix: Sequence[int]) -> int:
        """Return the tokens of a prompt that ``endpoint`` is expected to hold."""
        return self.matches(prefix).get(endpoint, 0)

    def stored(self, endpoint: str, prefix: int) -> None:
        """Take in the event that ``endpoint`` cached a block."""
        self._add(self._cached(endpoint), prefix)

    def removed(self, endpoint: str, prefix: int) -> None:
        """Take in the event that ``endpoint`` dropped a block."""
        cached = self._endpoints.get(endpoint)
        if cached is not None and prefix in cached.order:
            del cached.order[prefix]
            self._unmark(prefix, cached.mark)

    def forget(self, endpoint: str) -> None:
        """Drop all that is known of an endpoint, as it is gone or restarted."""
        cached = self._endpoints.pop(endpoint, None)
        if cached is None:
            return
        for block in cached.order:
            self._unmark(block, cached.mark)
        del self._names[cached.mark]

    def _cached(self, endpoint: str) -> _CachedBlocks:
        cached = self._endpoints.get(endpoint)
        if cached is None:
            cached = _CachedBlocks(self._free_mark())
            self._endpoints[endpoint] = cached
            self._names[cached.mark] = endpoint
        return cached

    def _free_mark(self) -> int:
        """Return the lowest bit that stands for no endpoint."""
        taken = sum(self._names)
        return ~taken & (taken + 1)

    def _add(self, cached: _CachedBlocks, block: int) -> None:
        order = cached.order
        if block in order:
            order.move_to_end(block)
            return
        order[block] = None
        self._marks[block] = self._marks.get(block, 0) | cached.mark
        if len(order) > self._max_blocks:
            oldest, _ = order.popitem(last=False)
            self._unmark(oldest, cached.mark)

    def _unmark(self, block: int, mark: int) -> None:
        left = self._marks[block] & ~mark
        if left:
            self._marks[block] = left
        else:
            del self._marks[block]

    def __len__(self) -> int:
        return sum(len(cached.order) for cached in self._endpoints.values())


def _backed(marks: Sequence[int], place: int, mark: int) -> bool:
    """Return whether enough blocks just before ``place`` are known as well.

    A block that stands alone was dropped with those around it, and the event of
    its removal was lost.
    """
    if place < BACKING_SPAN:
        return True
    before = marks[place - BACKING_SPAN : place]
    return sum(1 for held in before if held & mark) >= BACKING_BLOCKS
