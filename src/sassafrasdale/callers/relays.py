"""Fetches an answer from the entry that holds the request."""

from collections.abc import Callable, Iterator
from contextlib import suppress
from datetime import timedelta
from http.client import HTTPException

import urllib3
from urllib3.exceptions import HTTPError

from sassafrasdale.callers.generations import moved_event
from sassafrasdale.callers.messages import HttpAnswer, HttpRequest, problem
from sassafrasdale.endpoints.adapters import HOP_BY_HOP
from sassafrasdale.green_http import http_pool
from sassafrasdale.requests.structures import OutcomeName
from sassafrasdale.structures import Address

RELAYED = "X-Relayed"
CONNECT_LIMIT = timedelta(seconds=1)
# Longest silence of a holder; it sends at least an error at the deadline.
SILENCE_LIMIT = timedelta(seconds=60)
PASSED_ON = ("x-customer", "last-event-id", "x-timeout-ms")
READ_BYTES = 64 * 1024
RETRY_AFTER = timedelta(seconds=1)
EVENT_END = b"\n\n"

Find = Callable[[str], Address | None]


class Relay:
    """Passes a fetch on to the peer that holds the request.

    :param find: gives the address of the holder, or None.
    """

    def __init__(self, find: Find) -> None:
        self._find = find
        self._pools: dict[Address, urllib3.HTTPConnectionPool] = {}
        self._streams: set[urllib3.HTTPResponse] = set()
        self._released = False

    def __call__(self, request: HttpRequest, request_id: str) -> HttpAnswer | None:
        """Return the holder's answer, or None if no peer holds the request."""
        # A relayed fetch is never relayed again: two entries that each take the
        # other for the holder would otherwise pass it back and forth for good.
        if request.header(RELAYED):
            return None
        response = self._fetch(request, request_id)
        return self._answer(response, request_id) if response is not None else None

    def release(self) -> None:
        """End each relayed stream: this entry leaves, another can relay it."""
        self._released = True
        for response in tuple(self._streams):
            # One that has just ended has no socket to shut down any more.
            with suppress(ValueError, RuntimeError, OSError):
                response.shutdown()

    def _fetch(
        self, request: HttpRequest, request_id: str
    ) -> urllib3.HTTPResponse | None:
        """Return the holder's answer, or None if none is found now."""
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

    def _answer(self, response: urllib3.HTTPResponse, request_id: str) -> HttpAnswer:
        headers = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_BY_HOP
            and name.lower() not in ("content-length", "date", "x-entry")
        )
        if "content-length" not in response.headers:
            parts = self._parts(response, request_id)
            return HttpAnswer(response.status, headers, parts)
        try:
            return HttpAnswer(response.status, headers, response.read())
        except (HTTPError, HTTPException, OSError) as error:
            return problem(
                504,
                "Outcome unknown",
                f"the holder broke off: {error}",
                retry_after=RETRY_AFTER,
                outcome=OutcomeName.UNKNOWN,
            )

    def _parts(
        self, response: urllib3.HTTPResponse, request_id: str
    ) -> Iterator[bytes]:
        """Pass on whole events as they come; the caller sees a break as one.

        A holder that dies leaves its chunked answer without the last chunk. The
        error raised here leaves this answer without it too, so that the caller can
        tell that the stream is not whole. If this entry leaves, it says so after
        a whole event, as the holder itself would.
        """
        rest = b""
        self._streams.add(response)
        try:
            while not self._released and (part := response.read1(READ_BYTES)):
                whole, mark, rest = (rest + part).rpartition(EVENT_END)
                if mark:
                    yield whole + mark
            if rest and not self._released:
                yield rest
        except (HTTPError, HTTPException, OSError) as error:
            if not self._released:
                raise ConnectionError(f"the holder broke off: {error}") from error
        finally:
            self._streams.discard(response)
            response.close()
        if self._released:
            yield moved_event(request_id)

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
