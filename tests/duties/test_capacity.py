"""Tests of the capacity duty, between recording and sending starts."""

from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.coordination.clouds import Price
from sassafrasdale.coordination.exceptions import LeaseNotHeld, StartRefused
from sassafrasdale.coordination.leases import Permit
from sassafrasdale.decisions.structures import StartInstance
from sassafrasdale.duties.capacity import CapacityDuty
from sassafrasdale.duties.demand import FleetView
from sassafrasdale.duties.exceptions import RecordChanged
from sassafrasdale.duties.starts import (
    START_TIMEOUT,
    PendingStart,
    StartRecord,
    StartRecordStore,
)
from sassafrasdale.structures import Address, Instance, Role
from sassafrasdale.text.parser import parse_text
from tests.coordination.fakes import FakeStore
from tests.guarantees.operators import TEXT

PRICES = (Price("zone-a", "cpu-small", True, 1.0),)


class FakeHolder:
    """Lease that is lost after a number of permits."""

    state = "holding"

    def __init__(self, permits=1000):
        self.permits = permits

    def permit(self, checks_fencing):
        if self.permits == 0:
            raise LeaseNotHeld("lost")
        self.permits -= 1
        return Permit(1, timedelta(seconds=9))


class FakeCloud:
    """Cloud that records starts by request id."""

    def __init__(self):
        self.started = {}
        self.calls = 0
        self.refuses = False

    def start_instance(self, request_id, **wanted):
        self.calls += 1
        if self.refuses:
            raise StartRefused("no capacity")
        self.started[request_id] = wanted


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def store(clock):
    return FakeStore(clock)


@pytest.fixture
def cloud():
    return FakeCloud()


@pytest.fixture
def duty_of(clock, store, cloud):
    view = FleetView(parse_text(TEXT), (), PRICES)
    return lambda holder: CapacityDuty(
        holder, cloud, store, lambda: view, clock, Random(1)
    )


def _instance(name):
    return Instance(
        name,
        Role.ENDPOINT,
        "zone-a",
        Address("127.0.0.1", 1),
        service="records",
        instance_class="cpu-small",
    )


def test_start_recorded_by_a_former_leader_is_sent_once_by_the_next(
    duty_of, store, cloud
):
    """Guards against an instance that never starts, or starts twice.

    The leader records a start and loses its lease before it sends it. The next
    leader must send that start and plan no second one for the same demand.
    """
    with pytest.raises(LeaseNotHeld):
        duty_of(FakeHolder(permits=1)).step()
    assert cloud.started == {}
    successor = duty_of(FakeHolder())
    successor.step()
    successor.step()
    assert len(cloud.started) == cloud.calls == 1
    (recorded,) = StartRecordStore(store).read().pending
    assert [recorded.order.request_id] == list(cloud.started)


def test_sent_start_is_sent_again_with_its_id_by_the_next_leader(duty_of, cloud):
    """A leader crashes after sending a start; no other entry knows that it was sent."""
    duty_of(FakeHolder()).step()
    duty_of(FakeHolder()).step()
    assert cloud.calls == 2
    assert len(cloud.started) == 1


def test_paused_leader_does_not_overwrite_the_next_leaders_record(store):
    """A leader is paused between reading the record and writing it."""
    paused, successor = StartRecordStore(store), StartRecordStore(store)
    paused.read()
    successor.write(successor.read())
    with pytest.raises(RecordChanged):
        paused.write(StartRecord())


def test_refused_start_is_not_retried_immediately(duty_of, store, cloud, clock):
    """The cloud refuses a start; retrying in every step would be useless."""
    cloud.refuses = True
    duty = duty_of(FakeHolder())
    for _ in range(3):
        duty.step()
        clock.advance(timedelta(seconds=2))
    assert cloud.calls == 1
    record = StartRecordStore(store).read()
    assert record.pending == ()
    assert record.refusals[0].refusals == 1


def test_start_is_removed_when_listed_or_timed_out(clock):
    """Guards against a start that counts forever and hides a missing instance."""
    order = StartInstance("r-1", "records", "zone-a", "cpu-small", True)
    now = clock.now()
    record = StartRecord(1, (PendingStart(order, now, ("records-1",)),))
    assert record.reconciled([_instance("records-1")], now) == record
    listed = [_instance("records-1"), _instance("i-1")]
    assert record.reconciled(listed, now).pending == ()
    assert record.reconciled([], now + START_TIMEOUT).pending == ()
    assert StartRecord.from_json(record.to_json()) == record
