"""Requests and answers as the HTTP layer hands them on."""

from collections.abc import Iterable
from dataclasses import dataclass

Headers = tuple[tuple[str, str], ...]
"""Names in lower case, and values, in the order in which they came."""


@dataclass(frozen=True, slots=True)
class Request:
    """A request with its whole body.

    :param target: path and query as they were sent.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of a header."""
        return find_header(self.headers, name, default)


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer whose body follows."""

    status: int
    headers: Headers = ()

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of a header."""
        return find_header(self.headers, name, default)


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer with its whole body."""

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


def decoded_headers(raw: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return headers as text; their bytes are kept one to one."""
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in raw
    )


def encoded_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    """Return headers as bytes."""
    return [
        (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
    ]
