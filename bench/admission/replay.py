"""Replay of a trace through several entries that share only the endpoints."""

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from heapq import heappop, heappush
from itertools import count
from random import Random

from bench.admission.servers import FOREVER, FakeEndpoint, OfferResult
from bench.admission.traces import Request
from sassafrasdale.decisions.admission import Admit, Shed, Wait
from sassafrasdale.decisions.backoff import Backoff
from sassafrasdale.decisions.budgets import RetryBudget
from sassafrasdale.decisions.health import Health
from sassafrasdale.decisions.hedging import Hedging

FAIL_SECONDS = 0.05
"""Seconds until an entry detects that an endpoint is down."""

MAX_ATTEMPTS = 4
"""Maximum attempts of one call by its entry."""

TICKS = 50
"""Ticks of an entry's timer during one caller timeout."""


class Ending(Enum):
    """The result of a logical request for its caller."""

    IN_TIME = "in_time"
    LATE = "late"
    SHED = "shed"
    FAILED = "failed"


@dataclass(slots=True, eq=False)
class Call:
    """One request of a caller to an entry; each of the caller's retries is another.

    :param tries: requests that the caller has sent so far, including this one.
    :param first_sent: time of the caller's first request, in seconds.
    """

    request: Request
    tries: int
    first_sent: float
    arrived: float
    entry: "Entry"
    ticket: object = None
    backoff: Backoff | None = None
    attempts: int = 0
    tried_endpoints: set = field(default_factory=set)
    open_attempts: list = field(default_factory=list)
    done: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a call at an endpoint."""

    call: Call
    endpoint: FakeEndpoint
    sent: float
    interrupted: bool = False


@dataclass(slots=True, eq=False)
class Entry:
    """The state of one entry's decisions, as the entry process keeps it."""

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
    """The outcome of a request.

    :param seconds: time from the caller's first request to the end.
    """

    request: Request
    ending: Ending
    seconds: float
    at: float


@dataclass(slots=True)
class Result:
    """The measurements of a replay."""

    duration: float
    slots: int
    outcomes: list[Outcome] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)
    attempts: list[float] = field(default_factory=list)
    refusals: int = 0
    hedges: int = 0


class Replay:
    """One run of a trace.

    :param duration: seconds during which requests arrive.
    :param caller_tries: maximum requests that a caller sends for one logical request.
    :param fixed_capacity: whether admission keeps the capacity that the
        configuration states.
    :param similar_work: whether all requests take a similar time, so that their
        latencies show the endpoints' health.
    """

    def __init__(
        self,
        trace: list[Request],
        entries: list[Entry],
        endpoints: list[FakeEndpoint],
        duration: float,
        caller_tries: int = 1,
        fixed_capacity: bool = False,
        similar_work: bool = False,
    ) -> None:
        self._trace = trace
        self._entries = entries
        self._endpoints = endpoints
        self._duration = duration
        self._caller_tries = caller_tries
        self._fixed_capacity = fixed_capacity
        self._similar_work = similar_work
        self._events: list = []
        self._order = count()
        self._now = 0.0
        self._open_calls = len(trace)
        self.result = Result(duration, sum(endpoint.slots for endpoint in endpoints))

    def run(self) -> Result:
        """Replay the whole trace and return the measurements."""
        for request in self._trace:
            entry = self._entries[request.entry]
            call = Call(request, 1, request.arrival, request.arrival, entry)
            self._at(request.arrival, self._arrive, call)
        for endpoint in self._endpoints:
            if endpoint.down_from < FOREVER and not endpoint.error_share:
                self._at(endpoint.down_from, self._crash, endpoint)
        self._tick_length = self._trace[0].timeout / TICKS
        for entry in self._entries:
            self._at(0.0, self._tick, entry)
        while self._events:
            self._now, _, action, subject = heappop(self._events)
            action(subject)
        return self.result

    @property
    def _elapsed(self) -> timedelta:
        return timedelta(seconds=self._now)

    def _at(self, when: float, action, subject) -> None:
        heappush(self._events, (when, next(self._order), action, subject))

    def _after(self, wait: timedelta, action, subject) -> None:
        self._at(self._now + wait.total_seconds(), action, subject)

    def _tick(self, entry: Entry) -> None:
        self._measure_capacity(entry)
        self._dispatch(entry)
        if self._open_calls:
            self._at(self._now + self._tick_length, self._tick, entry)

    def _measure_capacity(self, entry: Entry) -> None:
        if entry.health is None or self._fixed_capacity:
            return
        weights = entry.health.weights(self._elapsed)
        usable = [
            endpoint for endpoint in self._endpoints if weights[endpoint.name] > 0
        ]
        capacity = sum(endpoint.slots for endpoint in usable)
        if capacity != entry.capacity:
            entry.capacity = capacity
            entry.admission.set_share(capacity, len(self._entries))

    def _arrive(self, call: Call) -> None:
        self.result.arrivals.append(self._now)
        request = call.request
        remaining = timedelta(seconds=request.timeout)
        decision = call.entry.admission.offer(
            request.customer, request.priority, self._elapsed, remaining
        )
        call.ticket = decision.ticket
        match decision:
            case Admit():
                self._send(call)
            case Wait(ticket=ticket):
                call.entry.waiting[ticket.number] = call
                self._after(remaining, self._time_out, call)
            case Shed(retry_after=after):
                self._reject(call, after, Ending.SHED)
        self._dispatch(call.entry)

    def _dispatch(self, entry: Entry) -> None:
        for shed in entry.admission.expire(self._elapsed):
            call = entry.waiting.pop(shed.ticket.number)
            self._reject(call, shed.retry_after, Ending.SHED)
        while (ticket := entry.admission.next_admitted(self._elapsed)) is not None:
            self._send(entry.waiting.pop(ticket.number))

    def _time_out(self, call: Call) -> None:
        if call.entry.waiting.pop(call.ticket.number, None) is None:
            return
        call.entry.admission.cancel(call.ticket)
        self._record_outcome(call, Ending.LATE)

    def _reject(self, call: Call, after: timedelta, ending: Ending) -> None:
        if call.tries >= self._caller_tries:
            self._record_outcome(call, ending)
            return
        call.done = True
        index = (self._entries.index(call.entry) + 1) % len(self._entries)
        when = self._now + after.total_seconds()
        entry = self._entries[index]
        retry = Call(call.request, call.tries + 1, call.first_sent, when, entry)
        self._at(when, self._arrive, retry)

    def _record_outcome(self, call: Call, ending: Ending) -> None:
        call.done = True
        self._open_calls -= 1
        seconds = self._now - call.first_sent
        self.result.outcomes.append(Outcome(call.request, ending, seconds, self._now))

    def _pick(self, call: Call) -> FakeEndpoint | None:
        entry = call.entry
        weights = {endpoint.name: 1.0 for endpoint in self._endpoints}
        if entry.health is not None:
            weights = entry.health.weights(self._elapsed)
        usable = [
            endpoint for endpoint in self._endpoints if weights[endpoint.name] > 0
        ]
        untried = [
            endpoint for endpoint in usable if endpoint.name not in call.tried_endpoints
        ] or usable
        if not untried:
            return None

        def load(endpoint: FakeEndpoint) -> float:
            return (entry.in_flight[endpoint.name] + entry.rng.random()) / weights[
                endpoint.name
            ]

        return min(untried, key=load)

    def _send(self, call: Call) -> None:
        if call.done:
            return
        entry = call.entry
        endpoint = self._pick(call)
        if endpoint is None:
            self._fail_call(call, Ending.FAILED)
            return
        call.attempts += 1
        call.tried_endpoints.add(endpoint.name)
        self.result.attempts.append(self._now)
        attempt = Attempt(call, endpoint, self._now)
        call.open_attempts.append(attempt)
        entry.in_flight[endpoint.name] += 1
        match endpoint.offer(attempt, self._now):
            case OfferResult.STARTED:
                self._start(attempt)
            case OfferResult.DOWN:
                self._at(self._now + FAIL_SECONDS, self._fail, attempt)
            case OfferResult.REFUSED:
                self._refuse(attempt)
        if entry.hedging is not None and call.attempts == 1:
            delay = entry.hedging.delay(idempotent=call.request.idempotent)
            if delay is not None:
                self._after(delay, self._hedge, call)

    def _start(self, attempt: Attempt) -> None:
        work = attempt.call.request.work
        seconds = attempt.endpoint.service_time(work, self._now)
        self._at(self._now + seconds, self._complete, attempt)

    def _hedge(self, call: Call) -> None:
        if call.done or len(call.open_attempts) != 1:
            return
        if not call.entry.admission.has_spare_capacity:
            return
        hedging = call.entry.hedging
        if hedging.try_hedge(self._elapsed, idempotent=call.request.idempotent):
            self.result.hedges += 1
            self._send(call)

    def _complete(self, attempt: Attempt) -> None:
        if attempt.interrupted:
            return
        next_attempt = attempt.endpoint.release(attempt)
        if next_attempt is not None:
            self._start(next_attempt)
        if attempt.endpoint.fails(self._now):
            self._fail(attempt)
            return
        call = attempt.call
        self._remove_attempt(attempt)
        entry = call.entry
        if entry.health is not None:
            entry.health.observe(
                attempt.endpoint.name,
                ok=True,
                now=self._elapsed,
                latency=self._comparable_latency(attempt),
            )
        if entry.budget is not None:
            entry.budget.deposit(self._elapsed)
        if call.done:
            return
        latency = timedelta(seconds=self._now - attempt.sent)
        if entry.hedging is not None:
            entry.hedging.observe(latency, self._elapsed)
        entry.admission.finish(call.ticket, self._elapsed, True, latency)
        in_time = self._now - call.arrived <= call.request.timeout
        self._record_outcome(call, Ending.IN_TIME if in_time else Ending.LATE)
        self._dispatch(entry)

    def _comparable_latency(self, attempt: Attempt) -> timedelta | None:
        if not self._similar_work:
            return None
        return timedelta(seconds=self._now - attempt.sent)

    def _remove_attempt(self, attempt: Attempt) -> None:
        attempt.call.open_attempts.remove(attempt)
        attempt.call.entry.in_flight[attempt.endpoint.name] -= 1

    def _crash(self, endpoint: FakeEndpoint) -> None:
        for attempt in endpoint.crash():
            attempt.interrupted = True
            self._at(self._now + FAIL_SECONDS, self._fail, attempt)

    def _fail(self, attempt: Attempt) -> None:
        self._remove_attempt(attempt)
        entry = attempt.call.entry
        if entry.health is not None:
            entry.health.observe(attempt.endpoint.name, ok=False, now=self._elapsed)
        self._retry(attempt.call, Ending.FAILED)

    def _refuse(self, attempt: Attempt) -> None:
        self.result.refusals += 1
        self._remove_attempt(attempt)
        call = attempt.call
        if call.done or call.open_attempts:
            return
        entry = call.entry
        match entry.admission.refuse(call.ticket, self._elapsed):
            case Wait(ticket=ticket):
                entry.waiting[ticket.number] = call
                remaining = call.arrived + call.request.timeout - self._now
                self._at(self._now + remaining, self._time_out, call)
            case Shed(retry_after=after):
                self._reject(call, after, Ending.SHED)
            case None:
                self._retry(call, Ending.SHED)

    def _retry(self, call: Call, ending: Ending) -> None:
        if call.done or call.open_attempts:
            return
        budget = call.entry.budget
        allowed = budget is None or budget.try_spend(self._elapsed)
        if call.attempts >= MAX_ATTEMPTS or not allowed:
            self._fail_call(call, ending)
            return
        if call.backoff is None:
            call.backoff = Backoff(call.entry.rng)
        self._after(call.backoff.next(), self._send, call)

    def _fail_call(self, call: Call, ending: Ending) -> None:
        call.entry.admission.cancel(call.ticket)
        after = call.entry.admission.retry_after(self._elapsed)
        self._reject(call, after, ending)
        self._dispatch(call.entry)
