"""Holders of a duty that are paused, race each other or lose answers."""

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
    """Let the holder's task run for ``span``."""
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


def test_new_holder_waits_out_the_old_lease_for_endpoints_without_fencing(
    holders, clock
):
    """A former holder's last order is on its way as its lease lapses.

    An endpoint that ignores fencing numbers takes whatever comes last, so the new
    holder's first order must come after it.
    """
    holders[0].step()
    assert holders[0].permit(checks_fencing=True).fencing_number > 0
    with pytest.raises(LeaseNotHeld):
        holders[0].permit(checks_fencing=False)
    keep(holders[0], clock, TTL)
    assert holders[0].permit(checks_fencing=False).fencing_number > 0


def test_paused_holder_notices_before_its_next_order(holders, clock):
    """A holder is paused past its lease and thaws in the middle of its work.

    None of its tasks has run meanwhile. Its next order would cross the new
    holder's, so the permit itself must look at the time.
    """
    holders[0].step()
    first = holders[0].permit(checks_fencing=True)
    clock.advance(TTL)
    holders[1].step()
    second = holders[1].permit(checks_fencing=True)
    assert second.fencing_number > first.fencing_number
    with pytest.raises(LeaseNotHeld):
        holders[0].permit(checks_fencing=True)


def test_holder_stops_before_the_store_gives_the_duty_on(holders, clock):
    holders[0].step()
    clock.advance(TTL * 0.85)
    with pytest.raises(LeaseNotHeld):
        holders[0].permit(checks_fencing=True)
    holders[1].step()
    assert holders[1].state == "seeking"


def test_keep_alive_answered_late_does_not_bring_the_duty_back(holders, clock, store):
    """A keep-alive leaves just before a pause; its answer is read after it."""
    holders[0].step()
    original = store.keep_alive

    def pause_after(lease):
        original(lease)
        clock.advance(TTL)

    store.keep_alive = pause_after
    holders[0].step()
    assert holders[0].state == "seeking"


@pytest.mark.parametrize("fault", ["lost_after", "late"])
def test_lost_answer_of_the_acquisition(holders, store, fault):
    """The store gives the duty and its answer is lost.

    Taken for a refusal, the duty would be nobody's for the whole lease.
    """
    store.faults = [None, None, fault]
    holders[0].step()
    for _ in range(len(store.late)):
        store.land()
    permit = holders[0].permit(checks_fencing=True)
    held = store.keys["sassafrasdale/leases/capacity"]
    assert permit.fencing_number == held.create_revision


def test_store_outage_ends_the_duty_by_time_alone(holders, clock, store):
    holders[0].step()
    for _ in range(3):
        store.faults = ["unreached"]
        with pytest.raises(StoreError):
            holders[0].step()
        clock.advance(3 * SECOND)
    assert holders[0].state == "seeking"


def test_a_duty_is_released_also_while_the_store_is_away(holders, store):
    """The task that steps down would end with an error, and its duty stand still."""
    holders[0].step()
    store.faults = ["unreached"]
    holders[0].release()
    assert holders[0].state == "seeking"


def test_released_duty_is_had_at_once(holders):
    holders[0].step()
    holders[0].release()
    holders[1].step()
    assert [holder.state for holder in holders] == ["seeking", "settling"]


def test_holders_do_not_alternate_within_moments(store, clock):
    """Orders of two holders would mix: one acts, another, and the first again.

    The first holder gives the duty up and another one takes it, which also gives it
    up a moment later. Only the resting time keeps the first from taking it again.
    """
    first, second = (
        LeaseHolder(store, "d", f"entry-{n}", clock, Random(n), TTL, rest=TTL * 2)
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
