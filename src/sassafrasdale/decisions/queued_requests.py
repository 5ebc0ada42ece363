"""Requests in the queue of a service, and what the queue says of them."""

from dataclasses import dataclass
from datetime import timedelta
from typing import TypeAlias

# Gateway, the gateway's incarnation, and number of the attempt there.
RequestKey: TypeAlias = tuple[str, int, int]


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits for an endpoint.

    :param key: its gateway, the gateway's incarnation, and the number of the attempt.
    :param priority: 0 is the most urgent.
    :param arrived_at: elapsed time of its caller's first attempt, as estimated.
    :param objective_at: elapsed time by which its response should begin.
    :param deadline: elapsed time at which its caller leaves.
    :param cost: endpoint time that it takes.
    :param delay: time besides its cost that it spends at its endpoint.
    """

    key: RequestKey
    customer: str
    priority: int
    arrived_at: timedelta
    objective_at: timedelta
    deadline: timedelta
    cost: timedelta
    delay: timedelta = timedelta()

    @property
    def start_by(self) -> timedelta:
        """Latest elapsed time at which it can start and still be on time."""
        return min(self.objective_at, self.deadline) - self.delay - self.cost

    @property
    def late_start_by(self) -> timedelta:
        """Latest elapsed time at which it can start while its caller waits."""
        return self.deadline - self.delay - self.cost


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why a request is rejected; it has not run.

    :param retry_after: time after which its caller should come back.
    :param expected_wait: time that it would have waited; None without a bound.
    :param ahead: cost of what was ahead of it.
    :param capacity: endpoint time per second that the queue gets.
    """

    reason: str
    retry_after: timedelta
    expected_wait: timedelta | None = None
    ahead: timedelta = timedelta()
    capacity: float = 0.0

    @property
    def inputs(self) -> str:
        """What decided, for logs."""
        wait = "unbounded"
        if self.expected_wait is not None:
            wait = f"{self.expected_wait.total_seconds():.3f} s"
        return (
            f"expected wait {wait}, ahead {self.ahead.total_seconds():.3f} s,"
            f" capacity {self.capacity:.2f}"
        )


@dataclass(frozen=True, slots=True)
class CustomerQueue:
    """A customer's part of a queue.

    :param owed: share of the capacity by its weight, among the customers with requests.
    :param got: its share of the cost started in the last seconds.
    """

    customer: str
    waiting: int
    owed: float
    got: float


@dataclass(frozen=True, slots=True)
class QueueSnapshot:
    """State of a queue, for operators.

    :param waiting: number of requests on time, by priority.
    :param late: number of requests that miss their objectives.
    :param oldest: time since the arrival of the oldest request.
    """

    waiting: dict[int, int]
    late: int
    oldest: timedelta
    customers: tuple[CustomerQueue, ...]
