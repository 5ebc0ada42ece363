"""Tests of the prefix cache."""

import random
from datetime import timedelta

from sassafrasdale.clock import ManualClock
from standins.cache import PrefixCache
from standins.prompts import BLOCK_TOKENS, block_hashes


def tokens(blocks: int, name: str = "t", before: str = "") -> list[str]:
    words = [f"{name}{number}" for number in range(blocks * BLOCK_TOKENS)]
    return list(block_hashes([*before.split(), *words]))


def make_cache(blocks: int, clock: ManualClock, lag: int = 0, loss: float = 0.0):
    return PrefixCache(
        blocks * BLOCK_TOKENS,
        clock.elapsed,
        random.Random(1),
        timedelta(seconds=lag),
        loss,
    )


def test_a_prefix_is_found_up_to_its_last_whole_block():
    cache = make_cache(8, ManualClock())
    cache.store(tokens(2))
    assert cache.lookup(tokens(3)) == 2 * BLOCK_TOKENS
    assert cache.lookup(tokens(2, before="other")) == 0


def test_the_least_recently_used_blocks_are_evicted():
    cache = make_cache(2, ManualClock())
    cache.store(tokens(1, "a"))
    cache.store(tokens(1, "b"))
    cache.lookup(tokens(1, "a"))
    cache.store(tokens(1, "c"))
    assert cache.lookup(tokens(1, "a"))
    assert not cache.lookup(tokens(1, "b"))


def test_events_are_delayed_and_partly_lost():
    """A reader of cache events gets all of them at once, unlike with a real engine.

    With a lag of 2 s and a loss of 50 %, some events come late and the others never.
    """
    clock = ManualClock()
    cache = make_cache(100, clock, lag=2, loss=0.5)
    cache.store(tokens(40))
    assert cache.events_after(0) == []
    clock.advance(timedelta(seconds=2))
    seen = [event.sequence for event in cache.events_after(0)]
    assert 0 < len(seen) < 40
    assert cache.events_after(seen[-1]) == []
