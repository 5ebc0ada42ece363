"""One generation of an engine, and the events that it streams."""

import json
from datetime import timedelta
from typing import Any

from sassafrasdale.green import Event
from standins.generation import TokenSource
from standins.prompts import Prompt

WAITING = "waiting"
RUNNING = "running"
FINISHED = "stop"
CANCELLED = "cancelled"
EXPORTED = "exported"

CONTENT_MARK = "\0"


def chunk_object(
    stream_id: str, model: str, delta: dict[str, str], finish_reason: str | None
) -> dict[str, Any]:
    """Return one chunk of a streamed answer."""
    return {
        "id": stream_id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
    }


class Stream:
    """One generation.

    :param first: tokens up to here were generated elsewhere.
    :param continues: whether another engine began the generation.
    :param transferred: whether the KV cache came over from that engine.
    """

    def __init__(
        self,
        stream_id: str,
        model: str,
        source: TokenSource,
        prompt: Prompt,
        *,
        max_tokens: int,
        priority: int,
        first: int = 0,
        continues: bool = False,
        transferred: bool = False,
    ) -> None:
        self.stream_id = stream_id
        self.model = model
        self.source = source
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.priority = priority
        self.first = first
        self.position = first
        self.recomputed = 0
        self.cached = 0
        self._continues = continues
        self._transferred = transferred
        self.state = WAITING
        self.readers = 0
        self.lost_at: timedelta | None = None
        self._changed = Event()
        # Encoding a whole chunk for each token would cost more than all else in
        # a step, so the parts around the token are encoded once.
        sample = chunk_object(stream_id, model, {"content": CONTENT_MARK}, None)
        text = f"data: {json.dumps(sample)}\n\n".encode()
        self._head, self._tail = text.split(json.dumps(CONTENT_MARK).encode(), 1)

    @property
    def ended(self) -> bool:
        """Whether no further token comes."""
        return self.state not in (WAITING, RUNNING)

    @property
    def context_tokens(self) -> int:
        """Tokens whose KV cache the stream holds."""
        return self.prompt.tokens + self.position

    def begin(self, cached: int) -> int:
        """Start to run and return how many tokens have to be prefilled.

        :param cached: leading tokens of the prompt in the engine's cache.
        """
        self.state = RUNNING
        self.cached = self.prompt.tokens if self._transferred else cached
        missing = self.prompt.tokens - self.cached
        if not self._transferred:
            missing += self.first
        if self._continues:
            self.recomputed = missing
        return missing

    def events(self, first: int, last: int) -> bytes:
        """Return the events of the tokens from ``first`` to ``last``."""
        return b"".join(
            b'%b"%b"%b' % (self._head, token.encode(), self._tail)
            for token in self.source.tokens(first, last)
        )

    def wait(self) -> None:
        """Wait for the next change."""
        self._changed.wait()

    def notify(self) -> None:
        """Wake whoever waits for a change."""
        changed, self._changed = self._changed, Event()
        changed.send(None)

    def end(self, state: str) -> None:
        """Stop with ``state``."""
        if not self.ended:
            self.state = state
            self.notify()
