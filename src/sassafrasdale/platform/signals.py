"""What endpoints advertise in the headers of their responses."""

import re
from datetime import timedelta

from sassafrasdale.deployment import EndpointSignals
from sassafrasdale.http.messages import Request, Response, ResponseHead

_RATE_LIMIT = "server-limit"
_BRITTLE = "server-brittle"
_LEAVING = "server-leaving"
_RETRY_AFTER = "retry-after"
_UNAVAILABLE = 503
_ENDPOINT_ID = "replica-id"
_FLAGS = {"0": False, "1": True}
# Another endpoint than the intended one has responded.
_MISDIRECTED = 421
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{0,20})?", re.ASCII)


def read_signals(head: ResponseHead) -> EndpointSignals | None:
    """Return what the intended endpoint advertises; None if another one responded."""
    if head.status == _MISDIRECTED:
        return None
    malformed: list[str] = []
    rate_limit = _lowest(head, _RATE_LIMIT, malformed)
    has_malformed_limit = bool(malformed)
    malformed_brittleness: list[str] = []
    brittleness = _lowest(head, _BRITTLE, malformed_brittleness)
    return EndpointSignals(
        rate_limit,
        has_malformed_limit,
        _is_leaving(head, malformed),
        _backoff(head, malformed),
        (*malformed, *malformed_brittleness),
        brittleness,
        bool(malformed_brittleness),
    )


def health_request(path: str) -> Request:
    """Return the request of a health check."""
    return Request("GET", path)


def says_it_stays(response: Response, endpoint: str) -> bool:
    """Return whether a health check shows that an endpoint is not leaving."""
    if response.status != 200 or response.header(_ENDPOINT_ID) != endpoint:
        return False
    return not response.header(_LEAVING)


def _lowest(head: ResponseHead, name: str, malformed: list[str]) -> float | None:
    # Of several values, the lowest is safe for the endpoint.
    return min(_decimals(head, name, malformed), default=None)


def _is_leaving(head: ResponseHead, malformed: list[str]) -> bool:
    values = _values(head, _LEAVING)
    malformed += [
        _described(_LEAVING, value) for value in values if value not in _FLAGS
    ]
    return any(_FLAGS.get(value, False) for value in values)


def _backoff(head: ResponseHead, malformed: list[str]) -> timedelta | None:
    if head.status != _UNAVAILABLE:
        return None
    seconds = max(_decimals(head, _RETRY_AFTER, malformed), default=None)
    return None if seconds is None else timedelta(seconds=seconds)


def _decimals(head: ResponseHead, name: str, malformed: list[str]) -> list[float]:
    decimals = []
    for value in _values(head, name):
        if _DECIMAL.fullmatch(value):
            decimals.append(float(value))
        else:
            malformed.append(_described(name, value))
    return decimals


def _values(head: ResponseHead, name: str) -> list[str]:
    return [value.strip() for key, value in head.headers if key == name]


def _described(name: str, value: str) -> str:
    return f"{name}: {value[:40]}"
