"""Requests that were admitted."""

from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.deployment import Customer, RequestTraits, Route, customer_name
from sassafrasdale.http.messages import Request


@dataclass(slots=True)
class AdmittedRequest:
    """A request that was admitted.

    :param deadline: elapsed time at which its caller must have a response.
    :param last_return: elapsed time from which its caller can't come back.
    :param avoided: endpoints that it must not be sent to.
    :param time_spent: how long its caller has tried before it arrived.
    :param is_trial: whether it is a trial of something that is quarantined.
    """

    request: Request
    traits: RequestTraits
    route: Route
    service: str
    customer: Customer | None
    received_at: timedelta
    deadline: timedelta
    last_return: timedelta
    avoided: frozenset[str] = frozenset()
    is_trial: bool = False
    time_spent: timedelta = timedelta()

    @property
    def customer_name(self) -> str:
        """Name of its customer; empty for a public route."""
        return customer_name(self.customer)
