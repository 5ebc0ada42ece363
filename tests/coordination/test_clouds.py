"""Tests of the cloud API's client and watchers against the stand-in."""

from collections.abc import Iterator
from datetime import timedelta
from random import Random
from uuid import uuid4

import pytest

from sassafrasdale.coordination.clouds import (
    CALL_TIMEOUT,
    CloudClient,
    InstancesListed,
    InstanceWatcher,
    NoticeGiven,
    NoticeWatcher,
)
from sassafrasdale.coordination.exceptions import CloudNotReached, StartRefused
from sassafrasdale.green import Queue, sleep, spawn
from sassafrasdale.structures import Address, InstanceState
from standins.processes import PlatformProcess, free_port
from tests.stalls import hold_up


@pytest.fixture(scope="module")
def platform() -> Iterator[PlatformProcess]:
    with PlatformProcess() as process:
        yield process


@pytest.fixture
def cloud(platform: PlatformProcess) -> Iterator[CloudClient]:
    yield CloudClient(Address.parse(platform.cloud))
    platform.set_faults(cloud={"outage": None, "refuse_starts": False})


@pytest.fixture
def name(platform: PlatformProcess) -> Iterator[str]:
    name = f"records-{uuid4().hex[:8]}"
    platform.control(
        "POST",
        "instances",
        {
            "name": name,
            "role": "endpoint",
            "availability_zone": "zone-a",
            "address": "127.0.0.1:1",
            "service": "records",
            "checks_fencing": True,
        },
    )
    yield name
    platform.remove(name)


def start(cloud: CloudClient, request_id: str) -> None:
    cloud.start_instance(
        request_id,
        service="records",
        availability_zone="zone-a",
        instance_class="cpu-small",
        reclaimable=True,
    )


def test_instances(cloud, platform, name):
    platform.set_faults(cloud={"list_lag_ms": 0})
    (found,) = [item for item in cloud.instances() if item.name == name]
    assert found.address == Address("127.0.0.1", 1)
    assert found.peer_address is None
    assert found.checks_fencing
    assert found.state is InstanceState.RUNNING


def test_notice_delivered_twice_is_posted_twice(cloud, platform, name):
    inbox = Queue()
    watcher = NoticeWatcher(cloud, inbox, Random(1))
    platform.give_notice(name, 30, times=2)
    while inbox.qsize() < 2:
        watcher.step()
    posted = [inbox.get(), inbox.get()]
    assert all(isinstance(message, NoticeGiven) for message in posted)
    assert [message.notice.instance for message in posted] == [name, name]
    assert posted[0].notice.leaves_at.tzinfo is not None


def test_refused_start_has_retry_after(cloud, platform):
    platform.set_faults(cloud={"refuse_starts": True})
    with pytest.raises(StartRefused) as refusal:
        start(cloud, uuid4().hex)
    assert refusal.value.retry_after > timedelta()


def test_start_is_idempotent_by_its_request_id(cloud, platform):
    """The response to a start is lost and the start is retried."""
    request_id = uuid4().hex
    platform.set_faults(cloud={"drop_answers": 1})
    with pytest.raises(CloudNotReached):
        start(cloud, request_id)
    start(cloud, request_id)
    started = platform.control("GET", "starts")["starts"]
    assert [item["request_id"] for item in started].count(request_id) == 1


def test_unresponsive_connections_are_closed_at_the_first_timeout(
    cloud, platform, name
):
    """The pooled connection stays unresponsive while new ones work.

    The first call on it fails; the next call must use a new connection.
    """
    platform.set_faults(cloud={"list_lag_ms": 0})
    inbox = Queue()
    watcher = InstanceWatcher(cloud, inbox, Random(1))
    watcher.step()
    platform.set_faults(cloud={"silence_connections": True})
    with pytest.raises(CloudNotReached):
        watcher.step()
    watcher.step()
    assert inbox.qsize() == 2
    assert isinstance(inbox.get(), InstancesListed)


def test_response_received_while_the_process_was_stalled_is_used(cloud, platform, name):
    """Guards against a timeout of a call whose response arrived in time."""
    platform.set_faults(cloud={"list_lag_ms": 0, "delay_ms": 200})
    try:
        call = spawn(cloud.instances)
        sleep(timedelta(milliseconds=100))
        hold_up(1.1 * CALL_TIMEOUT)
        assert name in {instance.name for instance in call.wait()}
    finally:
        platform.set_faults(cloud={"delay_ms": 0})


def test_connection_refused():
    cloud = CloudClient(Address("127.0.0.1", free_port()))
    with pytest.raises(CloudNotReached) as failure:
        cloud.prices()
    assert failure.value.retry_after > timedelta()
