"""The versions of each service in the platform's store."""

from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.clock import ManualClock, SystemClock
from sassafrasdale.coordination.exceptions import StoreError
from sassafrasdale.deployment import Endpoint, EndpointState
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.gateway.directory import Directory
from sassafrasdale.gateway.streams.version_register import (
    FULL_CHECK_INTERVAL,
    RESTORE_TIME,
    RETENTION_TIME,
    VersionRegister,
)
from sassafrasdale.green import sleep
from sassafrasdale.structures import Address
from tests.coordination.fakes import FakeStore

SECOND = timedelta(seconds=1)


class RestorableStore(FakeStore):
    """Store in memory that counts its restores."""

    restores = 0
    # Versions of the endpoints that it lists.
    listed: tuple[str, ...] = ()

    @property
    def epoch(self) -> int:
        return self.restores


class Gateway:
    """One gateway's register and directory."""

    def __init__(self, store: FakeStore, clock: ManualClock) -> None:
        self.directory = Directory(clock, Random(1), SECOND)
        self.is_listed = True
        self.register = VersionRegister(
            store,
            Dependency("store", clock),
            self.directory,
            clock,
            Random(1),
            lambda service: set(store.listed),
            lambda: self.is_listed,
        )

    def list(self, name: str, version: str) -> None:
        """List an endpoint."""
        self.directory.put(
            Endpoint(
                name,
                "models",
                Address("127.0.0.1", 7),
                "a",
                EndpointState.READY,
                version=version,
            )
        )


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def store(clock):
    return RestorableStore(clock)


@pytest.fixture
def gateways(store, clock):
    return [Gateway(store, clock) for _ in range(2)]


def test_streams_begin_at_a_version_once_it_is_stored(gateways, store):
    """Guards against streams of a version that a restarted gateway can't know of."""
    one, other = gateways
    one.list("m-1", "v1")
    assert not one.register.may_begin("models", "v1")
    store.faults = ["unreached"]
    with pytest.raises(StoreError):
        one.register.step()
    assert not one.register.may_begin("models", "v1")
    one.register.step()
    assert one.register.may_begin("models", "v1")
    assert other.register.only_version("models") == "v1"


def test_several_versions_leave_the_stream_unknown(gateways):
    one, other = gateways
    one.list("m-1", "v1")
    one.register.step()
    one.list("m-2", "v2")
    one.register.step()
    other.list("m-2", "v2")
    other.register.step()
    assert other.register.only_version("models") == ""


def test_gateways_that_write_at_once_lose_no_version(gateways, store):
    """Guards against a version that another gateway's write overwrites."""
    one, other = gateways
    one.list("m-1", "v1")
    other.list("m-2", "v2")
    store.faults = [None, "late"]
    with pytest.raises(StoreError):
        one.register.step()
    other.register.step()
    store.apply_late()
    one.register.step()
    assert one.register.may_begin("models", "v1")
    assert other.register.only_version("models") == ""


def test_registered_versions_cost_no_calls(gateways, store):
    one, _ = gateways
    one.list("m-1", "v1")
    one.register.step()
    calls = store.calls
    for _ in range(100):
        one.register.step()
    assert store.calls == calls


def test_an_unreachable_store_leaves_the_stream_unknown(gateways, store):
    one, _ = gateways
    one.list("m-1", "v1")
    one.register.step()
    store.faults = ["unreached"]
    assert one.register.only_version("models") is None
    assert one.register.only_version("models") == "v1"


def test_a_silent_store_holds_no_request_up(gateways, store, monkeypatch):
    """Guards against callers that wait for a store that does not respond."""
    one, _ = gateways
    one.list("m-1", "v1")
    one.register.step()
    monkeypatch.setattr(store, "get", lambda key: sleep(2 * SECOND))
    began_at = SystemClock().elapsed()
    assert one.register.only_version("models") is None
    assert SystemClock().elapsed() - began_at < SECOND


def test_a_gateway_without_the_store_learns_versions_from_another(gateways, store):
    """Guards against streams that are refused while the store is out for one only."""
    one, other = gateways
    for gateway in (one, other):
        gateway.list("m-1", "v1")
    one.register.step()
    assert not other.register.may_begin("models", "v1")
    other.register.learn({"models": ("v1", "v9"), "records": ("v1",)})
    assert other.register.may_begin("models", "v1")
    assert not other.register.may_begin("models", "v9")
    assert other.register.registered() == {"models": ("v1",)}


def test_a_version_without_endpoints_is_taken_off_the_record(gateways, clock):
    one, other = gateways
    one.list("m-1", "v1")
    one.list("m-2", "v2")
    one.register.step()
    one.directory.remove("m-1")
    one.register.step()
    clock.advance(RETENTION_TIME - SECOND)
    one.register.step()
    assert other.register.only_version("models") == ""
    clock.advance(FULL_CHECK_INTERVAL)
    one.register.step()
    assert other.register.only_version("models") == "v2"


def test_a_version_that_returns_is_stored_again(gateways, store, clock):
    """Guards against streams of a version that was taken off the record."""
    one, other = gateways
    one.list("m-2", "v2")
    for gateway in (one, other):
        gateway.list("m-1", "v1")
        gateway.register.step()
        gateway.directory.remove("m-1")
        gateway.register.step()
    store.listed = ("v2",)
    clock.advance(RETENTION_TIME)
    one.register.step()
    store.listed = ("v1", "v2")
    other.list("m-1", "v1")
    assert not other.register.may_begin("models", "v1")
    other.register.step()
    assert other.register.may_begin("models", "v1")
    assert one.register.only_version("models") == ""


def test_a_copy_without_a_version_decides_nothing(gateways, store, clock):
    """Guards against a version that a restore of the store has lost."""
    one, other = gateways
    one.list("m-1", "v1")
    one.register.step()
    copy = dict(store.keys)
    one.list("m-2", "v2")
    one.register.step()
    store.keys = copy
    store.restores = 1
    assert other.register.only_version("models") is None
    one.register.step()
    assert one.register.may_begin("models", "v2")
    clock.advance(RESTORE_TIME)
    assert other.register.only_version("models") == ""


def test_a_record_that_can_not_be_read_decides_nothing(gateways, store):
    one, other = gateways
    one.list("m-1", "v1")
    one.register.step()
    [key] = store.keys
    store.compare_and_swap(key, b"\xff", store.keys[key].mod_revision)
    assert other.register.only_version("models") == ""
    other.list("m-1", "v1")
    other.register.step()
    assert other.register.may_begin("models", "v1")
    assert other.register.only_version("models") == ""


def test_a_start_waits_until_what_is_listed_is_registered(gateways):
    """Guards against streams that a gateway refuses just after it has become ready."""
    one, _ = gateways
    one.is_listed = False
    one.register.step()
    assert not one.register.is_loaded
    one.is_listed = True
    one.list("m-1", "v1")
    one.register.step()
    assert one.register.is_loaded
    assert one.register.may_begin("models", "v1")


def test_a_version_that_only_others_list_stays_on_the_record(gateways, store, clock):
    """Guards against a gateway with an outdated list that removes what is in use."""
    one, other = gateways
    one.list("m-1", "v1")
    other.list("m-2", "v2")
    store.listed = ("v1", "v2")
    for _ in range(3):
        for gateway in (one, other):
            gateway.register.step()
        clock.advance(RETENTION_TIME)
    assert one.register.only_version("models") == ""
    assert other.register.only_version("models") == ""


def test_a_restore_that_is_noticed_during_a_step_has_all_checked_again(
    gateways, store, monkeypatch
):
    """Guards against versions that a restored store lacks and no gateway writes."""
    one, other = gateways
    one.list("m-1", "v1")
    read = store.get

    def restore_after(key: str):
        found = read(key)
        store.restores = 1
        one.register.only_version("models")
        return found

    with monkeypatch.context() as patched:
        patched.setattr(store, "get", restore_after)
        one.register.step()
    store.keys.clear()
    one.register.step()
    assert len(store.keys) == 1


@pytest.mark.parametrize("is_noticed_late", [False, True])
def test_a_version_without_endpoints_is_stored_again_after_a_restore(
    gateways, store, clock, monkeypatch, is_noticed_late
):
    """Guards against streams of a version that only the lost writes had named.

    Its last endpoint has left, but its streams may yet be resumed. A gateway may learn
    of the restore as it reads what is left.
    """
    one, other = gateways
    one.list("m-1", "v1")
    one.register.step()
    copy = dict(store.keys)
    one.list("m-2", "v2")
    one.register.step()
    one.directory.remove("m-2")
    one.register.step()
    store.keys = copy
    if is_noticed_late:
        read = store.get

        def read_restored(key: str):
            store.restores = 1
            return read(key)

        with monkeypatch.context() as patched:
            patched.setattr(store, "get", read_restored)
            one.register.only_version("models")
    store.restores = 1
    assert other.register.only_version("models") is None
    one.register.step()
    clock.advance(RESTORE_TIME)
    assert other.register.only_version("models") == ""
    clock.advance(RETENTION_TIME)
    one.register.step()
    assert other.register.only_version("models") == "v1"
