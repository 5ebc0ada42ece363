"""Fetches that are relayed to the entry that holds the request."""

import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from sassafrasdale.callers.messages import HttpRequest
from sassafrasdale.callers.relays import Relay
from sassafrasdale.green import spawn
from sassafrasdale.structures import Address

FETCH = HttpRequest("GET", "/v1/requests/r", "/v1/requests/r", {}, {}, b"")
HALF_AN_EVENT = b"id: 2\ndata: {"


class Holder(BaseHTTPRequestHandler):
    """A holder that sends one and a half events, and then stops responding."""

    protocol_version = "HTTP/1.1"
    held = threading.Event()

    def do_GET(self) -> None:  # noqa: N802
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for part in (b"id: 1\ndata: x\n\n", HALF_AN_EVENT):
            self.wfile.write(b"%x\r\n%b\r\n" % (len(part), part))
        self.wfile.flush()
        self.held.wait(10)

    def log_message(self, *arguments: object) -> None:
        return


@pytest.fixture
def holder():
    Holder.held.clear()
    server = ThreadingHTTPServer(("127.0.0.1", 0), Holder)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield Address(*server.server_address)
    Holder.held.set()
    server.shutdown()
    server.server_close()


def test_request_that_no_entry_holds_is_not_found():
    assert Relay(lambda request_id: None)(FETCH, "r") is None


def test_relayed_stream_ends_after_a_complete_event(holder):
    """A caller took half an event for a complete one when the relaying entry stopped.

    The entry ended the stream with its own "moved" event in the middle of one of the
    holder's events.
    """
    relay = Relay(lambda request_id: holder)
    parts = relay(FETCH, "r").body
    assert next(parts) == b"id: 1\ndata: x\n\n"
    spawn(relay.release)
    rest = b"".join(parts)
    assert rest.startswith(b"event: moved\n")
    assert HALF_AN_EVENT not in rest
