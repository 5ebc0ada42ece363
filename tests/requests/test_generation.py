"""Tests of one generation on scripted engines."""

from dataclasses import replace
from datetime import timedelta

import pytest

from sassafrasdale.callers.generations import generation_response
from sassafrasdale.clock import ManualClock, SystemClock
from sassafrasdale.endpoints.engines import DONE, FromCache
from sassafrasdale.endpoints.exceptions import (
    NotSent,
    Refused,
    Rejected,
    ResponseLost,
    StreamUnknown,
)
from sassafrasdale.green import sleep
from sassafrasdale.requests.placement import Progress
from sassafrasdale.requests.registry import UNREAD_TIMEOUT, Registry
from sassafrasdale.requests.structures import Answered, NotRun, Unknown
from sassafrasdale.structures import Address
from tests.requests.fakes import (
    LAST,
    WHOLE,
    Choices,
    FakeAdapter,
    endpoint,
    generation,
    model_call,
    token,
)


def test_a_lost_end_marker_does_not_repeat_the_last_chunk():
    """A caller gets the chunk with the finish reason twice.

    The connection breaks between the engine's last chunk and ``[DONE]``. If the stream
    is requested again, the engine repeats its last chunk.
    """
    engine = FakeAdapter([[[token("a"), token("b"), LAST]], [[LAST, DONE]]])
    made = generation(Choices(endpoint("one", engine)))
    made.run()
    assert isinstance(made.outcome, Answered)
    assert made.events == WHOLE


def test_a_queued_stream_stays_on_its_engine():
    """A request runs on several engines while their queues are long.

    The engine's queue takes longer than the silence timeout. Neither the first call
    nor the reconnection gets an event in time, though the engine is healthy.
    """
    silence = ResponseLost("no response")
    engine = FakeAdapter([silence, silence, [WHOLE]], {"health": {}})
    other = FakeAdapter([[WHOLE]])
    made = generation(Choices(endpoint("one", engine), endpoint("two", other)))
    made.run()
    assert made.events == WHOLE
    assert other.requests == []


def test_a_dead_engine_is_replaced():
    """As above, but the engine is dead, so another one recomputes the tokens."""
    broken = [[token("a")], ResponseLost("silent")]
    engine = FakeAdapter([broken, ResponseLost("no response")])
    other = FakeAdapter([[WHOLE[1:]]])
    made = generation(Choices(endpoint("one", engine), endpoint("two", other)))
    made.run()
    assert made.events == WHOLE
    assert b'"continuation": "a"' in other.requests[0].body


class StallingAdapter(FakeAdapter):
    """Connections to an engine whose health checks time out until a stall ends."""

    def __init__(self, streams, timeouts):
        super().__init__(streams, {"health": {}})
        self._timeouts = timeouts

    def ask(self, method, target, *, document=None, limit=None):
        response = super().ask(method, target, document=document, limit=limit)
        if len(self.asked) <= self._timeouts:
            raise ResponseLost("no answer in time")
        return response


def _stalled_stream(reattachments):
    broken = [[token("a")], ResponseLost("silent")]
    silent = [ResponseLost("silent")] * reattachments
    return [broken, *silent, [WHOLE[1:]]]


def _run_beside(engine, other, call):
    """Run a generation that begins at one engine and may go on at another."""
    made = generation(
        Choices(*[endpoint("one", engine), *[endpoint("two", other)] * 9]),
        clock=SystemClock(),
        call=call,
    )
    made.run()
    return made


def test_engines_that_stall_together_keep_their_streams():
    """Guards against a stream computed anew as all engines are silent for seconds."""
    engine = StallingAdapter(_stalled_stream(2), timeouts=9)
    other = StallingAdapter([], timeouts=9)
    made = _run_beside(engine, other, _call_from_now())
    assert made.events == WHOLE
    assert other.requests == []


def test_a_stream_that_may_not_run_twice_waits_for_its_silent_engine():
    """Guards against a sound run given up although nothing may replace it."""
    engine = StallingAdapter(_stalled_stream(2), timeouts=9)
    other = StallingAdapter([], timeouts=0)
    seconds = SystemClock().elapsed().total_seconds() + 30
    made = _run_beside(engine, other, model_call(key="key-1", seconds=seconds))
    assert made.events == WHOLE
    assert other.requests == []


def test_engines_that_go_on_together_keep_their_streams():
    """Guards against a stream computed anew at the first engine that goes on."""
    engine = StallingAdapter(_stalled_stream(1), timeouts=1)
    other = StallingAdapter([], timeouts=0)
    made = _run_beside(engine, other, _call_from_now())
    assert made.events == WHOLE
    assert other.requests == []


def test_an_engine_that_alone_is_silent_is_replaced():
    """Guards against streams that wait for an engine that is gone without a reset."""
    engine = StallingAdapter(_stalled_stream(1)[:2], timeouts=9)
    other = StallingAdapter([[WHOLE[1:]]], timeouts=0)
    made = _run_beside(engine, other, _call_from_now())
    assert made.events == WHOLE
    assert b'"continuation": "a"' in other.requests[0].body


def test_a_started_request_waits_for_an_engine():
    """A started stream ends with an error during a reclaim.

    Its engine crashes, and for a moment every other one refuses or is unreachable.
    """
    engine = FakeAdapter([[[token("a")], ResponseLost("cut")], NotSent("gone")])
    full = FakeAdapter([Refused("full"), [WHOLE[1:]]])
    choices = Choices(
        endpoint("one", engine), endpoint("two", full), None, endpoint("two", full)
    )
    made = generation(choices, clock=SystemClock(), call=_call_from_now())
    made.run()
    assert made.events == WHOLE


def _call_from_now():
    return model_call(seconds=SystemClock().elapsed().total_seconds() + 30)


def test_a_refused_request_was_not_run():
    engine = FakeAdapter([Refused("full", retry_after=timedelta(seconds=7))])
    made = generation(Choices(endpoint("one", engine)))
    made.run()
    assert made.outcome == NotRun("full", timedelta(seconds=7), overloaded=True)


@pytest.mark.parametrize("sent", [True, False])
def test_a_holder_knows_whether_the_previous_one_sent(sent):
    """A caller gets "not run" for a request that an engine ran.

    The first holder sent it and lost the response before the first event; the second
    finds no engine and does not know that the request was sent.
    """
    progress = Progress([], None, None, sent=sent)
    clock = ManualClock()
    made = generation(Choices(), model_call(seconds=0), clock=clock, progress=progress)
    made.run()
    assert isinstance(made.outcome, Unknown if sent else NotRun)


def test_a_cache_is_offered_to_the_next_engine_if_one_refuses():
    """Tokens are recomputed although their KV cache was exported.

    The first target refuses; the second can still import the exported cache.
    """
    cache = FromCache(0, "", Address("127.0.0.1", 9), "kv-1")
    full = FakeAdapter([Refused("full")])
    other = FakeAdapter([[WHOLE[1:]]])
    progress = Progress([token("a")], None, cache, sent=True)
    choices = Choices(endpoint("one", full), endpoint("two", other))
    made = generation(choices, progress=progress)
    made.run()
    assert made.events == WHOLE
    assert b'"kv_handle": "kv-1"' in other.requests[0].body


def test_an_exported_stream_is_handed_over_with_its_cache():
    """Tokens are recomputed when an engine and an entry leave together.

    The entry offers the stream while the engine exports it, so the receiver requests
    a stream that has ended from that engine.
    """
    engine = FakeAdapter([[[token("a")]]], {"export": {"kv_handle": "kv-1"}})
    leaving = endpoint("one", engine)
    progress = Progress([token("a")], leaving, None, sent=True)
    made = generation(Choices(), progress=progress)
    assert made.move(leaving)
    offered = made.begin_offer()
    assert offered.endpoint is None
    assert offered.cache.handle == "kv-1"


def test_a_failed_export_still_leaves_the_engine():
    """A stream stalls until its engine is reclaimed.

    The engine responds neither to the export nor to the cancellation, and its stream
    stays open.
    """
    engine = FakeAdapter([_slow_stream()])
    other = FakeAdapter([[WHOLE[1:]]])
    leaving = endpoint("one", engine)
    choices = Choices(leaving, endpoint("two", other))
    made = generation(choices, clock=SystemClock(), call=_call_from_now())
    made.start()
    made.read(0, timedelta(seconds=1))
    assert not made.move(leaving)
    made.recompute(leaving)
    while not made.ended:
        made.read(len(made.events), timedelta(seconds=1))
    assert made.events == WHOLE


def _slow_stream():
    yield [token("a")]
    sleep(timedelta(seconds=60))
    yield [token("never read")]


def test_a_non_idempotent_request_is_never_recomputed():
    """A non-idempotent request runs twice when its engine crashes."""
    engine = FakeAdapter([[[token("a")], ResponseLost("cut")], StreamUnknown("gone")])
    other = FakeAdapter([[WHOLE]])
    choices = Choices(endpoint("one", engine), endpoint("two", other))
    made = generation(choices, model_call(key="k"))
    made.run()
    assert isinstance(made.outcome, Unknown)
    assert other.requests == []


def test_a_second_holder_without_readers_cancels_nothing():
    """A stream stops when another entry abandons it.

    The acknowledgement of a hand-over was lost, so two entries read one stream. No
    caller reads from the second one, which abandons its generation after a while. It
    must not cancel the stream that the first one still forwards.
    """
    clock = ManualClock()
    engine = FakeAdapter([])
    progress = Progress([token("a")], endpoint("one", engine), None, sent=True)
    made = generation(Choices(), progress=progress, clock=clock)
    registry = Registry(clock)
    registry.add(made)
    clock.advance(UNREAD_TIMEOUT + timedelta(seconds=1))
    registry.sweep()
    sleep()
    assert made.ended
    assert engine.asked == []


def test_a_queued_request_can_be_handed_over():
    """A queued request is lost when its entry stops."""
    made = generation(Choices())
    made.release()
    assert made.handed_over


@pytest.mark.parametrize("streamed", [True, False])
def test_an_engines_rejection_is_returned(streamed):
    """A caller with a too long prompt waits for a minute, then gets 504.

    The engine responds with 400. Treated as a lost response, the request is sent to
    all engines in turn.
    """
    engine = FakeAdapter([Rejected(400, (), b'{"error": "too long"}')])
    call = replace(model_call(), streamed=streamed)
    made = generation(Choices(endpoint("one", engine)), call)
    made.run()
    response = generation_response(made)
    assert (response.status, response.body) == (400, b'{"error": "too long"}')


def test_an_unforeseen_error_ends_the_request_at_once():
    """A caller waits 30 s for nothing.

    An unexpected error in the choice of engines ends the generation's task. Its caller
    waits until the deadline, and then gets "not run".
    """

    def choose(avoid: frozenset[str]) -> None:
        raise ZeroDivisionError

    failing = generation(choose)
    failing.run()
    assert isinstance(failing.outcome, Unknown)
