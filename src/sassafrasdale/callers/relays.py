"""Relays a response from the peer that holds the request."""

from collections.abc import Callable, Iterator
from contextlib import suppress
from datetime import timedelta
from http.client import HTTPException

import urllib3
from urllib3.exceptions import HTTPError

from sassafrasdale.callers.generations import moved_event
from sassafrasdale.callers.messages import HttpRequest, HttpResponse, problem
from sassafrasdale.endpoints.adapters import HOP_BY_HOP
from sassafrasdale.green_http import http_pool
from sassafrasdale.requests.structures import OutcomeName
from sassafrasdale.structures import Address

RELAYED = "X-Relayed"
CONNECT_TIMEOUT = timedelta(seconds=1)
# Maximum time without data from a holder; it sends at least an error at the deadline.
READ_TIMEOUT = timedelta(seconds=60)
RELAYED_HEADERS = ("x-customer", "last-event-id", "x-timeout-ms")
READ_BYTES = 64 * 1024
RETRY_AFTER = timedelta(seconds=1)
EVENT_END = b"\n\n"

Find = Callable[[str], Address | None]


class Relay:
    """Relays a fetch to the peer that holds the request, called the holder.

    :param find: returns the address of the holder, or None.
    """

    def __init__(self, find: Find) -> None:
        self._find = find
        self._pools: dict[Address, urllib3.HTTPConnectionPool] = {}
        self._streams: set[urllib3.HTTPResponse] = set()
        self._is_released = False

    def __call__(self, request: HttpRequest, request_id: str) -> HttpResponse | None:
        """Return the holder's response, or None if no peer holds the request."""
        # A relayed fetch is never relayed again: two entries that each take the
        # other for the holder would otherwise relay it in an endless loop.
        if request.header(RELAYED):
            return None
        response = self._fetch(request, request_id)
        return self._response(response, request_id) if response is not None else None

    def release(self) -> None:
        """End all relayed streams on shutdown; other entries can relay them."""
        self._is_released = True
        for response in tuple(self._streams):
            # A stream that has just ended no longer has a socket to shut down.
            with suppress(ValueError, RuntimeError, OSError):
                response.shutdown()

    def _fetch(
        self, request: HttpRequest, request_id: str
    ) -> urllib3.HTTPResponse | None:
        """Return the holder's response, or None if no holder is found."""
        address = self._find(request_id)
        if address is None:
            return None
        try:
            response = self._open(address, request)
        except HTTPError:
            self._pools.pop(address, None)
            return None
        if response.status == 404:
            response.drain_conn()
            response.release_conn()
            return None
        return response

    def _response(
        self, response: urllib3.HTTPResponse, request_id: str
    ) -> HttpResponse:
        headers = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_BY_HOP
            and name.lower() not in ("content-length", "date", "x-entry")
        )
        if "content-length" not in response.headers:
            parts = self._event_parts(response, request_id)
            return HttpResponse(response.status, headers, parts)
        try:
            return HttpResponse(response.status, headers, response.read())
        except (HTTPError, HTTPException, OSError) as error:
            return problem(
                504,
                "Outcome unknown",
                f"the holder broke off: {error}",
                retry_after=RETRY_AFTER,
                outcome=OutcomeName.UNKNOWN,
            )

    def _event_parts(
        self, response: urllib3.HTTPResponse, request_id: str
    ) -> Iterator[bytes]:
        """Yield complete events as they arrive.

        The chunked response of a holder that crashes lacks its last chunk. The
        error raised here makes the relayed response lack it too, so that the
        caller can tell that the stream is incomplete. When this entry shuts
        down, it sends a "moved" event after a complete event, as the holder
        itself would.
        """
        rest = b""
        self._streams.add(response)
        try:
            while not self._is_released and (part := response.read1(READ_BYTES)):
                events, separator, rest = (rest + part).rpartition(EVENT_END)
                if separator:
                    yield events + separator
            if rest and not self._is_released:
                yield rest
        except (HTTPError, HTTPException, OSError) as error:
            if not self._is_released:
                raise ConnectionError(f"the holder broke off: {error}") from error
        finally:
            self._streams.discard(response)
            response.close()
        if self._is_released:
            yield moved_event(request_id)

    def _open(self, address: Address, request: HttpRequest) -> urllib3.HTTPResponse:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = http_pool(address)
        headers = {n: v for n, v in request.headers.items() if n in RELAYED_HEADERS}
        return pool.urlopen(
            "GET",
            request.target,
            headers={**headers, RELAYED: "1"},
            preload_content=False,
            redirect=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT.total_seconds(),
                read=READ_TIMEOUT.total_seconds(),
            ),
        )
