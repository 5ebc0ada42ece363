"""Discovery of the other gateways through the platform's store."""

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
# TTL of the registration: how long a gateway stays listed after it has failed.
REGISTRATION_TTL = timedelta(seconds=15)
RENEWALS_PER_TTL = 3
RETRY_DELAY = timedelta(milliseconds=500)


class Registration:
    """Task that keeps this gateway registered and adds the listed ones as peers.

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
        self._has_read_list = False

    @property
    def has_read_list(self) -> bool:
        """Whether the list of gateways has been read since the start."""
        return self._has_read_list

    def run(self) -> None:
        """Keep this gateway registered until the task is killed."""
        while True:
            delay = REGISTRATION_TTL / RENEWALS_PER_TTL
            sent_at = self._clock.elapsed()
            try:
                self._step()
                self._dependency.succeeded(sent_at)
            except LeaseNotFound:
                self._lease = None
                delay = timedelta()
            except StoreError as error:
                self._dependency.failed(error, sent_at)
                delay = RETRY_DELAY
            sleep(delay * self._rng.uniform(0.8, 1.0))

    def release(self) -> None:
        """Remove this gateway's registration."""
        lease, self._lease = self._lease, None
        if lease is None:
            return
        try:
            self._store.revoke(lease)
        except StoreError as error:
            log.info(
                "registration not revoked; it expires with its lease", why=str(error)
            )

    def _step(self) -> None:
        if self._lease is not None:
            self._store.keep_alive(self._lease)
            if self._peering.reaches_all_zones():
                return
        else:
            lease = self._store.grant_lease(REGISTRATION_TTL)
            key = GATEWAYS_PREFIX + self._own.name
            self._store.put(key, encode(self._own), lease)
            self._lease = lease
        for item in self._store.list(GATEWAYS_PREFIX):
            self._add_peer(item)
        self._has_read_list = True

    def _add_peer(self, item: StoredValue) -> None:
        try:
            self._peering.add_listed(CONTACT.decode(item.value))
        except MessageMalformed as error:
            log.warning("registration malformed", key=item.key, why=str(error))
