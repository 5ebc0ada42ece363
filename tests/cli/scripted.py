"""A stand-in for an entry's administration API that sends scripted responses."""

import json
import threading
from collections.abc import Callable
from contextlib import contextmanager
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


@dataclass
class Response:
    """One response; a dropped one closes the connection instead."""

    status: int = 200
    body: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    dropped: bool = False


@dataclass(frozen=True)
class Request:
    """One request as received."""

    method: str
    path: str
    headers: dict[str, str]
    body: str


def json_response(document: object, status: int = 200, **headers: str) -> Response:
    return Response(status, json.dumps(document), headers)


DROPPED = Response(dropped=True)


class ScriptedEntry:
    """Sends its responses in turn, and repeats the last one."""

    def __init__(self, *responses: Response | Callable[[Request], Response]) -> None:
        self.responses = list(responses)
        self.requests: list[Request] = []
        self.address = ""

    def handle(self, request: Request) -> Response:
        self.requests.append(request)
        number = min(len(self.requests), len(self.responses)) - 1
        response = self.responses[number]
        return response(request) if callable(response) else response


@contextmanager
def serve(entry: ScriptedEntry):
    """Serve ``entry`` on a free port."""

    class Handler(BaseHTTPRequestHandler):
        def reply(self) -> None:
            length = int(self.headers.get("Content-Length", 0))
            body = self.rfile.read(length).decode()
            request = Request(self.command, self.path, dict(self.headers), body)
            reply = entry.handle(request)
            if reply.dropped:
                self.close_connection = True
                return
            raw = reply.body.encode()
            self.send_response(reply.status)
            self.send_header("Content-Length", str(len(raw)))
            for name, value in reply.headers.items():
                self.send_header(name, value)
            self.end_headers()
            self.wfile.write(raw)

        do_GET = do_PUT = do_POST = reply  # noqa: N815

        def log_message(self, *args: object) -> None:
            pass

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever, args=(0.02,), daemon=True)
    thread.start()
    entry.address = f"127.0.0.1:{server.server_port}"
    try:
        yield entry
    finally:
        server.shutdown()
        server.server_close()
