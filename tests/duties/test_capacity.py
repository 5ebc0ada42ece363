"""The capacity duty between a record and its orders."""

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
    START_LIMIT,
    PendingStart,
    StartBook,
    StartRecord,
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
    """Cloud that remembers starts by id."""

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


def test_start_recorded_by_a_lost_holder_is_sent_once_by_the_next(
    duty_of, store, cloud
):
    """An instance would never start, or start twice.

    The holder records a start and loses its lease before it sends it. The next
    holder must send that very start and plan no second one for the same need.
    """
    with pytest.raises(LeaseNotHeld):
        duty_of(FakeHolder(permits=1)).step()
    assert cloud.started == {}
    successor = duty_of(FakeHolder())
    successor.step()
    successor.step()
    assert len(cloud.started) == cloud.calls == 1
    (recorded,) = StartBook(store).read().pending
    assert [recorded.order.request_id] == list(cloud.started)


def test_sent_start_is_sent_again_under_its_id_by_the_next_holder(duty_of, cloud):
    """A holder dies after its send; nobody else knows that it was sent."""
    duty_of(FakeHolder()).step()
    duty_of(FakeHolder()).step()
    assert cloud.calls == 2
    assert len(cloud.started) == 1


def test_record_of_a_paused_holder_is_not_written_over_the_next(store):
    """A paused holder thaws between reading the record and writing it."""
    paused, successor = StartBook(store), StartBook(store)
    paused.read()
    successor.write(successor.read())
    with pytest.raises(RecordChanged):
        paused.write(StartRecord())


def test_refused_start_is_backed_off_from(duty_of, store, cloud, clock):
    """The cloud refuses a start; asking in every round would be no use."""
    cloud.refuses = True
    duty = duty_of(FakeHolder())
    for _ in range(3):
        duty.step()
        clock.advance(timedelta(seconds=2))
    assert cloud.calls == 1
    record = StartBook(store).read()
    assert record.pending == ()
    assert record.refusals[0].refusals == 1


def test_start_ends_when_its_instance_is_listed_or_never_comes(clock):
    """A start that is counted for ever would hide that an instance is missing."""
    order = StartInstance("r-1", "records", "zone-a", "cpu-small", True)
    now = clock.now()
    record = StartRecord(1, (PendingStart(order, now, ("records-1",)),))
    assert record.reconciled([_instance("records-1")], now) == record
    listed = [_instance("records-1"), _instance("i-1")]
    assert record.reconciled(listed, now).pending == ()
    assert record.reconciled([], now + START_LIMIT).pending == ()
    assert StartRecord.from_json(record.to_json()) == record
