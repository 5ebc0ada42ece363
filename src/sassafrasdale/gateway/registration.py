"""Finding the other gateways through the platform's store."""

from datetime import timedelta
from random import Random

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.exceptions import LeaseNotFound, StoreError
from sassafrasdale.coordination.stores import Lease, StoredValue
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.gateway.peer_states import (
    CONTACT,
    Contact,
    MessageMalformed,
    encode,
)
from sassafrasdale.gateway.peering import Peering
from sassafrasdale.green import sleep
from sassafrasdale.platform.store import PlatformStore

log = Logger("registration")

GATEWAYS_PREFIX = "sassafrasdale/gateways/"
# How long a gateway stays listed after it is gone.
LISTED = timedelta(seconds=15)
RENEWALS = 3
FAILURE_PAUSE = timedelta(milliseconds=500)


class Registration:
    """Task that keeps this gateway listed and introduces the listed ones.

    :param own: this gateway's contact.
    """

    def __init__(
        self,
        own: Contact,
        store: PlatformStore,
        peering: Peering,
        dependency: Dependency,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._own = own
        self._store = store
        self._peering = peering
        self._dependency = dependency
        self._clock = clock
        self._rng = rng
        self._lease: Lease | None = None
        self._listed = False

    @property
    def has_listed(self) -> bool:
        """Whether the listed gateways have been read since the start."""
        return self._listed

    def run(self) -> None:
        """Keep the entry until the task is killed."""
        while True:
            pause = LISTED / RENEWALS
            asked_at = self._clock.elapsed()
            try:
                self._step()
                self._dependency.succeeded(asked_at)
            except LeaseNotFound:
                self._lease = None
                pause = timedelta()
            except StoreError as error:
                self._dependency.failed(error, asked_at)
                pause = FAILURE_PAUSE
            sleep(pause * self._rng.uniform(0.8, 1.0))

    def release(self) -> None:
        """Leave the list."""
        lease, self._lease = self._lease, None
        if lease is None:
            return
        try:
            self._store.revoke(lease)
        except StoreError as error:
            log.info("registration left to run out", why=str(error))

    def _step(self) -> None:
        if self._lease is not None:
            self._store.keep_alive(self._lease)
            if self._peering.hears_all():
                return
        else:
            lease = self._store.grant_lease(LISTED)
            key = GATEWAYS_PREFIX + self._own.name
            self._store.put(key, encode(self._own), lease)
            self._lease = lease
        for item in self._store.list(GATEWAYS_PREFIX):
            self._introduce(item)
        self._listed = True

    def _introduce(self, item: StoredValue) -> None:
        try:
            self._peering.introduce(CONTACT.decode(item.value))
        except MessageMalformed as error:
            log.warning("registration malformed", key=item.key, why=str(error))
