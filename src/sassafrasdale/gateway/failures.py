"""Errors of attempts without a response for the caller."""

from enum import StrEnum

from sassafrasdale.exceptions import SassafrasdaleError
from sassafrasdale.http.exceptions import (
    ConnectionLost,
    HttpError,
    MalformedResponse,
    ResponseTimeout,
)

# Reason of an attempt whose connection was lost before the response.
NOT_CONNECTED = "not connected"
CONNECTION_LOST = "connection lost"
NO_RESPONSE_IN_TIME = "no answer in time"
# Reason of an attempt whose response breaks the protocol or a bound: the endpoint is at
# fault, whatever the others do.
MALFORMED = "malformed answer"


class AttemptOutcome(StrEnum):
    """What is known of an attempt that got no response for the caller."""

    # Held back by this gateway itself, which says nothing of the endpoint.
    WITHHELD = "withheld"
    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class AttemptFailed(SassafrasdaleError):
    """An attempt got no response that the caller can be given.

    :param outcome: what is known of the request at the endpoint.
    :param reason: short description of the cause.
    """

    def __init__(self, outcome: AttemptOutcome, reason: str) -> None:
        super().__init__(reason)
        self.outcome = outcome
        self.reason = reason


def reason_of(error: HttpError) -> str:
    """Return a short description of an error, for logs."""
    match error:
        case ResponseTimeout():
            return NO_RESPONSE_IN_TIME
        case ConnectionLost():
            return CONNECTION_LOST
        case MalformedResponse():
            return MALFORMED
        case _:
            return error.message
