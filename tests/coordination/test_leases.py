"""Tests of lease holders that are paused, race each other or lose responses."""

from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.coordination.exceptions import LeaseNotHeld, StoreError
from sassafrasdale.coordination.leases import LeaseHolder
from tests.coordination.fakes import FakeStore

TTL = timedelta(seconds=10)
SECOND = timedelta(seconds=1)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def store(clock):
    return FakeStore(clock)


@pytest.fixture
def holders(store, clock):
    return [
        LeaseHolder(store, "capacity", f"entry-{number}", clock, Random(number), TTL)
        for number in range(2)
    ]


def keep(holder, clock, span):
    """Run the holder's task for ``span``."""
    for _ in range(int(span / (3 * SECOND)) + 1):
        holder.step()
        clock.advance(3 * SECOND)


def test_one_holder(holders, clock):
    for holder in holders:
        holder.step()
    assert [holder.state for holder in holders] == ["settling", "seeking"]
    keep(holders[0], clock, TTL * 3)
    holders[1].step()
    assert [holder.state for holder in holders] == ["holding", "seeking"]


def test_new_holder_waits_for_the_old_lease_before_unfenced_orders(holders, clock):
    """A former holder's last order is in transit when its lease expires.

    An endpoint that ignores fencing numbers applies whichever order arrives last,
    so the new holder's first order must arrive after it.
    """
    holders[0].step()
    assert holders[0].permit(checks_fencing=True).fencing_number > 0
    with pytest.raises(LeaseNotHeld):
        holders[0].permit(checks_fencing=False)
    keep(holders[0], clock, TTL)
    assert holders[0].permit(checks_fencing=False).fencing_number > 0


def test_paused_holder_gets_no_permit_after_expiry(holders, clock):
    """A holder is paused until its lease has expired and resumes its work.

    None of its tasks ran in between. Its next order would conflict with the new
    holder's, so the permit itself must check the time.
    """
    holders[0].step()
    first = holders[0].permit(checks_fencing=True)
    clock.advance(TTL)
    holders[1].step()
    second = holders[1].permit(checks_fencing=True)
    assert second.fencing_number > first.fencing_number
    with pytest.raises(LeaseNotHeld):
        holders[0].permit(checks_fencing=True)


def test_holder_stops_before_its_lease_expires_in_the_store(holders, clock):
    holders[0].step()
    clock.advance(TTL * 0.85)
    with pytest.raises(LeaseNotHeld):
        holders[0].permit(checks_fencing=True)
    holders[1].step()
    assert holders[1].state == "seeking"


def test_late_keep_alive_response_does_not_restore_the_duty(holders, clock, store):
    """A keep-alive is sent before a pause and its response is read after it."""
    holders[0].step()
    original = store.keep_alive

    def pause_after(lease):
        original(lease)
        clock.advance(TTL)

    store.keep_alive = pause_after
    holders[0].step()
    assert holders[0].state == "seeking"


@pytest.mark.parametrize("fault", ["lost_after", "late"])
def test_lost_response_of_the_acquisition(holders, store, fault):
    """The store creates the key and its response is lost.

    If this counted as a rejection, nobody would hold the duty until the lease
    expired.
    """
    store.faults = [None, None, fault]
    holders[0].step()
    for _ in range(len(store.late)):
        store.apply_late()
    permit = holders[0].permit(checks_fencing=True)
    held = store.keys["sassafrasdale/leases/capacity"]
    assert permit.fencing_number == held.create_revision


def test_lease_expires_by_elapsed_time_in_a_store_outage(holders, clock, store):
    holders[0].step()
    for _ in range(3):
        store.faults = ["unreached"]
        with pytest.raises(StoreError):
            holders[0].step()
        clock.advance(3 * SECOND)
    assert holders[0].state == "seeking"


def test_duty_is_released_during_a_store_outage(holders, store):
    """Guards against an error that ends the releasing task and stalls its duty."""
    holders[0].step()
    store.faults = ["unreached"]
    holders[0].release()
    assert holders[0].state == "seeking"


def test_released_duty_can_be_acquired_immediately(holders):
    holders[0].step()
    holders[0].release()
    holders[1].step()
    assert [holder.state for holder in holders] == ["seeking", "settling"]


def test_cooldown_prevents_alternating_holders(store, clock):
    """Guards against interleaved orders of two holders that alternate.

    The first holder releases the duty; a second one acquires it and soon releases
    it as well. Only the cooldown prevents the first from acquiring it again.
    """
    first, second = (
        LeaseHolder(store, "d", f"entry-{n}", clock, Random(n), TTL, cooldown=TTL * 2)
        for n in range(2)
    )
    first.step()
    first.release()
    second.step()
    second.release()
    clock.advance(TTL)
    first.step()
    assert first.state == "seeking"
    clock.advance(TTL)
    first.step()
    assert first.state == "settling"
