"""Exceptions of the HTTP layer."""

from sassafrasdale.exceptions import SassafrasdaleError


class HttpError(SassafrasdaleError):
    """Base class of the HTTP layer's exceptions."""


class NotConnected(HttpError):
    """No connection could be opened, so nothing was sent."""


class ConnectionRefused(NotConnected):
    """The instance is up, but no process listens at the address."""


class ConnectionLost(HttpError):
    """The peer closed or reset the connection before the message was complete."""


class ResponseTimeout(HttpError):
    """No response arrived before the deadline."""


class MalformedResponse(HttpError):
    """The server sent bytes that are not a valid response."""


class BodyTooLarge(MalformedResponse):
    """A body, or all bodies together, take more memory than they may."""


class MalformedRequest(HttpError):
    """A caller sent bytes that are not a valid request.

    :param status: status code of the error response.
    """

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


class CallerDisconnected(HttpError):
    """The caller closed its connection."""
