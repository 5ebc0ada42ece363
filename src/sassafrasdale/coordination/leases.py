"""Leader election for duties, by a lease of the store.

A process may be paused for longer than its lease lasts, and continue as if it
held the duty after another entry has acquired it. So every order needs a permit,
which checks the elapsed time again and carries a fencing number that grows with
each acquisition. docs/LEASES.md describes what can still go wrong with endpoints
that ignore the number.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from uuid import UUID

from logbook import Logger

from sassafrasdale.charts import Lifecycle, load_chart
from sassafrasdale.clock import Clock
from sassafrasdale.coordination.exceptions import (
    LeaseNotFound,
    LeaseNotHeld,
    StoreAnswerLost,
    StoreError,
)
from sassafrasdale.coordination.stores import BaseStore, Lease, Swap
from sassafrasdale.green import sleep

log = Logger("leases")

LEASES_PREFIX = "sassafrasdale/leases/"
LEASE_TTL = timedelta(seconds=9)
KEEP_ALIVES_PER_TTL = 3
RETRIES_PER_TTL = 12
SAFETY_MARGIN = 0.2
"""Fraction of the time to live that the holder leaves unused, for clock drift."""
JITTER = 0.2
CREATE_ATTEMPTS = 2


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission to send an order now.

    :param fencing_number: fencing token to put into the order.
    :param expires_at: elapsed time after which the order may not be sent.
    """

    fencing_number: int
    expires_at: timedelta


class LeaseHolder:
    """Task that acquires the lease of a duty, renews it, and detects its loss.

    Usage::

        permit = holder.permit(endpoint.checks_fencing)  # before each order
        adapter.order(permit.fencing_number, ...)

    :param store: the platform's store.
    :param duty: name of the duty.
    :param holder: name of this entry.
    :param clock: source of elapsed time.
    :param rng: source of jitter and of the ids of attempts.
    :param ttl: time to live of the lease unless it is kept alive.
    :param is_taken: whether another holder is known without a call to the store.
        Otherwise every candidate would poll the store, and each call has a cost.
    :param cooldown: time after losing the duty in which this entry doesn't try to
        acquire it. Without it, two entries could alternate as holder, each
        sending orders, within a short time.
    """

    def __init__(
        self,
        store: BaseStore,
        duty: str,
        holder: str,
        clock: Clock,
        rng: Random,
        ttl: timedelta = LEASE_TTL,
        is_taken: Callable[[], bool] = lambda: False,
        *,
        cooldown: timedelta = timedelta(),
    ) -> None:
        self._store = store
        self._key = LEASES_PREFIX + duty
        self._holder = holder
        self._clock = clock
        self._rng = rng
        self._ttl = ttl
        self._is_taken = is_taken
        self._cooldown = cooldown
        self._cooldown_until = timedelta()
        self._chart = Lifecycle(load_chart("lease_holder"))
        self._lease: Lease | None = None
        self._fencing_number = 0
        self._expires_at = timedelta()
        self._settles_at = timedelta()

    @property
    def state(self) -> str:
        """State of the lease holder's state chart at the current elapsed time."""
        self._apply_deadlines()
        return self._chart.state

    @property
    def fencing_number(self) -> int:
        """Fencing number of the latest acquisition; 0 before the first."""
        return self._fencing_number

    def permit(self, checks_fencing: bool) -> Permit:
        """Return permission to send one order; each order needs a new one.

        Endpoints that check fencing numbers reject a former holder's orders. For
        the others, a new holder first waits for one time to live, so that orders
        of the former holder have arrived by then.

        :param checks_fencing: whether the order's endpoint checks the number.
        :raises LeaseNotHeld: if no order may be sent.
        """
        state = self.state
        if state == "holding" or (state == "settling" and checks_fencing):
            return Permit(self._fencing_number, self._expires_at)
        raise LeaseNotHeld(f"{self._holder} is {state}", retry_after=self._ttl)

    def run(self) -> None:
        """Acquire and renew the lease until the task is killed."""
        while True:
            interval = self._ttl / KEEP_ALIVES_PER_TTL
            try:
                self.step()
            except StoreError:
                # With the usual interval two lost responses would lose the duty.
                # If the store keeps failing, the lease expires by elapsed time.
                # Candidates, of which there are many, don't retry sooner, so as
                # not to load a failing store.
                if self.state != "seeking":
                    interval = self._ttl / RETRIES_PER_TTL
            sleep(interval * self._rng.uniform(1 - JITTER, 1 + JITTER))

    def step(self) -> None:
        """Keep the lease alive, or try to acquire it.

        :raises StoreError: if the store fails.
        """
        if self.state == "seeking":
            self._try_acquire()
        else:
            self._keep_alive()

    def release(self) -> None:
        """Release the duty, so that another entry can acquire it immediately.

        If the store fails, the lease expires by itself.
        """
        if self.state == "seeking":
            return
        lease = self._lease
        self._expire("given up")
        try:
            self._store.revoke(lease)
        except StoreError as error:
            log.info("lease left to run out", why=str(error))

    def _try_acquire(self) -> None:
        if self._is_taken() or self._clock.elapsed() < self._cooldown_until:
            return
        if self._store.get(self._key) is not None:
            return
        # Measured before the call: the store starts the lease later than this.
        asked_at = self._clock.elapsed()
        lease = self._store.grant_lease(self._ttl)
        number = self._create(lease)
        if number is None:
            self._store.revoke(lease)
            return
        self._lease = lease
        self._fencing_number = number
        self._extend(asked_at)
        self._settles_at = self._clock.elapsed() + self._ttl
        self._chart.fire("acquire")
        log.notice(
            "duty taken",
            key=self._key,
            fencing_number=number,
            expires_s=round((self._expires_at - asked_at).total_seconds(), 3),
        )
        self._apply_deadlines()

    def _create(self, lease: Lease) -> int | None:
        """Create the key; return the fencing number, or None if it exists already.

        After a lost response the key is created again: if the first write took
        effect, or does so later, the key holds the value of this attempt.
        """
        value = self._attempt_value()
        lost: StoreAnswerLost | None = None
        for _ in range(CREATE_ATTEMPTS):
            try:
                swap = self._store.create(self._key, value, lease=lease)
            except StoreAnswerLost as error:
                lost = error
                continue
            return _fencing_number(swap, value)
        raise lost

    def _keep_alive(self) -> None:
        asked_at = self._clock.elapsed()
        try:
            self._store.keep_alive(self._lease)
        except LeaseNotFound:
            self._expire("gone from the store")
            return
        # If the response came after the old deadline, the duty was lost by then
        # and must be acquired again, under a new number.
        if self.state != "seeking":
            self._extend(asked_at)

    def _extend(self, asked_at: timedelta) -> None:
        self._expires_at = asked_at + self._ttl * (1 - SAFETY_MARGIN)

    def _apply_deadlines(self) -> None:
        """Apply the transitions that depend on elapsed time only.

        After a pause of the process no task may have run since the lease expired,
        so this is done before every order and not only by the task.
        """
        now = self._clock.elapsed()
        if self._chart.state != "seeking" and now >= self._expires_at:
            self._expire("not kept alive in time")
        if self._chart.state == "settling" and now >= self._settles_at:
            self._chart.fire("settle")

    def _expire(self, reason: str) -> None:
        if not self._chart.allows("lapse"):
            return
        self._chart.fire("lapse")
        now = self._clock.elapsed()
        self._cooldown_until = now + self._cooldown
        log.notice(
            "duty lost",
            key=self._key,
            fencing_number=self._fencing_number,
            reason=reason,
            expired_s=round((now - self._expires_at).total_seconds(), 3),
        )

    def _attempt_value(self) -> bytes:
        attempt_id = UUID(int=self._rng.getrandbits(128))
        return f"{self._holder} {attempt_id}".encode()


def _fencing_number(swap: Swap, value: bytes) -> int | None:
    if swap:
        return swap.revision
    if swap.current is not None and swap.current.value == value:
        return swap.current.create_revision
    return None
