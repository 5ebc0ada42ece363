"""Deterministic generated text, so that any engine can continue another's stream."""

from collections.abc import Iterator, Sequence
from hashlib import blake2b
from typing import Any

from standins.prompts import split_tokens

WORDS = (
    "amber", "basil", "cedar", "delta", "ember", "fjord", "grove", "heron",
    "ivory", "jetty", "knoll", "lotus", "maple", "north", "ocean", "pearl",
    "quill", "river", "stone", "tidal", "umber", "vapor", "water", "xenon",
    "yield", "zonal", "alder", "birch", "clove", "dunes", "elder", "flint",
)  # fmt: skip
"""Vocabulary of the generated text."""

SEED_BYTES = 8


class TokenSource:
    """The tokens that a model generates for a prompt.

    Token i depends only on the model, the prompt and i.
    """

    def __init__(self, model: str, messages: Sequence[dict[str, Any]]) -> None:
        text = "\0".join([model, *split_tokens(messages)])
        digest = blake2b(text.encode(), digest_size=SEED_BYTES).digest()
        self._seed = int.from_bytes(digest, "big")

    def token(self, position: int) -> str:
        """Return the token at ``position``, counted from 1, with a trailing space."""
        mixed = (self._seed + position * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
        mixed = (mixed ^ (mixed >> 31)) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
        return f"{WORDS[(mixed >> 40) % len(WORDS)]}{position} "

    def tokens(self, first: int, last: int) -> Iterator[str]:
        """Yield the tokens from ``first`` to ``last``, inclusive."""
        return (self.token(position) for position in range(first, last + 1))


def reference_text(
    model: str, messages: Sequence[dict[str, Any]], max_tokens: int
) -> str:
    """Return the whole response that every engine generates for a prompt."""
    return "".join(TokenSource(model, messages).tokens(1, max_tokens))
