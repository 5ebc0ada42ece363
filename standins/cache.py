"""Prefix cache of limited size, with events of its changes."""

import random
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from standins.prompts import BLOCK_TOKENS


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A block was stored or removed."""

    sequence: int
    kind: str
    prefix: str
    visible_at: timedelta


class PrefixCache:
    """Least-recently-used cache of prompt blocks.

    :param capacity: limit in tokens.
    :param elapsed: returns the time since an arbitrary start.
    :param rng: source of randomness for lost events.
    :param event_lag: delay until an event is visible.
    :param event_loss: fraction of the events that are lost.
    """

    def __init__(
        self,
        capacity: int,
        elapsed: Callable[[], timedelta],
        rng: random.Random,
        event_lag: timedelta = timedelta(),
        event_loss: float = 0.0,
    ) -> None:
        self._capacity = capacity
        self._max_blocks = capacity // BLOCK_TOKENS
        self._elapsed = elapsed
        self._rng = rng
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: list[CacheEvent] = []
        self._sequence = 0
        self.event_lag = event_lag
        self.event_loss = event_loss

    @property
    def capacity(self) -> int:
        """Limit in tokens."""
        return self._capacity

    @property
    def tokens(self) -> int:
        """Number of cached tokens."""
        return len(self._blocks) * BLOCK_TOKENS

    def lookup(self, blocks: Sequence[str]) -> int:
        """Return how many leading tokens are cached, and mark them as used.

        :param blocks: chained hashes of a prompt's blocks.
        """
        cached = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            cached += BLOCK_TOKENS
        return cached

    def store(self, blocks: Sequence[str]) -> None:
        """Cache the prompt's blocks and evict the least recently used ones."""
        for block in blocks:
            known = block in self._blocks
            self._blocks[block] = None
            self._blocks.move_to_end(block)
            if not known:
                self._record_event("stored", block)
        while len(self._blocks) > self._max_blocks:
            block, _ = self._blocks.popitem(last=False)
            self._record_event("removed", block)

    def clear(self) -> None:
        """Evict all blocks."""
        while self._blocks:
            block, _ = self._blocks.popitem(last=False)
            self._record_event("removed", block)

    def events_after(self, sequence: int) -> list[CacheEvent]:
        """Return the events above ``sequence`` that are visible by now."""
        now = self._elapsed()
        return [
            event
            for event in self._events
            if event.sequence > sequence and event.visible_at <= now
        ]

    def _record_event(self, kind: str, block: str) -> None:
        self._sequence += 1
        if self._rng.random() < self.event_loss:
            return
        visible_at = self._elapsed() + self.event_lag
        self._events.append(CacheEvent(self._sequence, kind, block, visible_at))
