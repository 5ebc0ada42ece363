"""Snapshot of a session with every kind of request, as callers see it."""

import re

from syrupy.assertion import SnapshotAssertion

from standins.clients import Response
from standins.fleet import Fleet

CALLER = {"X-Customer": "cube-labs"}
CHAT = {
    "model": "reports",
    "messages": [{"role": "user", "content": "Draft the report of batch 7."}],
    "max_tokens": 3,
}
# Values that differ between runs: times, generated ids, certificate numbers, and the
# endpoint that responded.
MASKS = (
    (re.compile(r'"created": \d+'), '"created": TIME'),
    (re.compile(r"[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}"), "UUID"),
    (re.compile(r'"number": "[0-9a-f]{32}"'), '"number": "NUMBER"'),
    (re.compile(r'"endpoint": "records-\d"'), '"endpoint": "ENDPOINT"'),
)


def _format(response: Response) -> str:
    headers = sorted(
        f"{name}: {value}" for name, value in response.headers.items() if name != "Date"
    )
    lines = [str(response.status), *headers, "", response.data.decode()]
    text = "\n".join(lines)
    for pattern, mask in MASKS:
        text = pattern.sub(mask, text)
    return text


def test_whole_session(fleet: Fleet, snapshot: SnapshotAssertion):
    """Covers lookups, keyed retries, chats with and without streaming, and resuming."""
    call = fleet.entries[0].client.call
    chat = "/v1/chat/completions"
    certificates = "/v1/services/records/certificates"
    keyed = {**CALLER, "Idempotency-Key": "cube-1"}
    named = {**CALLER, "X-Request-Id": "session-1"}
    responses = {
        "lookup": call("GET", "/v1/services/records/lookups/7", headers=CALLER),
        "issue": call("POST", certificates, {"cube": 1}, keyed),
        "retry": call("POST", certificates, {"cube": 1}, keyed),
        "reuse": call("POST", certificates, {"cube": 2}, keyed),
        "unkeyed": call("POST", certificates, {"cube": 1}, CALLER),
        "whole": call("POST", chat, CHAT, CALLER),
        "streamed": call("POST", chat, {**CHAT, "stream": True}, named),
        "resumed": call(
            "GET", "/v1/requests/session-1", headers={**CALLER, "Last-Event-ID": "3"}
        ),
        "taken": call("POST", chat, CHAT, named),
        "not-theirs": call(
            "GET", "/v1/requests/session-1", headers={"X-Customer": "inspectors"}
        ),
        "ready": call("GET", "/health/ready"),
        "text": call("GET", "/admin/v1/text"),
    }
    assert responses["issue"].data == responses["retry"].data
    assert {name: _format(response) for name, response in responses.items()} == snapshot
