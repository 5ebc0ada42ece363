"""Transfer of KV caches between engines."""

from datetime import timedelta
from typing import Any

from urllib3.exceptions import HTTPError

from sassafrasdale.green import sleep
from sassafrasdale.green_http import http_pool
from sassafrasdale.structures import Address
from standins.faults import Faults
from standins.streams import Stream
from standins.web import Request, Response, Route

FETCH_LIMIT = timedelta(seconds=2)


class Transfers:
    """KV caches exported by this engine or imported from others.

    :param per_token: time to transfer one token's cache.
    :param faults: source of the slow-down factor.
    """

    def __init__(self, per_token: timedelta, faults: Faults) -> None:
        self._per_token = per_token
        self._faults = faults
        self._exports: dict[str, int] = {}
        self._imports: dict[str, int] = {}

    def routes(self) -> tuple[Route, ...]:
        """Return the routes for other engines and for entries."""
        return (
            Route("GET", "/v1/exports/{handle}", self._show_export),
            Route("POST", "/v1/cache/import", self._import),
        )

    def export(self, stream: Stream) -> str:
        """Keep a stream's cache for other engines and return its handle."""
        handle = f"kv-{stream.stream_id}"
        self._exports[handle] = stream.context_tokens
        return handle

    def fetch(self, transfer: dict[str, Any]) -> bool:
        """Import a cache and return whether it was available.

        :param transfer: ``remote_address`` and ``kv_handle``.
        """
        handle = transfer["kv_handle"]
        if handle in self._imports or handle in self._exports:
            return True
        tokens = _request_size(transfer["remote_address"], handle)
        if tokens is None:
            return False
        sleep(self._per_token * tokens * self._faults.slow_factor)
        self._imports[handle] = tokens
        return True

    def _show_export(self, _request: Request, handle: str) -> Response:
        if handle not in self._exports:
            return Response({"error": f"no handle {handle}"}, status=404)
        return Response({"tokens": self._exports[handle]})

    def _import(self, request: Request) -> Response:
        if not self.fetch(request.json()):
            return Response({"error": "handle is gone"}, status=404)
        return Response({})


def _request_size(address: str, handle: str) -> int | None:
    """Return the tokens in a cache that another engine exported, None if gone."""
    pool = http_pool(Address.parse(address), read_timeout=FETCH_LIMIT)
    try:
        response = pool.request("GET", f"/v1/exports/{handle}")
        return response.json()["tokens"] if response.status == 200 else None
    except HTTPError:
        return None
    finally:
        pool.close()
