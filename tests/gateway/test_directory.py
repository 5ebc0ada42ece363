"""The directory of registered endpoints."""

from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.deployment import Endpoint, EndpointState
from sassafrasdale.gateway.directory import RESTART_TIME, Directory
from sassafrasdale.structures import Address

DRAIN = timedelta(seconds=2)


def endpoint(name: str, port: int = 1, **changed) -> Endpoint:
    fields = {"state": EndpointState.READY, **changed}
    return Endpoint(name, "records", Address("127.0.0.1", port), "a", **fields)


class World:
    """A directory, and the time since the store last failed."""

    def __init__(self):
        self.clock = ManualClock()
        self.since_outage = None
        self.directory = Directory(
            self.clock, Random(1), DRAIN, lambda: self.since_outage
        )

    def names(self):
        return sorted(rec.name for rec in self.directory.of_service("records"))


@pytest.fixture
def world():
    world = World()
    for name in ("i-1", "i-2"):
        world.directory.put(endpoint(name))
    return world


def test_ready_endpoints_are_used(world):
    assert world.names() == ["i-1", "i-2"]


def test_requests_that_an_endpoint_got_before_its_restart_was_known_count(world):
    """Guards against more requests than a brittle endpoint bears as it comes back."""
    world.directory.put(endpoint("i-3", born=1))
    former = world.directory.records["i-3"]
    former.in_flight = 2
    world.directory.put(endpoint("i-3", born=2))
    record = world.directory.records["i-3"]
    assert (record.in_flight, record.unlisted_in_flight) == (0, 2)
    former.in_flight -= 1
    assert record.unlisted_in_flight == 1
    world.directory.put(endpoint("i-3", born=3))
    assert world.directory.records["i-3"].unlisted_in_flight == 0


def test_draining_endpoints_are_not_used(world):
    world.directory.put(endpoint("i-1", state=EndpointState.DRAINING))
    assert world.names() == ["i-2"]
    assert len(world.directory.all_of_service("records")) == 2


def test_removed_endpoints_are_not_used_while_there_are_others(world):
    world.directory.remove("i-1")
    assert world.names() == ["i-2"]


def test_endpoints_stay_usable_if_all_registrations_expire_in_an_outage(world):
    """Guards against refusing all requests though all endpoints serve.

    The store is out, all registrations expire meanwhile, and they are back two seconds
    after its return.
    """
    world.since_outage = timedelta(seconds=1)
    for name in ("i-1", "i-2"):
        world.directory.remove(name)
    world.clock.advance(timedelta(seconds=2))
    assert world.names() == ["i-1", "i-2"]
    world.clock.advance(timedelta(seconds=1))
    assert world.names() == []


def test_an_endpoint_removed_without_an_outage_is_dropped_in_time(world):
    """Guards against requests to a leaving endpoint after its drain time.

    Some endpoints never register as draining: their registration just disappears.
    """
    for name in ("i-1", "i-2"):
        world.directory.remove(name)
    world.clock.advance(DRAIN * 0.6)
    assert world.names() == []


def test_a_new_address_gets_a_new_connection_pool(world):
    before = world.directory.records["i-1"]
    world.directory.put(endpoint("i-1", port=2))
    assert world.directory.records["i-1"].pool is not before.pool


def test_a_state_change_keeps_the_load(world):
    world.directory.records["i-1"].in_flight = 3
    world.directory.put(endpoint("i-1", state=EndpointState.DRAINING))
    assert world.directory.records["i-1"].in_flight == 3


def test_a_restarted_endpoint_gets_a_new_record(world):
    """Guards against dead connections and stale load counts after a restart.

    An endpoint crashes with requests in progress and restarts under its name and
    address before its registration expires. Only its start time changes.
    """
    world.directory.put(endpoint("i-1", born=1))
    before = world.directory.records["i-1"]
    before.in_flight = 3
    assert world.directory.put(endpoint("i-1", born=2))
    after = world.directory.records["i-1"]
    assert after is not before
    assert after.in_flight == 0


def test_a_restart_resets_health(world):
    health = world.directory.health_of("records")
    world.directory.put(endpoint("i-1", born=1))
    for _ in range(6):
        health.observe("i-1", ok=False, now=world.clock.elapsed())
    assert health.weights(world.clock.elapsed())["i-1"] == 0
    world.directory.put(endpoint("i-1", born=2))
    assert health.weights(world.clock.elapsed())["i-1"] == 1


def test_a_copy_of_an_earlier_registration_is_not_taken_for_a_restart(world):
    """Guards against streams that go on at a version that the endpoint left."""
    world.directory.put(endpoint("i-1", born=2, version="v2"))
    record = world.directory.records["i-1"]
    record.in_flight = 3
    world.directory.health_of("records").observe(
        "i-1", ok=False, now=world.clock.elapsed()
    )
    weights = world.directory.health_of("records").weights(world.clock.elapsed())
    older = endpoint("i-1", port=2, born=1, version="v1")
    assert not world.directory.put(older, is_restored=True)
    assert world.directory.records["i-1"] is record
    assert record.known_version == "v2"
    assert world.directory.versions_of("records") == {"", "v2"}
    after = world.directory.health_of("records").weights(world.clock.elapsed())
    assert after == weights


def test_a_restart_that_a_restored_store_knows_counts(world):
    """Guards against resumed streams at an endpoint that restarted in a restore."""
    world.directory.put(endpoint("i-1", born=1, version="v1"))
    assert world.directory.put(endpoint("i-1", born=2, version="v2"), is_restored=True)
    record = world.directory.records["i-1"]
    assert (record.endpoint.version, record.known_version) == ("v2", "")
    world.clock.advance(RESTART_TIME * 1.1)
    world.directory.confirm_versions()
    assert record.known_version == "v2"


def test_a_version_that_only_a_restored_store_names_is_not_known_at_once(world):
    """Guards against streams bound to a version that the endpoint has left.

    A gateway that starts has no later registration to compare with.
    """
    restored = endpoint("i-3", born=1, version="v1")
    world.directory.put(restored, is_restored=True)
    record = world.directory.records["i-3"]
    assert record.known_version == ""
    world.clock.advance(RESTART_TIME / 2)
    world.directory.confirm_versions()
    assert record.known_version == ""
    world.clock.advance(RESTART_TIME)
    world.directory.confirm_versions()
    assert record.known_version == "v1"


def test_a_known_registration_in_a_restored_store_keeps_its_version_known(world):
    """Guards against streams that none may resume for a time after each restore."""
    world.directory.put(endpoint("i-3", born=1, version="v1"))
    world.directory.put(endpoint("i-3", born=1, version="v1"), is_restored=True)
    assert world.directory.records["i-3"].known_version == "v1"


def test_a_restart_after_its_clock_was_set_back_counts(world):
    """Guards against the version of a process that has ended, at its successor."""
    world.directory.put(endpoint("i-1", born=2, version="v1"))
    assert world.directory.put(endpoint("i-1", born=1, version="v2"))
    assert world.directory.records["i-1"].known_version == "v2"


def test_a_renewed_registration_keeps_the_record(world):
    world.directory.put(endpoint("i-1", born=1))
    before = world.directory.records["i-1"]
    assert not world.directory.put(endpoint("i-1", born=1))
    assert world.directory.records["i-1"] is before


def test_a_doubted_version_is_known_again_once_a_restart_would_have_registered():
    """Guards against an endpoint that resumes no stream for good after a lost link."""
    world = World()
    world.directory.put(endpoint("m-1", born=1, version="v1"))
    record = world.directory.records["m-1"]
    world.directory.doubt_version(record)
    world.directory.confirm_versions()
    assert record.known_version == ""
    world.clock.advance(RESTART_TIME + DRAIN)
    world.since_outage = RESTART_TIME / 2
    world.directory.confirm_versions()
    assert record.known_version == ""
    world.since_outage = None
    world.directory.confirm_versions()
    assert record.known_version == "v1"
