"""Tests of the trust in a conversation's home."""

from sassafrasdale.decisions.homes import (
    EVENTS_KEPT,
    INITIAL_SHARE,
    SHARE_WITHOUT_EVENTS,
    HomeTrust,
)


def test_trust_falls_when_homes_turn_out_empty():
    """After a zone is lost, some callers wait long while other replicas idle.

    Their conversations have new homes, which hold nothing of them yet, but every
    entry sends them there as if they did, and queues form.
    """
    trust = HomeTrust()
    trust.hear(arrived=95, published=100)
    for _ in range(20):
        trust.observe(0, 4000)
    assert trust.share < 0.1


def test_without_events_the_entries_still_meet_at_homes():
    """Each entry computes every conversation anew, on replicas of its own choice.

    No cache events arrive, so no entry knows what the others sent. Their homes
    are empty at first, each entry gives up on them, and they stay empty.
    """
    trust = HomeTrust()
    trust.hear(arrived=30, published=100)
    for _ in range(20):
        trust.observe(0, 4000)
    assert trust.share == SHARE_WITHOUT_EVENTS


def test_forgets_events_of_long_ago():
    trust = HomeTrust()
    trust.hear(arrived=0, published=EVENTS_KEPT)
    for _ in range(100):
        trust.hear(arrived=EVENTS_KEPT // 10, published=EVENTS_KEPT // 10)
    assert trust.events_arriving > 0.9


def test_trust_rises_to_the_share_that_answers_show():
    trust = HomeTrust()
    trust.hear(arrived=95, published=100)
    assert trust.share == INITIAL_SHARE
    for _ in range(60):
        trust.observe(3000, 4000)
    assert abs(trust.share - 0.75) < 0.01


def test_an_empty_prompt_tells_nothing():
    trust = HomeTrust()
    trust.hear(arrived=95, published=100)
    trust.observe(0, 0)
    assert trust.share == INITIAL_SHARE
