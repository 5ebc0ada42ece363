"""Autoscaling by value over time, with a fake cloud whose endpoints take time to start.

The load that the scaler sees is a moving average, as gateways report it.
"""

from math import exp, pi, sin

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.decisions.endpoint_value import missed_share
from sassafrasdale.decisions.ordering import OrderKey, PlannedService
from sassafrasdale.deployment import ScaleBounds
from sassafrasdale.gateway.scaling import Scaler
from sassafrasdale.platform.exceptions import NoEndpointAvailable
from tests.gateway.duties import SECOND, Lease
from tests.gateway.test_scaling import Record

BOUNDS = ScaleBounds(1, 8, 4 * SECOND, 0.22, {"a": 0.85, "b": 1.2, "c": 1.0})
OBJECTIVE = 2 * SECOND
REQUEST_TIME = SECOND / 10
STEP = SECOND / 4
# Requests that may wait for each endpoint, if each takes the usual time.
WAITING_PLACES = 3
AVERAGING_TIME = 5 * SECOND
# Time after the start in which the load gets known.
WARMUP = 70 * SECOND


class SlowCloud:
    """Fake platform whose endpoints start late and can be reclaimed."""

    def __init__(self, clock):
        self._clock = clock
        self._starting = []
        self.running = {OrderKey("models", "a", False): 3}
        self.dry = False
        self.changes = []
        self.wanted = {}

    def order_endpoints(self, service, zone, count, number, *, reclaimable):
        key = OrderKey(service, zone, reclaimable)
        present = self.running.get(key, 0)
        if self.dry and reclaimable and count > present:
            raise NoEndpointAvailable("none")
        if self.wanted.get(key) != count:
            self.changes.append((self._clock.elapsed(), key, count))
        self.wanted[key] = count
        starting = [item for item in self._starting if item[1] == key]
        if count < present:
            self.running[key] = count
        missing = max(count - present - len(starting), 0)
        ready_at = self._clock.elapsed() + BOUNDS.start_time
        self._starting += [(ready_at, key)] * missing

    def step(self):
        now = self._clock.elapsed()
        for item in [item for item in self._starting if item[0] <= now]:
            self._starting.remove(item)
            key = item[1]
            if self.running.get(key, 0) < self.wanted[key]:
                self.running[key] = self.running.get(key, 0) + 1

    def reclaim(self, zone):
        """Remove a zone's reclaimable endpoints."""
        self.running.pop(OrderKey("models", zone, True), None)
        self._starting = [
            item for item in self._starting if not item[1].reclaimable or not self.dry
        ]


class Simulation:
    """A service with a load that is a function of seconds.

    :param load: returns the number of endpoints that callers keep fully busy.
    """

    def __init__(self, load, objective=OBJECTIVE, bounds=BOUNDS):
        self.clock = ManualClock()
        self.cloud = SlowCloud(self.clock)
        self.lease = Lease(5)
        self.record = Record()
        self.load = load
        self.average = 0.0
        self.objective = objective
        self.bounds = bounds
        self.missed = self.offered = self.price = 0.0
        self.scaler = self.new_scaler()

    def new_scaler(self):
        return Scaler(self.lease, self.cloud, self.record, self.view, self.clock)

    def view(self):
        running = {key: count for key, count in self.cloud.running.items() if count}
        service = PlannedService(
            "models",
            self.bounds,
            running,
            self.average,
            objective=self.objective,
            request_time=REQUEST_TIME,
        )
        return (service,)

    def run(self, duration):
        """Run for a time; returns the fraction of the load that missed."""
        self.missed = self.offered = self.price = 0.0
        until = self.clock.elapsed() + duration
        while self.clock.elapsed() < until:
            self.step()
        return self.missed / self.offered if self.offered else 0.0

    def step(self):
        self.clock.advance(STEP)
        load = self.load(self.clock.elapsed() / SECOND)
        decay = exp(-(STEP / AVERAGING_TIME))
        self.average = self.average * decay + load * (1 - decay)
        self.cloud.step()
        self.scaler.step()
        running = self.cloud.running
        count = sum(running.values())
        self.missed += load * missed_share(count, load, WAITING_PLACES * count)
        self.offered += load
        for key, number in running.items():
            price = self.bounds.zone_prices[key.availability_zone]
            price *= self.bounds.reclaimable_price if key.reclaimable else 1.0
            self.price += number * price * (STEP / SECOND)

    def on_demand(self):
        return sum(n for key, n in self.cloud.running.items() if not key.reclaimable)

    def total(self):
        return sum(self.cloud.running.values())

    def changes_since(self, at):
        return [change for change in self.cloud.changes if change[0] > at]


def steady(load):
    return lambda seconds: load


def test_a_steady_load_is_served_without_further_orders():
    """Guards against orders that change though the load doesn't."""
    simulation = Simulation(steady(2.0))
    simulation.run(WARMUP)
    settled_at = simulation.clock.elapsed() + 30 * SECOND
    simulation.run(30 * SECOND)
    assert simulation.run(120 * SECOND) < 0.03
    assert simulation.changes_since(settled_at) == []
    assert simulation.on_demand() == 1


def test_a_steady_load_costs_less_than_by_utilizations():
    """Guards against idle endpoints that cost more than they save callers."""
    prices = []
    for objective in (OBJECTIVE, None):
        simulation = Simulation(steady(3.0), objective)
        simulation.run(WARMUP)
        assert simulation.run(120 * SECOND) < 0.03
        prices.append(simulation.price)
    assert prices[0] < 0.8 * prices[1]


def test_waves_don_t_move_the_orders_back_and_forth():
    """Guards against endpoints released in each trough of a wave of 40 s."""
    simulation = Simulation(lambda t: 3 * (1 + 0.3 * sin(2 * pi * t / 40)))
    simulation.run(WARMUP + 40 * SECOND)
    settled_at = simulation.clock.elapsed()
    assert simulation.run(160 * SECOND) < 0.03
    # At most one order up and one down for each wave.
    assert len(simulation.changes_since(settled_at)) <= 8
    assert simulation.on_demand() <= 2


def test_a_burst_is_mostly_served():
    """Guards against a shortage that lasts for longer than a burst."""
    simulation = Simulation(lambda t: 2.0 * (2.6 if 100 <= t < 106 else 1.0))
    simulation.run(100 * SECOND - STEP)
    assert simulation.run(6 * SECOND) < 0.4
    assert simulation.run(10 * SECOND) < 0.03


def test_repeated_bursts_are_served():
    """Guards against endpoints that are released between two bursts in a minute."""
    simulation = Simulation(lambda t: 2.0 * (2.6 if t % 30 < 6 else 1.0))
    simulation.run(WARMUP + 50 * SECOND)
    assert simulation.run(120 * SECOND) < 0.05


@pytest.mark.parametrize("zone", ["a", "b", "c"])
def test_the_loss_of_a_zone_while_none_are_available(zone):
    """Guards against late requests after a reclaim, with none available for 13 s."""
    simulation = Simulation(steady(3.0))
    simulation.run(WARMUP + 30 * SECOND)
    usual = simulation.total()
    simulation.cloud.dry = True
    simulation.cloud.reclaim(zone)
    assert simulation.run(13 * SECOND) < 0.03
    # The other zones follow once on-demand endpoints have started.
    for other in "abc":
        simulation.cloud.reclaim(other)
    assert simulation.run(2 * SECOND) < 0.05
    simulation.cloud.dry = False
    assert simulation.run(60 * SECOND) < 0.03
    assert simulation.on_demand() == 1
    assert simulation.total() >= usual - 1


def test_the_on_demand_endpoints_of_a_dry_time_are_released_soon():
    """Guards against on-demand endpoints that are paid for long after a reclaim."""
    simulation = Simulation(steady(2.0))
    simulation.run(WARMUP + 30 * SECOND)
    simulation.cloud.dry = True
    simulation.cloud.reclaim("a")
    simulation.run(13 * SECOND)
    assert simulation.on_demand() >= 3
    simulation.cloud.dry = False
    simulation.run(15 * SECOND)
    assert simulation.on_demand() == 1


def test_reclaimable_endpoints_at_five_times_the_price():
    """Guards against a plan that ignores prices, and one that drops callers for them.

    Reclaimable endpoints cost as much as on-demand ones, or a fifth.
    """
    prices = {}
    for fraction in (0.2, 1.0):
        bounds = ScaleBounds(1, 8, BOUNDS.start_time, fraction, BOUNDS.zone_prices)
        simulation = Simulation(steady(3.0), bounds=bounds)
        simulation.run(WARMUP + 30 * SECOND)
        assert simulation.run(60 * SECOND) < 0.03
        prices[fraction] = simulation.price
    assert prices[1.0] < 5 * prices[0.2]


@pytest.mark.parametrize("load", [0.0, 0.001])
def test_no_requests_need_the_minimum(load):
    """Guards against no endpoints, or many, for a service without requests."""
    simulation = Simulation(lambda t: 2.0 if t < 60 else load)
    simulation.run(60 * SECOND)
    simulation.run(120 * SECOND)
    assert simulation.on_demand() == 1
    assert 3 <= simulation.total() <= 4


def test_a_service_that_never_had_requests_keeps_its_endpoints():
    """Guards against a release of endpoints just before callers begin to send."""
    by_value = Simulation(steady(0.0))
    by_utilization = Simulation(steady(0.0), objective=None)
    by_value.run(60 * SECOND)
    by_utilization.run(60 * SECOND)
    assert by_value.cloud.wanted == by_utilization.cloud.wanted


def test_orders_without_an_objective_are_as_before_the_load_is_known():
    """Guards against a decision on the variation of a load that has just begun."""
    by_value = Simulation(steady(2.0))
    by_utilization = Simulation(steady(2.0), objective=None)
    by_value.run(20 * SECOND)
    by_utilization.run(20 * SECOND)
    assert by_value.cloud.changes == by_utilization.cloud.changes


def test_a_new_leader_keeps_the_orders():
    """Guards against a release of endpoints at each change of the leader.

    The new leader has observed the load itself, and starts with the recorded orders.
    """
    simulation = Simulation(steady(3.0))
    simulation.run(WARMUP + 30 * SECOND)
    wanted = dict(simulation.cloud.wanted)
    simulation.lease.number = 9
    simulation.run(60 * SECOND)
    assert simulation.cloud.wanted == wanted


def test_a_new_gateway_as_leader_has_enough_endpoints():
    """Guards against a shortage after a leader that has not observed the load."""
    simulation = Simulation(steady(3.0))
    simulation.run(WARMUP + 30 * SECOND)
    simulation.lease.number = 9
    simulation.scaler = simulation.new_scaler()
    assert simulation.run(120 * SECOND) < 0.03
    assert simulation.on_demand() == 1
