"""Errors of the connections to endpoints, by what they say about a run."""

from sassafrasdale.exceptions import SassafrasdaleError


class EndpointError(SassafrasdaleError):
    """Base class of the errors of one call of an endpoint."""


class NotSent(EndpointError):
    """Not one byte of the request went out."""


class Refused(EndpointError):
    """The endpoint said that it refused before anything ran."""


class AnswerLost(EndpointError):
    """The request went out, and no whole answer came back.

    :param silent: whether it went out on one of many connections that may have
        fallen silent together, and is worth trying on a fresh one.
    """

    def __init__(self, message: str, *, silent: bool = False) -> None:
        super().__init__(message)
        self.silent = silent


class StreamUnknown(EndpointError):
    """The engine does not know the stream that was to be resumed."""


class Rejected(EndpointError):
    """The engine answered that the request itself is at fault.

    :param status: HTTP status, 400 to 499.
    :param headers: the answer's headers.
    :param body: the answer's body.
    """

    def __init__(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        super().__init__(f"the engine answered {status}")
        self.status = status
        self.headers = headers
        self.body = body
