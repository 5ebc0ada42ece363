"""Queue of waiting requests with weighted fair queueing.

Customers are served by the slot time that their requests occupy, divided by their
weight. Within a customer the order is by priority, then by arrival, so that a customer
gains nothing over others by marking everything as urgent.
"""

from collections.abc import Callable, Iterator, Sequence
from typing import Generic, Protocol, TypeVar


class Queueable(Protocol):
    """A request that can be queued; lower numbers of priority are more urgent."""

    @property
    def customer(self) -> str:
        """Name of its customer."""

    @property
    def priority(self) -> int:
        """Its priority within its customer."""


QueueableT = TypeVar("QueueableT", bound=Queueable)


class FairQueue(Generic[QueueableT]):
    """Queued requests of one service.

    :param weight: returns a customer's weight.
    """

    def __init__(self, weight: Callable[[str], float]) -> None:
        self._weight = weight
        self._queues: dict[str, list[QueueableT]] = {}
        self._size = 0
        self._virtual_finish: dict[str, float] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[QueueableT]:
        for queue in list(self._queues.values()):
            yield from list(queue)

    @property
    def customers(self) -> Sequence[str]:
        """Customers with queued requests, the next one first."""
        return sorted(self._queues, key=self._turn)

    def requests_of(self, customer: str) -> Sequence[QueueableT]:
        """Return a customer's requests in their order."""
        return self._queues.get(customer, ())

    def position(self, ticket: QueueableT) -> int:
        """Return how many of the customer's requests are ahead of a new one."""
        queue = self._queues.get(ticket.customer, ())
        return sum(other.priority <= ticket.priority for other in queue)

    def share(self, customer: str) -> float:
        """Return the customer's fraction of the slots among the queued customers."""
        names = {customer, *self._queues}
        return self._weight(customer) / sum(self._weight(name) for name in names)

    def work_before(
        self, ticket: QueueableT, position: int, cost: Callable[[QueueableT], float]
    ) -> float:
        """Return the slot time, in seconds, that is served before a new request.

        :param position: position of the request in its customer's queue.
        :param cost: returns the seconds that a request occupies a slot.
        """
        own = ticket.customer
        work = sum(map(cost, self.requests_of(own)[:position]))
        start = self.start_of(own) + work / self._weight(own)
        for name, queue in self._queues.items():
            if name == own:
                continue
            lead = max(start - self.start_of(name), 0.0)
            # The request of another customer that is next is always served before.
            served = lead * self._weight(name) + cost(queue[0])
            work += min(served, sum(map(cost, queue)))
        return work

    def add(self, ticket: QueueableT, position: int) -> None:
        """Insert a request at a position in its customer's queue."""
        self._queues.setdefault(ticket.customer, []).insert(position, ticket)
        self._size += 1

    def requeue(self, ticket: QueueableT) -> int:
        """Insert a request ahead of its priority; return its position."""
        queue = self._queues.get(ticket.customer, ())
        position = sum(other.priority < ticket.priority for other in queue)
        self.add(ticket, position)
        return position

    def take(self, allowed: Callable[[str], bool]) -> QueueableT | None:
        """Remove and return the next request of a customer that is allowed."""
        ready = [name for name in self._queues if allowed(name)]
        if not ready:
            return None
        customer = min(ready, key=self._turn)
        return self._pop(customer, 0)

    def evict(self) -> QueueableT:
        """Remove and return the last request of the longest weighted queue."""

        def backlog(name: str) -> tuple[float, str]:
            return len(self._queues[name]) / self._weight(name), name

        return self._pop(max(self._queues, key=backlog), -1)

    def discard(self, ticket: QueueableT) -> None:
        """Remove a request if it is queued."""
        queue = self._queues.get(ticket.customer, [])
        if ticket in queue:
            self._pop(ticket.customer, queue.index(ticket))

    def charge(self, customer: str, cost: float) -> None:
        """Charge a request that starts to its customer.

        :param cost: seconds that it is expected to occupy a slot.
        """
        start = self.start_of(customer)
        self._virtual_time = start
        self._virtual_finish[customer] = start + cost / self._weight(customer)

    def start_of(self, customer: str) -> float:
        """Return the virtual time at which a customer's next request starts."""
        return max(self._virtual_finish.get(customer, 0.0), self._virtual_time)

    def _turn(self, customer: str) -> tuple[float, str]:
        return self.start_of(customer), customer

    def _pop(self, customer: str, index: int) -> QueueableT:
        ticket = self._queues[customer].pop(index)
        self._size -= 1
        if not self._queues[customer]:
            del self._queues[customer]
        return ticket
