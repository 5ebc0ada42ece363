"""Split prompts into tokens and into blocks of a prefix cache."""

from collections.abc import Iterator, Sequence
from hashlib import blake2b
from typing import Any

BLOCK_TOKENS = 16
"""Tokens in one cached block."""

HASH_BYTES = 8


class Prompt:
    """The length of a prompt and the hashes of its blocks."""

    __slots__ = ("tokens", "blocks")

    def __init__(self, messages: Sequence[dict[str, Any]]) -> None:
        words = split_tokens(messages)
        self.tokens = len(words)
        self.blocks = tuple(block_hashes(words))

    def forget_blocks(self) -> None:
        """Free the hashes, which a stream doesn't need once it is running."""
        self.blocks = ()


def split_tokens(messages: Sequence[dict[str, Any]]) -> list[str]:
    """Return the prompt's tokens: its words, with each message's role first."""
    tokens: list[str] = []
    for message in messages:
        tokens.append(f"<{message.get('role', '')}>")
        tokens.extend(str(message.get("content", "")).split())
    return tokens


def block_hashes(tokens: Sequence[str]) -> Iterator[str]:
    """Yield the chained hash of each whole block of the prompt."""
    previous = b""
    for end in range(BLOCK_TOKENS, len(tokens) + 1, BLOCK_TOKENS):
        block = " ".join(tokens[end - BLOCK_TOKENS : end]).encode()
        previous = blake2b(previous + block, digest_size=HASH_BYTES).digest()
        yield previous.hex()
