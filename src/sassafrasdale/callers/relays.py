"""Fetches an answer from the entry that holds the request."""

from collections.abc import Callable, Iterator
from datetime import timedelta
from http.client import HTTPException

import urllib3
from urllib3.exceptions import HTTPError

from sassafrasdale.callers.messages import HttpAnswer, HttpRequest
from sassafrasdale.endpoints.adapters import HOP_BY_HOP
from sassafrasdale.green import http_pool
from sassafrasdale.structures import Address

RELAYED = "X-Relayed"
CONNECT_LIMIT = timedelta(seconds=1)
# Longest silence of a holder; it sends at least an error at the deadline.
SILENCE_LIMIT = timedelta(seconds=60)
PASSED_ON = ("x-customer", "last-event-id", "x-timeout-ms")
READ_BYTES = 64 * 1024

Find = Callable[[str], Address | None]


class Relay:
    """Passes a fetch on to the peer that holds the request.

    :param find: gives the address of the holder, or None.
    """

    def __init__(self, find: Find) -> None:
        self._find = find
        self._pools: dict[Address, urllib3.HTTPConnectionPool] = {}

    def __call__(self, request: HttpRequest, request_id: str) -> HttpAnswer | None:
        """Return the holder's answer, or None if no peer holds the request."""
        # A relayed fetch is never relayed again: two entries that each take the
        # other for the holder would otherwise pass it back and forth for good.
        if request.header(RELAYED):
            return None
        address = self._find(request_id)
        if address is None:
            return None
        try:
            response = self._open(address, request)
        except HTTPError:
            self._pools.pop(address, None)
            return None
        if response.status == 404:
            response.release_conn()
            return None
        headers = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_BY_HOP
            and name.lower() not in ("content-length", "date", "x-entry")
        )
        if "content-length" in response.headers:
            return HttpAnswer(response.status, headers, response.read())
        return HttpAnswer(response.status, headers, _parts(response))

    def _open(self, address: Address, request: HttpRequest) -> urllib3.HTTPResponse:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = http_pool(address)
        headers = {n: v for n, v in request.headers.items() if n in PASSED_ON}
        return pool.urlopen(
            "GET",
            request.target,
            headers={**headers, RELAYED: "1"},
            preload_content=False,
            redirect=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_LIMIT.total_seconds(),
                read=SILENCE_LIMIT.total_seconds(),
            ),
        )


def _parts(response: urllib3.HTTPResponse) -> Iterator[bytes]:
    """Pass on parts as they come; the caller sees a break as one.

    A holder that dies leaves its chunked answer without the last chunk. The
    error raised here leaves this answer without it too, so that the caller can
    tell that the stream is not whole.
    """
    try:
        while part := response.read1(READ_BYTES):
            yield part
    except (HTTPError, HTTPException, OSError) as error:
        raise ConnectionError(f"the holder broke off: {error}") from error
    finally:
        response.close()
