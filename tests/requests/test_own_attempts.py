"""Tests of load estimates from an entry's own attempts."""

from datetime import timedelta

from sassafrasdale.clock import ManualClock
from sassafrasdale.requests.sends import OBSERVED_TOKENS, AttemptTracker, OwnAttempts

PROMPT_TOKENS = 800


def _started(attempts: OwnAttempts, clock: ManualClock) -> AttemptTracker:
    tracker = AttemptTracker("id-1", attempts, clock)
    tracker.set_uncached(PROMPT_TOKENS)
    tracker.start("engine-1")
    return tracker


def test_prompt_tokens_count_until_the_first_token():
    attempts, clock = OwnAttempts(), ManualClock()
    tracker = _started(attempts, clock)
    assert attempts.prefill_tokens("engine-1") == PROMPT_TOKENS
    tracker.record_tokens(1)
    tracker.end()
    assert attempts.prefill_tokens("engine-1") == 0


def test_an_attempt_without_a_token_leaves_nothing_behind():
    """An engine is avoided for good.

    A stream is interrupted before its first token, and its prompt stays counted as
    pending work on that engine.
    """
    attempts, clock = OwnAttempts(), ManualClock()
    _started(attempts, clock).end()
    clock.advance(timedelta(minutes=1))
    assert attempts.prefill_tokens("engine-1") == 0
    assert attempts.queue_time("engine-1", clock.elapsed()) == timedelta()


def test_a_late_first_token_shows_a_queue():
    attempts, clock = OwnAttempts(), ManualClock()
    tracker = _started(attempts, clock)
    clock.advance(timedelta(seconds=3))
    tracker.record_tokens(1)
    assert attempts.queue_time("engine-1", clock.elapsed()) > timedelta(seconds=2)


def test_slow_tokens_show_a_slow_engine():
    attempts, clock = OwnAttempts(), ManualClock()
    for name, gap in (("engine-1", 200), ("engine-2", 20), ("engine-3", 20)):
        tracker = AttemptTracker(name, attempts, clock)
        tracker.start(name)
        for _ in range(OBSERVED_TOKENS):
            tracker.record_tokens(1)
            clock.advance(timedelta(milliseconds=gap))
        tracker.end()
    assert attempts.slowness("engine-1", clock.elapsed()) > 5
    assert attempts.slowness("engine-2", clock.elapsed()) == 1
