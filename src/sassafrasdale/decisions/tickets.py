"""Requests as admission sees them, and what it decides on them."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

DEFAULT_WEIGHT = 1.0
"""Weight of a customer that the text doesn't name."""


class ShedReason(StrEnum):
    """Why a request was turned away before it ran."""

    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    RATE_LIMIT = "rate_limit"
    CUSTOMER_IN_FLIGHT = "customer_in_flight"


@dataclass(frozen=True, slots=True)
class CustomerShare:
    """What a customer is entitled to.

    :param weight: share of a busy service, relative to other customers.
    :param requests_per_second: rate limit over all entries, None for none.
    :param max_in_flight: most requests in flight over all entries, None for none.
    """

    weight: float = DEFAULT_WEIGHT
    requests_per_second: float | None = None
    max_in_flight: int | None = None


@dataclass(frozen=True, slots=True)
class Ticket:
    """One request known to the admission.

    :param number: number of the request, in the order of offers.
    :param customer: name of the customer.
    :param priority: RFC 9218 urgency, 0 first to 7 last.
    :param offered_at: elapsed time of the offer.
    :param deadline: elapsed time by which the answer is due.
    """

    number: int
    customer: str
    priority: int
    offered_at: timedelta
    deadline: timedelta


@dataclass(frozen=True, slots=True)
class Admit:
    """The request may go to an endpoint now."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class Wait:
    """The request waits; ``next_admitted`` returns its ticket later.

    :param position: requests of the same customer that go before it.
    """

    ticket: Ticket
    position: int


@dataclass(frozen=True, slots=True)
class Shed:
    """The request did not run and won't.

    :param retry_after: when it is worth coming back.
    """

    ticket: Ticket
    retry_after: timedelta
    reason: ShedReason
