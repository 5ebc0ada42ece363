"""Base class of the package's exceptions.

Each layer defines its own subclasses in its ``exceptions`` module and translates the
exceptions of the layers below it.
"""

from datetime import timedelta


class SassafrasdaleError(Exception):
    """Base class of all exceptions that the package raises.

    :param message: description of the error, for operators.
    :param field: name of the invalid input field, if there is one.
    :param retry_after: time after which to retry, if it is known.
    """

    def __init__(
        self,
        message: str = "",
        *,
        field: str | None = None,
        retry_after: timedelta | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.field = field
        self.retry_after = retry_after
