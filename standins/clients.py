"""Plain HTTP client for tests and benchmarks."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import urllib3


@dataclass(frozen=True, slots=True)
class Response:
    """Answer to a call."""

    status: int
    headers: Mapping[str, str]
    data: bytes

    def json(self) -> Any:
        """Return the JSON in the body."""
        return json.loads(self.data)


class Client:
    """Plain HTTP client of one address that never retries."""

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
        """Make a call and return its whole answer.

        :param body: sent as JSON, or as it is if it is bytes.
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
        """Make a call and return the answer with its body still to be read."""
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
