"""Errors in the requests of callers."""

from sassafrasdale.exceptions import SassafrasdaleError


class CallerError(SassafrasdaleError):
    """A request is invalid; ``field`` names the part at fault.

    :param status: HTTP status of the response.
    """

    def __init__(self, message: str, *, field: str | None, status: int = 400) -> None:
        super().__init__(message, field=field)
        self.status = status


class NotReady(SassafrasdaleError):
    """The entry has no configuration yet, or is shutting down."""
