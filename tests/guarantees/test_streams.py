"""Every caller gets its own response, and all of it."""

import time

from standins.callers import (
    CUSTOMER,
    MODEL,
    Balancer,
    CallerPool,
    ReadPattern,
    busiest_engine,
    call,
    start_fleet,
)
from standins.fleet import Fleet

CALLERS = 100
READ_TWICE = 10
MIN_TOKENS = 5
UNBUFFERED_TOKENS = 40


def test_a_hundred_callers_resume_while_instances_fail():
    """A caller gets another caller's tokens, or some tokens twice or not at all.

    A hundred callers read through three entries, and some streams have two readers.
    Some callers drop their connection repeatedly and request events that they already
    have, some read slowly. Meanwhile one engine is killed, and another one and an
    entry are reclaimed.
    """
    patterns = [
        ReadPattern(),
        ReadPattern(drop_every=17, step_back=5),
        ReadPattern(pause=0.02),
    ]
    with start_fleet(step_ms=50) as fleet, CallerPool(Balancer(fleet.entries)) as crowd:
        crowd.stream(CALLERS, 140, lambda number: patterns[number % len(patterns)])
        crowd.wait_until_running()
        crowd.read_again(crowd.streams[:READ_TWICE])
        fleet.kill_instance(busiest_engine(fleet).name)
        crowd.wait_until_running(events=30)
        fleet.reclaim(busiest_engine(fleet).name, 5)
        fleet.reclaim(fleet.entries[0].name, 5)
        assert crowd.faults() == []
        assert sum(stream.duplicates for stream in crowd.streams) > 0
        assert sum(stream.moved for stream in crowd.streams) > 0


def test_a_truncated_stream_does_not_look_complete():
    """A caller takes half a report for the whole one.

    All engines are killed in the middle of a stream. No engine can continue it, so it
    ends at its deadline with an error event: no finish reason, no ``[DONE]``. A caller
    that waits for a whole response gets the outcome "unknown".
    """
    with start_fleet(step_ms=30) as fleet, CallerPool(Balancer(fleet.entries)) as crowd:
        entry = fleet.entries[0]
        whole = crowd.submit(_ask_whole, entry)
        streamed = crowd.submit(_read_raw, entry)
        _wait_for_tokens(fleet, streams=2)
        for engine in fleet.endpoints_of(MODEL):
            engine.kill()
        assert whole.result() == (504, "unknown")
        status, text = streamed.result()
        assert status == 200
        assert "event: error" in text
        assert "[DONE]" not in text
        assert '"stop"' not in text


def _wait_for_tokens(fleet: Fleet, streams: int) -> None:
    def token_counts() -> list[int]:
        return [item["tokens"] for item in fleet.executions(MODEL)]

    while len(token_counts()) < streams or min(token_counts()) < MIN_TOKENS:
        time.sleep(0.02)


def _body(stream: bool) -> dict:
    messages = [{"role": "user", "content": f"report {stream}"}]
    return {
        "model": MODEL,
        "messages": messages,
        "max_tokens": 500,
        "stream": stream,
    }


def _ask_whole(entry) -> tuple[int, str]:
    answer = call(
        entry, "POST", "/v1/chat/completions", _body(False), X_Timeout_Ms="4000"
    )
    return answer.status, answer.headers["X-Outcome"]


def _read_raw(entry) -> tuple[int, str]:
    answer = call(
        entry, "POST", "/v1/chat/completions", _body(True), X_Timeout_Ms="4000"
    )
    return answer.status, answer.data.decode()


def test_tokens_are_forwarded_immediately():
    """A caller waits more than a second for the first word, then gets a paragraph.

    The server buffers a stream's output until it has a few kilobytes.
    """
    with start_fleet(step_ms=50, entries=1) as fleet:
        body = {**_body(True), "max_tokens": UNBUFFERED_TOKENS}
        response = fleet.entries[0].client.stream(
            "POST", "/v1/chat/completions", body, {"X-Customer": CUSTOMER}
        )
        parts = 0
        while response.read1(65_536):
            parts += 1
    assert parts > UNBUFFERED_TOKENS / 4
