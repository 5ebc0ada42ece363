"""A gateway's copy of the store: configuration, endpoints, rollouts.

The gateway watches the store and also takes values from peers that know a later
revision, so it stays up to date while the store refuses its calls.
"""

from collections.abc import Callable, Collection, Mapping
from contextlib import suppress
from datetime import timedelta
from random import Random

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.deployment import CallerLimits, Configuration, Endpoint, Service
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.gateway.directory import Directory
from sassafrasdale.gateway.follower import (
    RESTORE_TIMES,
    Follower,
    PrefixChanges,
    RestoreTimes,
)
from sassafrasdale.gateway.peer_states import StoreValues
from sassafrasdale.gateway.rollouts import Rollouts
from sassafrasdale.gateway.routing import RouteTable
from sassafrasdale.green import spawn
from sassafrasdale.platform.configuration import (
    CONFIGURATION_KEY,
    OPERATORS_PREFIX,
    decode_configuration,
)
from sassafrasdale.platform.endpoints import (
    ENDPOINTS_PREFIX,
    decode_endpoint,
    endpoint_name,
)
from sassafrasdale.platform.exceptions import ValueMalformed
from sassafrasdale.platform.rollouts import (
    ORDERS_PREFIX,
    STATUS_PREFIX,
    decode_order,
    decode_status,
    ordered_service,
)
from sassafrasdale.platform.store import PlatformStore
from sassafrasdale.tasks import run_forever

log = Logger("knowledge")

# Malformed registrations that are logged; a writer of many keys must not flood the
# logs.
MAX_MALFORMED_LOGGED = 100
# Time for which an endpoint is kept that a restored store lacks. A registration that
# was lost is back within two seconds, and one that is removed now is not in the store.
ENDPOINT_TIMES = RestoreTimes(kept=timedelta(seconds=1.5))


class StoreView:
    """Current configuration and listed endpoints, kept up to date.

    :param store: the platform's store.
    :param store_health: notified whether the store responds.
    :param directory: receives the endpoints.
    :param rollouts: receives the orders of rollouts, and the status shown to operators.
    :param forget_engine: discards the estimates for an engine that is gone.
    :param fetch: returns the changes below a prefix since a revision, from a peer.
    :param availability_zones: zones of the deployment; endpoints in others are invalid.
    :param should_watch: whether this gateway has to watch the store itself.
    """

    def __init__(
        self,
        store: PlatformStore,
        store_health: Dependency,
        directory: Directory,
        rollouts: Rollouts,
        forget_engine: Callable[[str], None],
        fetch: Callable[[str, str, int], StoreValues | None],
        clock: Clock,
        rng: Random,
        availability_zones: Collection[str],
        should_watch: Callable[[], bool] = lambda: True,
    ) -> None:
        self._store = store
        self._directory = directory
        self._rollouts = rollouts
        self._watches_rollouts = False
        self._availability_zones = availability_zones
        self._forget_engine = forget_engine
        self._fetch = fetch
        self._routes: RouteTable | None = None
        self._fetching: set[str] = set()
        self._malformed: set[str] = set()
        self._followers = {
            prefix: Follower(
                prefix,
                store,
                changed,
                store_health,
                clock,
                rng,
                should_watch,
                times,
                # An earlier order would end the known one, which is then repeated.
                is_left_out=lambda key: key.startswith(ORDERS_PREFIX),
            )
            for prefix, changed, times in (
                (OPERATORS_PREFIX, self._apply_operator_changes, RESTORE_TIMES),
                (ENDPOINTS_PREFIX, self._apply_endpoint_changes, ENDPOINT_TIMES),
                (STATUS_PREFIX, self._apply_status_changes, RESTORE_TIMES),
            )
        }

    @property
    def routes(self) -> RouteTable | None:
        """Lookups in the current configuration; None before there is one."""
        return self._routes

    @property
    def configuration(self) -> Configuration | None:
        """The current configuration; None before there is one."""
        return self._routes.configuration if self._routes else None

    def service(self, name: str) -> Service:
        """Return a service of the current configuration, or one with defaults."""
        configuration = self.configuration
        return Service(name) if configuration is None else configuration.service(name)

    @property
    def caller_limits(self) -> CallerLimits:
        """Limits for callers: current ones, or defaults before there are any."""
        return self._routes.configuration.limits if self._routes else CallerLimits()

    @property
    def is_loaded(self) -> bool:
        """Whether both configuration and endpoints have been read."""
        listed = self._followers[ENDPOINTS_PREFIX].revision > 0
        return self._routes is not None and listed

    def read_versions(self, service: str) -> set[str]:
        """Read from the store which versions of a service have endpoints.

        :raises StoreError: if the store doesn't respond.
        """
        versions = set()
        for item in self._store.list(ENDPOINTS_PREFIX):
            with suppress(ValueMalformed):
                endpoint = decode_endpoint(item.key, item.value)
                if endpoint.service == service:
                    versions.add(endpoint.version)
        return versions

    def tasks(self) -> list[Callable[[], None]]:
        """Return the tasks that watch the store from the start."""
        return [
            follower.run
            for prefix, follower in self._followers.items()
            if prefix != STATUS_PREFIX
        ]

    def followers(self) -> list[Follower]:
        """Return the followers of all prefixes."""
        return list(self._followers.values())

    def revisions(self) -> dict[str, int]:
        """Return the revision of the last known change, by prefix."""
        return {
            prefix: follower.changed_revision
            for prefix, follower in self._followers.items()
            if prefix != STATUS_PREFIX or self._watches_rollouts
        }

    def values_since(self, prefix: str, revision: int) -> StoreValues | None:
        """Return the changes below a prefix, for a peer."""
        follower = self._followers.get(prefix)
        return None if follower is None else follower.changes_since(revision)

    def receive_revisions(self, peer: str, revisions: Mapping[str, int]) -> None:
        """Fetch a peer's values for the prefixes of which it knows a later change."""
        for prefix, revision in revisions.items():
            follower = self._followers.get(prefix)
            if follower is None or revision <= follower.changed_revision:
                continue
            if prefix not in self._fetching:
                self._fetching.add(prefix)
                spawn(self._fetch_from, peer, follower)

    def _fetch_from(self, peer: str, follower: Follower) -> None:
        try:
            since = follower.changed_revision
            values = self._fetch(peer, follower.prefix, since)
            if values is None:
                return
            log.info(
                "values taken from a peer",
                peer=peer,
                prefix=follower.prefix,
                revision=values.revision,
                held=since,
                whole=values.is_complete,
            )
            follower.apply_peer_values(values, since)
        finally:
            self._fetching.discard(follower.prefix)

    def _apply_operator_changes(self, changes: PrefixChanges) -> None:
        is_live = self._routes is not None
        for key, value in changes.written.items():
            if key.startswith(ORDERS_PREFIX):
                self._apply_order(key, value, is_live=is_live)
        for key in changes.deleted:
            if key.startswith(ORDERS_PREFIX):
                self._rollouts.withdraw_order(ordered_service(key))
        value = changes.written.get(CONFIGURATION_KEY)
        if value is None:
            return
        try:
            configuration = decode_configuration(value)
        except ValueMalformed as error:
            log.error("configuration not taken, the old one stays", why=error.message)
            return
        self._apply_configuration(configuration)

    def _apply_configuration(self, configuration: Configuration) -> None:
        old = self._routes.configuration.version if self._routes else 0
        if configuration.version <= old:
            log.info(
                "older configuration ignored", version=configuration.version, held=old
            )
            return
        self._routes = RouteTable(configuration)
        log.notice(
            "configuration in force",
            version=configuration.version,
            before=old,
            routes=len(configuration.routes),
            customers=len(configuration.customers),
        )

    def _apply_order(self, key: str, value: bytes, *, is_live: bool) -> None:
        try:
            order = decode_order(key, value)
        except ValueMalformed as error:
            log.error("rollout not taken", key=key, why=error.message)
            return
        revision = self._followers[OPERATORS_PREFIX].revision_of(key)
        self._rollouts.add_order(order, revision, is_live=is_live)
        self._watch_rollouts()

    def _watch_rollouts(self) -> None:
        """Watch the status shown to operators, from the first order on."""
        if not self._watches_rollouts:
            self._watches_rollouts = True
            spawn(run_forever, self._followers[STATUS_PREFIX].run)

    def _apply_status_changes(self, changes: PrefixChanges) -> None:
        for key, value in changes.written.items():
            revision = self._followers[STATUS_PREFIX].revision_of(key)
            try:
                self._rollouts.apply_status(decode_status(key, value), revision)
            except ValueMalformed as error:
                log.error("rollout status malformed", key=key, why=error.message)

    def _apply_endpoint_changes(self, changes: PrefixChanges) -> None:
        for key, value in changes.written.items():
            self._apply_endpoint(key, value, is_restored=changes.is_restored)
        for key in changes.deleted:
            self._malformed.discard(key)
            self._drop_endpoint(key)

    def _apply_endpoint(self, key: str, value: bytes, *, is_restored: bool) -> None:
        try:
            endpoint = decode_endpoint(key, value)
            self._check_zone(endpoint)
        except ValueMalformed as error:
            # Another writer overwrote the registration. The endpoint known under this
            # name is no longer listed, so it must get no requests.
            self._drop_endpoint(key)
            self._log_malformed(key, error)
            return
        self._malformed.discard(key)
        if is_restored and self._directory.is_draining(endpoint):
            # The copy is older: an endpoint that drains does so until its end.
            return
        if self._directory.put(endpoint, is_restored=is_restored):
            self._forget_engine(endpoint.name)

    def _check_zone(self, endpoint: Endpoint) -> None:
        zone = endpoint.availability_zone
        if zone not in self._availability_zones:
            raise ValueMalformed(f"{endpoint.name}: no such zone: {zone}", field="zone")

    def _drop_endpoint(self, key: str) -> None:
        name = endpoint_name(key)
        self._directory.remove(name)
        self._forget_engine(name)

    def _log_malformed(self, key: str, error: ValueMalformed) -> None:
        """Log a malformed registration, once per key and up to a number of keys."""
        if key in self._malformed or len(self._malformed) >= MAX_MALFORMED_LOGGED:
            return
        self._malformed.add(key)
        log.error("endpoint not taken", key=key, why=error.message)
