"""One generation against scripted engines."""

from dataclasses import replace
from datetime import timedelta

import pytest

from sassafrasdale.callers.generations import generation_answer
from sassafrasdale.clock import ManualClock, SystemClock
from sassafrasdale.endpoints.engines import DONE, FromCache
from sassafrasdale.endpoints.exceptions import (
    AnswerLost,
    NotSent,
    Refused,
    Rejected,
    StreamUnknown,
)
from sassafrasdale.green import sleep
from sassafrasdale.requests.placement import Progress
from sassafrasdale.requests.registry import UNREAD_LIMIT, Registry
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


def test_a_lost_end_mark_does_not_repeat_the_last_chunk():
    """A caller is told twice why its answer ended.

    The connection breaks between the engine's last chunk and ``[DONE]``. Asked
    again, the engine sends its last chunk a second time.
    """
    engine = FakeAdapter([[[token("a"), token("b"), LAST]], [[LAST, DONE]]])
    made = generation(Choices(endpoint("one", engine)))
    made.run()
    assert isinstance(made.outcome, Answered)
    assert made.events == WHOLE


def test_a_stream_that_waits_for_its_turn_stays_on_its_engine():
    """A caller's request runs on several engines while their queues are long.

    The engine's queue is longer than the silence limit. Both the first call and
    the reconnection bring nothing in time, though the engine is well.
    """
    silence = AnswerLost("no answer")
    engine = FakeAdapter([silence, silence, [WHOLE]], {"health": {}})
    other = FakeAdapter([[WHOLE]])
    made = generation(Choices(endpoint("one", engine), endpoint("two", other)))
    made.run()
    assert made.events == WHOLE
    assert other.requests == []


def test_a_silent_engine_is_left():
    """As above, but the engine is gone, so another one computes the tokens again."""
    broken = [[token("a")], AnswerLost("silent")]
    engine = FakeAdapter([broken, AnswerLost("no answer")])
    other = FakeAdapter([[WHOLE[1:]]])
    made = generation(Choices(endpoint("one", engine), endpoint("two", other)))
    made.run()
    assert made.events == WHOLE
    assert b'"continuation": "a"' in other.requests[0].body


def test_a_begun_request_waits_for_an_engine():
    """A caller's accepted stream ends with an error during a reclaim.

    Its engine dies, and for a moment every other one refuses or is unreachable.
    """
    engine = FakeAdapter([[[token("a")], AnswerLost("cut")], NotSent("gone")])
    full = FakeAdapter([Refused("full"), [WHOLE[1:]]])
    choices = Choices(
        endpoint("one", engine), endpoint("two", full), None, endpoint("two", full)
    )
    made = generation(choices, clock=SystemClock(), call=_call_from_now())
    made.run()
    assert made.events == WHOLE


def _call_from_now():
    return model_call(seconds=SystemClock().elapsed().total_seconds() + 30)


def test_a_request_that_nothing_took_was_not_run():
    engine = FakeAdapter([Refused("full", retry_after=timedelta(seconds=7))])
    made = generation(Choices(endpoint("one", engine)))
    made.run()
    assert made.outcome == NotRun("full", timedelta(seconds=7), overloaded=True)


@pytest.mark.parametrize("sent", [True, False])
def test_a_holder_knows_whether_the_earlier_one_sent(sent):
    """A caller is told "not run" of a request that an engine ran.

    The first holder sent it and lost the answer before the first event; the
    second finds no engine and knows of no send.
    """
    progress = Progress([], None, None, sent=sent)
    clock = ManualClock()
    made = generation(Choices(), model_call(seconds=0), clock=clock, progress=progress)
    made.run()
    assert isinstance(made.outcome, Unknown if sent else NotRun)


def test_a_cache_is_offered_to_the_next_engine_if_one_refuses():
    """Tokens are recomputed though their cache was exported.

    The first target refuses; the exported cache is still there for the second.
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


def test_a_moving_stream_is_handed_over_with_its_cache():
    """Tokens are recomputed when engine and entry of a zone leave together.

    The entry offers the stream while the engine exports it, so the receiver asks
    that engine for a stream which has ended.
    """
    engine = FakeAdapter([[[token("a")]]], {"export": {"kv_handle": "kv-1"}})
    leaving = endpoint("one", engine)
    progress = Progress([token("a")], leaving, None, sent=True)
    made = generation(Choices(), progress=progress)
    assert made.move(leaving)
    offered = made.begin_offer()
    assert offered.endpoint is None
    assert offered.cache.handle == "kv-1"


def test_a_refused_export_leaves_the_engine_by_itself():
    """A caller's stream stalls until its engine is taken.

    The engine answers neither export nor cancel, and its stream goes on.
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


def test_a_keyed_request_is_never_computed_again():
    """A certificate is drafted twice when its engine dies."""
    engine = FakeAdapter([[[token("a")], AnswerLost("cut")], StreamUnknown("gone")])
    other = FakeAdapter([[WHOLE]])
    choices = Choices(endpoint("one", engine), endpoint("two", other))
    made = generation(choices, model_call(key="k"))
    made.run()
    assert isinstance(made.outcome, Unknown)
    assert other.requests == []


def test_a_second_holder_that_nobody_reads_cancels_nothing():
    """A caller's stream stops when another entry gives it up.

    The acknowledgement of a hand-over was lost, so two entries read one stream.
    Nobody asks the second one, which gives up after a while and, as it used to,
    cancels the stream that the first one still passes on.
    """
    clock = ManualClock()
    engine = FakeAdapter([])
    progress = Progress([token("a")], endpoint("one", engine), None, sent=True)
    made = generation(Choices(), progress=progress, clock=clock)
    registry = Registry(clock)
    registry.add(made)
    clock.advance(UNREAD_LIMIT + timedelta(seconds=1))
    registry.sweep()
    sleep()
    assert made.ended
    assert engine.asked == []


def test_a_request_that_waits_for_room_can_be_handed_over():
    """A queued request is lost when its entry leaves."""
    made = generation(Choices())
    made.release()
    assert made.handed_over


@pytest.mark.parametrize("streamed", [True, False])
def test_an_engines_complaint_is_passed_back(streamed):
    """A caller with a prompt that is too long waits for a minute, then gets 504.

    The engine answers 400. That was taken for a lost answer, and the request
    went round all engines.
    """
    engine = FakeAdapter([Rejected(400, (), b'{"error": "too long"}')])
    call = replace(model_call(), streamed=streamed)
    made = generation(Choices(endpoint("one", engine)), call)
    made.run()
    answer = generation_answer(made)
    assert (answer.status, answer.body) == (400, b'{"error": "too long"}')


def test_an_unforeseen_error_ends_the_request_at_once():
    """A caller waited 30 s for nothing.

    A fault in the code that chooses engines ended the generation's task. Its
    caller went on waiting until the deadline, and was then told "not run".
    """

    def choose(avoid: frozenset[str]) -> None:
        raise ZeroDivisionError

    failing = generation(choose)
    failing.run()
    assert isinstance(failing.outcome, Unknown)
