"""Root of the package's exceptions.

Each layer keeps its own children of the root in its ``exceptions`` module and
translates the errors of the layers below it.
"""

from datetime import timedelta


class SassafrasdaleError(Exception):
    """Base class of every error that the package raises.

    :param message: what went wrong, for an operator.
    :param field: name of the offending input field, if there is one.
    :param retry_after: when it is worth coming back, if that is known.
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
