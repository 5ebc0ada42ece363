"""Errors of calls to endpoints, by what they imply about the request's execution."""

from sassafrasdale.exceptions import SassafrasdaleError


class EndpointError(SassafrasdaleError):
    """Base class of errors of one call to an endpoint."""


class NotSent(EndpointError):
    """No byte of the request was sent."""


class Refused(EndpointError):
    """The endpoint refused the request before running it, and said so."""


class ResponseLost(EndpointError):
    """The request was sent, and no complete response was received.

    :param unresponsive: whether it was sent on one of several connections that may
        have become unresponsive together, so that a retry on a fresh one makes sense.
    """

    def __init__(self, message: str, *, unresponsive: bool = False) -> None:
        super().__init__(message)
        self.unresponsive = unresponsive


class StreamUnknown(EndpointError):
    """The engine does not have the stream to resume."""


class Rejected(EndpointError):
    """The engine rejected the request as invalid.

    :param status: HTTP status, 400 to 499.
    :param headers: the response's headers.
    :param body: the response's body.
    """

    def __init__(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        super().__init__(f"the engine answered {status}")
        self.status = status
        self.headers = headers
        self.body = body
