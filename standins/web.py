"""HTTP server that the stand-ins share: routes, responses and connections."""

import json
import socket
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Any, ClassVar
from urllib.parse import parse_qsl, unquote

from sassafrasdale.clock import Clock, SystemClock
from sassafrasdale.green import sleep
from sassafrasdale.green_wsgi import WsgiProtocol, serve_wsgi

MAX_CONNECTIONS = 20_000
"""Connections that one stand-in serves at once."""


HOLD_POLL = timedelta(seconds=0.25)
"""Pause between checks whether a held connection was closed."""


class ResponseDroppedError(Exception):
    """The connection is to be closed without a response."""


class Connection(WsgiProtocol):
    """One client connection; handlers have it as :attr:`Request.connection`."""

    clock: Clock = SystemClock()
    minimum_chunk_size = 1
    _open: ClassVar[set["Connection"]] = set()

    def setup(self) -> None:
        """Record when the connection was opened."""
        super().setup()
        self.opened_at = self.clock.elapsed()
        self._open.add(self)

    def finish(self) -> None:
        """Remove the connection from the open ones."""
        self._open.discard(self)
        super().finish()

    @classmethod
    def cut_all(cls, kept: "Connection") -> None:
        """Close every open connection but ``kept``, without further output."""
        for connection in cls._open - {kept}:
            connection.cut()

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with the connection in it."""
        environ = super().get_environ()
        environ["standins.connection"] = self
        return environ

    def hold(self) -> None:
        """Send nothing until the peer closes the connection.

        :raises ResponseDroppedError: when the peer has closed it.
        """
        self.wait_until_closed()
        raise ResponseDroppedError

    def wait_until_closed(self) -> None:
        """Wait until the peer closes the connection."""
        while not self.is_closed():
            sleep(HOLD_POLL)

    def is_closed(self) -> bool:
        """Return whether the peer has closed the connection."""
        raw = getattr(self.connection, "fd", self.connection)
        try:
            return raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def cut(self) -> None:
        """Shut the socket down, so that the server can send no response."""
        self.close_connection = True
        try:
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            return


@dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    connection: Connection

    def json(self) -> dict[str, Any]:
        """Return the JSON object in the body, empty if there is no body."""
        return json.loads(self.body) if self.body else {}

    def header(self, name: str) -> str:
        """Return the value of header ``name``, or "" if it was not sent."""
        return self.headers.get("HTTP_" + name.upper().replace("-", "_"), "")


@dataclass(frozen=True, slots=True)
class Response:
    """One HTTP response; with ``chunks`` instead of ``body`` it is streamed."""

    body: Any = None
    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    chunks: Iterable[bytes] | None = None
    content_type: str = "application/json"


Handler = Callable[..., Response]


@dataclass(frozen=True, slots=True)
class Route:
    """A method and a path pattern such as ``/streams/{id}`` with its handler."""

    method: str
    pattern: str
    handler: Handler
    parts: tuple[str, ...] = field(init=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "parts", tuple(self.pattern.split("/")))

    def match(self, method: str, parts: list[str]) -> list[str] | None:
        """Return the values of the path's variables, or None if nothing matches."""
        if method != self.method or len(parts) != len(self.parts):
            return None
        values = []
        for want, part in zip(self.parts, parts, strict=True):
            if want.startswith("{"):
                values.append(unquote(part))
            elif want != part:
                return None
        return values


class Application:
    """WSGI application that dispatches requests to routes.

    :param routes: tried in order.
    :param middleware: called with each request and the function that handles it; it
        may wait, return another response or raise ``ResponseDroppedError``, before or
        after the request takes effect.
    """

    def __init__(
        self,
        routes: Iterable[Route],
        middleware: Callable[[Request, Callable[[Request], Response]], Response]
        | None = None,
    ) -> None:
        self._routes = tuple(routes)
        self._middleware = middleware

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle one request."""
        request = _read(environ)
        try:
            response = self._handle(request)
        except ResponseDroppedError:
            request.connection.cut()
            response = Response(status=503)
        except (KeyError, ValueError) as error:
            response = Response({"error": repr(error)}, status=400)
        return _write(response, start_response)

    def _handle(self, request: Request) -> Response:
        if self._middleware is None:
            return self._route(request)
        return self._middleware(request, self._route)

    def _route(self, request: Request) -> Response:
        parts = request.path.split("/")
        for route in self._routes:
            values = route.match(request.method, parts)
            if values is not None:
                return route.handler(request, *values)
        return Response({"error": f"no {request.method} {request.path}"}, status=404)


def _read(environ: dict[str, Any]) -> Request:
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=dict(parse_qsl(environ.get("QUERY_STRING", ""))),
        headers=environ,
        body=environ["wsgi.input"].read(),
        connection=environ["standins.connection"],
    )


def _write(response: Response, start_response: Callable[..., Any]) -> Iterable[bytes]:
    headers = [("Content-Type", response.content_type), *response.headers]
    start_response(f"{response.status} -", headers)
    if response.chunks is not None:
        return response.chunks
    return [_encode(response.body)]


def _encode(body: Any) -> bytes:
    match body:
        case None:
            return b""
        case bytes():
            return body
        case _:
            return json.dumps(body).encode()


def truncated(response: Response, connection: Connection) -> Response:
    """Return a copy whose connection closes after the first half of the body."""
    body = _encode(response.body)

    def half() -> Iterator[bytes]:
        yield body[: len(body) // 2]
        connection.cut()

    length = ("Content-Length", str(len(body)))
    return replace(response, headers=(*response.headers, length), chunks=half())


def serve(listener: socket.socket, application: Application) -> None:
    """Serve ``application`` on ``listener`` until the process ends."""
    serve_wsgi(
        listener,
        application,
        log_output=False,
        debug=False,
        max_size=MAX_CONNECTIONS,
        protocol=Connection,
    )


def bound_address(listener: socket.socket) -> str:
    """Return ``host:port`` of a listening socket."""
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"
