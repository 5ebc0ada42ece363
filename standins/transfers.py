"""KV caches that move between engines."""

from datetime import timedelta
from typing import Any

from urllib3.exceptions import HTTPError

from sassafrasdale.green import sleep
from sassafrasdale.green_http import http_pool
from sassafrasdale.structures import Address
from standins.faults import Faults
from standins.streams import Stream
from standins.web import Answer, Request, Route

FETCH_LIMIT = timedelta(seconds=2)


class Transfers:
    """Caches exported here, and caches imported from elsewhere.

    :param per_token: time to bring one token's cache over.
    :param faults: slow transfers down.
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
        """Keep a stream's cache for others and return its handle."""
        handle = f"kv-{stream.stream_id}"
        self._exports[handle] = stream.context_tokens
        return handle

    def fetch(self, transfer: dict[str, Any]) -> bool:
        """Bring a cache here and return whether it could be had.

        :param transfer: ``remote_address`` and ``kv_handle``.
        """
        handle = transfer["kv_handle"]
        if handle in self._imports or handle in self._exports:
            return True
        tokens = _ask_for(transfer["remote_address"], handle)
        if tokens is None:
            return False
        sleep(self._per_token * tokens * self._faults.slow_factor)
        self._imports[handle] = tokens
        return True

    def _show_export(self, _request: Request, handle: str) -> Answer:
        if handle not in self._exports:
            return Answer({"error": f"no handle {handle}"}, status=404)
        return Answer({"tokens": self._exports[handle]})

    def _import(self, request: Request) -> Answer:
        if not self.fetch(request.json()):
            return Answer({"error": "handle is gone"}, status=404)
        return Answer({})


def _ask_for(address: str, handle: str) -> int | None:
    """Return the size of a cache that another engine exported, None if gone."""
    pool = http_pool(Address.parse(address), read_timeout=FETCH_LIMIT)
    try:
        answer = pool.request("GET", f"/v1/exports/{handle}")
        return answer.json()["tokens"] if answer.status == 200 else None
    except HTTPError:
        return None
    finally:
        pool.close()
