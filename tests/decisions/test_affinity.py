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


def test_events_correct_the_estimate_from_own_requests():
    index = PrefixIndex()
    index.record("a", (1, 2, 3))
    index.removed("a", 3)
    index.stored("b", 1)
    assert index.matched_tokens("a", (1, 2, 3)) == 2 * BLOCK_TOKENS
    assert index.matched_tokens("b", (1, 2, 3)) == BLOCK_TOKENS


def test_index_is_bounded_and_evicts_the_end_of_a_prefix_first():
    index = PrefixIndex(max_blocks=2)
    index.record("a", (1, 2, 3))
    assert len(index) == 2
    assert index.matched_tokens("a", (1, 2, 3)) == 2 * BLOCK_TOKENS


def test_forgets_an_endpoint_that_is_gone():
    """Guards against routing to a replica that has restarted with an empty cache.

    The replica was reclaimed and started again under its name. An entry that still
    assumes the old cache sends its conversations there, and each is recomputed.
    """
    index = PrefixIndex()
    index.record("a", (1, 2))
    index.forget("a")
    assert index.matched_tokens("a", (1, 2)) == 0


def test_only_the_keys_of_a_lost_endpoint_move():
    keys = [conversation_key((str(n),)) for n in range(500)]
    before = HashRing("abcdef")
    after = HashRing("abcde")
    owners = [(before.owners(key)[0], after.owners(key)[0]) for key in keys]
    assert {old for old, new in owners if old != new} == {"f"}
    assert HashRing(()).owners(1) == ("", "")


def test_fallback_owner_takes_the_keys_of_a_lost_endpoint():
    before = HashRing("abcdef")
    after = HashRing("abcde")
    for key in (conversation_key((str(n),)) for n in range(500)):
        first, second = before.owners(key)
        assert first != second
        if first == "f":
            assert after.owners(key)[0] == second
    assert HashRing("a").owners(1) == ("a", "")


def test_gaps_of_lost_events_do_not_shorten_a_match():
    """Guards against recomputing a long conversation that a replica has fully cached.

    Some of the events for its blocks were lost. An index that walks from the beginning
    stops at the first gap and finds almost nothing.
    """
    index = PrefixIndex()
    for block in (1, 3, 5, 6, 8, 9, 10):
        index.stored("a", block)
    assert index.matched_tokens("a", tuple(range(1, 13))) == 10 * BLOCK_TOKENS


def test_isolated_block_of_lost_removals_is_no_match():
    """Guards against routing to a replica that has evicted the conversation.

    The replica reported each evicted block, but one of the events was lost, so the
    entry would still assume that block and all before it.
    """
    index = PrefixIndex()
    prefix = tuple(range(1, 21))
    index.record("a", prefix)
    for block in prefix[4:19]:
        index.removed("a", block)
    assert index.matched_tokens("a", prefix) == 4 * BLOCK_TOKENS
