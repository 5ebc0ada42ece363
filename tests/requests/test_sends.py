"""Tests of what an entry learns from its own sends."""

from datetime import timedelta

from sassafrasdale.clock import ManualClock
from sassafrasdale.requests.sends import OBSERVED_TOKENS, Sends, SendWatch

PROMPT_TOKENS = 800


def _sent(sends: Sends, clock: ManualClock) -> SendWatch:
    watch = SendWatch("id-1", sends, clock)
    watch.expect(PROMPT_TOKENS)
    watch.sent("engine-1")
    return watch


def test_tokens_wait_until_the_first_token():
    sends, clock = Sends(), ManualClock()
    watch = _sent(sends, clock)
    assert sends.tokens_waiting("engine-1") == PROMPT_TOKENS
    watch.received(1)
    watch.ended()
    assert sends.tokens_waiting("engine-1") == 0


def test_a_send_without_a_token_leaves_nothing_behind():
    """An engine was avoided for good.

    A stream broke off before its first token. Its prompt went on counting as
    work ahead there, as nothing took it out again.
    """
    sends, clock = Sends(), ManualClock()
    _sent(sends, clock).ended()
    clock.advance(timedelta(minutes=1))
    assert sends.tokens_waiting("engine-1") == 0
    assert sends.queueing("engine-1", clock.elapsed()) == timedelta()


def test_a_late_first_token_shows_a_queue():
    sends, clock = Sends(), ManualClock()
    watch = _sent(sends, clock)
    clock.advance(timedelta(seconds=3))
    watch.received(1)
    assert sends.queueing("engine-1", clock.elapsed()) > timedelta(seconds=2)


def test_slow_tokens_show_a_slow_engine():
    sends, clock = Sends(), ManualClock()
    for name, pause in (("engine-1", 200), ("engine-2", 20), ("engine-3", 20)):
        watch = SendWatch(name, sends, clock)
        watch.sent(name)
        for _ in range(OBSERVED_TOKENS):
            watch.received(1)
            clock.advance(timedelta(milliseconds=pause))
        watch.ended()
    assert sends.slowness("engine-1", clock.elapsed()) > 5
    assert sends.slowness("engine-2", clock.elapsed()) == 1
