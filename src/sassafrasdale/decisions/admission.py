"""Admission of requests to one service on one entry.

Each service has an ``Admission`` of its own, so lookups never queue behind
generations. Entries share no counter: the limit on requests in flight comes
from the entry's share of the capacity, corrected by what endpoints refuse.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from sassafrasdale.decisions.backoff import RETRY_AFTER_SPREAD
from sassafrasdale.decisions.demand import Demand
from sassafrasdale.decisions.entitlements import Entitlements
from sassafrasdale.decisions.fairness import FairQueue
from sassafrasdale.decisions.limits import ConcurrencyLimit
from sassafrasdale.decisions.occupancy import Occupancy
from sassafrasdale.decisions.returns import Returns
from sassafrasdale.decisions.shares import DemandShares
from sassafrasdale.decisions.tickets import (
    Admit,
    CustomerShare,
    Shed,
    ShedReason,
    Ticket,
    Wait,
)

__all__ = [
    "Admission",
    "AdmissionSettings",
    "Admit",
    "CustomerShare",
    "Shed",
    "ShedReason",
    "Ticket",
    "Wait",
]


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Constants of admission; docs/ADMISSION.md has the sweep of each.

    :param queue_per_slot: waiting requests allowed per request in flight.
    :param latency_smoothing: weight of a new latency in the moving means.
    :param latency_window: latencies kept for the quantile.
    :param latency_quantile: quantile of the latencies that must still fit before
        the deadline when a request leaves the queue.
    :param wait_share: largest share of the time until its deadline for which a
        request waits once the queue is standing.
    :param standing: time for which the queue was never empty after which it is
        standing, as a share of the time that a request has.
    :param demand_window: time over which arrivals are counted, in mean latencies.
    :param longest_retry_after: longest time to come back, before the spread.
    :param retry_after_spread: width of the random part of the time to come back,
        as a multiple of it.
    :param spare_share: requests in flight, as a share of the entry's share of the
        capacity, up to which there is room to send a request twice.
    :param initial_latency: latency assumed before the first answer.
    """

    queue_per_slot: float = 4.0
    latency_smoothing: float = 0.1
    latency_window: int = 100
    latency_quantile: float = 0.9
    wait_share: float = 0.3
    standing: float = 0.5
    demand_window: float = 5.0
    longest_retry_after: timedelta = timedelta(seconds=30)
    retry_after_spread: float = RETRY_AFTER_SPREAD
    spare_share: float = 1.8
    initial_latency: timedelta = timedelta(milliseconds=100)


@dataclass(frozen=True, slots=True)
class _WaitBound:
    """How long requests may wait before they are turned away.

    A short burst may use all the time that the answer does not need. Once the
    queue stands, long waits gain no throughput, and whatever varies makes
    answers late; then the wait is bounded.

    :param needed: time that a request must have left when it starts.
    :param standing_for: time since the queue was last empty.
    """

    needed: timedelta
    standing_for: timedelta
    settings: AdmissionSettings

    def of(self, ticket: Ticket) -> timedelta:
        """Return the bound of one request."""
        allowed = ticket.deadline - ticket.offered_at
        useful = allowed - self.needed
        if self.standing_for < allowed * self.settings.standing:
            return useful
        return min(useful, allowed * self.settings.wait_share)


class Admission:
    """Admission to one service on one entry: fair, bounded and by priority.

    Usage::

        match admission.offer("lab-7", 3, clock.elapsed(), timedelta(seconds=2)):
            case Admit(ticket): ...
            case Wait(ticket): ...  # until next_admitted or expire return it
            case Shed(retry_after=after, reason=reason): ...

    After each ``offer``, ``finish``, ``refuse`` and ``cancel``, and now and then,
    the caller drains ``expire`` (requests turned away while they waited) and then
    ``next_admitted``.

    :param limit: limit on requests in flight, owned by this admission.
    :param rng: source of randomness, to spread the times to come back.
    :param customers: what each customer is entitled to.
    :param make_queue: makes the queue, given a customer's weight as a function.
    """

    def __init__(
        self,
        limit: ConcurrencyLimit,
        rng: Random,
        customers: Mapping[str, CustomerShare] | None = None,
        settings: AdmissionSettings | None = None,
        make_queue: Callable[[Callable[[str], float]], FairQueue] = FairQueue,
    ) -> None:
        self._limit = limit
        self._settings = settings or AdmissionSettings()
        self._customers = Entitlements(customers or {})
        self._queue = make_queue(self._customers.weight)
        self._demand = Demand()
        self._returns = Returns(
            rng, self._settings.longest_retry_after, self._settings.retry_after_spread
        )
        self._occupancy = Occupancy(
            self._settings.initial_latency,
            self._settings.latency_smoothing,
            self._settings.latency_window,
        )
        self._running: dict[int, timedelta] = {}
        self._running_by_customer: Counter[str] = Counter()
        self._displaced: dict[int, Shed] = {}
        self._offered = 0
        self._empty_at = timedelta()
        self._paused_until = timedelta()

    @property
    def in_flight(self) -> int:
        """Requests that were admitted and haven't finished."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Requests that may be in flight."""
        return self._limit.value

    @property
    def has_spare_room(self) -> bool:
        """Whether few enough requests are in flight to send one of them twice."""
        most = self._limit.share * self._settings.spare_share
        return not self._queue and self.in_flight <= most

    @property
    def shares(self) -> DemandShares:
        """What peers report of the customers' demand; divides the rate limits."""
        return self._customers.shares

    def set_customers(self, customers: Mapping[str, CustomerShare]) -> None:
        """Take the customers of a new revision of the text."""
        self._customers.set_customers(customers)

    def set_share(self, capacity: int, live_entries: int) -> None:
        """Take the endpoints' capacity and the number of live entries."""
        self._customers.set_live_entries(live_entries)
        self._limit.set_share(capacity, live_entries)

    def offer(
        self, customer: str, priority: int, now: timedelta, remaining: timedelta
    ) -> Admit | Wait | Shed:
        """Decide on a new request.

        :param customer: who calls.
        :param priority: 0 first to 7 last.
        :param now: elapsed time.
        :param remaining: time until the deadline.
        """
        self._offered += 1
        name = self._customers.name(customer)
        ticket = Ticket(self._offered, name, priority, now, now + remaining)
        self._demand.add(ticket, self._demand_window)
        exceeded = self._customers.try_take(name, now)
        if exceeded is not None:
            return Shed(ticket, exceeded, ShedReason.RATE_LIMIT)
        if not self._queue and self._has_slot(now) and self._may_start(name, now):
            self._start(ticket, now)
            return Admit(ticket)
        return self._enqueue(ticket, now)

    def next_admitted(self, now: timedelta) -> Ticket | None:
        """Return the next waiting request that may go to an endpoint, if any."""
        if not self._queue:
            self._empty_at = now
        if not self._has_slot(now):
            return None
        ticket = self._queue.take(lambda name: self._may_start(name, now))
        if ticket is not None:
            self._start(ticket, now)
        return ticket

    def finish(
        self, ticket: Ticket, now: timedelta, ok: bool, latency: timedelta
    ) -> None:
        """Record the end of an admitted request.

        :param ok: False if the endpoint was overloaded.
        :param latency: time that the request took; time in the queue is left out.
        """
        started_at = self._stop(ticket)
        if started_at is None:
            return
        if not ok:
            self._limit.on_refusal(now)
            return
        occupied = min(latency, now - started_at)
        self._paused_until = now
        self._limit.on_success(self.in_flight, occupied)
        self._occupancy.add(ticket.customer, occupied)

    def refuse(self, ticket: Ticket, now: timedelta) -> Wait | Shed:
        """Take back an admitted request that an endpoint refused to start.

        It goes first among those of its priority. The queue holds still until
        the next success or for a part of the usual latency: endpoints that
        refuse would otherwise be asked again at once, by every entry.
        """
        self._stop(ticket)
        self._limit.on_refusal(now)
        self._paused_until = now + self._limit.cooldown
        if now - ticket.offered_at > self._longest_wait(ticket, now):
            return self._shed(ticket, now, ShedReason.DEADLINE)
        return Wait(ticket, self._queue.put_back(ticket))

    def cancel(self, ticket: Ticket) -> None:
        """Forget a request, waiting or admitted, that the caller gave up."""
        self._stop(ticket)
        self._queue.discard(ticket)
        self._displaced.pop(ticket.number, None)

    def expire(self, now: timedelta) -> tuple[Shed, ...]:
        """Return the waiting requests that are turned away and must be answered."""
        bound = self._wait_bound(now)
        for ticket in self._queue:
            if now - ticket.offered_at > bound.of(ticket):
                self._queue.discard(ticket)
                shed = self._shed(ticket, now, ShedReason.DEADLINE)
                self._displaced[ticket.number] = shed
        displaced, self._displaced = self._displaced, {}
        return tuple(displaced.values())

    def retry_after(self, now: timedelta) -> timedelta:
        """Return when it is worth coming back after a failure."""
        return self._returns.book(now, len(self._queue), self._rate)

    @property
    def _rate(self) -> float:
        """Requests that this entry finishes per second when it is busy."""
        return self._limit.value / self._occupancy.mean.total_seconds()

    @property
    def _demand_window(self) -> timedelta:
        return self._occupancy.mean * self._settings.demand_window

    def _enqueue(self, ticket: Ticket, now: timedelta) -> Wait | Shed:
        position = self._queue.position(ticket)
        if self._expected_wait(ticket, position) > self._longest_wait(ticket, now):
            return self._shed(ticket, now, ShedReason.DEADLINE)
        self._queue.add(ticket, position)
        if len(self._queue) <= self._longest_queue():
            return Wait(ticket, position)
        worst = self._queue.displace()
        shed = self._shed(worst, now, ShedReason.QUEUE_FULL)
        if worst is ticket:
            return shed
        self._displaced[worst.number] = shed
        return Wait(ticket, position)

    def _has_slot(self, now: timedelta) -> bool:
        return now >= self._paused_until and self.in_flight < self._limit.value

    def _may_start(self, customer: str, now: timedelta) -> bool:
        most = self._customers.most_in_flight(customer, now)
        return most is None or self._running_by_customer[customer] < most

    def _start(self, ticket: Ticket, now: timedelta) -> None:
        cost = self._occupancy.of(ticket.customer).total_seconds()
        self._queue.charge(ticket.customer, cost)
        self._running[ticket.number] = now
        self._running_by_customer[ticket.customer] += 1

    def _stop(self, ticket: Ticket) -> timedelta | None:
        started_at = self._running.pop(ticket.number, None)
        if started_at is not None:
            self._running_by_customer[ticket.customer] -= 1
        return started_at

    def _longest_queue(self) -> int:
        return max(int(self._limit.value * self._settings.queue_per_slot), 1)

    def _longest_wait(self, ticket: Ticket, now: timedelta) -> timedelta:
        if not self._queue:
            self._empty_at = now
        return self._wait_bound(now).of(ticket)

    def _wait_bound(self, now: timedelta) -> "_WaitBound":
        quantile = self._settings.latency_quantile
        return _WaitBound(
            needed=self._occupancy.quantile(quantile),
            standing_for=now - self._empty_at,
            settings=self._settings,
        )

    def _expected_wait(self, ticket: Ticket, ahead: int) -> timedelta:
        """Return how long a request would wait, more urgent arrivals included."""
        cost = self._occupancy.of(ticket.customer).total_seconds()
        share = self._limit.value / cost * self._queue.share(ticket.customer)
        urgent = self._demand.rate_above(ticket, self._demand_window)
        if urgent >= share:
            return timedelta.max
        work = self._queue.work_before(ticket, ahead, self._cost) + cost
        seconds = work / self._limit.value / (1 - urgent / share)
        # With all but no share left, the quotient is beyond what a time can be.
        if seconds >= timedelta.max.total_seconds():
            return timedelta.max
        return timedelta(seconds=seconds)

    def _cost(self, customer: str) -> float:
        return self._occupancy.of(customer).total_seconds()

    def _shed(self, ticket: Ticket, now: timedelta, reason: ShedReason) -> Shed:
        return Shed(ticket, self.retry_after(now), reason)
