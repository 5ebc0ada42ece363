"""An entry's administration side that answers by a script."""

import json
import threading
from collections.abc import Callable
from contextlib import contextmanager
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


@dataclass
class Answer:
    """One answer; a dropped one closes the connection instead."""

    status: int = 200
    body: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    dropped: bool = False


@dataclass(frozen=True)
class Request:
    """One request as it came."""

    method: str
    path: str
    headers: dict[str, str]
    body: str


def json_answer(document: object, status: int = 200, **headers: str) -> Answer:
    return Answer(status, json.dumps(document), headers)


DROPPED = Answer(dropped=True)


class ScriptedEntry:
    """Gives answers in turn, the last one again and again."""

    def __init__(self, *answers: Answer | Callable[[Request], Answer]) -> None:
        self.answers = list(answers)
        self.requests: list[Request] = []
        self.address = ""

    def take(self, request: Request) -> Answer:
        self.requests.append(request)
        number = min(len(self.requests), len(self.answers)) - 1
        answer = self.answers[number]
        return answer(request) if callable(answer) else answer


@contextmanager
def serve(entry: ScriptedEntry):
    """Run ``entry`` on a free port."""

    class Handler(BaseHTTPRequestHandler):
        def answer(self) -> None:
            length = int(self.headers.get("Content-Length", 0))
            body = self.rfile.read(length).decode()
            request = Request(self.command, self.path, dict(self.headers), body)
            answer = entry.take(request)
            if answer.dropped:
                self.close_connection = True
                return
            raw = answer.body.encode()
            self.send_response(answer.status)
            self.send_header("Content-Length", str(len(raw)))
            for name, value in answer.headers.items():
                self.send_header(name, value)
            self.end_headers()
            self.wfile.write(raw)

        do_GET = do_PUT = do_POST = answer  # noqa: N815

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
