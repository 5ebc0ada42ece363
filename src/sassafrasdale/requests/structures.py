"""Data classes of one request's life: what was asked and how it ended."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class Call:
    """What a caller asked for, whichever service it is for.

    :param request_id: id by which the caller resumes or fetches.
    :param customer: who calls.
    :param service: name of the service in the operators' text.
    :param deadline: elapsed time of the entry's clock at which it must be answered.
    :param priority: 0 goes first, 7 last.
    :param idempotency_key: names the one execution of a non-idempotent request;
        empty for an idempotent one.
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
    """A call of a plain service, passed through as it is.

    :param call: the caller's part.
    :param method: HTTP method.
    :param target: path and query at the endpoint.
    :param headers: headers to pass on.
    :param body: whole body.
    """

    call: Call
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class ModelCall:
    """A call of a model service.

    :param call: the caller's part.
    :param prompt: text of all messages, for prefix affinity.
    :param opening: messages up to and including the user's first; every turn of
        one conversation begins with them.
    :param body: JSON body for the engine, already checked.
    :param max_tokens: upper bound of the answer's length, in tokens.
    :param streamed: whether the caller wants server-sent events.
    """

    call: Call
    prompt: str
    opening: tuple[str, ...]
    body: dict
    max_tokens: int
    streamed: bool


class OutcomeName(StrEnum):
    """The three things a caller may be told."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Answered:
    """The endpoint's whole answer.

    :param status: HTTP status of the endpoint.
    :param headers: headers to pass back.
    :param body: whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """Nothing was sent, or the endpoint refused before it started.

    :param reason: why, for the caller.
    :param retry_after: when it is worth coming back.
    :param limited: whether a limit of the customer's was met.
    :param overloaded: whether endpoints refused it for want of room.
    """

    reason: str
    retry_after: timedelta
    limited: bool = False
    overloaded: bool = False


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request was sent and its outcome cannot be told.

    :param reason: why, for the caller.
    :param retry_after: when it is worth asking again.
    """

    reason: str
    retry_after: timedelta


Outcome = Answered | NotRun | Unknown


def end_event(outcome: Outcome) -> str:
    """Return the event of the request's chart that ends it with ``outcome``."""
    match outcome:
        case Answered():
            return "answer"
        case NotRun():
            return "refuse"
        case Unknown():
            return "lose"
