"""Which endpoint is expected to hold which prompt prefix in its cache.

Own sends come first: a prompt that this entry sent is cached there until the
endpoint says otherwise or the index forgets it. Cache events, which are late and
have gaps, only correct it.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from xxhash import xxh64_intdigest

BLOCK_CHARACTERS = 256
"""Length of the pieces of a prompt that are hashed, in characters."""

BLOCK_TOKENS = 64
"""Tokens that one block stands for, at four characters a token."""

MAX_BLOCKS = 4096
"""Blocks that the index keeps for one endpoint."""


def blocks(text: str) -> tuple[int, ...]:
    """Return a hash for each whole block of ``text``, each covering all before it."""
    hashes = []
    seed = 0
    for end in range(BLOCK_CHARACTERS, len(text) + 1, BLOCK_CHARACTERS):
        seed = xxh64_intdigest(text[end - BLOCK_CHARACTERS : end], seed)
        hashes.append(seed)
    return tuple(hashes)


class PrefixIndex:
    """Bounded memory of the prefixes that each endpoint has cached.

    :param max_blocks: blocks kept for one endpoint; the least recent go first.
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._endpoints: dict[str, OrderedDict[int, None]] = {}

    def blocks(self, messages_text: str) -> tuple[int, ...]:
        """Return the block hashes of a prompt."""
        return blocks(messages_text)

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
        """Return the tokens of a prompt that ``endpoint`` is expected to hold."""
        known = self._endpoints.get(endpoint)
        if not known:
            return 0
        matched = 0
        for block in prefix:
            if block not in known:
                break
            matched += 1
        return matched * BLOCK_TOKENS

    def stored(self, endpoint: str, prefix: int) -> None:
        """Take in the event that ``endpoint`` cached a block."""
        self.record(endpoint, (prefix,))

    def removed(self, endpoint: str, prefix: int) -> None:
        """Take in the event that ``endpoint`` dropped a block."""
        known = self._endpoints.get(endpoint)
        if known:
            known.pop(prefix, None)

    def forget(self, endpoint: str) -> None:
        """Drop all that is known of an endpoint, as it is gone or restarted."""
        self._endpoints.pop(endpoint, None)

    def keep_only(self, endpoints: Iterable[str]) -> None:
        """Forget every endpoint but ``endpoints``."""
        for gone in self._endpoints.keys() - set(endpoints):
            del self._endpoints[gone]

    def __len__(self) -> int:
        return sum(len(known) for known in self._endpoints.values())
