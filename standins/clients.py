"""HTTP client for tests and benchmarks."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import urllib3


@dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response with its whole body."""

    status: int
    headers: Mapping[str, str]
    data: bytes

    def json(self) -> Any:
        """Return the parsed JSON body."""
        return json.loads(self.data)


class Client:
    """HTTP client for one address, with a connection pool and without retries.

    :param limit: timeout of connecting and of each read.
    """

    def __init__(self, address: str, limit: timedelta = timedelta(seconds=30)) -> None:
        self._address = address
        self._pool = urllib3.PoolManager(
            retries=False, timeout=limit.total_seconds(), maxsize=64
        )

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> Response:
        """Send a request and return the whole response.

        :param body: sent as JSON; bytes are sent unchanged.
        """
        response = self._pool.request(
            method,
            f"http://{self._address}{path}",
            body=_encode(body),
            headers=headers,
        )
        return Response(response.status, response.headers, response.data)

    def stream(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request and return the response before its body is read."""
        return self._pool.request(
            method,
            f"http://{self._address}{path}",
            body=_encode(body),
            headers=headers,
            preload_content=False,
        )


def _encode(body: Any) -> bytes | None:
    if body is None or isinstance(body, bytes):
        return body
    return json.dumps(body).encode()
