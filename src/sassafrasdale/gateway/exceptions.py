"""Exceptions of the gateway for requests that no endpoint completes."""

from datetime import timedelta

from sassafrasdale.exceptions import SassafrasdaleError


class RequestRefused(SassafrasdaleError):
    """A request that the gateway rejects with a response of its own.

    :param status: status code of the response.
    :param reason: short name of the cause, for logs and metrics.
    :param inputs: what decided, for logs.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        message: str = "",
        *,
        retry_after: timedelta | None = None,
        inputs: str = "",
    ) -> None:
        super().__init__(message or reason, retry_after=retry_after)
        self.status = status
        self.reason = reason
        self.inputs = inputs


class StreamInterrupted(SassafrasdaleError):
    """A stream failed after its caller had received a part of it."""
