"""Admission control for one service on one entry.

Each service has its own ``Admission``, so that lookups don't queue behind generations.
Entries share no counter: the concurrency limit starts at the entry's share of the
capacity and is adjusted when endpoints refuse requests.
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
from sassafrasdale.decisions.retry_times import RetryTimes
from sassafrasdale.decisions.shares import DemandShares
from sassafrasdale.decisions.standing_queues import (
    STANDING_FRACTION,
    WAIT_FRACTION,
    longest_wait,
)
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
    """Constants of admission control; docs/ADMISSION.md has a parameter sweep of each.

    :param queue_per_slot: queued requests allowed per request in flight.
    :param latency_smoothing: weight of a new latency in the moving averages.
    :param latency_window: number of latencies kept for the quantile.
    :param latency_quantile: quantile of the latencies that must still fit before the
        deadline when a request leaves the queue.
    :param wait_share: maximum fraction of its time to the deadline that a request waits
        once there is a standing queue.
    :param standing: time without an empty queue after which the queue counts as
        standing, as a fraction of the time that a request has.
    :param demand_window: time over which arrivals are counted, in mean latencies.
    :param longest_retry_after: maximum retry-after time, before jitter.
    :param retry_after_spread: width of the jitter of the retry-after time, as a
        multiple of it.
    :param spare_share: number of requests in flight, as a fraction of the entry's share
        of the capacity, up to which a request may be hedged.
    :param initial_latency: latency assumed before the first response.
    """

    queue_per_slot: float = 4.0
    latency_smoothing: float = 0.1
    latency_window: int = 100
    latency_quantile: float = 0.9
    wait_share: float = WAIT_FRACTION
    standing: float = STANDING_FRACTION
    demand_window: float = 5.0
    longest_retry_after: timedelta = timedelta(seconds=30)
    retry_after_spread: float = RETRY_AFTER_SPREAD
    spare_share: float = 1.8
    initial_latency: timedelta = timedelta(milliseconds=100)


@dataclass(frozen=True, slots=True)
class _WaitBound:
    """Maximum time that requests may wait before they are shed.

    :param needed: time that a request must have left when it starts.
    :param standing_for: time since the queue was last empty.
    """

    needed: timedelta
    standing_for: timedelta
    settings: AdmissionSettings

    def of(self, ticket: Ticket) -> timedelta:
        """Return the maximum wait of one request."""
        allowed = ticket.deadline - ticket.offered_at
        return longest_wait(
            allowed - self.needed,
            allowed,
            self.standing_for,
            standing_fraction=self.settings.standing,
            wait_fraction=self.settings.wait_share,
        )


class Admission:
    """Admission control for one service on one entry: fair, bounded, by priority.

    Usage::

        match admission.offer("lab-7", 3, clock.elapsed(), timedelta(seconds=2)):
            case Admit(ticket): ...
            case Wait(ticket): ...  # until next_admitted or expire return it
            case Shed(retry_after=after, reason=reason): ...

    After each ``offer``, ``finish``, ``refuse`` and ``cancel``, and periodically, the
    caller answers the requests that ``expire`` returns (shed while they waited), and
    calls ``next_admitted`` until it returns None.

    :param limit: concurrency limit, owned by this admission.
    :param rng: source of randomness for the retry-after jitter.
    :param customers: limits and weight of each customer.
    :param make_queue: creates the queue from a function that returns a customer's
        weight.
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
        self._retry_times = RetryTimes(
            rng, self._settings.longest_retry_after, self._settings.retry_after_spread
        )
        self._occupancy = Occupancy(
            self._settings.initial_latency,
            self._settings.latency_smoothing,
            self._settings.latency_window,
        )
        self._running: dict[int, timedelta] = {}
        self._running_by_customer: Counter[str] = Counter()
        self._evicted: dict[int, Shed] = {}
        self._offered = 0
        self._last_empty_at = timedelta()
        self._paused_until = timedelta()

    @property
    def in_flight(self) -> int:
        """Requests that were admitted and have not finished."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Maximum number of requests in flight."""
        return self._limit.value

    @property
    def has_spare_capacity(self) -> bool:
        """Whether few enough requests are in flight to hedge one."""
        maximum = self._limit.share * self._settings.spare_share
        return not self._queue and self.in_flight <= maximum

    @property
    def shares(self) -> DemandShares:
        """Customer demand reported by peers; divides the rate limits."""
        return self._customers.shares

    def set_customers(self, customers: Mapping[str, CustomerShare]) -> None:
        """Replace the customers after a configuration change."""
        self._customers.set_customers(customers)

    def set_share(self, capacity: int, live_entries: int) -> None:
        """Set the endpoints' capacity and the number of live entries."""
        self._customers.set_live_entries(live_entries)
        self._limit.set_share(capacity, live_entries)

    def offer(
        self, customer: str, priority: int, now: timedelta, remaining: timedelta
    ) -> Admit | Wait | Shed:
        """Admit, queue or shed a new request.

        :param customer: name of the customer.
        :param priority: 0 is the most urgent, 7 the least.
        :param now: elapsed time.
        :param remaining: time until the deadline.
        """
        self._offered += 1
        name = self._customers.name(customer)
        ticket = Ticket(self._offered, name, priority, now, now + remaining)
        self._demand.add(ticket, self._demand_window)
        wait = self._customers.try_take(name, now)
        if wait is not None:
            return Shed(ticket, wait, ShedReason.RATE_LIMIT)
        if not self._queue and self._has_free_slot(now) and self._may_start(name, now):
            self._start(ticket, now)
            return Admit(ticket)
        return self._enqueue(ticket, now)

    def next_admitted(self, now: timedelta) -> Ticket | None:
        """Return the next queued request that may be sent, if any."""
        if not self._queue:
            self._last_empty_at = now
        if not self._has_free_slot(now):
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
        :param latency: time that the request took, without its time in the queue.
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
        """Requeue an admitted request that an endpoint refused to start.

        It is placed ahead of the others of its priority. Nothing is admitted until the
        next success or for the limit's cooldown: otherwise every entry would
        immediately send to the refusing endpoints again.
        """
        self._stop(ticket)
        self._limit.on_refusal(now)
        self._paused_until = now + self._limit.cooldown
        if now - ticket.offered_at > self._max_wait(ticket, now):
            return self._shed(ticket, now, ShedReason.DEADLINE)
        return Wait(ticket, self._queue.requeue(ticket))

    def cancel(self, ticket: Ticket) -> None:
        """Remove a request, queued or admitted, that the caller cancelled."""
        self._stop(ticket)
        self._queue.discard(ticket)
        self._evicted.pop(ticket.number, None)

    def expire(self, now: timedelta) -> tuple[Shed, ...]:
        """Return the queued requests that were shed and must be answered."""
        bound = self._wait_bound(now)
        for ticket in self._queue:
            if now - ticket.offered_at > bound.of(ticket):
                self._queue.discard(ticket)
                shed = self._shed(ticket, now, ShedReason.DEADLINE)
                self._evicted[ticket.number] = shed
        evicted, self._evicted = self._evicted, {}
        return tuple(evicted.values())

    def retry_after(self, now: timedelta) -> timedelta:
        """Return the retry-after time for a request that failed."""
        return self._retry_times.reserve(now, len(self._queue), self._rate)

    @property
    def _rate(self) -> float:
        """Requests per second that this entry completes at full load."""
        return self._limit.value / self._occupancy.mean.total_seconds()

    @property
    def _demand_window(self) -> timedelta:
        return self._occupancy.mean * self._settings.demand_window

    def _enqueue(self, ticket: Ticket, now: timedelta) -> Wait | Shed:
        position = self._queue.position(ticket)
        if self._expected_wait(ticket, position) > self._max_wait(ticket, now):
            return self._shed(ticket, now, ShedReason.DEADLINE)
        self._queue.add(ticket, position)
        if len(self._queue) <= self._max_queue_length():
            return Wait(ticket, position)
        evicted = self._queue.evict()
        shed = self._shed(evicted, now, ShedReason.QUEUE_FULL)
        if evicted is ticket:
            return shed
        self._evicted[evicted.number] = shed
        return Wait(ticket, position)

    def _has_free_slot(self, now: timedelta) -> bool:
        return now >= self._paused_until and self.in_flight < self._limit.value

    def _may_start(self, customer: str, now: timedelta) -> bool:
        maximum = self._customers.max_in_flight(customer, now)
        return maximum is None or self._running_by_customer[customer] < maximum

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

    def _max_queue_length(self) -> int:
        return max(int(self._limit.value * self._settings.queue_per_slot), 1)

    def _max_wait(self, ticket: Ticket, now: timedelta) -> timedelta:
        if not self._queue:
            self._last_empty_at = now
        return self._wait_bound(now).of(ticket)

    def _wait_bound(self, now: timedelta) -> "_WaitBound":
        quantile = self._settings.latency_quantile
        return _WaitBound(
            needed=self._occupancy.quantile(quantile),
            standing_for=now - self._last_empty_at,
            settings=self._settings,
        )

    def _expected_wait(self, ticket: Ticket, ahead: int) -> timedelta:
        """Return the expected wait of a request.

        More urgent requests of its customer that arrive while it waits go first, so the
        wait is unbounded if they use up the customer's share.
        """
        cost = self._occupancy.of(ticket.customer).total_seconds()
        customer_rate = self._limit.value / cost * self._queue.share(ticket.customer)
        urgent_rate = self._demand.more_urgent_rate(ticket, self._demand_window)
        if urgent_rate >= customer_rate:
            return timedelta.max
        work = self._queue.work_before(ticket, ahead, self._slot_time) + cost
        seconds = work / self._limit.value / (1 - urgent_rate / customer_rate)
        # If more urgent requests use almost all of the customer's rate, the quotient
        # exceeds timedelta's range.
        if seconds >= timedelta.max.total_seconds():
            return timedelta.max
        return timedelta(seconds=seconds)

    def _slot_time(self, ticket: Ticket) -> float:
        return self._occupancy.of(ticket.customer).total_seconds()

    def _shed(self, ticket: Ticket, now: timedelta, reason: ShedReason) -> Shed:
        return Shed(ticket, self.retry_after(now), reason)
