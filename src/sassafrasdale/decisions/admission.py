"""Admission of requests to one service on one entry.

Each service has an ``Admission`` of its own, so lookups never queue behind
generations. Entries share no counter: the limit on requests in flight comes
from the entry's share of the capacity, corrected by what endpoints refuse.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from math import exp
from random import Random

from sassafrasdale.decisions.backoff import spread_retry_after
from sassafrasdale.decisions.latencies import LatencyWindow
from sassafrasdale.decisions.limits import ConcurrencyLimit, TokenBucket

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


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Constants of admission.

    :param queue_per_slot: waiting requests allowed per request in flight.
    :param latency_smoothing: weight of a new latency in the moving mean.
    :param latency_window: latencies kept for the quantile.
    :param latency_quantile: quantile of the latencies that must still fit before
        the deadline when a request leaves the queue.
    :param wait_share: largest share of the time until its deadline for which a
        request waits once the queue is standing.
    :param standing: time for which the queue was never empty after which it is
        standing, as a share of the time that a request has.
    :param demand_window: time over which arrivals are counted, in mean latencies.
    :param longest_retry_after: longest time to come back that is given.
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
    spare_share: float = 1.2
    initial_latency: timedelta = timedelta(milliseconds=100)


class Demand:
    """Arrival rates by customer and priority, with exponential decay."""

    def __init__(self) -> None:
        self._counts: dict[str, list[float]] = {}
        self._updated: dict[str, timedelta] = {}

    def add(self, ticket: Ticket, window: float) -> None:
        """Record an arrival.

        :param window: seconds over which arrivals are counted.
        """
        counts = self._counts.setdefault(ticket.customer, [0.0] * 8)
        last = self._updated.get(ticket.customer, ticket.offered_at)
        decay = exp(-(ticket.offered_at - last).total_seconds() / window)
        for priority in range(8):
            counts[priority] *= decay
        counts[ticket.priority] += 1
        self._updated[ticket.customer] = ticket.offered_at

    def rate_above(self, ticket: Ticket, window: float) -> float:
        """Return arrivals per second of the customer that go before a ticket."""
        return sum(self._counts[ticket.customer][: ticket.priority]) / window


class Admission:
    """Admission to one service on one entry: fair, bounded and by priority.

    Usage::

        match admission.offer("lab-7", 3, clock.elapsed(), timedelta(seconds=2)):
            case Admit(ticket): ...
            case Wait(ticket): ...  # until next_admitted or expire return it
            case Shed(retry_after=after, reason=reason): ...

    After each ``offer``, ``finish`` and ``cancel`` the caller drains ``expire``
    (requests turned away while they waited) and then ``next_admitted``.

    :param limit: limit on requests in flight, owned by this admission.
    :param rng: source of randomness, to spread the times to come back.
    """

    def __init__(
        self,
        limit: ConcurrencyLimit,
        rng: Random,
        customers: Mapping[str, CustomerShare] | None = None,
        settings: AdmissionSettings | None = None,
    ) -> None:
        self._limit = limit
        self._rng = rng
        self._settings = settings or AdmissionSettings()
        self._customers: dict[str, CustomerShare] = dict(customers or {})
        self._live_entries = 1
        self._buckets: dict[str, TokenBucket] = {}
        self._waiting: dict[str, list[Ticket]] = {}
        self._running: dict[int, Ticket] = {}
        self._virtual: dict[str, float] = {}
        self._virtual_now = 0.0
        self._costs: dict[str, float] = {}
        self._latency = self._settings.initial_latency
        self._latencies = LatencyWindow(self._settings.latency_window)
        self._latencies.add(self._latency)
        self._demand = Demand()
        self._paused_until = timedelta()
        self._empty_at = timedelta()
        self._returning = 0.0
        self._returning_at = timedelta()
        self._displaced: list[Shed] = []
        self._offered = 0

    @property
    def in_flight(self) -> int:
        """Requests that were admitted and haven't finished."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return sum(len(queue) for queue in self._waiting.values())

    @property
    def has_spare_room(self) -> bool:
        """Whether few enough requests are in flight to send one of them twice."""
        most = self._limit.share * self._settings.spare_share
        return not self._waiting and self.in_flight <= most

    @property
    def limit(self) -> int:
        """Requests that may be in flight."""
        return self._limit.value

    def set_customers(self, customers: Mapping[str, CustomerShare]) -> None:
        """Take the customers of a new revision of the text."""
        self._customers = dict(customers)
        self._buckets.clear()

    def set_share(self, capacity: int, live_entries: int) -> None:
        """Take the endpoints' capacity and the number of live entries."""
        self._live_entries = max(live_entries, 1)
        self._limit.set_share(capacity, live_entries)
        for name, bucket in self._buckets.items():
            rate = self._customers[name].requests_per_second
            bucket.set_rate(rate, self._live_entries)

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
        ticket = Ticket(self._offered, customer, priority, now, now + remaining)
        self._demand.add(ticket, self._demand_seconds())
        bucket = self._bucket(customer)
        if bucket is not None and not bucket.try_take(now):
            return self._shed(ticket, bucket.wait(now), ShedReason.RATE_LIMIT)
        if not self.waiting and now >= self._paused_until and self._has_room(customer):
            self._start(ticket)
            return Admit(ticket)
        queue = self._waiting.setdefault(customer, [])
        position = sum(other.priority <= priority for other in queue)
        if self._expected_wait(ticket, position) > self._longest_wait(ticket, now):
            if not queue:
                del self._waiting[customer]
            return self._shed(ticket, self._return_time(now), ShedReason.DEADLINE)
        queue.insert(position, ticket)
        self._virtual[customer] = max(
            self._virtual.get(customer, 0.0), self._virtual_now
        )
        if self.waiting > self._longest_queue():
            worst = self._displace()
            if worst is ticket:
                return self._shed(ticket, self._return_time(now), ShedReason.QUEUE_FULL)
            self._displaced.append(
                self._shed(worst, self._return_time(now), ShedReason.QUEUE_FULL)
            )
        return Wait(ticket, position)

    def next_admitted(self, now: timedelta) -> Ticket | None:
        """Return the next waiting request that may go to an endpoint, if any."""
        if now < self._paused_until:
            return None
        if not self._waiting:
            self._empty_at = now
        ready = [name for name in self._waiting if self._has_room(name)]
        if not ready:
            return None
        customer = min(ready, key=lambda name: (self._virtual[name], name))
        ticket = self._take(customer, 0)
        self._start(ticket)
        return ticket

    def finish(
        self, ticket: Ticket, now: timedelta, ok: bool, latency: timedelta
    ) -> None:
        """Record the end of an admitted request.

        :param ok: False if the endpoint refused it or was overloaded.
        """
        if self._running.pop(ticket.number, None) is None:
            return
        if not ok:
            self._limit.on_refusal(now)
            return
        self._paused_until = now
        self._limit.on_success(self.in_flight, latency)
        self._latency += (latency - self._latency) * self._settings.latency_smoothing
        self._latencies.add(latency)
        mean = self._cost(ticket.customer)
        change = latency.total_seconds() - mean
        self._costs[ticket.customer] = mean + change * self._settings.latency_smoothing

    def refuse(self, ticket: Ticket, now: timedelta) -> Wait | Shed:
        """Take back an admitted request that an endpoint refused to start.

        It goes first among those of its priority. The queue holds still until
        the next success or for a part of the usual latency: endpoints that
        refuse would otherwise be asked again at once, by every entry.
        """
        self._running.pop(ticket.number, None)
        self._limit.on_refusal(now)
        self._paused_until = now + self._limit.cooldown
        if now - ticket.offered_at > self._longest_wait(ticket, now):
            return self._shed(ticket, self._return_time(now), ShedReason.DEADLINE)
        queue = self._waiting.setdefault(ticket.customer, [])
        position = sum(other.priority < ticket.priority for other in queue)
        queue.insert(position, ticket)
        return Wait(ticket, position)

    def retry_after(self, now: timedelta) -> timedelta:
        """Return when it is worth coming back after a failure."""
        return spread_retry_after(self._return_time(now), self._rng)

    def cancel(self, ticket: Ticket) -> None:
        """Forget a request, waiting or admitted, that the caller gave up."""
        self._running.pop(ticket.number, None)
        queue = self._waiting.get(ticket.customer, [])
        if ticket in queue:
            self._take(ticket.customer, queue.index(ticket))

    def expire(self, now: timedelta) -> tuple[Shed, ...]:
        """Return the waiting requests that are turned away and must be answered."""
        for customer, queue in list(self._waiting.items()):
            for ticket in list(queue):
                if now - ticket.offered_at > self._longest_wait(ticket, now):
                    self._take(customer, queue.index(ticket))
                    self._displaced.append(
                        self._shed(ticket, self._return_time(now), ShedReason.DEADLINE)
                    )
        displaced, self._displaced = self._displaced, []
        return tuple(displaced)

    @property
    def _needed(self) -> timedelta:
        """Time that a request must still have when it leaves the queue."""
        return self._latencies.quantile(self._settings.latency_quantile)

    def _share_of(self, customer: str) -> CustomerShare:
        return self._customers.get(customer, CustomerShare())

    def _bucket(self, customer: str) -> TokenBucket | None:
        rate = self._share_of(customer).requests_per_second
        if rate is None:
            return None
        if customer not in self._buckets:
            self._buckets[customer] = TokenBucket(rate, self._live_entries)
        return self._buckets[customer]

    def _has_room(self, customer: str) -> bool:
        if self.in_flight >= self._limit.value:
            return False
        most = self._share_of(customer).max_in_flight
        if most is None:
            return True
        own = sum(other.customer == customer for other in self._running.values())
        return own < max(most / self._live_entries, 1)

    def _start(self, ticket: Ticket) -> None:
        weight = self._share_of(ticket.customer).weight
        start = max(self._virtual.get(ticket.customer, 0.0), self._virtual_now)
        self._virtual_now = start
        cost = self._cost(ticket.customer)
        self._virtual[ticket.customer] = start + cost / weight
        self._running[ticket.number] = ticket

    def _take(self, customer: str, index: int) -> Ticket:
        ticket = self._waiting[customer].pop(index)
        if not self._waiting[customer]:
            del self._waiting[customer]
        return ticket

    def _longest_queue(self) -> int:
        return max(int(self._limit.value * self._settings.queue_per_slot), 1)

    def _displace(self) -> Ticket:
        def backlog(name: str) -> tuple[float, str]:
            return len(self._waiting[name]) / self._share_of(name).weight, name

        return self._take(max(self._waiting, key=backlog), -1)

    def _cost(self, customer: str) -> float:
        return self._costs.get(customer, self._latency.total_seconds())

    def _rate(self) -> float:
        return self._limit.value / max(self._latency.total_seconds(), 1e-6)

    def _longest_wait(self, ticket: Ticket, now: timedelta) -> timedelta:
        remaining = ticket.deadline - ticket.offered_at
        useful = remaining - self._needed
        if not self._waiting:
            self._empty_at = now
        if now - self._empty_at < remaining * self._settings.standing:
            return useful
        return min(useful, remaining * self._settings.wait_share)

    def _expected_wait(self, ticket: Ticket, ahead: int) -> timedelta:
        weight = self._share_of(ticket.customer).weight
        total = sum(self._share_of(name).weight for name in self._waiting)
        cost = self._cost(ticket.customer)
        share = self._limit.value / cost * weight / total
        urgent = self._demand.rate_above(ticket, self._demand_seconds())
        if urgent >= share:
            return timedelta.max
        return timedelta(seconds=(ahead + 1) / (share - urgent))

    def _demand_seconds(self) -> float:
        return self._latency.total_seconds() * self._settings.demand_window

    def _return_time(self, now: timedelta) -> timedelta:
        """Return when the service has room for one more that comes back.

        Requests that were told to come back are counted as a queue of their own
        that drains at the service's rate: with the same time for all they would
        come back together and be turned away again.
        """
        drained = (now - self._returning_at).total_seconds() * self._rate()
        most = self._settings.longest_retry_after.total_seconds() * self._rate()
        self._returning = min(max(self._returning - drained, 0.0) + 1, most)
        self._returning_at = now
        return timedelta(seconds=(self.waiting + self._returning) / self._rate())

    def _shed(self, ticket: Ticket, after: timedelta, reason: ShedReason) -> Shed:
        return Shed(ticket, spread_retry_after(after, self._rng), reason)
