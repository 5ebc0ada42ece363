"""Snapshot of a session: requests sent to endpoints and responses to callers."""

import re

from tests.gateway.test_exchange import STREAM, body_of, streamed
from tests.gateway.world import ScriptedEndpoint, World, request, respond_with

# Values that differ between runs: the time left until the deadline, and retry-after.
_VARYING = re.compile(r"(deadline-ms|retry-after): [\d.]+", re.IGNORECASE)


def readable(data: bytes) -> list[str]:
    """Return bytes as lines, without what differs between runs.

    Events that arrive together are sent in one chunk, so chunk sizes are left out.
    """
    if b"chunked" in data:
        head, _, _ = data.partition(b"\r\n\r\n")
        data = head + b"\r\n\r\n" + body_of(data)
    return _VARYING.sub(r"\1: *", data.decode("latin-1")).split("\r\n")


def test_a_session(snapshot):
    world = World()
    shed = respond_with(b"", "503 Unavailable", "Not-Run: 1\r\n")
    records = ScriptedEndpoint(
        respond_with(b"record"), respond_with(b"no", "500 Error"), shed
    )
    models = ScriptedEndpoint(streamed(1, 2, 3))
    world.add("r-1", "records", records)
    world.add("m-1", "models", models)
    world.add("n-1", "models-next", ScriptedEndpoint(streamed(1, 2, 3)))
    responses = [
        world.ask(raw)
        for raw in (
            request("/certificates/7?full=1", "s-1", deadline_ms="400", tenant="x"),
            request("/certificates/8", "s-2"),
            request("/certificates/9", "s-3"),
            request("/reports/7", "s-4", model="m", **STREAM),
            request("/nowhere/", "s-5"),
            request("/certificates/7", "s-6").replace(b"key-1", b"stolen"),
            b"GET /certificates/7 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        )
    ]
    assert {
        "sent to the plain service": [readable(raw) for raw in records.requests],
        "sent to the engine": [readable(raw) for raw in models.requests],
        "answered": [readable(raw) for raw in responses],
    } == snapshot
