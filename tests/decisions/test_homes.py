"""Tests of the share assumed in the cache of a conversation's owner."""

from sassafrasdale.decisions.homes import (
    EVENTS_KEPT,
    INITIAL_SHARE,
    SHARE_WITHOUT_EVENTS,
    OwnerCacheEstimate,
)


def test_share_falls_when_owners_have_empty_caches():
    """Guards against queues at some replicas while others are idle after a zone loss.

    The conversations have new owners with empty caches, but every entry sends them
    there as if they were cached.
    """
    estimate = OwnerCacheEstimate()
    estimate.add_events(arrived=95, published=100)
    for _ in range(20):
        estimate.observe(0, 4000)
    assert estimate.share < 0.1


def test_without_events_the_entries_still_use_the_owners():
    """Guards against each entry computing every conversation on a replica of its own.

    Without cache events no entry knows what the others sent. The owners' caches are
    empty at first; if the entries stopped using the owners, these would stay empty.
    """
    estimate = OwnerCacheEstimate()
    estimate.add_events(arrived=30, published=100)
    for _ in range(20):
        estimate.observe(0, 4000)
    assert estimate.share == SHARE_WITHOUT_EVENTS


def test_old_events_lose_their_weight():
    estimate = OwnerCacheEstimate()
    estimate.add_events(arrived=0, published=EVENTS_KEPT)
    for _ in range(100):
        estimate.add_events(arrived=EVENTS_KEPT // 10, published=EVENTS_KEPT // 10)
    assert estimate.arrived_fraction > 0.9


def test_share_follows_the_responses():
    estimate = OwnerCacheEstimate()
    estimate.add_events(arrived=95, published=100)
    assert estimate.share == INITIAL_SHARE
    for _ in range(60):
        estimate.observe(3000, 4000)
    assert abs(estimate.share - 0.75) < 0.01


def test_empty_prompt_is_ignored():
    estimate = OwnerCacheEstimate()
    estimate.add_events(arrived=95, published=100)
    estimate.observe(0, 0)
    assert estimate.share == INITIAL_SHARE
