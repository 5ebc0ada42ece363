"""Duties that one entry at a time holds, by a lease of the store.

A pause of the process can outlast its lease: it goes on believing that it holds
the duty while another entry has taken over. So every order needs a permit, which
looks at the elapsed time again, and carries a fencing number that grows with each
holder. docs/LEASES.md says what remains possible where endpoints ignore it.
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
"""Share of the time to live that the holder does without, for clock drift."""
JITTER = 0.2
CREATE_ATTEMPTS = 2


@dataclass(frozen=True, slots=True)
class Permit:
    """Leave to give orders now.

    :param fencing_number: number to put into each order.
    :param expires_at: elapsed time after which no order may be sent.
    """

    fencing_number: int
    expires_at: timedelta


class LeaseHolder:
    """Task that seeks a duty, keeps it while it can, and tells when it is lost.

    Usage::

        permit = holder.permit(endpoint.checks_fencing)  # before each order
        adapter.order(permit.fencing_number, ...)

    :param store: the platform's store.
    :param duty: name of the duty.
    :param holder: name of this entry.
    :param clock: source of elapsed time.
    :param rng: source of jitter and of the attempt's id.
    :param ttl: how long the lease lasts unless it is kept alive.
    :param is_taken: whether another holder is known without asking the store. Many
        that seek would otherwise ask it again and again, and each call has a price.
    :param rest: time after losing the duty in which it is not sought again. Without
        it, a holder could act, another one, and then the first again within moments.
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
        rest: timedelta = timedelta(),
    ) -> None:
        self._store = store
        self._key = LEASES_PREFIX + duty
        self._holder = holder
        self._clock = clock
        self._rng = rng
        self._ttl = ttl
        self._is_taken = is_taken
        self._rest = rest
        self._rests_until = timedelta()
        self._life = Lifecycle(load_chart("lease_holder"))
        self._lease: Lease | None = None
        self._fencing_number = 0
        self._expires_at = timedelta()
        self._settled_at = timedelta()

    @property
    def state(self) -> str:
        """State of the holder's chart, as far as the elapsed time shows."""
        self._heed_time()
        return self._life.state

    @property
    def fencing_number(self) -> int:
        """Number of the last term as holder; 0 before there was one."""
        return self._fencing_number

    def permit(self, checks_fencing: bool) -> Permit:
        """Return leave to send one order; ask again before the next.

        Endpoints that check fencing numbers refuse a former holder's orders by
        themselves. For the others, a new holder first waits out the time of the
        lease before its own, so that orders of the former holder have landed.

        :param checks_fencing: whether the order's endpoint checks the number.
        :raises LeaseNotHeld: if no order may be sent.
        """
        state = self.state
        if state == "holding" or (state == "settling" and checks_fencing):
            return Permit(self._fencing_number, self._expires_at)
        raise LeaseNotHeld(f"{self._holder} is {state}", retry_after=self._ttl)

    def run(self) -> None:
        """Seek and keep the duty until the task is killed."""
        while True:
            pause = self._ttl / KEEP_ALIVES_PER_TTL
            try:
                self.step()
            except StoreError:
                # With the usual pause two lost answers would cost the duty. If the
                # store goes on failing, the lease lapses by the elapsed time. The
                # many that only seek do not press a store in trouble.
                if self.state != "seeking":
                    pause = self._ttl / RETRIES_PER_TTL
            sleep(pause * self._rng.uniform(1 - JITTER, 1 + JITTER))

    def step(self) -> None:
        """Keep the lease alive, or look whether it can be had.

        :raises StoreError: if the store fails.
        """
        if self.state == "seeking":
            self._seek()
        else:
            self._keep_alive()

    def release(self) -> None:
        """Give the duty up, so that another entry need not wait for it.

        If the store fails, the lease runs out by itself.
        """
        if self.state == "seeking":
            return
        lease = self._lease
        self._lapse("given up")
        try:
            self._store.revoke(lease)
        except StoreError as error:
            log.info("lease left to run out", why=str(error))

    def _seek(self) -> None:
        if self._is_taken() or self._clock.elapsed() < self._rests_until:
            return
        if self._store.get(self._key) is not None:
            return
        # The lease runs from when the store grants it, which is later than this.
        asked_at = self._clock.elapsed()
        lease = self._store.grant_lease(self._ttl)
        number = self._create(lease)
        if number is None:
            self._store.revoke(lease)
            return
        self._lease = lease
        self._fencing_number = number
        self._extend(asked_at)
        self._settled_at = self._clock.elapsed() + self._ttl
        self._life.fire("acquire")
        log.notice(
            "duty taken",
            key=self._key,
            fencing_number=number,
            expires_s=round((self._expires_at - asked_at).total_seconds(), 3),
        )
        self._heed_time()

    def _create(self, lease: Lease) -> int | None:
        """Return the fencing number, or None if another entry was first.

        A lost answer is met by creating the key again: if the first write landed
        or lands later, the key then holds this attempt's own value.
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
            self._lapse("gone from the store")
            return
        # The answer may have come after the old deadline: by then the duty had
        # been lost here, and is sought again under a new number.
        if self.state != "seeking":
            self._extend(asked_at)

    def _extend(self, asked_at: timedelta) -> None:
        self._expires_at = asked_at + self._ttl * (1 - SAFETY_MARGIN)

    def _heed_time(self) -> None:
        """Follow what has become true by the passing of time alone.

        After a pause of the process no task may have run since the lease lapsed;
        so this is looked at before every order and not only by the task.
        """
        now = self._clock.elapsed()
        if self._life.state != "seeking" and now >= self._expires_at:
            self._lapse("not kept alive in time")
        if self._life.state == "settling" and now >= self._settled_at:
            self._life.fire("settle")

    def _lapse(self, reason: str) -> None:
        if not self._life.allows("lapse"):
            return
        self._life.fire("lapse")
        now = self._clock.elapsed()
        self._rests_until = now + self._rest
        log.notice(
            "duty lost",
            key=self._key,
            fencing_number=self._fencing_number,
            reason=reason,
            expired_s=round((now - self._expires_at).total_seconds(), 3),
        )

    def _attempt_value(self) -> bytes:
        attempt = UUID(int=self._rng.getrandbits(128))
        return f"{self._holder} {attempt}".encode()


def _fencing_number(swap: Swap, value: bytes) -> int | None:
    if swap:
        return swap.revision
    if swap.current is not None and swap.current.value == value:
        return swap.current.create_revision
    return None
