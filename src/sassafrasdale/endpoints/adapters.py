"""Sends requests to endpoints and reads their responses.

``BaseAdapter`` is the interface, ``HttpAdapter`` its implementation over HTTP. A
request counts as *sent* once its first byte may have been written. From then on only
a complete response, or a refusal marked as such, determines its outcome.
"""

import json
from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from http.client import HTTPException
from typing import Any

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)
from urllib3.response import HTTPResponse

from sassafrasdale.clock import Clock, SystemClock
from sassafrasdale.endpoints.exceptions import (
    NotSent,
    Refused,
    Rejected,
    ResponseLost,
    StreamUnknown,
)
from sassafrasdale.endpoints.pools import ReplaceablePool
from sassafrasdale.green import Timeout, timeout
from sassafrasdale.green_http import GreenHttpConnection
from sassafrasdale.http.event_blocks import EventBlocks, split_blocks
from sassafrasdale.http.exceptions import MalformedResponse
from sassafrasdale.structures import Address

CONNECT_TIMEOUT = timedelta(seconds=1)
# Maximum wait for the end of a body after its last event.
RELEASE_TIMEOUT = timedelta(milliseconds=50)
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
READ_BYTES = 64 * 1024
# Statuses for an invalid request, which any other endpoint would reject as well.
INVALID_REQUEST_STATUSES = frozenset({400, 401, 403, 413, 415, 422})
REFUSED_HEADER = "X-Refused"
REFUSED_NOT_STARTED = "not-started"

# Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_CONNECTION_ERRORS = (HTTPError, HTTPException, OSError)


@dataclass(frozen=True, slots=True)
class EndpointRequest:
    """One HTTP request to an endpoint."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class EndpointResponse:
    """One complete HTTP response of an endpoint."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Connection(ABC):
    """A fresh connection on which nothing has been sent yet."""

    @abstractmethod
    def send(self, request: EndpointRequest, limit: timedelta) -> EndpointResponse:
        """Send ``request`` and return its complete response within ``limit``.

        :raises Refused: the endpoint refused before running it.
        :raises ResponseLost: sent, but no complete response was received.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connection."""


class BaseAdapter(ABC):
    """Interface of the connections to one endpoint."""

    @abstractmethod
    def connect(self) -> Connection:
        """Return a fresh connection.

        :raises NotSent: the endpoint can't be reached.
        """

    @abstractmethod
    def send(self, request: EndpointRequest, limit: timedelta) -> EndpointResponse:
        """Send ``request`` on any connection and return its complete response.

        :raises NotSent: the endpoint can't be reached.
        :raises Refused: the endpoint refused before running it.
        :raises ResponseLost: sent, but no complete response was received.
        """

    @abstractmethod
    def stream(self, request: EndpointRequest, limit: timedelta) -> "EventStream":
        """Send ``request`` and return its server-sent events as they arrive.

        :param limit: maximum wait for data in one read.
        :raises NotSent: the endpoint can't be reached.
        :raises Refused: the endpoint refused before running it.
        :raises StreamUnknown: the endpoint does not have the stream to resume.
        :raises Rejected: the request is invalid.
        :raises ResponseLost: sent, but no stream was received.
        """

    @abstractmethod
    def drop_connections(self) -> None:
        """Close all pooled connections, so that the next call uses a fresh one."""


class EventStream:
    """Server-sent events of one HTTP response, split but not parsed.

    Iterating yields lists of complete events as bytes, without their blank line; a
    list has the events of one read.

    :param response: response with an unread body.
    """

    def __init__(self, response: HTTPResponse) -> None:
        self._response = response
        self._released = False

    def __iter__(self) -> Iterator[list[bytes]]:
        blocks = EventBlocks()
        try:
            while chunk := self._response.read1(READ_BYTES):
                if complete := blocks.feed(chunk):
                    yield split_blocks(complete)
        except MalformedResponse as error:
            raise ResponseLost(f"the stream is malformed: {error}") from error
        except _CONNECTION_ERRORS as error:
            raise ResponseLost(f"the stream broke off: {error}") from error
        finally:
            self.close()

    def release(self) -> None:
        """Return the connection to the pool, as the stream is complete.

        Only the end of the body may still be outstanding. If it does not arrive at
        once, the connection is closed with the stream.
        """
        try:
            with timeout(RELEASE_TIMEOUT):
                self._released = not self._response.read1(READ_BYTES)
        except (Timeout, *_CONNECTION_ERRORS):
            return

    def close(self) -> None:
        """Close the connection, unless it was returned to the pool.

        It may still receive events that are not needed.
        """
        if not self._released:
            self._response.close()


def _socket_timeout(limit: timedelta) -> float:
    """Return ``limit`` as a socket timeout, in seconds and above 0."""
    return max(limit.total_seconds(), 0.001)


def _read_response(response: HTTPResponse, method: str) -> EndpointResponse:
    """Read and return the complete response.

    :raises Refused: the endpoint refused before running the request.
    :raises ResponseLost: the response may be incomplete.
    """
    # A body that ends with the connection looks the same whether it is complete or
    # interrupted by a crash, so a response without a length or chunks counts as
    # incomplete. So does one with an empty body: the head may have been interrupted
    # before its length.
    framed = response.chunked or "content-length" in response.headers
    bodiless = response.status in (204, 304) or method == "HEAD"
    body = _read_body(response)
    if not framed and not bodiless:
        raise ResponseLost("the answer says neither its length nor its end")
    _raise_if_refused(response.status, response, body)
    headers = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in HOP_BY_HOP and name.lower() != "content-length"
    )
    return EndpointResponse(response.status, headers, body)


def _read_body(response: HTTPResponse) -> bytes:
    """Return the body, up to a maximum length.

    Small instances hold many responses at once; an endless one would use up the
    memory.
    """
    body = bytearray()
    try:
        # Only a read that reaches the end detects a body shorter than its length.
        while part := response.read(READ_BYTES):
            body += part
            if len(body) > MAX_RESPONSE_BYTES:
                response.close()
                raise ResponseLost(f"the answer is over {MAX_RESPONSE_BYTES} bytes")
    except _CONNECTION_ERRORS as error:
        raise ResponseLost(f"the answer broke off: {error}") from error
    return bytes(body)


def _raise_if_refused(status: int, response: HTTPResponse, body: bytes) -> None:
    if status not in (429, 503):
        return
    if response.headers.get(REFUSED_HEADER, "").lower() != REFUSED_NOT_STARTED:
        return
    delay_seconds = response.headers.get("Retry-After", "")
    retry_after = (
        timedelta(seconds=int(delay_seconds)) if delay_seconds.isdecimal() else None
    )
    raise Refused(body[:200].decode("utf-8", "replace"), retry_after=retry_after)


class HttpConnection(Connection):
    """A fresh HTTP connection, used for one request.

    :param address: the endpoint's address.
    :raises NotSent: the endpoint can't be reached.
    """

    def __init__(self, address: Address) -> None:
        self._connection = GreenHttpConnection(
            address.host, address.port, timeout=CONNECT_TIMEOUT.total_seconds()
        )
        try:
            self._connection.connect()
        except _CONNECTION_ERRORS as error:
            raise NotSent(f"{address} can't be reached: {error}") from error

    def send(self, request: EndpointRequest, limit: timedelta) -> EndpointResponse:
        """Send ``request`` and return its complete response within ``limit``."""
        # The library sets the socket's timeout from the connection's own, which is
        # the connect timeout and too short for a slow response.
        self._connection.timeout = None
        try:
            with timeout(limit):
                return self._exchange(request)
        except Timeout as error:
            raise ResponseLost(f"no answer within {limit}") from error

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    def _exchange(self, request: EndpointRequest) -> EndpointResponse:
        try:
            self._connection.request(
                request.method,
                request.target,
                body=request.body or None,
                headers=dict(request.headers),
                preload_content=False,
                decode_content=False,
            )
            response = self._connection.getresponse()
        except _CONNECTION_ERRORS as error:
            raise ResponseLost(f"no answer: {error}") from error
        return _read_response(response, request.method)


class HttpAdapter(BaseAdapter):
    """HTTP connections to one endpoint.

    :param address: the endpoint's address.
    :param clock: source of time.
    """

    def __init__(self, address: Address, clock: Clock | None = None) -> None:
        self._address = address
        self._pool = ReplaceablePool(address, CONNECT_TIMEOUT, clock or SystemClock())

    def connect(self) -> Connection:
        """Return a fresh connection."""
        return HttpConnection(self._address)

    def send(self, request: EndpointRequest, limit: timedelta) -> EndpointResponse:
        """Send ``request`` on any connection and return its complete response."""
        used = self._pool.current
        try:
            with timeout(limit):
                complete = _read_response(self._open(request), request.method)
        except Timeout as error:
            unresponsive = self._pool.record_lost_response(used)
            raise ResponseLost(
                f"no answer within {limit}", unresponsive=unresponsive
            ) from error
        used.has_responded = True
        return complete

    def stream(self, request: EndpointRequest, limit: timedelta) -> EventStream:
        """Send ``request`` and return its server-sent events as they arrive."""
        used = self._pool.current
        response = self._open(request, limit)
        used.has_responded = True
        if response.status == 200:
            return EventStream(response)
        complete = _read_response(response, request.method)
        if complete.status == 404:
            raise StreamUnknown("the engine does not know the stream")
        if complete.status in INVALID_REQUEST_STATUSES:
            raise Rejected(complete.status, complete.headers, complete.body)
        raise ResponseLost(f"the engine answered {complete.status}")

    def ask(
        self,
        method: str,
        target: str,
        *,
        document: Any = None,
        limit: timedelta = CONNECT_TIMEOUT,
    ) -> Any:
        """Return the JSON response to a small control call.

        :raises EndpointError: the call failed or was refused.
        """
        body = b"" if document is None else json.dumps(document).encode()
        headers = (("Content-Type", "application/json"),)
        complete = self.send(EndpointRequest(method, target, headers, body), limit)
        if complete.status >= 400:
            raise ResponseLost(f"{method} {target} was answered {complete.status}")
        try:
            return json.loads(complete.body or b"null")
        except ValueError as error:
            raise ResponseLost(f"{method} {target} did not answer JSON") from error

    def drop_connections(self) -> None:
        """Close all pooled connections, so that the next call uses a fresh one."""
        self._pool.drop()

    def _open(
        self, request: EndpointRequest, read_timeout: timedelta | None = None
    ) -> HTTPResponse:
        """Send ``request`` and return the response with an unread body.

        :param read_timeout: maximum wait for data; None if the caller limits it.
        """
        used = self._pool.current
        try:
            return used.pool.urlopen(
                request.method,
                request.target,
                body=request.body or None,
                headers=dict(request.headers),
                preload_content=False,
                decode_content=False,
                redirect=False,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT.total_seconds(),
                    read=None
                    if read_timeout is None
                    else _socket_timeout(read_timeout),
                ),
            )
        except (ConnectTimeoutError, NewConnectionError) as error:
            raise NotSent(f"{self._address} can't be reached: {error}") from error
        except _CONNECTION_ERRORS as error:
            # A pooled connection may be unresponsive because a middlebox dropped its
            # state. All connections of its pool are closed, so that the next call
            # uses a fresh one.
            unresponsive = self._pool.record_lost_response(used)
            raise ResponseLost(
                f"no answer from {self._address}: {error}", unresponsive=unresponsive
            ) from error
