"""Retention of claims: many claims share one lease of the store."""

from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.exceptions import StoreError
from sassafrasdale.coordination.stores import BaseStore, Lease

RETENTION = timedelta(hours=24)
RENEW_AFTER = timedelta(hours=1)
USABLE_FOR = timedelta(hours=2)


class RetentionLease:
    """Provides the lease to which the claims of the current hour are attached.

    A process requests one lease an hour, whatever the number of claims. The lease
    lasts ``USABLE_FOR`` longer than the retention, so that a claim attached just
    before its replacement is still kept for ``RETENTION``. Each process has its own
    lease, so that retention does not depend on synchronized wall clocks.

    :param store: the platform's store.
    :param clock: source of elapsed time.
    """

    def __init__(self, store: BaseStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._lease: Lease | None = None
        self._requested_at = timedelta()

    def current(self) -> Lease:
        """Return a lease that lasts at least another ``RETENTION``.

        :raises StoreError: if there is none and the store granted none.
        """
        age = self._clock.elapsed() - self._requested_at
        if self._lease is not None and age < RENEW_AFTER:
            return self._lease
        try:
            return self._renew()
        except StoreError:
            if self._lease is None or age >= USABLE_FOR:
                raise
            return self._lease

    def forget(self, lease: Lease) -> None:
        """Stop using ``lease``, which the store no longer has."""
        if self._lease == lease:
            self._lease = None

    def _renew(self) -> Lease:
        # The age counts from before the call: the lease starts at an unknown time
        # between the request and its response.
        requested_at = self._clock.elapsed()
        lease = self._store.grant_lease(RETENTION + USABLE_FOR)
        self._lease = lease
        self._requested_at = requested_at
        return lease
