"""Data classes of requests and their outcomes."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class Call:
    """Properties that calls of all services have.

    :param request_id: id by which the caller resumes a stream or fetches a response.
    :param customer: the calling customer.
    :param service: name of the service in the configuration.
    :param deadline: elapsed time of the entry's clock by which it must be answered.
    :param priority: from 0, the most urgent, to 7.
    :param idempotency_key: identifies the single execution of a non-idempotent
        request; empty for an idempotent one.
    """

    request_id: str
    customer: str
    service: str
    deadline: timedelta
    priority: int
    idempotency_key: str = ""

    @property
    def idempotent(self) -> bool:
        """Whether the request may be sent to an endpoint more than once."""
        return not self.idempotency_key


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call of a plain service, forwarded unchanged.

    :param call: the common properties.
    :param method: HTTP method.
    :param target: path and query at the endpoint.
    :param headers: headers to forward.
    :param body: complete body.
    """

    call: Call
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class ModelCall:
    """A call of a model service.

    :param call: the common properties.
    :param prompt: text of all messages, for prefix affinity.
    :param opening: messages up to and including the user's first; every turn of
        one conversation begins with them.
    :param body: JSON body for the engine, already validated.
    :param max_tokens: maximum length of the response, in tokens.
    :param streamed: whether the caller wants server-sent events.
    """

    call: Call
    prompt: str
    opening: tuple[str, ...]
    body: dict
    max_tokens: int
    streamed: bool


class OutcomeName(StrEnum):
    """Outcomes as reported to a caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Answered:
    """The endpoint's complete response.

    :param status: HTTP status of the endpoint.
    :param headers: headers to return to the caller.
    :param body: complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """Nothing was sent, or the endpoint refused the request before running it.

    :param reason: the reason, for the caller.
    :param retry_after: delay after which the caller should retry.
    :param limited: whether a limit of the customer was reached.
    :param overloaded: whether endpoints refused it for lack of capacity.
    """

    reason: str
    retry_after: timedelta
    limited: bool = False
    overloaded: bool = False


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request was sent and its outcome is not known.

    :param reason: the reason, for the caller.
    :param retry_after: delay after which the caller should retry.
    """

    reason: str
    retry_after: timedelta


Outcome = Answered | NotRun | Unknown


def end_event(outcome: Outcome) -> str:
    """Return the request statechart's event for ``outcome``."""
    match outcome:
        case Answered():
            return "answer"
        case NotRun():
            return "refuse"
        case Unknown():
            return "lose"
