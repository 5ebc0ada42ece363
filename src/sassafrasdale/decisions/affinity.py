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

    :param max_blocks: blocks kept for one endpoint; the least recent go first.
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._endpoints: dict[str, OrderedDict[int, None]] = {}

    def blocks(self, messages_text: str) -> tuple[int, ...]:
        """Return the block hashes of a prompt."""
        return prompt_blocks(messages_text)

    def record(self, endpoint: str, prefix: Sequence[int]) -> None:
        """Note that a prompt with the block hashes ``prefix`` was sent."""
        known = self._endpoints.setdefault(endpoint, OrderedDict())
        # The last block is the first to go, as a prefix without its beginning
        # is of no use to the endpoint.
        for block in reversed(prefix):
            known[block] = None
            known.move_to_end(block)
        while len(known) > self._max_blocks:
            known.popitem(last=False)

    def matched_tokens(self, endpoint: str, prefix: Sequence[int]) -> int:
        """Return the tokens of a prompt that ``endpoint`` is expected to hold.

        A search for the end of the prefix stands for a walk along it. A gap that
        a lost event left can make it fall short or run over, by one prompt.
        """
        known = self._endpoints.get(endpoint)
        if not known or not prefix or prefix[0] not in known:
            return 0
        return bisect_left(prefix, True, key=lambda b: b not in known) * BLOCK_TOKENS

    def stored(self, endpoint: str, prefix: int) -> None:
        """Take in the event that ``endpoint`` cached a block."""
        known = self._endpoints.setdefault(endpoint, OrderedDict())
        known[prefix] = None
        if len(known) > self._max_blocks:
            known.popitem(last=False)

    def removed(self, endpoint: str, prefix: int) -> None:
        """Take in the event that ``endpoint`` dropped a block."""
        known = self._endpoints.get(endpoint)
        if known:
            known.pop(prefix, None)

    def forget(self, endpoint: str) -> None:
        """Drop all that is known of an endpoint, as it is gone or restarted."""
        self._endpoints.pop(endpoint, None)

    def __len__(self) -> int:
        return sum(len(known) for known in self._endpoints.values())
