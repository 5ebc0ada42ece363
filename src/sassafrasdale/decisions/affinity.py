"""Estimate of which endpoint has which prompt prefix in its cache.

It is based on this entry's own requests: a prompt that it sent counts as cached there
until the endpoint reports otherwise or the index evicts it. Cache events arrive late
and with gaps, and only correct the estimate.
"""

from bisect import bisect_left
from collections import OrderedDict
from collections.abc import Iterable, Sequence

from xxhash import xxh64_intdigest

BLOCK_BYTES = 256
"""Length of the pieces of a prompt that are hashed, in bytes of UTF-8."""

BLOCK_TOKENS = 64
"""Tokens in one block, assuming four bytes per token."""

MAX_BLOCKS = 2048
"""Blocks that the index keeps for one endpoint."""

BACKING_SPAN = 8
"""Blocks before the deepest known one that are checked."""

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
    """Return the hash of what every turn of a conversation starts with.

    :param contents: the messages up to and including the first one of the user.
    """
    seed = 0
    for content in contents:
        seed = xxh64_intdigest(content.encode(), seed)
    return seed


class HashRing:
    """Consistent hash ring that maps a key to an endpoint, the same on every entry.

    Entries that don't know which endpoint holds a conversation's prefix choose its
    owner without coordination. When an endpoint is added or removed, only its keys
    move.

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

    def owners(self, key: int) -> tuple[str, str]:
        """Return the owner of ``key`` and the fallback owner; empty if there is none.

        All entries use the same fallback when the owner is overloaded, so that a
        conversation is computed there once and not on every endpoint.
        """
        if not self._names:
            return "", ""
        position = bisect_left(self._hashes, key)
        first = self._names[position % len(self._names)]
        for step in range(1, len(self._names)):
            second = self._names[(position + step) % len(self._names)]
            if second != first:
                return first, second
        return first, ""


class _CachedBlocks:
    """Blocks expected in one endpoint's cache, least recently used first.

    :param bit: bit that represents the endpoint.
    """

    __slots__ = ("bit", "order")

    def __init__(self, bit: int) -> None:
        self.bit = bit
        self.order: OrderedDict[int, None] = OrderedDict()


class PrefixIndex:
    """Bounded index of the prefixes that each endpoint has cached.

    A block's hash covers everything before it, and an endpoint evicts the end of a
    prefix first. The deepest stored block therefore gives the length of the match, and
    gaps due to lost events before it don't matter.

    :param max_blocks: blocks kept for one endpoint; the least recently used are evicted
        first.
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._endpoints: dict[str, _CachedBlocks] = {}
        self._names: dict[int, str] = {}
        # Endpoints that have each block, one bit for each.
        self._bits_by_block: dict[int, int] = {}

    def blocks(self, messages_text: str) -> tuple[int, ...]:
        """Return the block hashes of a prompt."""
        return prompt_blocks(messages_text)

    def record(self, endpoint: str, prefix: Sequence[int]) -> None:
        """Record that a prompt with the block hashes ``prefix`` was sent."""
        cached = self._cached(endpoint)
        # Reversed, so that the last block is evicted first: a prefix without its
        # beginning is of no use to the endpoint.
        for block in reversed(prefix):
            self._add(cached, block)

    def matches(self, prefix: Sequence[int]) -> dict[str, int]:
        """Return the tokens of a prompt that each endpoint is expected to have cached.

        Endpoints without a match are omitted.
        """
        bits_by_position = [self._bits_by_block.get(block, 0) for block in prefix]
        found: dict[str, int] = {}
        missing = sum(self._names)
        for position in range(len(bits_by_position) - 1, -1, -1):
            new = bits_by_position[position] & missing
            while new:
                bit = new & -new
                new ^= bit
                if _has_known_predecessors(bits_by_position, position, bit):
                    missing ^= bit
                    found[self._names[bit]] = (position + 1) * BLOCK_TOKENS
            if not missing:
                break
        return found

    def matched_tokens(self, endpoint: str, prefix: Sequence[int]) -> int:
        """Return the tokens of a prompt expected in the cache of ``endpoint``."""
        return self.matches(prefix).get(endpoint, 0)

    def stored(self, endpoint: str, block: int) -> None:
        """Apply the event that ``endpoint`` cached a block."""
        self._add(self._cached(endpoint), block)

    def removed(self, endpoint: str, block: int) -> None:
        """Apply the event that ``endpoint`` evicted a block."""
        cached = self._endpoints.get(endpoint)
        if cached is not None and block in cached.order:
            del cached.order[block]
            self._clear_bit(block, cached.bit)

    def forget(self, endpoint: str) -> None:
        """Remove an endpoint that is gone or was restarted."""
        cached = self._endpoints.pop(endpoint, None)
        if cached is None:
            return
        for block in cached.order:
            self._clear_bit(block, cached.bit)
        del self._names[cached.bit]

    def _cached(self, endpoint: str) -> _CachedBlocks:
        cached = self._endpoints.get(endpoint)
        if cached is None:
            cached = _CachedBlocks(self._free_bit())
            self._endpoints[endpoint] = cached
            self._names[cached.bit] = endpoint
        return cached

    def _free_bit(self) -> int:
        """Return the lowest unused bit."""
        taken = sum(self._names)
        return ~taken & (taken + 1)

    def _add(self, cached: _CachedBlocks, block: int) -> None:
        order = cached.order
        if block in order:
            order.move_to_end(block)
            return
        order[block] = None
        self._bits_by_block[block] = self._bits_by_block.get(block, 0) | cached.bit
        if len(order) > self._max_blocks:
            oldest, _ = order.popitem(last=False)
            self._clear_bit(oldest, cached.bit)

    def _clear_bit(self, block: int, bit: int) -> None:
        others = self._bits_by_block[block] & ~bit
        if others:
            self._bits_by_block[block] = others
        else:
            del self._bits_by_block[block]

    def __len__(self) -> int:
        return sum(len(cached.order) for cached in self._endpoints.values())


def _has_known_predecessors(
    bits_by_position: Sequence[int], position: int, bit: int
) -> bool:
    """Return whether enough blocks just before ``position`` are known as well.

    An isolated block was evicted together with those around it, and its removal event
    was lost.
    """
    if position < BACKING_SPAN:
        return True
    before = bits_by_position[position - BACKING_SPAN : position]
    return sum(1 for bits in before if bits & bit) >= BACKING_BLOCKS
