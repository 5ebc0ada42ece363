"""How long claims are kept: one lease of the store for many claims."""

from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.exceptions import StoreError
from sassafrasdale.coordination.stores import BaseStore, Lease

RETENTION = timedelta(hours=24)
RENEW_AFTER = timedelta(hours=1)
USABLE_FOR = timedelta(hours=2)


class RetentionLease:
    """Gives the lease that claims of the present hour are attached to.

    A process grants itself one lease an hour, whatever the number of claims. The
    lease lasts ``USABLE_FOR`` longer than the retention, so that a claim made on
    its last minute is still kept for ``RETENTION``. Each process has its own, so
    that the retention does not depend on wall clocks that agree.

    :param store: the platform's store.
    :param clock: source of elapsed time.
    """

    def __init__(self, store: BaseStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._lease: Lease | None = None
        self._asked_at = timedelta()

    def current(self) -> Lease:
        """Return a lease with at least ``RETENTION`` to go.

        :raises StoreError: if none is at hand and none could be granted.
        """
        age = self._clock.elapsed() - self._asked_at
        if self._lease is not None and age < RENEW_AFTER:
            return self._lease
        try:
            return self._renew()
        except StoreError:
            if self._lease is None or age >= USABLE_FOR:
                raise
            return self._lease

    def forget(self, lease: Lease) -> None:
        """Stop giving out ``lease``, which the store no longer knows."""
        if self._lease == lease:
            self._lease = None

    def _renew(self) -> Lease:
        # The age counts from before the call, since a slow answer's lease runs
        # from an unknown moment after it.
        asked_at = self._clock.elapsed()
        lease = self._store.grant_lease(RETENTION + USABLE_FOR)
        self._lease = lease
        self._asked_at = asked_at
        return lease
