"""Queue of a service's requests that wait for an endpoint with room.

Workload: up to five times what the endpoints can do, by callers of many customers and
of several priorities, some of whom send six times their usual; and bursts of a few
seconds. Each request has an objective, within which its response should begin, and a
deadline, after which nobody waits for it.

A request that would miss its objective goes behind all that can meet theirs, and one
that would miss its deadline is rejected at once. So what waits is little, and what the
endpoints begin is on time. A queue is standing if it has not been empty for a while, as
in CoDel; a burst drains sooner. Customers share by start-time fair queueing on what
their requests cost, as virtual token counters do.
"""

from collections.abc import Callable, Iterable, Iterator
from datetime import timedelta
from itertools import chain
from math import inf
from random import Random

from sassafrasdale.decisions.drain_rates import DrainRate
from sassafrasdale.decisions.fairness import FairQueue
from sassafrasdale.decisions.queued_requests import (
    CustomerQueue,
    QueuedRequest,
    QueueSnapshot,
    Rejection,
    RequestKey,
)
from sassafrasdale.decisions.rates import DecayingRates
from sassafrasdale.decisions.retry_times import RetryTimes
from sassafrasdale.decisions.standing_queues import longest_wait

# Fraction of what is started that a less urgent priority gets while it has requests
# waiting, so that more urgent ones can't starve it.
MIN_PRIORITY_SHARE = 0.2
# Share of the capacity taken by requests that go ahead, from which on a wait counts as
# unbounded. Below 1, because the arrival rate is an estimate.
FULL_SHARE = 0.85
# Callers heed a Retry-After up to this fraction of the time that they have left.
RETRY_AFTER_FRACTION = 1 / 3
MIN_RETRY_AFTER = timedelta(milliseconds=50)
# Longest time for which retries are spread over the queue's drain, and their jitter.
MAX_RETRY_AFTER = timedelta(seconds=30)
RETRY_AFTER_SPREAD = 0.5
# Time over which arrivals and the shares of priorities are averaged.
RECENT_TIME = timedelta(milliseconds=500)
# Time over which customers' shares are averaged for operators.
SHARES_TIME = timedelta(seconds=10)
# A queue never counts as slower than this fraction of what its endpoints should do.
MIN_CAPACITY_FRACTION = 0.1
# Lower bound in endpoint seconds per second, so that waits stay finite.
MIN_CAPACITY = 0.1
# Shortest cost of a request that counts.
MIN_COST = timedelta(milliseconds=1)
# Cost per second from which on a customer without waiting requests is shown.
MIN_SHOWN_RATE = 1e-3

UNBOUNDED = timedelta.max

WOULD_MISS_DEADLINE = "would miss its deadline"
DEADLINE_UNREACHABLE = "deadline can't be met any more"


class ServiceQueue:
    """Requests of one service that wait at one dispatcher.

    Usage::

        rejection = queue.offer(request, now, capacity)
        for waiting in queue.candidates(now):
            ...  # go on if no endpoint has room for it, else send it
            queue.start(waiting, now)
            break

    :param weight: returns a customer's weight.
    :param rng: source of randomness for Retry-After.
    """

    def __init__(self, weight: Callable[[str], float], rng: Random) -> None:
        self._weight = weight
        self._rng = rng
        self._on_time: dict[int, FairQueue[QueuedRequest]] = {}
        self._late: FairQueue[QueuedRequest] = FairQueue(weight)
        self._requests: dict[RequestKey, QueuedRequest] = {}
        self._late_keys: set[RequestKey] = set()
        # Elapsed times since which the queues of the priorities are not empty.
        self._waiting_since: dict[int, timedelta] = {}
        self._drain = DrainRate()
        self._arriving: DecayingRates[int] = DecayingRates(RECENT_TIME)
        self._started: DecayingRates[int] = DecayingRates(RECENT_TIME)
        self._got: DecayingRates[str] = DecayingRates(SHARES_TIME)
        self._retry_times = RetryTimes(rng, MAX_RETRY_AFTER, RETRY_AFTER_SPREAD)

    def __len__(self) -> int:
        return len(self._requests)

    def offer(
        self, request: QueuedRequest, now: timedelta, capacity: float
    ) -> Rejection | None:
        """Queue a request, or reject it.

        :param capacity: endpoint time per second that the queue's endpoints give.
        :returns: None if it waits.
        """
        capacity = self._capacity(now, capacity)
        on_time = self._is_on_time(request, now, capacity)
        if now < request.start_by:
            # Rejected ones count too: late ones are rejected while the demand that
            # could be on time exceeds the capacity.
            self._arriving.add(request.priority, now, _seconds(request))
        if on_time:
            self._add(request, now)
            return None
        wait = self._late_wait(self._queued_cost(), now, capacity)
        if wait < self._longest_late_wait(request, now):
            self._add_late(request, now)
            return None
        return self._reject(request, WOULD_MISS_DEADLINE, wait, now, capacity)

    def candidates(self, now: timedelta) -> Iterator[QueuedRequest]:
        """Yield the waiting requests in the order in which they should start.

        Those that would miss their deadlines are left for :meth:`expire`, which runs
        less often. The queue must not change during the iteration.
        """
        on_time = (
            _in_fair_order(self._on_time[priority])
            for priority in self._priority_order(now)
        )
        for request in chain(*on_time, _in_fair_order(self._late)):
            if now <= request.late_start_by:
                yield request

    def start(self, request: QueuedRequest, now: timedelta) -> None:
        """Record that a waiting request was sent to an endpoint, and remove it."""
        seconds = _seconds(request)
        queue = self._queue_of(request)
        self._drain.record_start(request.cost, now)
        self.remove(request.key, now)
        if queue is not self._late:
            self._started.add(request.priority, now, seconds)
        queue.charge(request.customer, seconds)
        self._got.add(request.customer, now, seconds)

    def remove(self, key: RequestKey, now: timedelta) -> None:
        """Remove a request whose caller or gateway has left, if it waits."""
        request = self._requests.get(key)
        if request is None:
            return
        self._queue_of(request).discard(request)
        del self._requests[key]
        self._late_keys.discard(key)
        self._drain.set_backlogged(bool(self._requests), now)

    def expire(
        self, now: timedelta, capacity: float
    ) -> list[tuple[QueuedRequest, Rejection]]:
        """Remove and return the late requests that can't be started in time."""
        capacity = self._capacity(now, capacity)
        for queue in list(self._on_time.values()):
            for request in list(queue):
                if now > request.start_by:
                    queue.discard(request)
                    self._insert_late(request)
        rejected = []
        ahead = self._on_time_cost()
        for request in list(_in_fair_order(self._late)):
            wait = self._late_wait(ahead, now, capacity)
            if wait < request.late_start_by - now:
                ahead += request.cost
                continue
            self.remove(request.key, now)
            rejection = self._reject(request, DEADLINE_UNREACHABLE, wait, now, capacity)
            rejected.append((request, rejection))
        return rejected

    def snapshot(self, now: timedelta) -> QueueSnapshot:
        """Return the state of the queue, for operators."""
        arrivals = [request.arrived_at for request in self._requests.values()]
        return QueueSnapshot(
            {priority: len(queue) for priority, queue in self._on_time.items()},
            len(self._late),
            now - min(arrivals, default=now),
            tuple(self._customer_queues(now)),
        )

    def _customer_queues(self, now: timedelta) -> Iterator[CustomerQueue]:
        waiting = {
            name: 0
            for name in self._got.keys
            if self._got.rate(name, now) >= MIN_SHOWN_RATE
        }
        for request in self._requests.values():
            waiting[request.customer] = waiting.get(request.customer, 0) + 1
        rates = {name: self._got.rate(name, now) for name in waiting}
        total = sum(rates.values()) or 1.0
        weights = sum(self._weight(name) for name in waiting)
        for name in sorted(waiting):
            yield CustomerQueue(
                name,
                waiting[name],
                self._weight(name) / weights,
                rates[name] / total,
            )

    def _capacity(self, now: timedelta, capacity: float) -> float:
        """Return the measured capacity, or the expected one without a measurement."""
        measured = self._drain.rate(now)
        if measured is None:
            return max(capacity, MIN_CAPACITY)
        return max(measured, capacity * MIN_CAPACITY_FRACTION, MIN_CAPACITY)

    def _is_on_time(
        self, request: QueuedRequest, now: timedelta, capacity: float
    ) -> bool:
        left = request.start_by - now
        if left <= timedelta():
            return False
        longest = longest_wait(
            left,
            request.start_by + request.cost - request.arrived_at,
            self._standing_time(request.priority, now),
        )
        return self._on_time_wait(request, now, capacity) <= longest

    def _standing_time(self, priority: int, now: timedelta) -> timedelta:
        """Return for how long requests of a priority, or more urgent ones, have waited.

        The queue of less urgent ones may stand for long beside them.
        """
        since = [
            self._waiting_since[other]
            for other in self._waiting_priorities()
            if other <= priority
        ]
        return now - min(since, default=now)

    def _waiting_priorities(self) -> list[int]:
        """Return the priorities with requests on time that wait, the urgent first."""
        return sorted(priority for priority, queue in self._on_time.items() if queue)

    def _longest_late_wait(self, request: QueuedRequest, now: timedelta) -> timedelta:
        return longest_wait(
            request.late_start_by - now,
            request.late_start_by + request.cost - request.arrived_at,
            self._drain.backlog_time(now),
        )

    def _on_time_wait(
        self, request: QueuedRequest, now: timedelta, capacity: float
    ) -> timedelta:
        """Return the time that a new request is expected to wait."""
        if not self._requests:
            return timedelta()
        priority = request.priority
        waiting = self._waiting_priorities()
        more_urgent = [other for other in waiting if other < priority]
        less_urgent = [other for other in waiting if other > priority]
        own = self._fair_cost_ahead(request)
        ahead = own + sum((self._cost_of(other) for other in more_urgent), timedelta())
        least = _least_share(len(more_urgent) + len(less_urgent))
        remaining = capacity * (1 - least * len(less_urgent))
        urgent_rate = self._arrival_rate(now, below=priority)
        wait = _drain_time(ahead, remaining, urgent_rate)
        if not urgent_rate and not more_urgent:
            return wait
        return min(wait, own / (capacity * least))

    def _late_wait(
        self, ahead: timedelta, now: timedelta, capacity: float
    ) -> timedelta:
        """Return the time that a request behind all on-time ones is expected to wait.

        Unbounded if requests that can be on time take all of the capacity: starting a
        late one would delay them.

        :param ahead: cost of what is ahead of it.
        """
        arriving = self._arrival_rate(now)
        if self._drain.has_stood(now) and arriving >= FULL_SHARE * capacity:
            return UNBOUNDED
        return _drain_time(ahead, capacity, arriving)

    def _arrival_rate(self, now: timedelta, below: float = inf) -> float:
        """Return the cost per second that arrives, of priorities below a number."""
        return sum(
            self._arriving.rate(priority, now)
            for priority in self._arriving.keys
            if priority < below
        )

    def _fair_cost_ahead(self, request: QueuedRequest) -> timedelta:
        """Return the cost that goes ahead of a new request of its priority."""
        queue = self._on_time.get(request.priority)
        if not queue:
            return timedelta()
        seconds = queue.work_before(request, _position(queue, request), _seconds)
        return timedelta(seconds=seconds)

    def _priority_order(self, now: timedelta) -> list[int]:
        """Return the priorities with waiting requests, the next one first."""
        waiting = self._waiting_priorities()
        if len(waiting) < 2:
            return waiting
        rates = {priority: self._started.rate(priority, now) for priority in waiting}
        least = sum(rates.values()) * _least_share(len(waiting) - 1)
        starved = [other for other in waiting[1:] if rates[other] < least]
        return starved + [other for other in waiting if other not in starved]

    def _add(self, request: QueuedRequest, now: timedelta) -> None:
        queue = self._on_time.setdefault(request.priority, FairQueue(self._weight))
        if not queue:
            self._waiting_since[request.priority] = now
        queue.add(request, _position(queue, request))
        self._requests[request.key] = request
        self._drain.set_backlogged(True, now)

    def _add_late(self, request: QueuedRequest, now: timedelta) -> None:
        self._requests[request.key] = request
        self._insert_late(request)
        self._drain.set_backlogged(True, now)

    def _insert_late(self, request: QueuedRequest) -> None:
        self._late_keys.add(request.key)
        self._late.add(request, _position(self._late, request))

    def _queue_of(self, request: QueuedRequest) -> FairQueue[QueuedRequest]:
        if request.key in self._late_keys:
            return self._late
        return self._on_time[request.priority]

    def _cost_of(self, priority: int) -> timedelta:
        return _total_cost(self._on_time[priority])

    def _on_time_cost(self) -> timedelta:
        return sum((self._cost_of(priority) for priority in self._on_time), timedelta())

    def _queued_cost(self) -> timedelta:
        return _total_cost(self._requests.values())

    def _reject(
        self,
        request: QueuedRequest,
        reason: str,
        wait: timedelta,
        now: timedelta,
        capacity: float,
    ) -> Rejection:
        return Rejection(
            reason,
            self._retry_after(request, now, capacity),
            None if wait == UNBOUNDED else wait,
            self._queued_cost(),
            capacity,
        )

    def _retry_after(
        self, request: QueuedRequest, now: timedelta, capacity: float
    ) -> timedelta:
        """Return when the caller should come back: in its turn of the drain."""
        cost = max(request.cost, MIN_COST)
        rate = capacity / cost.total_seconds()
        ahead = int(self._queued_cost() / cost)
        reserved = self._retry_times.reserve(now, ahead, rate)
        left = max(request.deadline - now, timedelta())
        longest = left * RETRY_AFTER_FRACTION
        if reserved > longest:
            # Jitter, so that callers whose turn is too far away don't return together.
            reserved = longest * self._rng.uniform(0.5, 1.0)
        return max(reserved, min(MIN_RETRY_AFTER, longest))


def _in_fair_order(queue: FairQueue[QueuedRequest]) -> Iterator[QueuedRequest]:
    """Yield the first request of each customer in turn, then the second ones."""
    customers = list(queue.customers)
    round_number = 0
    while customers:
        remaining = []
        for name in customers:
            requests = queue.requests_of(name)
            if round_number < len(requests):
                yield requests[round_number]
                remaining.append(name)
        customers = remaining
        round_number += 1


def _position(queue: FairQueue[QueuedRequest], request: QueuedRequest) -> int:
    """Return the position of a request in its customer's queue: by arrival."""
    return sum(
        other.arrived_at <= request.arrived_at
        for other in queue.requests_of(request.customer)
    )


def _seconds(request: QueuedRequest) -> float:
    return request.cost.total_seconds()


def _total_cost(requests: Iterable[QueuedRequest]) -> timedelta:
    return sum((request.cost for request in requests), timedelta())


def _least_share(others: int) -> float:
    """Return the least share of the capacity for a less urgent priority.

    :param others: number of other priorities with waiting requests.
    """
    return min(MIN_PRIORITY_SHARE, (1 - MIN_PRIORITY_SHARE) / max(others, 1))


def _drain_time(ahead: timedelta, capacity: float, arriving: float) -> timedelta:
    """Return the time until a cost has been started.

    :param capacity: endpoint time per second.
    :param arriving: cost per second that arrives and goes ahead.
    """
    if not ahead:
        return timedelta()
    share = arriving / capacity
    if share >= FULL_SHARE:
        return UNBOUNDED
    return ahead / (capacity * (1 - share))
