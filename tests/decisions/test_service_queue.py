"""Waiting, order and rejection of requests when there is too little room."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.decisions.queued_requests import QueuedRequest
from sassafrasdale.decisions.service_queue import ServiceQueue

SECOND = timedelta(seconds=1)
MS = timedelta(milliseconds=1)
OBJECTIVE = 500 * MS
DEADLINE = 3 * SECOND
COST = 25 * MS
ENDPOINTS = 2
# Requests per second that the endpoints can do.
ROOM = ENDPOINTS * SECOND / COST


def queued(
    number: int,
    now: timedelta = timedelta(),
    customer: str = "lab",
    priority: int = 1,
    cost: timedelta = COST,
    objective: timedelta = OBJECTIVE,
) -> QueuedRequest:
    """Return a request that arrives now."""
    return QueuedRequest(
        ("g", 1, number), customer, priority, now, now + objective, now + DEADLINE, cost
    )


@dataclass
class Load:
    """Poisson arrivals of one customer's requests.

    :param per_second: their rate by the second, the last one from then on.
    """

    per_second: tuple[float, ...]
    customer: str = "lab"
    priority: int = 1

    def rate(self, now: timedelta) -> float:
        """Return the rate at a time."""
        return self.per_second[min(int(now / SECOND), len(self.per_second) - 1)]


@dataclass
class Results:
    """What became of the requests, by customer and second of arrival."""

    sent: Counter = field(default_factory=Counter)
    on_time: Counter = field(default_factory=Counter)
    rejected_after: list[timedelta] = field(default_factory=list)
    retry_after: list[timedelta] = field(default_factory=list)

    def share(self, customer: str = "lab", seconds: range = range(100)) -> float:
        """Return the fraction of a customer's requests that was on time."""
        sent = sum(self.sent[customer, second] for second in seconds)
        return sum(self.on_time[customer, second] for second in seconds) / sent

    def done(self, seconds: range) -> float:
        """Return the number of requests on time per second."""
        hits = sum(
            count for (_, second), count in self.on_time.items() if second in seconds
        )
        return hits / len(seconds)


def serve(
    *loads: Load,
    seconds: int = 10,
    seed: int = 1,
    weights: Mapping[str, float] | None = None,
) -> Results:
    """Serve arrivals with endpoints that take the next request when they are free."""
    rng = Random(seed)
    queue = ServiceQueue((weights or {}).get if weights else lambda name: 1.0, rng)
    results = Results()
    now = timedelta()
    due = [timedelta(seconds=rng.expovariate(load.rate(now))) for load in loads]
    free_at = [timedelta()] * ENDPOINTS
    number = 0
    while now < seconds * SECOND:
        for index, load in enumerate(loads):
            while due[index] <= now:
                number += 1
                arrived = queued(number, now, load.customer, load.priority)
                due[index] += timedelta(seconds=rng.expovariate(load.rate(now)))
                results.sent[load.customer, int(now / SECOND)] += 1
                rejection = queue.offer(arrived, now, ENDPOINTS)
                if rejection:
                    results.rejected_after.append(timedelta())
                    results.retry_after.append(rejection.retry_after)
        for rejected, rejection in queue.expire(now, ENDPOINTS):
            results.rejected_after.append(now - rejected.arrived_at)
            results.retry_after.append(rejection.retry_after)
        for index in range(ENDPOINTS):
            request = next(queue.candidates(now), None)
            if request is None or free_at[index] > now:
                continue
            queue.start(request, now)
            free_at[index] = now + request.cost
            if free_at[index] <= request.objective_at:
                key = request.customer, int(request.arrived_at / SECOND)
                results.on_time[key] += 1
        now += MS
    return results


@pytest.mark.parametrize("times", [1.2, 2, 5])
def test_endpoints_work_on_what_is_on_time(times: float) -> None:
    """Guards against a backlog that makes all responses late under overload."""
    results = serve(Load((times * ROOM,)))
    assert results.done(range(1, 9)) >= 0.85 * ROOM


@pytest.mark.parametrize("times", [1.2, 2, 5])
def test_rejections_are_early(times: float) -> None:
    """Guards against requests that wait before they are rejected."""
    rejected = sorted(serve(Load((times * ROOM,))).rejected_after)
    assert rejected[int(len(rejected) * 0.95)] <= OBJECTIVE / 4


def test_callers_come_back_within_their_time_and_not_together() -> None:
    """Guards against retries in waves, and against ones that come too late."""
    retries = serve(Load((2 * ROOM,))).retry_after
    assert max(retries) <= DEADLINE / 3
    by_tenth = Counter(int(retry / (100 * MS)) for retry in retries)
    assert max(by_tenth.values()) <= len(retries) * 0.5


def test_a_burst_drains_within_a_second() -> None:
    """Guards against a backlog that outlasts the burst that caused it."""
    low, high = 0.6 * ROOM, 2.5 * ROOM
    results = serve(Load((low, low, high, high, high, high, low)))
    assert results.share(seconds=range(7, 10)) >= 0.97


def test_a_small_customer_is_served_beside_one_that_asks_for_too_much() -> None:
    """Guards against a customer's surge that others pay for."""
    small = Load((0.1 * ROOM,), "small")
    surging = Load((0.3 * ROOM, 0.3 * ROOM, 1.8 * ROOM), "surging")
    results = serve(small, surging)
    assert results.share("small") >= 0.95


def test_what_one_customer_does_not_use_another_gets() -> None:
    """Guards against shares that stay unused while others wait."""
    results = serve(Load((0.1 * ROOM,), "small"), Load((3 * ROOM,), "large"))
    assert results.done(range(1, 9)) >= 0.85 * ROOM


def test_customers_share_by_weight() -> None:
    """Guards against equal shares for unequal quotas."""
    weights = {"small": 1.0, "large": 3.0}
    results = serve(
        Load((2 * ROOM,), "small"), Load((2 * ROOM,), "large"), weights=weights
    )
    small = sum(n for (name, _), n in results.on_time.items() if name == "small")
    large = sum(n for (name, _), n in results.on_time.items() if name == "large")
    assert 2.4 <= large / small <= 3.6


def test_urgent_requests_go_first() -> None:
    """Guards against urgent requests that queue behind others."""
    results = serve(
        Load((ROOM / 3,), "urgent", priority=0),
        Load((ROOM * 5 / 3,), "other", priority=1),
    )
    assert results.share("urgent") >= 0.97
    assert results.done(range(1, 9)) >= 0.85 * ROOM
    done = sum(n for (name, _), n in results.on_time.items() if name == "other")
    assert done >= 0.9 * ROOM * 2 / 3 * 10


def test_urgent_requests_starve_nobody() -> None:
    """Guards against a priority that gets nothing while more urgent ones wait."""
    results = serve(
        Load((3 * ROOM,), "urgent", priority=0), Load((ROOM,), "other", priority=3)
    )
    done = sum(n for (name, _), n in results.on_time.items() if name == "other")
    assert done >= 0.15 * ROOM * 10


def test_a_request_keeps_its_place_when_it_is_offered_again() -> None:
    """Guards against a place that is lost as the dispatcher changes."""
    queue = ServiceQueue(lambda name: 1.0, Random(1))
    for number in range(3):
        queue.offer(queued(number, 10 * MS), 10 * MS, ENDPOINTS)
    queue.offer(queued(9), 10 * MS, ENDPOINTS)
    assert next(queue.candidates(10 * MS)).key == ("g", 1, 9)


def test_a_caller_that_leaves_gives_its_place_up() -> None:
    """Guards against a queue that keeps what nobody waits for."""
    queue = ServiceQueue(lambda name: 1.0, Random(1))
    queue.offer(queued(1), timedelta(), ENDPOINTS)
    queue.remove(("g", 1, 1), timedelta())
    queue.remove(("g", 1, 1), timedelta())
    assert not len(queue)
    assert next(queue.candidates(timedelta()), None) is None


def test_what_is_late_goes_last_and_is_rejected_when_it_is_hopeless() -> None:
    """Guards against late requests that displace ones that can be on time."""
    queue = ServiceQueue(lambda name: 1.0, Random(1))
    queue.offer(queued(1, objective=10 * MS), timedelta(), ENDPOINTS)
    queue.offer(queued(2, customer="other"), timedelta(), ENDPOINTS)
    assert next(queue.candidates(timedelta())).key == ("g", 1, 2)
    assert queue.expire(DEADLINE - COST, ENDPOINTS)


def test_late_requests_are_served_if_nothing_else_is_there() -> None:
    """Guards against idle endpoints where no request can meet its objective."""
    queue = ServiceQueue(lambda name: 1.0, Random(1))
    accepted = 0
    for number in range(200):
        now = number * COST / ENDPOINTS / 2
        late = queued(number, now, objective=timedelta())
        accepted += queue.offer(late, now, ENDPOINTS) is None
        if number > 10 and number % 2:
            assert _start_next(queue, now)
    assert accepted >= 90


def test_no_late_request_starts_just_before_others_that_are_on_time() -> None:
    """Guards against a late request that takes the place of the next arrivals.

    The queue drains for a moment, and one that can be on time comes every 5 ms.
    """
    queue = ServiceQueue(lambda name: 1.0, Random(1))
    for number in range(400):
        now = number * COST / ENDPOINTS / 2.5
        queue.offer(queued(number, now), now, ENDPOINTS)
        if number % 5 < 2:
            _start_next(queue, now)
    while len(queue):
        assert _start_next(queue, now)
    late = queued(1000, now, objective=timedelta())
    assert queue.offer(late, now, ENDPOINTS) is not None
    later = now + 3 * SECOND
    late = queued(1001, later, objective=timedelta())
    assert queue.offer(late, later, ENDPOINTS) is None


def _start_next(queue: ServiceQueue, now: timedelta) -> bool:
    queue.expire(now, ENDPOINTS)
    request = next(queue.candidates(now), None)
    if request is not None:
        queue.start(request, now)
    return request is not None


def test_a_request_that_would_miss_its_deadline_is_not_started() -> None:
    """Guards against work in vain between two checks of the deadlines."""
    queue = ServiceQueue(lambda name: 1.0, Random(1))
    late = queued(1, objective=timedelta())
    assert queue.offer(late, timedelta(), ENDPOINTS) is None
    assert list(queue.candidates(late.late_start_by)) == [late]
    assert not list(queue.candidates(late.late_start_by + MS))


def test_what_misses_its_deadline_before_it_is_late_is_not_started() -> None:
    """Guards against a start between two expiries where the deadline is the goal."""
    queue = ServiceQueue(lambda name: 1.0, Random(1))
    request = queued(1, objective=DEADLINE)
    assert queue.offer(request, request.arrived_at, 1.0) is None
    assert list(queue.candidates(request.start_by)) == [request]
    assert not list(queue.candidates(request.start_by + MS))


def test_the_whole_time_at_an_endpoint_counts() -> None:
    """Guards against requests that begin in time, and end after their callers left.

    A plain endpoint runs several at once, so each takes longer than it costs.
    """
    queue = ServiceQueue(lambda name: 1.0, Random(1))
    request = replace(queued(1), delay=300 * MS, deadline=320 * MS)
    assert queue.offer(request, timedelta(), ENDPOINTS) is not None


def test_a_snapshot_shows_who_waits_and_what_each_is_owed() -> None:
    """Guards against a queue that operators can't see into."""
    weights = {"small": 1.0, "large": 3.0}
    queue = ServiceQueue(weights.get, Random(1))
    queue.offer(queued(1, customer="small"), timedelta(), ENDPOINTS)
    queue.offer(queued(2, customer="large", priority=0), timedelta(), ENDPOINTS)
    shown = queue.snapshot(SECOND)
    assert shown.waiting == {0: 1, 1: 1}
    assert shown.oldest == SECOND
    owed = {customer.customer: customer.owed for customer in shown.customers}
    assert owed == {"small": 0.25, "large": 0.75}


def test_a_request_waits_no_longer_than_its_caller() -> None:
    """Guards against a request that keeps its place after its caller has left.

    Its caller waits for a shorter time than the objective of its route.
    """
    queue = ServiceQueue(lambda name: 1.0, Random(1))
    first, second = (
        replace(queued(number), deadline=100 * MS) for number in range(1, 3)
    )
    assert queue.offer(first, timedelta(), ENDPOINTS) is None
    assert queue.offer(second, 90 * MS, ENDPOINTS) is not None
    [(expired, _)] = queue.expire(90 * MS, ENDPOINTS)
    assert expired is first


@pytest.mark.parametrize("left", [-20, 5, 60, 140])
def test_a_caller_with_little_time_left_can_retry_in_it(left: int) -> None:
    """Guards against a Retry-After of most of the time that a caller has left."""
    queue = ServiceQueue(lambda name: 1.0, Random(1))
    request = replace(queued(1, cost=SECOND), deadline=left * MS)
    rejection = queue.offer(request, timedelta(), ENDPOINTS)
    assert timedelta() <= rejection.retry_after <= max(left, 0) * MS / 3


@pytest.mark.parametrize("priorities", [6, 9])
def test_any_number_of_priorities_can_wait(priorities: int) -> None:
    """Guards against more priorities than there are guaranteed shares."""
    queue = ServiceQueue(lambda name: 1.0, Random(1))
    for number in range(20 * priorities):
        queue.offer(queued(number, priority=number % priorities), timedelta(), 1)
    assert timedelta() < len(queue) * COST <= DEADLINE
