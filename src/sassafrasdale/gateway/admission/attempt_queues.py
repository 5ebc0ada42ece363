"""Requests that wait for an endpoint with room, at the gateway that assigns it.

The dispatcher of a zone queues those of all its gateways. A request keeps its
position as long as its gateway asks for it; the gateway holds its bytes and its caller.
"""

from collections.abc import Callable, Collection
from dataclasses import asdict, dataclass, field
from datetime import timedelta
from random import Random

from logbook import Logger

from sassafrasdale.clock import Clock, milliseconds, optional_milliseconds
from sassafrasdale.decisions.queued_requests import (
    QueuedRequest,
    QueueSnapshot,
    Rejection,
    RequestKey,
)
from sassafrasdale.decisions.service_queue import ServiceQueue
from sassafrasdale.deployment import RequestTraits
from sassafrasdale.gateway.admission.endpoint_times import SEND_TIME
from sassafrasdale.gateway.admission.terms import AdmissionTerms
from sassafrasdale.gateway.attempts import Attempt
from sassafrasdale.gateway.fleet import Fleet
from sassafrasdale.green import Empty, Queue, sleep

log = Logger("admission")

# Time without a call of its gateway after which a queue position expires.
POSITION_TIMEOUT = timedelta(milliseconds=300)
# Interval at which waiting requests are placed, besides when an endpoint reports room,
# and at which those that miss their deadlines are rejected.
PLACE_INTERVAL = timedelta(milliseconds=10)
EXPIRE_INTERVAL = timedelta(milliseconds=50)
# Requests that found no endpoint with room, after which the search stops. A second one
# helps if the first has excluded endpoints.
MAX_BLOCKED = 2


@dataclass(frozen=True, slots=True)
class Started:
    """An endpoint was chosen; the attempt counts as in progress there."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Waiting:
    """No endpoint has room yet."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """No endpoint takes the request, whether it has room or not."""


Outcome = Started | Rejection | Unavailable


@dataclass(slots=True)
class PendingAttempt:
    """A request that waits for an endpoint.

    :param key: its gateway, the gateway's incarnation, and the attempt's number.
    :param tried: endpoints that it must not be sent to.
    :param backed_off: endpoints that want no requests from its gateway now.
    :param connected: endpoints to which its gateway has connections to reuse.
    :ivar is_held: whether its gateway waits for a reply.
    :ivar asked_at: elapsed time at which its gateway last waited.
    """

    key: RequestKey
    service: str
    traits: RequestTraits
    tried: Collection[str]
    backed_off: Collection[str]
    terms: AdmissionTerms
    connected: Collection[str] = ()
    is_held: bool = False
    asked_at: timedelta = timedelta()
    outcome: Outcome | None = None
    wakeup: Queue = field(default_factory=Queue)


class AttemptQueues:
    """Queues of all services at one gateway.

    :param fleet: chooses endpoints, and knows what they can do.
    :param weight: returns a customer's weight.
    :param rng: source of randomness for Retry-After.
    :param count: counts an event by name, for metrics.
    """

    def __init__(
        self,
        fleet: Fleet,
        weight: Callable[[str], float],
        clock: Clock,
        rng: Random,
        count: Callable[..., None] = lambda name, **labels: None,
    ) -> None:
        self._fleet = fleet
        self._weight = weight
        self._clock = clock
        self._rng = rng
        self._count = count
        self._queues: dict[str, ServiceQueue] = {}
        self._pending: dict[RequestKey, PendingAttempt] = {}
        self._expired_at = timedelta()
        self._wakeup: Queue = Queue()

    def __len__(self) -> int:
        return len(self._pending)

    def request(self, pending: PendingAttempt, hold: timedelta) -> Outcome | Waiting:
        """Return what becomes of a request, or that it is still waiting.

        :param pending: the request; if it is already queued, only its backed-off and
            connected endpoints are updated.
        :param hold: longest time to wait for its turn.
        """
        known = self._pending.get(pending.key)
        if known is None:
            rejection = self._offer(pending)
            if rejection is not None:
                return rejection
        else:
            known.backed_off = pending.backed_off
            known.connected = pending.connected
            pending = known
        self._hold(pending, hold, is_new=known is None)
        if pending.outcome is None:
            return Waiting()
        self._pending.pop(pending.key, None)
        return pending.outcome

    def _hold(self, pending: PendingAttempt, limit: timedelta, *, is_new: bool) -> None:
        """Place a request, or wait for its turn for a limited time."""
        pending.is_held = True
        try:
            self._place(pending.service)
            if pending.outcome is None and not self._may_get_room(pending):
                self.remove(pending.key)
                pending.outcome = Unavailable()
            if pending.outcome is None:
                self._wake()
                if is_new:
                    self._count("request waits", service=pending.service)
                if limit:
                    self._wait(pending, limit)
        except BaseException:
            self._discard(pending)
            raise
        finally:
            pending.is_held = False
            pending.asked_at = self._clock.elapsed()

    def remove(self, key: RequestKey) -> None:
        """Remove a request from its queue, if it waits."""
        pending = self._pending.pop(key, None)
        if pending is not None:
            self._queue(pending.service).remove(key, self._clock.elapsed())

    def _discard(self, pending: PendingAttempt) -> None:
        """Give up a request whose task has failed; an attempt of it has ended."""
        self.remove(pending.key)
        if isinstance(pending.outcome, Started):
            self._fleet.finish_local_attempt(pending.outcome.attempt)

    def place(self) -> None:
        """Send waiting requests to endpoints that have room by now."""
        for service, queue in self._queues.items():
            if len(queue):
                self._place(service)

    def run(self) -> None:
        """Place, reject and drop waiting requests until the task is killed."""
        while True:
            if not self._pending:
                self._wakeup.get()
            self.step()
            sleep(PLACE_INTERVAL)

    def step(self) -> None:
        """Place, reject and drop waiting requests as it is due."""
        now = self._clock.elapsed()
        if now - self._expired_at >= EXPIRE_INTERVAL:
            self._expired_at = now
            self._drop_abandoned(now)
            self._expire(now)
        self.place()

    def describe(self) -> list[dict[str, object]]:
        """Return the state of each service's queue, for operators."""
        now = self._clock.elapsed()
        return [
            self._description(service, queue.snapshot(now))
            for service, queue in sorted(self._queues.items())
        ]

    def _description(self, service: str, snapshot: QueueSnapshot) -> dict[str, object]:
        return {
            "service": service,
            "waiting": snapshot.waiting,
            "late": snapshot.late,
            "oldest_ms": milliseconds(snapshot.oldest),
            "capacity": round(self._fleet.capacity(service), 2),
            "customers": [asdict(customer) for customer in snapshot.customers],
        }

    def _offer(self, pending: PendingAttempt) -> Rejection | None:
        now = self._clock.elapsed()
        terms = pending.terms
        times = self._fleet.endpoint_times
        request = QueuedRequest(
            pending.key,
            terms.customer,
            terms.priority,
            terms.arrived_at,
            terms.objective_at,
            terms.deadline,
            times.cost_of(pending.service, pending.traits),
            times.delay_of(pending.service, terms.priority),
        )
        capacity = self._fleet.capacity(pending.service)
        rejection = self._queue(pending.service).offer(request, now, capacity)
        if rejection is not None:
            self._log_rejection(pending, rejection)
            return rejection
        pending.asked_at = now
        self._pending[pending.key] = pending
        return None

    def _wake(self) -> None:
        """Have the task run that places waiting requests."""
        if self._wakeup.empty():
            self._wakeup.put(None)

    def _wait(self, pending: PendingAttempt, hold: timedelta) -> None:
        try:
            pending.wakeup.get(timeout=hold.total_seconds())
        except Empty:
            return

    def _place(self, service: str) -> None:
        while not self._fleet.is_full(service) and self._place_next(service):
            pass

    def _place_next(self, service: str) -> bool:
        """Start the next request that an endpoint has room for, if there is one."""
        queue = self._queue(service)
        now = self._clock.elapsed()
        blocked = 0
        for request in queue.candidates(now):
            pending = self._pending[request.key]
            if not pending.is_held or pending.outcome is not None:
                continue
            outcome = self._try(pending, request)
            if outcome is None:
                blocked += 1
                if blocked == MAX_BLOCKED:
                    return False
                continue
            if isinstance(outcome, Started):
                queue.start(request, now)
            else:
                queue.remove(request.key, now)
            self._resolve(pending, outcome)
            return True
        return False

    def _try(
        self, pending: PendingAttempt, request: QueuedRequest
    ) -> Started | Unavailable | None:
        """Start an attempt; return None if the endpoints have no room now."""
        attempt = self._fleet.start_local_attempt(
            pending.service,
            pending.traits,
            pending.tried,
            pending.backed_off,
            is_retry=False,
            only_with_room=True,
            connected=pending.connected,
        )
        if attempt is not None:
            attempt.priority = pending.terms.priority
            attempt.needed = max(request.cost + request.delay - SEND_TIME, timedelta())
            return Started(attempt)
        return None if self._may_get_room(pending) else Unavailable()

    def _may_get_room(self, pending: PendingAttempt) -> bool:
        excluded = {*pending.tried, *pending.backed_off}
        return self._fleet.may_get_room(pending.service, pending.traits, excluded)

    def _resolve(self, pending: PendingAttempt, outcome: Outcome) -> None:
        pending.outcome = outcome
        pending.wakeup.put(None)

    def _expire(self, now: timedelta) -> None:
        for service, queue in self._queues.items():
            if not len(queue):
                continue
            for request, rejection in queue.expire(now, self._fleet.capacity(service)):
                pending = self._pending[request.key]
                self._log_rejection(pending, rejection)
                self._resolve(pending, rejection)

    def _drop_abandoned(self, now: timedelta) -> None:
        """Remove the requests that no gateway asks for any more."""
        for key, pending in list(self._pending.items()):
            if not pending.is_held and now - pending.asked_at > POSITION_TIMEOUT:
                self.remove(key)
                self._count("queue position expired", service=pending.service)

    def _log_rejection(self, pending: PendingAttempt, rejection: Rejection) -> None:
        now = self._clock.elapsed()
        terms = pending.terms
        self._count("request rejected", service=pending.service, why=rejection.reason)
        log.info(
            "request rejected",
            why=rejection.reason,
            gateway=pending.key[0],
            service=pending.service,
            customer=terms.customer or None,
            priority=terms.priority,
            since_first_attempt_ms=milliseconds(now - terms.arrived_at),
            expected_wait_ms=optional_milliseconds(rejection.expected_wait),
            ahead_ms=milliseconds(rejection.ahead),
            capacity=round(rejection.capacity, 2),
            objective_left_ms=milliseconds(terms.objective_at - now),
            left_ms=milliseconds(terms.deadline - now),
            retry_after_ms=milliseconds(rejection.retry_after),
            news_ms=milliseconds(self._fleet.report_age),
        )

    def _queue(self, service: str) -> ServiceQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = ServiceQueue(self._weight, self._rng)
        return queue
