"""Replay of a trace through several entries that share nothing but endpoints."""

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from heapq import heappop, heappush
from itertools import count
from random import Random

from bench.admission.servers import FOREVER, Answer, FakeEndpoint
from bench.admission.traces import Request
from sassafrasdale.decisions.admission import Admit, Shed, Wait
from sassafrasdale.decisions.backoff import Backoff
from sassafrasdale.decisions.budgets import RetryBudget
from sassafrasdale.decisions.health import Health
from sassafrasdale.decisions.hedging import Hedging

FAIL_SECONDS = 0.05
"""Seconds until an entry knows that an endpoint that is down did not answer."""

MAX_SENDS = 4
"""Most sends of one call by its entry."""

TICKS = 50
"""Ticks of an entry's timer in the time that callers wait."""


class Ending(Enum):
    """How a logical request ended for its caller."""

    IN_TIME = "in_time"
    LATE = "late"
    SHED = "shed"
    FAILED = "failed"


@dataclass(slots=True, eq=False)
class Call:
    """One try of a caller at an entry.

    :param tries: tries of the caller so far, this one included.
    :param came: second of the caller's first try.
    """

    request: Request
    tries: int
    came: float
    at: float
    entry: "Entry"
    ticket: object = None
    backoff: Backoff | None = None
    sends: int = 0
    tried: set = field(default_factory=set)
    open: list = field(default_factory=list)
    done: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a call to an endpoint."""

    call: Call
    endpoint: FakeEndpoint
    sent: float
    lost: bool = False


@dataclass(slots=True, eq=False)
class Entry:
    """Decisions of one entry, as the tasks of the product hold them."""

    admission: object
    rng: Random
    budget: RetryBudget | None = None
    health: Health | None = None
    hedging: Hedging | None = None
    in_flight: Counter = field(default_factory=Counter)
    waiting: dict = field(default_factory=dict)
    capacity: int = 0


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a request.

    :param seconds: time from the caller's first try to the end.
    """

    request: Request
    ending: Ending
    seconds: float
    at: float


@dataclass(slots=True)
class Result:
    """What a replay measured."""

    duration: float
    slots: int
    outcomes: list[Outcome] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)
    sends: list[float] = field(default_factory=list)
    refusals: int = 0
    hedges: int = 0


class Replay:
    """One run of a trace.

    :param duration: seconds in which the trace has arrivals.
    :param caller_tries: most tries of a request by its caller.
    :param keep_slots: whether admission keeps the capacity that the text states.
    :param even_work: whether requests take about as long as each other, so that
        their latencies tell of the endpoints.
    """

    def __init__(
        self,
        trace: list[Request],
        entries: list[Entry],
        endpoints: list[FakeEndpoint],
        duration: float,
        caller_tries: int = 1,
        keep_slots: bool = False,
        even_work: bool = False,
    ) -> None:
        self._trace = trace
        self._entries = entries
        self._endpoints = endpoints
        self._duration = duration
        self._caller_tries = caller_tries
        self._keep_slots = keep_slots
        self._even_work = even_work
        self._events: list = []
        self._order = count()
        self._now = 0.0
        self._open_calls = len(trace)
        self.result = Result(duration, sum(end.slots for end in endpoints))

    def run(self) -> Result:
        """Replay the whole trace and return what was measured."""
        for request in self._trace:
            entry = self._entries[request.entry]
            call = Call(request, 1, request.arrival, request.arrival, entry)
            self._at(request.arrival, self._arrive, call)
        for endpoint in self._endpoints:
            if endpoint.down_from < FOREVER and not endpoint.errors:
                self._at(endpoint.down_from, self._crash, endpoint)
        self._tick_length = self._trace[0].timeout / TICKS
        for entry in self._entries:
            self._at(0.0, self._tick, entry)
        while self._events:
            self._now, _, action, subject = heappop(self._events)
            action(subject)
        return self.result

    @property
    def _span(self) -> timedelta:
        return timedelta(seconds=self._now)

    def _at(self, when: float, action, subject) -> None:
        heappush(self._events, (when, next(self._order), action, subject))

    def _after(self, wait: timedelta, action, subject) -> None:
        self._at(self._now + wait.total_seconds(), action, subject)

    def _tick(self, entry: Entry) -> None:
        self._measure_capacity(entry)
        self._pump(entry)
        if self._open_calls:
            self._at(self._now + self._tick_length, self._tick, entry)

    def _measure_capacity(self, entry: Entry) -> None:
        if entry.health is None or self._keep_slots:
            return
        weights = entry.health.weights(self._span)
        usable = [end for end in self._endpoints if weights[end.name] > 0]
        capacity = sum(end.slots for end in usable)
        if capacity != entry.capacity:
            entry.capacity = capacity
            entry.admission.set_share(capacity, len(self._entries))

    def _arrive(self, call: Call) -> None:
        self.result.arrivals.append(self._now)
        request = call.request
        remaining = timedelta(seconds=request.timeout)
        decision = call.entry.admission.offer(
            request.customer, request.priority, self._span, remaining
        )
        call.ticket = decision.ticket
        match decision:
            case Admit():
                self._send(call)
            case Wait(ticket=ticket):
                call.entry.waiting[ticket.number] = call
                self._after(remaining, self._give_up, call)
            case Shed(retry_after=after):
                self._turn_away(call, after, Ending.SHED)
        self._pump(call.entry)

    def _pump(self, entry: Entry) -> None:
        for shed in entry.admission.expire(self._span):
            call = entry.waiting.pop(shed.ticket.number)
            self._turn_away(call, shed.retry_after, Ending.SHED)
        while (ticket := entry.admission.next_admitted(self._span)) is not None:
            self._send(entry.waiting.pop(ticket.number))

    def _give_up(self, call: Call) -> None:
        if call.entry.waiting.pop(call.ticket.number, None) is None:
            return
        call.entry.admission.cancel(call.ticket)
        self._close(call, Ending.LATE)

    def _turn_away(self, call: Call, after: timedelta, ending: Ending) -> None:
        if call.tries >= self._caller_tries:
            self._close(call, ending)
            return
        call.done = True
        index = (self._entries.index(call.entry) + 1) % len(self._entries)
        when = self._now + after.total_seconds()
        entry = self._entries[index]
        again = Call(call.request, call.tries + 1, call.came, when, entry)
        self._at(when, self._arrive, again)

    def _close(self, call: Call, ending: Ending) -> None:
        call.done = True
        self._open_calls -= 1
        seconds = self._now - call.came
        self.result.outcomes.append(Outcome(call.request, ending, seconds, self._now))

    def _pick(self, call: Call) -> FakeEndpoint | None:
        entry = call.entry
        weights = {end.name: 1.0 for end in self._endpoints}
        if entry.health is not None:
            weights = entry.health.weights(self._span)
        usable = [end for end in self._endpoints if weights[end.name] > 0]
        fresh = [end for end in usable if end.name not in call.tried] or usable
        if not fresh:
            return None

        def load(end: FakeEndpoint) -> float:
            return (entry.in_flight[end.name] + entry.rng.random()) / weights[end.name]

        return min(fresh, key=load)

    def _send(self, call: Call) -> None:
        if call.done:
            return
        entry = call.entry
        endpoint = self._pick(call)
        if endpoint is None:
            self._end(call, Ending.FAILED)
            return
        call.sends += 1
        call.tried.add(endpoint.name)
        self.result.sends.append(self._now)
        attempt = Attempt(call, endpoint, self._now)
        call.open.append(attempt)
        entry.in_flight[endpoint.name] += 1
        match endpoint.offer(attempt, self._now):
            case Answer.STARTED:
                self._start(attempt)
            case Answer.DOWN:
                self._at(self._now + FAIL_SECONDS, self._fail, attempt)
            case Answer.REFUSED:
                self._refuse(attempt)
        if entry.hedging is not None and call.sends == 1:
            delay = entry.hedging.delay(idempotent=call.request.idempotent)
            if delay is not None:
                self._after(delay, self._hedge, call)

    def _start(self, attempt: Attempt) -> None:
        work = attempt.call.request.work
        seconds = attempt.endpoint.service_time(work, self._now)
        self._at(self._now + seconds, self._complete, attempt)

    def _hedge(self, call: Call) -> None:
        if call.done or len(call.open) != 1:
            return
        if not call.entry.admission.has_spare_room:
            return
        hedging = call.entry.hedging
        if hedging.try_hedge(self._span, idempotent=call.request.idempotent):
            self.result.hedges += 1
            self._send(call)

    def _complete(self, attempt: Attempt) -> None:
        if attempt.lost:
            return
        following = attempt.endpoint.release(attempt)
        if following is not None:
            self._start(following)
        if attempt.endpoint.fails(self._now):
            self._fail(attempt)
            return
        call = attempt.call
        self._drop(attempt)
        entry = call.entry
        if entry.health is not None:
            entry.health.observe(
                attempt.endpoint.name,
                ok=True,
                now=self._span,
                latency=self._comparable_latency(attempt),
            )
        if entry.budget is not None:
            entry.budget.deposit(self._span)
        if call.done:
            return
        latency = timedelta(seconds=self._now - attempt.sent)
        if entry.hedging is not None:
            entry.hedging.observe(latency, self._span)
        entry.admission.finish(call.ticket, self._span, True, latency)
        in_time = self._now - call.at <= call.request.timeout
        self._close(call, Ending.IN_TIME if in_time else Ending.LATE)
        self._pump(entry)

    def _comparable_latency(self, attempt: Attempt) -> timedelta | None:
        if not self._even_work:
            return None
        return timedelta(seconds=self._now - attempt.sent)

    def _drop(self, attempt: Attempt) -> None:
        attempt.call.open.remove(attempt)
        attempt.call.entry.in_flight[attempt.endpoint.name] -= 1

    def _crash(self, endpoint: FakeEndpoint) -> None:
        for attempt in endpoint.crash():
            attempt.lost = True
            self._at(self._now + FAIL_SECONDS, self._fail, attempt)

    def _fail(self, attempt: Attempt) -> None:
        self._drop(attempt)
        entry = attempt.call.entry
        if entry.health is not None:
            entry.health.observe(attempt.endpoint.name, ok=False, now=self._span)
        self._retry(attempt.call, Ending.FAILED)

    def _refuse(self, attempt: Attempt) -> None:
        self.result.refusals += 1
        self._drop(attempt)
        call = attempt.call
        if call.done or call.open:
            return
        entry = call.entry
        match entry.admission.refuse(call.ticket, self._span):
            case Wait(ticket=ticket):
                entry.waiting[ticket.number] = call
                remaining = call.at + call.request.timeout - self._now
                self._at(self._now + remaining, self._give_up, call)
            case Shed(retry_after=after):
                self._turn_away(call, after, Ending.SHED)
            case None:
                self._retry(call, Ending.SHED)

    def _retry(self, call: Call, ending: Ending) -> None:
        if call.done or call.open:
            return
        budget = call.entry.budget
        allowed = budget is None or budget.try_spend(self._span)
        if call.sends >= MAX_SENDS or not allowed:
            self._end(call, ending)
            return
        if call.backoff is None:
            call.backoff = Backoff(call.entry.rng)
        self._after(call.backoff.next(), self._send, call)

    def _end(self, call: Call, ending: Ending) -> None:
        call.entry.admission.cancel(call.ticket)
        after = call.entry.admission.retry_after(self._span)
        self._turn_away(call, after, ending)
        self._pump(call.entry)
