"""Tests of the prefix index and the hash ring."""

from sassafrasdale.decisions.affinity import (
    BLOCK_TOKENS,
    HashRing,
    PrefixIndex,
    conversation_key,
    prompt_blocks,
)


def test_blocks_of_a_longer_prompt_begin_with_those_of_its_prefix():
    text = "".join(str(n) for n in range(1000))
    blocks = prompt_blocks(text)
    assert blocks[:4] == prompt_blocks(text[:1024])
    assert len(set(blocks)) == len(blocks)


def test_matches_the_prefix_that_was_sent():
    index = PrefixIndex()
    index.record("a", (1, 2, 3))
    assert index.matched_tokens("a", (1, 2, 9)) == 2 * BLOCK_TOKENS
    assert index.matched_tokens("b", (1, 2, 9)) == 0


def test_events_correct_what_own_sends_led_to():
    index = PrefixIndex()
    index.record("a", (1, 2, 3))
    index.removed("a", 3)
    index.stored("b", 1)
    assert index.matched_tokens("a", (1, 2, 3)) == 2 * BLOCK_TOKENS
    assert index.matched_tokens("b", (1, 2, 3)) == BLOCK_TOKENS


def test_memory_is_bounded_and_drops_the_end_of_a_prefix_first():
    index = PrefixIndex(max_blocks=2)
    index.record("a", (1, 2, 3))
    assert len(index) == 2
    assert index.matched_tokens("a", (1, 2, 3)) == 2 * BLOCK_TOKENS


def test_forgets_an_endpoint_that_is_gone():
    """A prompt goes to a replica that has come back with an empty cache.

    The replica was reclaimed and given back under its name. An entry that still
    counts on the old cache sends all its threads there, and each is recomputed.
    """
    index = PrefixIndex()
    index.record("a", (1, 2))
    index.forget("a")
    assert index.matched_tokens("a", (1, 2)) == 0


def test_only_the_keys_of_a_lost_endpoint_move():
    keys = [conversation_key((str(n),)) for n in range(500)]
    before = HashRing("abcdef")
    after = HashRing("abcde")
    homes = [(before.homes(key)[0], after.homes(key)[0]) for key in keys]
    assert {old for old, new in homes if old != new} == {"f"}
    assert HashRing(()).homes(1) == ("", "")


def test_the_second_home_takes_the_keys_of_a_lost_endpoint():
    before = HashRing("abcdef")
    after = HashRing("abcde")
    for key in (conversation_key((str(n),)) for n in range(500)):
        first, second = before.homes(key)
        assert first != second
        if first == "f":
            assert after.homes(key)[0] == second
    assert HashRing("a").homes(1) == ("a", "")


def test_gaps_of_lost_events_do_not_shorten_a_match():
    """A long thread is recomputed elsewhere though a replica holds all of it.

    Some of the events that told of its blocks were lost. An index that walks
    from the beginning stops at the first gap and sees next to nothing.
    """
    index = PrefixIndex()
    for block in (1, 3, 5, 6, 8, 9, 10):
        index.stored("a", block)
    assert index.matched_tokens("a", tuple(range(1, 13))) == 10 * BLOCK_TOKENS


def test_a_leftover_of_lost_removals_is_no_match():
    """A thread goes to a replica that dropped it, and waits for all of it.

    The replica told of each block that it dropped, but one of these events was
    lost, so the entry still counts on that block and on all before it.
    """
    index = PrefixIndex()
    prefix = tuple(range(1, 21))
    index.record("a", prefix)
    for block in prefix[4:19]:
        index.removed("a", block)
    assert index.matched_tokens("a", prefix) == 4 * BLOCK_TOKENS
