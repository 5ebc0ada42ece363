"""Admission with waiting: holds a request until its service has room for it.

The decisions are ``sassafrasdale.decisions.admission``'s; a gate makes tasks
wait for them.
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

# Reasons that lie with one customer's limit, not with the service's load.
CUSTOMER_REASONS = frozenset({ShedReason.RATE_LIMIT, ShedReason.CUSTOMER_IN_FLIGHT})


class Gate:
    """The way into one service through one entry.

    :param capacity: requests that the service's endpoints run at once.
    :param live_entries: entries that share the endpoints.
    :param customers: what each customer is entitled to.
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
        self._began: dict[int, timedelta] = {}

    @property
    def admission(self) -> Admission:
        """The decisions behind the gate."""
        return self._admission

    def enter(self, call: Call) -> Ticket | NotRun:
        """Wait for room; return a ticket, or why there is none."""
        now = self._clock.elapsed()
        offered = self._admission.offer(
            call.customer, call.priority, now, call.deadline - now
        )
        self._let_in()
        match offered:
            case Admit(ticket):
                self._began[ticket.number] = now
                return ticket
            case Shed():
                return _refusal(offered)
            case Wait(ticket):
                return self._wait(ticket)

    def leave(self, ticket: Ticket, outcome: Outcome | None) -> None:
        """End an admitted request.

        :param outcome: how it ended; None if its caller went away.
        """
        now = self._clock.elapsed()
        # Time in the queue is left out: the limit would take its own queue for
        # an overloaded endpoint and sink.
        began = self._began.pop(ticket.number, ticket.offered_at)
        match outcome:
            case Answered():
                self._admission.finish(ticket, now, ok=True, latency=now - began)
            case NotRun(overloaded=True):
                self._admission.finish(ticket, now, ok=False, latency=now - began)
            case _:
                # A dead endpoint or a caller that left says nothing about room.
                self._admission.cancel(ticket)
        self._let_in()

    def sweep(self) -> None:
        """Turn away requests whose deadline can't be met any more."""
        self._let_in()

    def set_share(self, capacity: int, live_entries: int) -> None:
        """Take a changed capacity or number of entries."""
        self._admission.set_share(capacity, live_entries)
        self._let_in()

    def set_customers(self, customers: Mapping[str, CustomerShare]) -> None:
        """Take the customers of a new revision of the text."""
        self._admission.set_customers(customers)

    def _wait(self, ticket: Ticket) -> Ticket | NotRun:
        event = self._waiting.setdefault(ticket.number, Event())
        try:
            return event.wait()
        except BaseException:
            self._admission.cancel(ticket)
            self._began.pop(ticket.number, None)
            raise
        finally:
            self._waiting.pop(ticket.number, None)

    def _let_in(self) -> None:
        """Wake every waiting request about which the admission has decided."""
        now = self._clock.elapsed()
        for shed in self._admission.expire(now):
            self._tell(shed.ticket, _refusal(shed))
        while (ticket := self._admission.next_admitted(now)) is not None:
            self._began[ticket.number] = now
            self._tell(ticket, ticket)

    def _tell(self, ticket: Ticket, decision: Ticket | NotRun) -> None:
        # A ticket may be decided in the same call that offered it, before its
        # task has begun to wait.
        event = self._waiting.setdefault(ticket.number, Event())
        if not event.ready():
            event.send(decision)


def _refusal(shed: Shed) -> NotRun:
    return NotRun(
        f"turned away: {shed.reason.value}",
        max(shed.retry_after, timedelta(seconds=1)),
        limited=shed.reason in CUSTOMER_REASONS,
    )
