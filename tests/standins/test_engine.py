"""Tests of the model engine, and of each of its faults."""

import json
import time
from collections.abc import Iterator
from datetime import timedelta
from http.client import HTTPConnection
from typing import Any

import pytest
from urllib3.exceptions import ProtocolError, ReadTimeoutError

from standins.clients import Client
from standins.generation import reference_text
from standins.processes import EngineProcess

COMPLETIONS = "/v1/chat/completions"
LIMIT = timedelta(seconds=5)
LONG = 240
"""Tokens of a stream that runs for more than a second, while the test acts."""

QUESTION = [{"role": "user", "content": " ".join(f"word{n}" for n in range(64))}]


def body(max_tokens: int = 8, **fields: Any) -> dict[str, Any]:
    return {"model": "m", "messages": QUESTION, "max_tokens": max_tokens, **fields}


def ask(client: Client, name: str = "", **fields: Any):
    headers = {"X-Request-Id": name} if name else None
    return client.call("POST", COMPLETIONS, body(**fields), headers)


def open_stream(client: Client, name: str, **fields: Any):
    headers = {"X-Request-Id": name}
    return client.stream("POST", COMPLETIONS, body(stream=True, **fields), headers)


def begin(engine: EngineProcess, name: str, **fields: Any) -> HTTPConnection:
    """Request a stream without waiting for its first token."""
    connection = HTTPConnection(*engine.address.split(":"), timeout=5)
    message = json.dumps(body(stream=True, **fields))
    connection.request("POST", COMPLETIONS, message, {"X-Request-Id": name})
    return connection


def states(engine: EngineProcess) -> dict[str, str]:
    return {item["request_id"]: item["state"] for item in engine.executions()}


def wait_until_known(engine: EngineProcess, *names: str) -> None:
    deadline = time.monotonic() + 5
    while time.monotonic() < deadline and not set(names) <= set(states(engine)):
        time.sleep(0.01)


def events(response) -> Iterator[str]:
    """Yield the data of each event."""
    rest = b""
    for piece in response.stream(65536):
        *whole, rest = (rest + piece).split(b"\n\n")
        yield from (event.decode().removeprefix("data: ") for event in whole)


def text_of(found: list[str]) -> str:
    """Return the text of events, without ``[DONE]``."""
    chunks = [json.loads(event) for event in found if event != "[DONE]"]
    return "".join(chunk["choices"][0]["delta"].get("content", "") for chunk in chunks)


def take(found: Iterator[str], count: int) -> list[str]:
    """Return the next ``count`` events."""
    return [next(found) for _ in range(count)]


@pytest.fixture
def client(engine):
    return Client(engine.address, LIMIT)


def test_whole_and_streamed_responses_are_the_reference(client):
    wanted = reference_text("m", QUESTION, 8)
    answer = ask(client).json()
    assert answer["choices"][0]["message"]["content"] == wanted
    found = list(events(open_stream(client, "r")))
    assert text_of(found) == wanted
    assert found[-1] == "[DONE]"
    last = json.loads(found[-2])
    assert last["choices"][0]["finish_reason"] == "stop"
    assert last["usage"]["completion_tokens"] == 8


def test_a_repeated_prompt_is_cached(client):
    assert ask(client).json()["usage"]["prompt_tokens_details"]["cached_tokens"] == 0
    usage = ask(client).json()["usage"]
    assert usage["prompt_tokens"] == 65
    assert usage["prompt_tokens_details"]["cached_tokens"] == 64


def test_a_broken_stream_continues_and_is_resumed(client):
    """A reader that resumes its stream misses tokens or gets some twice.

    It reads some tokens and its connection breaks while the engine continues; a new
    connection requests the tokens after the last one received.
    """
    response = open_stream(client, "broken", max_tokens=LONG)
    found = events(response)
    before = take(found, 5)
    response.close()
    time.sleep(0.1)
    rest = client.stream("GET", "/v1/streams/broken?after=5")
    assert text_of(before + list(events(rest))) == reference_text("m", QUESTION, LONG)
    assert client.call("GET", "/v1/streams/other").status == 404


def test_connections_are_cut_in_the_middle(engine, client):
    """A reader can't resume a stream whose connection the engine has closed.

    All connections are closed in the middle of the stream, before ``[DONE]``.
    """
    response = open_stream(client, "cut", max_tokens=LONG)
    found = events(response)
    before = take(found, 3)
    engine.set_faults(cut_connections=True)
    with pytest.raises(ProtocolError):
        before.extend(found)
    rest = client.stream("GET", f"/v1/streams/cut?after={len(before)}")
    assert text_of(before + list(events(rest))) == reference_text("m", QUESTION, LONG)


def test_an_unresponsive_stream_is_resumed_on_a_new_connection(engine, client):
    """A reader gets no more tokens although the engine keeps generating.

    The stream's connection stays open but carries no more data; a new connection
    delivers the rest.
    """
    response = open_stream(client, "silent", max_tokens=LONG)
    found = events(response)
    before = take(found, 3)
    engine.set_faults(silence_connections=True)
    response.connection.sock.settimeout(0.3)
    with pytest.raises((ReadTimeoutError, TimeoutError)):
        before.extend(found)
    rest = client.stream("GET", f"/v1/streams/silent?after={len(before)}")
    assert text_of(before + list(events(rest))) == reference_text("m", QUESTION, LONG)


def test_a_stream_without_a_reader_is_cancelled():
    """Streams without a reader would occupy the engine until their last token.

    The reader closes its connection and does not resume within the reconnect window.
    """
    with EngineProcess("engine-1", step_ms=5, reconnect_window_ms=100) as engine:
        client = Client(engine.address, LIMIT)
        response = open_stream(client, "lost", max_tokens=1000)
        found = events(response)
        next(found)
        response.close()
        time.sleep(0.5)
        assert states(engine)["lost"] == "cancelled"
        assert client.call("GET", "/v1/streams/lost").status == 404


@pytest.mark.parametrize("stream", [False, True])
def test_a_truncated_response(engine, client, stream):
    """A caller takes the first half of a response for the whole one.

    A whole response ends before its ``Content-Length``; a stream ends as valid HTTP,
    but without its last chunk and ``[DONE]``.
    """
    engine.set_faults(truncate_answers=1)
    if stream:
        found = list(events(open_stream(client, "half")))
        assert len(found) == 4
        assert "[DONE]" not in found
    else:
        with pytest.raises(ProtocolError):
            ask(client)
    assert ask(client).status == 200


def test_a_cancelled_stream_ends_without_done(client):
    found = events(open_stream(client, "cancelled", max_tokens=1000))
    next(found)
    assert client.call("POST", "/v1/streams/cancelled/cancel").status == 200
    assert "[DONE]" not in list(found)
    assert client.call("GET", "/v1/streams/cancelled").status == 404


def test_a_moved_stream_recomputes_nothing(engine, client):
    """An announced reclaim has tokens recomputed although the KV cache was moved.

    The first engine exports the stream; the second imports its cache and continues.
    """
    found = events(open_stream(client, "moved", max_tokens=LONG))
    next(found)
    exported = client.call("POST", "/v1/streams/moved/export").json()
    assert "[DONE]" not in list(found)
    with EngineProcess("engine-2", step_ms=5) as other:
        remote = {"remote_address": engine.address, "kv_handle": exported["kv_handle"]}
        second = Client(other.address, LIMIT)
        assert second.call("POST", "/v1/cache/import", remote).status == 200
        engine.kill()
        check_continued(second, exported["tokens"], 0, kv_transfer_params=remote)


def test_a_lost_stream_is_recomputed(engine, client):
    """The tokens recomputed after a crash are not reported.

    The engine is killed, so its cache can't be fetched; another one recomputes the
    prompt and the first tokens and reports their number.
    """
    with EngineProcess("engine-2", step_ms=5) as other:
        second = Client(other.address, LIMIT)
        remote = {"remote_address": engine.address, "kv_handle": "kv-lost"}
        engine.kill()
        check_continued(second, 20, 65 + 20, kv_transfer_params=remote)
        check_continued(second, 20, 1 + 20)


def test_a_stream_continued_after_its_last_token_has_no_more_tokens(client):
    """A continued stream would repeat tokens or never end.

    The first engine crashed between the last token and ``[DONE]``.
    """
    response = open_stream(client, "end", continue_from=8, continuation="")
    found = list(events(response))
    assert len(found) == 2
    assert json.loads(found[0])["choices"][0]["finish_reason"] == "stop"


def check_continued(client: Client, first: int, recomputed: int, **fields: Any) -> None:
    continuation = reference_text("m", QUESTION, first)
    response = open_stream(
        client,
        "continued",
        max_tokens=LONG,
        continue_from=first,
        continuation=continuation,
        **fields,
    )
    found = list(events(response))
    assert continuation + text_of(found) == reference_text("m", QUESTION, LONG)
    assert json.loads(found[-2])["usage"]["recomputed_tokens"] == recomputed


def test_streams_leave_the_queue_by_priority():
    with EngineProcess("engine-1", step_ms=5, max_batch=1) as engine:
        begin(engine, "running", max_tokens=LONG)
        wait_until_known(engine, "running")
        begin(engine, "late", priority=7, max_tokens=1)
        wait_until_known(engine, "late")
        soon = begin(engine, "soon", priority=0, max_tokens=30)
        soon.getresponse().readline()
        assert states(engine)["late"] == "waiting"


def test_a_full_queue_refuses():
    """A caller can't tell that its refused request has not started.

    The batch and the queue of the engine are full.
    """
    with EngineProcess("engine-1", step_ms=5, max_batch=1, max_waiting=1) as engine:
        begin(engine, "running", max_tokens=1000).getresponse().readline()
        begin(engine, "waiting", max_tokens=1000)
        wait_until_known(engine, "waiting")
        answer = ask(Client(engine.address, LIMIT), "refused")
        assert answer.status == 429
        assert answer.headers["X-Refused"] == "not-started"
        assert "refused" not in engine.counts()["by_request_id"]


def test_a_response_is_dropped_after_the_generation(engine, client):
    """A dropped response hides that the request was executed.

    The caller's connection is closed after the whole response was generated; the log
    must show the execution.
    """
    engine.set_faults(drop_answers=1)
    with pytest.raises(ProtocolError):
        ask(client, "dropped")
    found = engine.executions()
    assert [(item["request_id"], item["tokens"]) for item in found] == [("dropped", 8)]


def test_new_streams_are_refused_while_old_ones_continue(engine, client):
    """A draining engine would cut off its running streams or accept new ones."""
    found = events(open_stream(client, "old", max_tokens=LONG))
    next(found)
    engine.set_faults(refuse=True)
    answer = ask(client, "new")
    assert (answer.status, answer.headers["X-Refused"]) == (503, "not-started")
    assert list(found)[-1] == "[DONE]"


@pytest.mark.parametrize("whole_process", [False, True])
def test_a_frozen_stream_pauses_and_completes(engine, client, whole_process):
    """A stream would break, or not pause at all, when its engine is frozen.

    The engine is frozen by the fault or by SIGSTOP for 0.5 s.
    """
    found = events(open_stream(client, "frozen", max_tokens=LONG))
    next(found)
    started = time.monotonic()
    if whole_process:
        engine.freeze()
        time.sleep(0.5)
        engine.thaw()
    else:
        engine.set_faults(freeze_ms=500)
    assert list(found)[-1] == "[DONE]"
    assert time.monotonic() - started > 0.5


def test_the_slow_factor_multiplies_the_duration(engine, client):
    engine.set_faults(slow_factor=10)
    started = time.monotonic()
    ask(client)
    assert time.monotonic() - started > 8 * 0.05


def test_load_is_reported_with_a_lag():
    """The reported load would be up to date, unlike that of a real engine.

    With a lag of 2 s, a running stream is missing from the report at first.
    """
    with EngineProcess("engine-1", step_ms=5, load_lag_ms=2000) as engine:
        client = Client(engine.address, LIMIT)
        next(events(open_stream(client, "running", max_tokens=1000)))
        assert client.call("GET", "/v1/load").json()["running"] == 0
        deadline = time.monotonic() + 4
        while time.monotonic() < deadline:
            if client.call("GET", "/v1/load").json()["running"] == 1:
                return
            time.sleep(0.05)
        pytest.fail("the load was never reported")


def test_cache_events_follow_the_cache(client):
    ask(client)
    found = client.call("GET", "/v1/cache/events?after=0&wait_ms=500").json()
    assert [event["kind"] for event in found["events"]] == ["stored"] * 4
    path = f"/v1/cache/events?after={found['next']}&wait_ms=10"
    assert client.call("GET", path).json()["events"] == []


@pytest.mark.parametrize(("checks", "status"), [(True, 409), (False, 200)])
def test_an_old_fencing_number(checks, status):
    """A former lease holder's order would be carried out by an engine with fencing.

    The new holder's order arrives first; the engine refuses the old one only if it
    checks fencing numbers.
    """
    with EngineProcess("engine-1", checks_fencing=checks) as engine:
        client = Client(engine.address, LIMIT)
        order = {"kind": "load_model", "fencing_number": 5, "value": "new"}
        assert client.call("POST", "/v1/orders", order).status == 200
        order = {"kind": "load_model", "fencing_number": 4, "value": "old"}
        assert client.call("POST", "/v1/orders", order).status == status
        state = client.call("GET", "/v1/orders").json()["state"]
        assert state["load_model"] == ("new" if checks else "old")
