"""Requests and responses of the HTTP layer."""

from collections.abc import Iterable
from dataclasses import dataclass

Headers = tuple[tuple[str, str], ...]
"""Pairs of lower-case name and value, in the order of arrival."""


@dataclass(frozen=True, slots=True)
class Request:
    """A request with its whole body.

    :param target: path and query, unchanged from the request line.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of a header."""
        return find_header(self.headers, name, default)


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response whose body is read separately."""

    status: int
    headers: Headers = ()

    @property
    def succeeded(self) -> bool:
        """Whether the status is one of success."""
        return 200 <= self.status < 300

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of a header."""
        return find_header(self.headers, name, default)


@dataclass(frozen=True, slots=True)
class Response:
    """A response with its whole body."""

    status: int
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of a header."""
        return find_header(self.headers, name, default)


def find_header(headers: Headers, name: str, default: str = "") -> str:
    """Return the first value of a header, by its lower-case name."""
    for key, value in headers:
        if key == name:
            return value
    return default


def decoded_headers(encoded: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return headers as text, decoded without loss."""
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in encoded
    )


def encoded_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    """Return headers as bytes."""
    return [
        (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
    ]
