"""Requests in admission control, and its decisions."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

DEFAULT_WEIGHT = 1.0
"""Weight of a customer that the configuration does not list."""


class ShedReason(StrEnum):
    """Why a request was refused before it ran."""

    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    RATE_LIMIT = "rate_limit"
    CUSTOMER_IN_FLIGHT = "customer_in_flight"


@dataclass(frozen=True, slots=True)
class CustomerShare:
    """Configured limits and weight of a customer.

    :param weight: share of a busy service, relative to other customers.
    :param requests_per_second: rate limit over all entries; None if unlimited.
    :param max_in_flight: maximum requests in flight over all entries; None if
        unlimited.
    """

    weight: float = DEFAULT_WEIGHT
    requests_per_second: float | None = None
    max_in_flight: int | None = None


@dataclass(frozen=True, slots=True)
class Ticket:
    """One request in admission control.

    :param number: sequence number of the request.
    :param customer: name of the customer.
    :param priority: RFC 9218 urgency; 0 is the most urgent, 7 the least.
    :param offered_at: elapsed time at which it was offered.
    :param deadline: elapsed time by which the response is due.
    """

    number: int
    customer: str
    priority: int
    offered_at: timedelta
    deadline: timedelta


@dataclass(frozen=True, slots=True)
class Admit:
    """The request may be sent to an endpoint now."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class Wait:
    """The request is queued; ``next_admitted`` returns its ticket later.

    :param position: requests of the same customer ahead of it.
    """

    ticket: Ticket
    position: int


@dataclass(frozen=True, slots=True)
class Shed:
    """The request was refused and will not run.

    :param retry_after: time after which a retry is worthwhile.
    """

    ticket: Ticket
    retry_after: timedelta
    reason: ShedReason
