"""HTTP requests and responses, independent of WSGI."""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from math import ceil

from sassafrasdale.requests.structures import (
    Answered,
    NotRun,
    Outcome,
    OutcomeName,
    Unknown,
)

JSON = "application/json"
PROBLEM = "application/problem+json"
STATUS_RATE_LIMITED = 429
STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 504


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One HTTP request of a caller.

    :param method: HTTP method.
    :param path: decoded path.
    :param target: path and query as received.
    :param query: decoded query, with the last value of each name.
    :param headers: headers by lowercase name.
    :param body: whole body.
    """

    method: str
    path: str
    target: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the header called ``name``, or None."""
        return self.headers.get(name.lower())


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """One HTTP response to a caller; the body may be streamed."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | Iterable[bytes]

    def with_headers(self, *headers: tuple[str, str]) -> "HttpResponse":
        """Return the same response with ``headers`` added."""
        return HttpResponse(self.status, (*self.headers, *headers), self.body)


def json_response(
    document: object, *, status: int = 200, headers: tuple = ()
) -> HttpResponse:
    """Return ``document`` as a JSON response."""
    body = json.dumps(document).encode() + b"\n"
    return HttpResponse(status, (("Content-Type", JSON), *headers), body)


def problem(
    status: int,
    title: str,
    detail: str,
    *,
    field: str | None = None,
    retry_after: timedelta | None = None,
    outcome: OutcomeName = OutcomeName.NOT_RUN,
    **more: object,
) -> HttpResponse:
    """Return a problem document (RFC 9457).

    :param field: name of the invalid input, if there is one.
    :param retry_after: time after which the caller may retry.
    :param outcome: outcome of the request.
    """
    document = {
        "type": "about:blank",
        "title": title,
        "status": status,
        "detail": detail,
        **({"field": field} if field else {}),
        **more,
    }
    headers = [("Content-Type", PROBLEM), ("X-Outcome", outcome.value)]
    if retry_after is not None:
        headers.append(("Retry-After", str(max(1, ceil(retry_after.total_seconds())))))
    return HttpResponse(status, tuple(headers), json.dumps(document).encode() + b"\n")


def outcome_response(outcome: Outcome) -> HttpResponse:
    """Return the response that reports ``outcome``."""
    match outcome:
        case Answered(status, headers, body):
            outcome_header = ("X-Outcome", OutcomeName.ANSWERED.value)
            return HttpResponse(status, (*headers, outcome_header), body)
        case NotRun(reason, retry_after, limited):
            status = STATUS_RATE_LIMITED if limited else STATUS_NOT_RUN
            return problem(status, "Not run", reason, retry_after=retry_after)
        case Unknown(reason, retry_after):
            return problem(
                STATUS_UNKNOWN,
                "Outcome unknown",
                reason,
                retry_after=retry_after,
                outcome=OutcomeName.UNKNOWN,
            )
