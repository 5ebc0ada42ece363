"""Invalid input gets an error that names the field, and the entry keeps serving."""

import socket
import time
from datetime import timedelta

import pytest

from standins.fleet import Fleet

CALLER = {"X-Customer": "cube-labs"}
CHAT = {"model": "reports", "messages": [{"role": "user", "content": "x"}]}
CHAT_PATH = "/v1/chat/completions"
LOOKUP = "/v1/services/records/lookups/7"
CERTIFICATES = "/v1/services/records/certificates"
MAX_RESPONSE_TIME = timedelta(seconds=5)

CASES = {
    "no customer": ("GET", LOOKUP, None, {"X-Customer": ""}, 400, "X-Customer"),
    "unknown customer": ("GET", LOOKUP, None, {"X-Customer": "z"}, 403, "X-Customer"),
    "bad id": ("GET", LOOKUP, None, {"X-Request-Id": "a b"}, 400, "X-Request-Id"),
    "bad timeout": ("GET", LOOKUP, None, {"X-Timeout-Ms": "-1"}, 400, "X-Timeout-Ms"),
    "bad priority": ("GET", LOOKUP, None, {"Priority": "u=9"}, 400, "Priority"),
    "bad key": (
        "POST",
        CERTIFICATES,
        {},
        {"Idempotency-Key": "a b"},
        400,
        "Idempotency-Key",
    ),
    "no key": ("POST", CERTIFICATES, {}, {}, 400, "Idempotency-Key"),
    "unknown service": ("GET", "/v1/services/nope/x", None, {}, 404, "service"),
    "model as service": ("GET", "/v1/services/reports/x", None, {}, 404, "service"),
    "unknown model": ("POST", CHAT_PATH, {**CHAT, "model": "nope"}, {}, 404, "model"),
    "no JSON": ("POST", CHAT_PATH, b"{", {}, 400, "body"),
    "no messages": ("POST", CHAT_PATH, {"model": "reports"}, {}, 400, "messages"),
    "bad message": (
        "POST",
        CHAT_PATH,
        {**CHAT, "messages": [{"role": "king", "content": "x"}]},
        {},
        400,
        "messages.0.role",
    ),
    "too many tokens": (
        "POST",
        CHAT_PATH,
        {**CHAT, "max_tokens": 10**6},
        {},
        400,
        "max_tokens",
    ),
    "keyed stream": (
        "POST",
        CHAT_PATH,
        {**CHAT, "stream": True},
        {"Idempotency-Key": "k-stream"},
        400,
        "stream",
    ),
    "wrong method": ("PUT", CHAT_PATH, CHAT, {}, 405, "method"),
    "too long": ("POST", CERTIFICATES, b"x" * 5000, {}, 413, "body"),
    "bad position": (
        "GET",
        "/v1/requests/r",
        None,
        {"Last-Event-ID": "x"},
        400,
        "Last-Event-ID",
    ),
    "unknown request": ("GET", "/v1/requests/r", None, {}, 404, "request_id"),
    "bad wait": (
        "GET",
        "/admin/v1/text?wait_ms=x",
        None,
        {"If-None-Match": '"0"'},
        400,
        "wait_ms",
    ),
    "no revision": ("PUT", "/admin/v1/text", b"a: 1", {}, 428, "If-Match"),
    "bad revision": (
        "PUT",
        "/admin/v1/text",
        b"a: 1",
        {"If-Match": "x"},
        400,
        "If-Match",
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_bad_input_names_its_field(fleet: Fleet, name: str):
    method, path, body, headers, status, field = CASES[name]
    response = fleet.entries[0].client.call(method, path, body, {**CALLER, **headers})
    document = response.json()
    assert (response.status, document.get("field")) == (status, field), document
    assert response.headers["Content-Type"] == "application/problem+json"
    # A request that no entry holds may still have run.
    outcome = "unknown" if name == "unknown request" else "not-run"
    assert response.headers["X-Outcome"] == outcome
    _assert_serves(fleet)


def test_invalid_text_reports_every_fault_and_changes_nothing(fleet: Fleet):
    call = fleet.entries[0].client.call
    before = call("GET", "/admin/v1/text")
    faulty = before.data.replace(b"share: 0.95", b"share: 7").replace(
        b"weight: 4", b"weight: -4"
    )
    response = call(
        "PUT", "/admin/v1/text", faulty, {"If-Match": before.headers["ETag"]}
    )
    assert response.status == 422
    faults = response.json()["faults"]
    assert len(faults) >= 3
    assert all(fault["field"] and fault["line"] for fault in faults)
    after = call("GET", "/admin/v1/text")
    assert (after.data, after.headers["ETag"]) == (before.data, before.headers["ETag"])


@pytest.mark.parametrize(
    "sent",
    [
        b"GET /health/live HTT",
        b"GET /health/live HTTP/1.1\r\nHost: x\r\nX-Slow: ",
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        b"Content-Length: 100\r\nX-Customer: cube-labs\r\n\r\n{",
    ],
    ids=["request line", "head", "body"],
)
def test_slow_sender_is_cut_off(fleet: Fleet, sent: bytes):
    """Slow senders occupied all connections.

    Each byte of a slow sender restarts the socket's timeout. Such a sender kept its
    connection and task forever, and enough of them left no connection for others.
    """
    host, port = fleet.entries[0].address.split(":")
    with socket.create_connection((host, int(port)), timeout=5) as slow:
        slow.sendall(sent)
        began = time.monotonic()
        received = _send_slowly_until_closed(slow)
        assert time.monotonic() - began < MAX_RESPONSE_TIME.total_seconds()
    assert b" 200 " not in received
    _assert_serves(fleet)


def test_malformed_request_line(fleet: Fleet):
    host, port = fleet.entries[0].address.split(":")
    with socket.create_connection((host, int(port)), timeout=5) as caller:
        caller.sendall(b"\x16\x03\x01 nonsense\r\n\r\n")
        assert b" 400 " in caller.recv(4096)
    _assert_serves(fleet)


def _send_slowly_until_closed(slow: socket.socket) -> bytes:
    received = b""
    slow.settimeout(0.2)
    while True:
        try:
            part = slow.recv(4096)
        except TimeoutError:
            try:
                slow.sendall(b"x")
            except OSError:
                return received
            continue
        except OSError:
            return received
        if not part:
            return received
        received += part


def _assert_serves(fleet: Fleet) -> None:
    response = fleet.entries[0].client.call("GET", LOOKUP, headers=CALLER)
    assert response.status == 200
