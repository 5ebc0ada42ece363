"""Invariants of admission control under arbitrary sequences of events."""

from datetime import timedelta
from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sassafrasdale.decisions.admission import (
    Admission,
    Admit,
    CustomerShare,
    Shed,
    Ticket,
    Wait,
)
from sassafrasdale.decisions.limits import ConcurrencyLimit

CUSTOMERS = {
    "a": CustomerShare(),
    "b": CustomerShare(weight=3.0, max_in_flight=2),
    "c": CustomerShare(requests_per_second=5.0),
}


class AdmissionMachine(RuleBasedStateMachine):
    """Every request gets one decision and is queued, running or finished."""

    def __init__(self) -> None:
        super().__init__()
        self.admission = Admission(ConcurrencyLimit(4, 2), Random(1), CUSTOMERS)
        self.now = timedelta()
        self.waiting: dict[int, Ticket] = {}
        self.running: dict[int, Ticket] = {}

    @rule(
        customer=st.sampled_from(["a", "b", "c", "unknown"]),
        priority=st.integers(0, 7),
        milliseconds=st.integers(1, 2000),
    )
    def offer(self, customer, priority, milliseconds):
        remaining = timedelta(milliseconds=milliseconds)
        decision = self.admission.offer(customer, priority, self.now, remaining)
        self.note(decision)

    @rule(milliseconds=st.integers(0, 500))
    def advance(self, milliseconds):
        self.now += timedelta(milliseconds=milliseconds)

    @rule()
    def expire(self):
        for shed in self.admission.expire(self.now):
            del self.waiting[shed.ticket.number]

    @rule()
    def admit(self):
        ticket = self.admission.next_admitted(self.now)
        if ticket is not None:
            self.running[ticket.number] = self.waiting.pop(ticket.number)
            assert len(self.running) <= self.admission.limit

    @precondition(lambda self: self.running)
    @rule(data=st.data(), ok=st.booleans())
    def finish(self, data, ok):
        number = data.draw(st.sampled_from(sorted(self.running)))
        ticket = self.running.pop(number)
        latency = self.now - ticket.offered_at
        self.admission.finish(ticket, self.now, ok, latency)

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def refuse(self, data):
        number = data.draw(st.sampled_from(sorted(self.running)))
        decision = self.admission.refuse(self.running.pop(number), self.now)
        self.note(decision)

    @rule(data=st.data())
    def cancel(self, data):
        known = {**self.waiting, **self.running}
        if known:
            ticket = known[data.draw(st.sampled_from(sorted(known)))]
            self.admission.cancel(ticket)
            self.waiting.pop(ticket.number, None)
            self.running.pop(ticket.number, None)

    @rule(capacity=st.integers(0, 20), entries=st.integers(1, 9))
    def set_share(self, capacity, entries):
        self.admission.set_share(capacity, entries)

    @invariant()
    def counts_agree(self):
        assert self.admission.in_flight == len(self.running)
        # An evicted request remains in `waiting` until expire returns it.
        assert self.admission.waiting <= len(self.waiting)
        assert self.admission.limit >= 1

    def note(self, decision):
        ticket = decision.ticket
        match decision:
            case Admit():
                self.running[ticket.number] = ticket
            case Wait():
                self.waiting[ticket.number] = ticket
            case Shed(retry_after=after):
                assert after > timedelta()


TestAdmissionInvariants = AdmissionMachine.TestCase


class Drawn:
    """Replays drawn numbers of a sequence that Hypothesis found."""

    def __init__(self, number: int) -> None:
        self._number = number

    def draw(self, strategy):
        return self._number


def test_wait_beyond_the_range_of_timedelta_is_capped():
    """Guards against an internal error in place of a refusal.

    Customers with a rate limit leave almost no share of the service to others, so that
    the expected wait of the next request exceeds the range of timedelta.
    """
    machine = AdmissionMachine()
    machine.offer("a", 0, 1)
    machine.offer("a", 0, 1)
    machine.finish(Drawn(1), True)
    machine.offer("a", 0, 100)
    machine.offer("c", 0, 1)
    machine.finish(Drawn(2), True)
    machine.refuse(Drawn(3))
    machine.offer("c", 0, 1)
    machine.offer("b", 0, 181)
    machine.offer("c", 1, 1)
    machine.counts_agree()
