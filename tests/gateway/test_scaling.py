"""Autoscaling over time."""

import json
from datetime import timedelta

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.coordination.exceptions import LeaseNotHeld, StoreAnswerLost
from sassafrasdale.decisions.ordering import OrderKey, PlannedService
from sassafrasdale.deployment import ScaleBounds
from sassafrasdale.gateway.scaling import LISTING_TIME, MAX_ORDER_DELAY, Scaler
from sassafrasdale.platform.exceptions import DutyCallFailed, NoEndpointAvailable
from tests.gateway.duties import SECOND, Lease

BOUNDS = ScaleBounds(1, 8, timedelta(seconds=4), 0.22, {"a": 0.85, "b": 1.2})


class Cloud:
    """Fake platform with unavailable zones and failing calls."""

    def __init__(self):
        self.orders = []
        self.unavailable = set()
        self.failing_calls = False

    def order_endpoints(self, service, zone, count, number, *, reclaimable):
        if self.failing_calls:
            raise DutyCallFailed("no answer")
        if reclaimable and zone in self.unavailable:
            raise NoEndpointAvailable("none")
        self.orders.append((zone, reclaimable, count, number))

    def wanted(self):
        return {
            (zone, reclaimable): count for zone, reclaimable, count, _ in self.orders
        }


class Record:
    """Fake of the stored record for the next leader."""

    def __init__(self):
        self.document = None
        self.writes = 0
        self.is_known = False
        self.is_restored = False
        self.failing = False

    @property
    def is_current(self):
        return self.is_known and not self.is_restored

    def read(self):
        self.is_known = True
        return self.document

    def write(self, document):
        if self.failing:
            self.is_known = False
            raise StoreAnswerLost("lost")
        self.document = json.loads(json.dumps(document))
        self.is_restored = False
        self.writes += 1


class ScaledService:
    """A scaler with a service whose load and endpoints are set by the test."""

    def __init__(self):
        self.clock = ManualClock()
        self.lease = Lease(5)
        self.cloud = Cloud()
        self.record = Record()
        self.load = 0.0
        self.running = {OrderKey("models", "a", False): 6}
        self.scaler = self.new_scaler()
        self.pass_time(LISTING_TIME + SECOND)

    def new_scaler(self, **options):
        return Scaler(
            self.lease, self.cloud, self.record, self.view, self.clock, **options
        )

    def view(self):
        return (PlannedService("models", BOUNDS, self.running, self.load),)

    def pass_time(self, time):
        for _ in range(int(time / (SECOND / 2))):
            self.clock.advance(SECOND / 2)
            self.scaler.step()


def test_orders_are_sent_once():
    scaled = ScaledService()
    scaled.load = 1.0
    scaled.pass_time(3 * SECOND)
    assert len(set(scaled.cloud.orders)) == len(scaled.cloud.orders)


def test_scale_down_is_delayed():
    """Guards against endpoints that are released in a trough before the next wave."""
    scaled = ScaledService()
    scaled.running = {OrderKey("models", "a", False): 1}
    scaled.load = 2.5
    # A load that is high at once is taken for a larger one that has just begun.
    scaled.pass_time(40 * SECOND)
    before = sum(scaled.cloud.wanted().values())
    scaled.load = 0.3
    scaled.pass_time(4 * SECOND)
    assert sum(scaled.cloud.wanted().values()) == before
    scaled.pass_time(14 * SECOND)
    assert sum(scaled.cloud.wanted().values()) < before


def test_an_unavailable_zone_is_compensated_and_tried_again():
    """Reclaimable endpoints are reclaimed and unavailable for a while."""
    scaled = ScaledService()
    scaled.running = {OrderKey("models", "a", False): 1}
    scaled.cloud.unavailable = {"a", "b"}
    scaled.load = 2.0
    scaled.pass_time(4 * SECOND)
    on_demand = sum(
        n for (_, reclaimable), n in scaled.cloud.wanted().items() if not reclaimable
    )
    assert on_demand >= 4
    scaled.cloud.unavailable = set()
    scaled.pass_time(4 * SECOND)
    assert any(reclaimable for _, reclaimable in scaled.cloud.wanted())


def test_a_new_term_resends_all_orders():
    scaled = ScaledService()
    scaled.load = 1.0
    scaled.pass_time(2 * SECOND)
    scaled.lease.number = 9
    scaled.cloud.orders.clear()
    scaled.pass_time(2 * SECOND)
    assert {number for *_, number in scaled.cloud.orders} == {9}


def test_a_failed_order_is_sent_again():
    scaled = ScaledService()
    scaled.load = 1.0
    scaled.cloud.failing_calls = True
    scaled.pass_time(SECOND)
    scaled.cloud.failing_calls = False
    scaled.pass_time(4 * SECOND)
    assert scaled.cloud.orders


def test_nothing_is_ordered_without_the_lease():
    scaled = ScaledService()
    scaled.lease.number = 0
    scaled.cloud.orders.clear()
    with pytest.raises(LeaseNotHeld):
        scaled.scaler.step()
    assert scaled.cloud.orders == []


def test_running_endpoints_count_as_loaded_until_the_load_is_known():
    """Guards against releasing nearly all endpoints before callers begin to send."""
    scaled = ScaledService()
    scaled.running = {OrderKey("models", "a", False): 12}
    scaled.pass_time(8 * SECOND)
    assert sum(scaled.cloud.wanted().values()) >= 6


def test_endpoints_that_are_not_listed_yet_are_not_released():
    """Guards against a scale-down just before callers begin to send.

    The gateways start first, elect a leader, and read a list that is still empty.
    """
    scaled = ScaledService()
    scaled.scaler = scaled.new_scaler()
    scaled.cloud.orders.clear()
    scaled.running = {}
    scaled.pass_time(SECOND)
    scaled.running = {OrderKey("models", "b", False): 1}
    scaled.pass_time(SECOND)
    scaled.running = {OrderKey("models", "b", False): 6}
    assert scaled.cloud.orders == []


def test_a_load_that_has_just_begun_is_extrapolated():
    """Guards against half of the needed endpoints when all callers begin at once.

    The load is a moving average that starts at zero and shows 45 percent after three
    seconds.
    """
    scaled = ScaledService()
    scaled.running = {OrderKey("models", "a", False): 1}
    scaled.load = 0.2
    scaled.pass_time(SECOND)
    scaled.load = 3.0 * 0.45
    scaled.pass_time(2 * SECOND)
    on_demand = sum(
        n for (_, reclaimable), n in scaled.cloud.wanted().items() if not reclaimable
    )
    assert on_demand >= 4


def test_a_new_leader_does_not_extrapolate_an_old_load():
    """Guards against excessive orders at each change of the leader."""
    scaled = ScaledService()
    scaled.running = {OrderKey("models", "a", False): 4}
    scaled.load = 1.2
    scaled.record.document = None
    scaled.scaler = scaled.new_scaler()
    scaled.cloud.orders.clear()
    scaled.pass_time(6 * SECOND)
    on_demand = sum(
        n for (_, reclaimable), n in scaled.cloud.wanted().items() if not reclaimable
    )
    # No more than are running.
    assert on_demand <= 4


def test_a_new_leader_does_not_cancel_orders_of_starting_endpoints():
    """Guards against a delayed scale-up at each change of the leader.

    The leader orders endpoints, which take four seconds to start, and stops. The next
    leader sees a lower load for a while, as some gateways' reports are missing.
    """
    scaled = ScaledService()
    scaled.running = {OrderKey("models", "a", False): 1}
    scaled.load = 3.0
    scaled.pass_time(6 * SECOND)
    before = scaled.cloud.wanted()
    scaled.lease.number = 9
    scaled.load = 1.5
    scaled.scaler = scaled.new_scaler()
    scaled.pass_time(6 * SECOND)
    after = scaled.cloud.wanted()
    assert all(after[key] >= count for key, count in before.items())
    assert {number for *_, number in scaled.cloud.orders[-len(before) :]} == {9}


def test_orders_are_recorded_only_if_they_change():
    scaled = ScaledService()
    scaled.load = 1.0
    scaled.pass_time(40 * SECOND)
    writes = scaled.record.writes
    scaled.pass_time(6 * SECOND)
    assert scaled.record.writes == writes
    recorded = {
        (zone, reclaimable): count
        for _, zone, reclaimable, count in scaled.record.document
    }
    assert recorded == scaled.cloud.wanted()


def test_orders_continue_while_the_record_cannot_be_written():
    """The store fails while the lease is still valid, and the load rises."""
    scaled = ScaledService()
    scaled.running = {OrderKey("models", "a", False): 1}
    scaled.load = 1.0
    scaled.pass_time(6 * SECOND)
    scaled.record.failing = True
    scaled.load = 3.0
    with pytest.raises(StoreAnswerLost):
        scaled.pass_time(SECOND)
    scaled.record.failing = False
    scaled.pass_time(SECOND)
    on_demand = sum(
        n for (_, reclaimable), n in scaled.cloud.wanted().items() if not reclaimable
    )
    assert on_demand >= 6
    assert scaled.record.document


def test_a_new_leader_scales_down_despite_its_unknown_history():
    """Guards against idle endpoints that are never released as leaders change.

    The load fell a while ago, and the leader changes before the scale-down delay is
    over; the next one can't know when the load fell.
    """
    scaled = ScaledService()
    scaled.running = {OrderKey("models", "a", False): 1}
    scaled.load = 3.0
    scaled.pass_time(6 * SECOND)
    before = sum(scaled.cloud.wanted().values())
    scaled.load = 0.5
    for number in (9, 13, 17):
        scaled.lease.number = number
        scaled.scaler = scaled.new_scaler()
        scaled.pass_time(9 * SECOND)
    assert sum(scaled.cloud.wanted().values()) < before / 2


def test_an_endpoint_that_leaves_is_replaced():
    """Guards against ten seconds of queueing at half of the engines.

    Of two endpoints that can't be reclaimed, one is drained and removed by the
    platform. The order in force still says two, so nothing was ordered until the load
    required another count.
    """
    scaled = ScaledService()
    key = OrderKey("models", "a", False)
    scaled.load = 0.5
    scaled.running = {key: 2}
    scaled.pass_time(20 * SECOND)
    on_demand = scaled.cloud.wanted()["a", False]
    scaled.running = {key: on_demand}
    scaled.pass_time(10 * SECOND)
    scaled.cloud.orders.clear()
    scaled.running = {key: on_demand - 1}
    scaled.pass_time(SECOND / 2)
    assert ("a", False, on_demand, 5) in scaled.cloud.orders


def test_endpoints_reclaimed_while_others_start_are_replaced_at_once():
    """Guards against a replacement of a reclaimed zone that is six seconds late.

    More endpoints were ordered a moment ago, and the order isn't sent again while they
    start. Meanwhile the platform reclaims the running ones.
    """
    scaled = ScaledService()
    scaled.load = 1.0
    keys = [OrderKey("models", zone, True) for zone in "ab"]
    scaled.running = {OrderKey("models", "a", False): 1} | dict.fromkeys(keys, 2)
    scaled.pass_time(20 * SECOND)
    scaled.load = 1.6
    scaled.pass_time(SECOND)
    scaled.cloud.orders.clear()
    scaled.running = {OrderKey("models", "a", False): 1, keys[1]: 2}
    scaled.pass_time(SECOND / 2)
    assert ("a", True) in scaled.cloud.wanted()


def test_orders_are_resent_if_the_platform_checks_no_fencing_numbers():
    """Guards against the permanent loss of half of the endpoints.

    A former leader's order got no response and is carried out after the new leader's.
    The platform doesn't check fencing numbers and follows the older order.
    """
    scaled = ScaledService()
    scaled.scaler = scaled.new_scaler(checks_fencing=False)
    scaled.load = 1.0
    scaled.pass_time(LISTING_TIME + 3 * SECOND)
    ordered = scaled.cloud.wanted()
    scaled.cloud.orders.clear()
    scaled.pass_time(2 * MAX_ORDER_DELAY)
    assert scaled.cloud.wanted().keys() == ordered.keys()


def test_on_demand_endpoints_are_ordered_again_once_a_zone_has_capacity():
    """Guards against a zone without engines for six seconds after a reclaim.

    The zone is at its limit with reclaimable endpoints, so an order of another kind is
    accepted but not carried out. Then they are reclaimed, which frees capacity.
    """
    scaled = ScaledService()
    scaled.load = 0.5
    on_demand, reclaimable_key = (
        OrderKey("models", "a", False),
        OrderKey("models", "a", True),
    )
    scaled.running = {on_demand: 1, reclaimable_key: 7}
    scaled.pass_time(40 * SECOND)
    scaled.load = 2.0
    scaled.pass_time(SECOND / 2)
    scaled.cloud.orders.clear()
    scaled.running = {on_demand: 1}
    scaled.pass_time(SECOND / 2)
    assert scaled.cloud.wanted()["a", False] > 1
