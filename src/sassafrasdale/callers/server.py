"""HTTP for callers and operators on eventlet's WSGI server."""

import socket
from collections.abc import Callable, Iterable
from datetime import timedelta
from http import HTTPStatus
from urllib.parse import parse_qsl

from logbook import Logger

from sassafrasdale.callers.messages import HttpRequest, HttpResponse, problem
from sassafrasdale.green import Timeout, timeout
from sassafrasdale.green_wsgi import WsgiProtocol, serve_wsgi
from sassafrasdale.requests.structures import OutcomeName

# Concurrent connections; further ones wait in the backlog of the listening socket.
MAX_CONNECTIONS = 4000
# An idle connection of a caller is closed after this time.
IDLE_TIMEOUT = timedelta(seconds=75)
MAX_TARGET_BYTES = 8192
# Bytes of a refused body that are read and discarded. A connection that is closed
# with unread bytes is reset, and the caller may lose the response with the reason.
MAX_DISCARDED_BYTES = 4 * 1024 * 1024
# Key of the connection in the WSGI environment.
CONNECTION = "sassafrasdale.connection"

log = Logger("callers")


class BodyError(Exception):
    """The body can't be read; the response gives the reason."""

    def __init__(self, response: HttpResponse) -> None:
        super().__init__(response.status)
        self.response = response


class CallerServer:
    """WSGI application and its server.

    :param handler: returns the response to a request; never raises.
    :param name: name of this entry, sent in a header of every response.
    :param max_body_bytes: maximum size of a body; a longer one is refused.
    :param body_timeout: maximum time for a caller to send its body.
    """

    def __init__(
        self,
        handler: Callable[[HttpRequest], HttpResponse],
        *,
        name: str,
        max_body_bytes: int,
        body_timeout: timedelta,
    ) -> None:
        self._handler = handler
        self._name = name
        self._max_body_bytes = max_body_bytes
        self._body_timeout = body_timeout
        self._open_responses = 0
        self._closing = False

    @property
    def open_responses(self) -> int:
        """Number of responses that are not yet complete."""
        return self._open_responses

    def serve(self, listener: socket.socket) -> None:
        """Serve until the listening socket is closed."""
        serve_wsgi(
            listener,
            self,
            protocol=_protocol(self._body_timeout),
            max_size=MAX_CONNECTIONS,
            log_output=False,
            debug=False,
            socket_timeout=IDLE_TIMEOUT.total_seconds(),
            url_length_limit=MAX_TARGET_BYTES,
        )

    def close_connections(self) -> None:
        """Close each connection after its next response, as the entry shuts down."""
        self._closing = True

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Handle one WSGI request."""
        self._open_responses += 1
        response = self._handle(environ)
        if self._closing:
            environ[CONNECTION].close_connection = 1
        status = f"{response.status} {_phrase(response.status)}"
        start_response(status, self._headers(response))
        return _CountedBody(self, response.body)

    def finish_response(self) -> None:
        """Count a response as complete."""
        self._open_responses -= 1

    def _handle(self, environ: dict) -> HttpResponse:
        try:
            body = self._read_body(environ)
        except BodyError as error:
            environ[CONNECTION].close_connection = 1
            self._discard_body(environ)
            return error.response
        return self._handler(_request(environ, body))

    def _headers(self, response: HttpResponse) -> list[tuple[str, str]]:
        headers = [*response.headers, ("X-Entry", self._name)]
        if isinstance(response.body, bytes):
            headers.append(("Content-Length", str(len(response.body))))
        return headers

    def _read_body(self, environ: dict) -> bytes:
        """Return the body.

        :raises BodyError: the body is too long, arrives too slowly or is truncated.
        """
        content_length = environ.get("CONTENT_LENGTH") or ""
        chunked = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower()
        if content_length and not content_length.isdecimal():
            raise BodyError(_bad(400, "Content-Length is no number", "Content-Length"))
        if content_length and int(content_length) > self._max_body_bytes:
            raise BodyError(self._body_too_long())
        if not content_length and not chunked:
            return b""
        size = int(content_length) if content_length else self._max_body_bytes + 1
        try:
            with timeout(self._body_timeout):
                body = environ["wsgi.input"].read(size)
        except Timeout as error:
            response = _bad(408, "the body came too slowly", "body")
            raise BodyError(response) from error
        except (OSError, ValueError) as error:
            raise BodyError(_bad(400, "the body can't be read", "body")) from error
        if content_length and len(body) < size:
            raise BodyError(_bad(400, "the body broke off", "body"))
        if len(body) > self._max_body_bytes:
            raise BodyError(self._body_too_long())
        return body

    def _discard_body(self, environ: dict) -> None:
        try:
            with timeout(self._body_timeout):
                environ["wsgi.input"].read(MAX_DISCARDED_BYTES)
        except (Timeout, OSError, ValueError):
            return

    def _body_too_long(self) -> HttpResponse:
        return _bad(413, f"the body is over {self._max_body_bytes} bytes", "body")


class _CountedBody:
    """A response body that reports its end to the server, also after an error."""

    def __init__(self, server: CallerServer, body: bytes | Iterable[bytes]) -> None:
        self._server = server
        self._parts = iter([body] if isinstance(body, bytes) else body)

    def __iter__(self) -> "_CountedBody":
        return self

    def __next__(self) -> bytes:
        return next(self._parts)

    def close(self) -> None:
        """End the body; WSGI calls this also when the caller has disconnected."""
        close = getattr(self._parts, "close", None)
        if close is not None:
            close()
        self._server.finish_response()


def _protocol(head_timeout: timedelta) -> type[WsgiProtocol]:
    """Return a connection class that limits the time for a head."""

    class LimitedProtocol(WsgiProtocol):
        """Connection that is closed if a request's head arrives too slowly.

        A client that sends its head byte by byte could otherwise occupy a
        connection forever: each byte restarts the socket's timeout, but not this
        limit.
        """

        # By default the server buffers a stream's events up to 4 KiB: a caller
        # would see the first token only after two dozen. Events that are ready
        # together have already been joined.
        minimum_chunk_size = 1

        def get_environ(self) -> dict:
            """Return the WSGI environment with this connection added."""
            return {**super().get_environ(), CONNECTION: self}

        def parse_request(self) -> bool:
            """Read the headers within the limit."""
            try:
                with timeout(head_timeout):
                    return super().parse_request()
            except Timeout:
                self.close_connection = 1
                return False

        def _read_request_line(self) -> bytes:
            # An idle connection may wait long for its next request; the limit
            # starts at the first byte of that request.
            try:
                if not self.rfile.peek(1):
                    return b""
                with timeout(head_timeout):
                    return super()._read_request_line()
            except (Timeout, ConnectionError):
                return b""

    return LimitedProtocol


def _request(environ: dict, body: bytes) -> HttpRequest:
    path = environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace")
    query = environ.get("QUERY_STRING", "")
    raw_path = environ.get("RAW_PATH_INFO", path)
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    return HttpRequest(
        method=environ["REQUEST_METHOD"],
        path=path,
        target=f"{raw_path}?{query}" if query else raw_path,
        query=dict(parse_qsl(query, keep_blank_values=True)),
        headers=headers,
        body=body,
    )


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"


def _bad(status: int, detail: str, field: str) -> HttpResponse:
    return problem(
        status, "Bad request", detail, field=field, outcome=OutcomeName.NOT_RUN
    )
