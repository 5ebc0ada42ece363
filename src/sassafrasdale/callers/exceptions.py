"""Errors of what callers send."""

from sassafrasdale.exceptions import SassafrasdaleError


class CallerError(SassafrasdaleError):
    """A caller sent something wrong; ``field`` names it.

    :param status: HTTP status of the answer.
    """

    def __init__(self, message: str, *, field: str | None, status: int = 400) -> None:
        super().__init__(message, field=field)
        self.status = status


class NotReady(SassafrasdaleError):
    """The entry has no text in force yet, or is leaving."""
