"""The versions that have ever begun streams of a service, in the platform's store.

A gateway begins streams at a version only once the store holds it there. So if the
store holds one version only, that one has begun any stream of the service, also one of
which no gateway knows any more.
"""

from collections.abc import Callable, Collection, Mapping
from datetime import timedelta
from random import Random

from logbook import Logger
from msgspec import DecodeError
from msgspec.msgpack import Decoder, Encoder
from xxhash import xxh64_hexdigest

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.exceptions import StoreError
from sassafrasdale.coordination.stores import ABSENT, BaseStore
from sassafrasdale.decisions.stream_versions import only_version
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.gateway.directory import Directory
from sassafrasdale.green import Empty, Queue, sleep, spawn

log = Logger("stream versions")

VERSIONS_PREFIX = "sassafrasdale/versions/"
STEP_INTERVAL = timedelta(milliseconds=50)
# Callers wait for a gateway that starts.
START_INTERVAL = timedelta(milliseconds=10)
RETRY_DELAY = timedelta(milliseconds=250)
# Interval of full checks while the listed endpoints don't change.
FULL_CHECK_INTERVAL = timedelta(seconds=10)
# Time for which a caller's request waits for the store, which may be silent.
ANSWER_TIMEOUT = timedelta(milliseconds=300)
# Conditional writes of a step, if other gateways write at the same time.
MAX_WRITES = 3
# Time without an endpoint after which a version is taken off the record. No stream
# lives as long.
RETENTION_TIME = timedelta(minutes=2)
# Time after a restore of the store in which the record may lack a version.
RESTORE_TIME = timedelta(seconds=5)
# Stands for a record that can't be read: what began a stream can't be known from it.
_UNKNOWN = ""

_ENCODE = Encoder().encode
_DECODE = Decoder(tuple[str, ...]).decode


class VersionRegister:
    """Keeps the listed versions of each service registered.

    That includes services without streams, to which a configuration may send some.

    :param directory: registered endpoints.
    :param read_versions: reads from the store which versions of a service are listed.
    :param is_listed: returns whether the endpoints have been read since the start.
    """

    def __init__(
        self,
        store: BaseStore,
        dependency: Dependency,
        directory: Directory,
        clock: Clock,
        rng: Random,
        read_versions: Callable[[str], set[str]],
        is_listed: Callable[[], bool] = lambda: True,
    ) -> None:
        self._read_versions = read_versions
        self._is_listed = is_listed
        self._store = store
        self._dependency = dependency
        self._directory = directory
        self._clock = clock
        self._rng = rng
        self._registered: dict[str, set[str]] = {}
        self._checked: dict[str, set[str]] = {}
        self._stored: dict[str, frozenset[str]] = {}
        # Versions that the store held before a restore, until it holds them again.
        self._unrestored: dict[str, frozenset[str]] = {}
        self._unlisted_since: dict[tuple[str, str], timedelta] = {}
        self._epoch = store.epoch
        self._restored_at: timedelta | None = None
        self._is_loaded = False
        # Change of the directory up to which all is registered; None if unknown.
        self._checked_changes: int | None = None
        self._checked_at = timedelta()

    @property
    def is_loaded(self) -> bool:
        """Whether what was listed at a time since the start is registered."""
        return self._is_loaded

    def may_begin(self, service: str, version: str) -> bool:
        """Return whether streams may begin at a version."""
        return version in self._registered.get(service, ())

    def learn(self, versions: Mapping[str, Collection[str]]) -> None:
        """Take what another gateway has registered, by service, as registered.

        It may reach the store while this one does not.
        """
        for service, names in versions.items():
            listed = self._directory.versions_of(service)
            self._registered.setdefault(service, set()).update(listed & set(names))

    def registered(self) -> dict[str, tuple[str, ...]]:
        """Return the registered versions that are listed, by service."""
        return {
            service: tuple(sorted(versions))
            for service, versions in self._registered.items()
            if versions
        }

    def only_version(self, service: str) -> str | None:
        """Return the version that began any stream of a service.

        :returns: an empty version if there were several; None if the store can't be
            asked now.
        """
        if self._is_restoring():
            return None
        answers: Queue = Queue()
        spawn(self._ask, service, answers)
        try:
            versions = answers.get(timeout=ANSWER_TIMEOUT.total_seconds())
        except Empty:
            return None
        if versions is None:
            return None
        if self._is_restoring() or not self._registered.get(service, set()) <= versions:
            return None
        return only_version(versions)

    def _ask(self, service: str, answers: Queue) -> None:
        called_at = self._clock.elapsed()
        try:
            versions, _ = self._read(service)
        except StoreError as error:
            self._dependency.failed(error, called_at)
            versions = None
        answers.put(versions)

    def run(self) -> None:
        """Register versions until the task is killed."""
        while True:
            called_at = self._clock.elapsed()
            try:
                if self.step():
                    self._dependency.succeeded(called_at)
                delay = STEP_INTERVAL if self._is_loaded else START_INTERVAL
            except StoreError as error:
                self._dependency.failed(error, called_at)
                delay = RETRY_DELAY
            sleep(delay * self._rng.uniform(0.8, 1.2))

    def step(self) -> bool:
        """Register what is listed, and return whether the store was called.

        :raises StoreError: if the store doesn't respond.
        """
        self._note_restore()
        if not self._is_due():
            return False
        changes = self._directory.change_count
        is_listed = self._is_listed()
        has_called = False
        services = {*self._directory.services, *self._registered, *self._unrestored}
        for service in services:
            listed = self._directory.versions_of(service)
            has_called |= self._register(service, listed)
            has_called |= self._retire(service, listed)
        self._is_loaded = self._is_loaded or is_listed
        is_checked = all(
            # A restore that was noticed meanwhile has cleared what was checked.
            self._directory.versions_of(service) <= self._checked.get(service, set())
            for service in services
        )
        is_complete = is_listed and is_checked and not self._unrestored
        self._checked_changes = changes if is_complete else None
        self._checked_at = self._clock.elapsed()
        return has_called

    def _is_due(self) -> bool:
        """Return whether what is listed has changed, or may have to be taken off."""
        if self._checked_changes != self._directory.change_count:
            return True
        return self._clock.elapsed() - self._checked_at >= FULL_CHECK_INTERVAL

    def _register(self, service: str, listed: set[str]) -> bool:
        registered = self._registered.setdefault(service, set())
        checked = self._checked.setdefault(service, set())
        # One that comes back later may have been taken off the record meanwhile.
        registered &= listed
        checked &= listed
        unrestored = self._unrestored.get(service, frozenset())
        missing = (listed - checked) | unrestored
        if not missing:
            return False
        for _ in range(MAX_WRITES):
            versions, revision = self._read(service)
            wanted = versions | missing
            if wanted == versions or self._write(service, wanted, revision):
                registered |= missing & listed
                checked |= missing & listed
                self._end_restore(service, unrestored)
                return True
        return True

    def _end_restore(self, service: str, versions: frozenset[str]) -> None:
        """Take versions for restored, unless another restore has come meanwhile."""
        if self._unrestored.get(service) is versions:
            del self._unrestored[service]

    def _retire(self, service: str, listed: set[str]) -> bool:
        """Take versions off the record that have had no endpoint for long."""
        now = self._clock.elapsed()
        for version in listed:
            self._unlisted_since.pop((service, version), None)
        overdue = {
            version
            for version in self._stored.get(service, frozenset()) - listed
            if now - self._unlisted_since.setdefault((service, version), now)
            >= RETENTION_TIME
        }
        # The record of a service without endpoints stays: streams may yet begin.
        if not overdue or not listed:
            return False
        versions, revision = self._read(service)
        # What is known here may be outdated, and others may list them.
        overdue -= self._read_versions(service)
        for version in overdue:
            del self._unlisted_since[service, version]
        if versions & overdue:
            self._write(service, versions - overdue, revision)
        return True

    def _read(self, service: str) -> tuple[frozenset[str], int]:
        stored = self._store.get(_key(service))
        # What was stored before a restore must be kept before it is replaced.
        self._note_restore()
        if stored is None:
            return frozenset(), ABSENT
        try:
            versions = frozenset(_DECODE(stored.value))
        except DecodeError as error:
            log.error("versions malformed", service=service, why=str(error))
            versions = frozenset({_UNKNOWN})
        self._stored[service] = versions
        return versions, stored.mod_revision

    def _write(self, service: str, versions: Collection[str], revision: int) -> bool:
        value = _ENCODE(sorted(versions))
        if not self._store.compare_and_swap(_key(service), value, revision):
            return False
        self._stored[service] = frozenset(versions)
        log.notice("versions registered", service=service, versions=sorted(versions))
        return True

    def _note_restore(self) -> None:
        if self._store.epoch == self._epoch:
            return
        self._epoch = self._store.epoch
        self._restored_at = self._clock.elapsed()
        # A version without endpoints is not listed, but its streams may be resumed.
        for service, versions in self._stored.items():
            if versions:
                known = self._unrestored.get(service, frozenset())
                self._unrestored[service] = known | versions
        self._checked.clear()
        self._checked_changes = None

    def _is_restoring(self) -> bool:
        self._note_restore()
        if self._restored_at is None:
            return False
        return self._clock.elapsed() - self._restored_at < RESTORE_TIME


def _key(service: str) -> str:
    # Names may be too long for the store's keys.
    return VERSIONS_PREFIX + xxh64_hexdigest(service.encode())
