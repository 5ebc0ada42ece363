"""Admission control: a request waits until its service has capacity for it.

``sassafrasdale.decisions.admission`` makes the decisions; a gate lets tasks wait for
them.
"""

import random
from collections.abc import Mapping
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.admission import (
    Admission,
    Admit,
    CustomerShare,
    Shed,
    ShedReason,
    Ticket,
    Wait,
)
from sassafrasdale.decisions.limits import ConcurrencyLimit
from sassafrasdale.green import Event
from sassafrasdale.requests.structures import Answered, Call, NotRun, Outcome

# Reasons caused by a limit of the customer, not by the load of the service.
CUSTOMER_LIMIT_REASONS = frozenset(
    {ShedReason.RATE_LIMIT, ShedReason.CUSTOMER_IN_FLIGHT}
)


class Gate:
    """Admits the requests of one entry to one service.

    :param capacity: number of requests that the service's endpoints run at once.
    :param live_entries: number of entries that share the endpoints.
    :param customers: share and limits of each customer.
    :param clock: source of time.
    :param rng: source of randomness.

    Usage::

        match gate.enter(call):
            case NotRun() as refused: ...
            case ticket: ...  # then gate.leave(ticket, outcome)
    """

    def __init__(
        self,
        capacity: int,
        live_entries: int,
        customers: Mapping[str, CustomerShare],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        limit = ConcurrencyLimit(capacity, live_entries)
        self._admission = Admission(limit, rng, customers)
        self._clock = clock
        self._waiting: dict[int, Event] = {}
        self._admitted_at: dict[int, timedelta] = {}

    @property
    def admission(self) -> Admission:
        """The admission decisions of this gate."""
        return self._admission

    def enter(self, call: Call) -> Ticket | NotRun:
        """Wait for admission; return a ticket, or the refusal."""
        now = self._clock.elapsed()
        offered = self._admission.offer(
            call.customer, call.priority, now, call.deadline - now
        )
        self._wake_decided()
        match offered:
            case Admit(ticket):
                self._admitted_at[ticket.number] = now
                return ticket
            case Shed():
                return _refusal(offered)
            case Wait(ticket):
                return self._wait(ticket)

    def leave(self, ticket: Ticket, outcome: Outcome | None) -> None:
        """End an admitted request.

        :param outcome: its outcome; None if its caller disconnected.
        """
        now = self._clock.elapsed()
        # The latency excludes the time in the queue: otherwise the limit would treat
        # its own queue as an overloaded endpoint and decrease.
        admitted_at = self._admitted_at.pop(ticket.number, ticket.offered_at)
        match outcome:
            case Answered():
                self._admission.finish(ticket, now, ok=True, latency=now - admitted_at)
            case NotRun(overloaded=True):
                self._admission.finish(ticket, now, ok=False, latency=now - admitted_at)
            case _:
                # A crashed endpoint or a disconnected caller does not show the load.
                self._admission.cancel(ticket)
        self._wake_decided()

    def sweep(self) -> None:
        """Refuse waiting requests whose deadline can no longer be met."""
        self._wake_decided()

    def set_share(self, capacity: int, live_entries: int) -> None:
        """Set the capacity and the number of entries."""
        self._admission.set_share(capacity, live_entries)
        self._wake_decided()

    def set_customers(self, customers: Mapping[str, CustomerShare]) -> None:
        """Set the customers of a new configuration revision."""
        self._admission.set_customers(customers)

    def _wait(self, ticket: Ticket) -> Ticket | NotRun:
        event = self._waiting.setdefault(ticket.number, Event())
        try:
            return event.wait()
        except BaseException:
            self._admission.cancel(ticket)
            self._admitted_at.pop(ticket.number, None)
            raise
        finally:
            self._waiting.pop(ticket.number, None)

    def _wake_decided(self) -> None:
        """Wake the waiting requests that are admitted or refused by now."""
        now = self._clock.elapsed()
        for shed in self._admission.expire(now):
            self._wake(shed.ticket, _refusal(shed))
        while (ticket := self._admission.next_admitted(now)) is not None:
            self._admitted_at[ticket.number] = now
            self._wake(ticket, ticket)

    def _wake(self, ticket: Ticket, decision: Ticket | NotRun) -> None:
        # The decision may be made in the same call that offered the request, before
        # its task has begun to wait.
        event = self._waiting.setdefault(ticket.number, Event())
        if not event.ready():
            event.send(decision)


def _refusal(shed: Shed) -> NotRun:
    return NotRun(
        f"turned away: {shed.reason.value}",
        max(shed.retry_after, timedelta(seconds=1)),
        limited=shed.reason in CUSTOMER_LIMIT_REASONS,
    )
