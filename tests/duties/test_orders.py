"""Tests of orders to engines, in particular when the lease is lost."""

import json
from datetime import timedelta

import pytest

from sassafrasdale.coordination.exceptions import LeaseNotHeld
from sassafrasdale.coordination.leases import Permit
from sassafrasdale.duties.exceptions import OrderFenced
from sassafrasdale.duties.orders import DesiredState, EngineOrders
from sassafrasdale.endpoints.adapters import EndpointResponse
from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.endpoints.exceptions import NotSent
from sassafrasdale.structures import Address, Instance, Role

DESIRED = DesiredState("load_model", "reports")


class FakeEngine:
    """Engine that applies orders, and checks their fencing number if configured to."""

    def __init__(self, *, checks=False, state=None, responds=True):
        self.checks = checks
        self.state = dict(state or {})
        self.responds = responds
        self.highest = 0
        self.orders = []

    def ask(self, method, target, *, limit):
        if not self.responds:
            raise NotSent("no connection")
        return {"state": self.state}

    def send(self, request, limit):
        order = json.loads(request.body)
        if self.checks and order["fencing_number"] < self.highest:
            return EndpointResponse(409, (), b"{}")
        self.highest = max(self.highest, order["fencing_number"])
        self.orders.append(order)
        self.state[order["kind"]] = order["value"]
        return EndpointResponse(200, (), b"{}")

    def endpoint(self):
        instance = Instance(
            "engine-1",
            Role.ENDPOINT,
            "zone-a",
            Address("127.0.0.1", 1),
            service="reports",
            checks_fencing=self.checks,
        )
        return Endpoint(instance, self)


def _permits(number, count=1000):
    left = iter(range(count))

    def permit(checks_fencing):
        if next(left, None) is None:
            raise LeaseNotHeld("lost")
        return Permit(number, timedelta(seconds=9))

    return permit


def test_engine_in_its_desired_state_gets_no_order():
    engine = FakeEngine(state={"load_model": "reports"})
    assert EngineOrders(_permits(7)).reconcile([(engine.endpoint(), DESIRED)]) == 0
    assert engine.orders == []


def test_fencing_engine_in_its_desired_state_gets_the_new_number_once():
    """Until it has the new number it would apply the former leader's orders."""
    engine = FakeEngine(checks=True, state={"load_model": "reports"})
    orders = EngineOrders(_permits(7))
    engines = [(engine.endpoint(), DESIRED)]
    assert [orders.reconcile(engines), orders.reconcile(engines)] == [1, 0]
    assert engine.highest == 7


def test_no_order_is_sent_if_the_lease_is_lost_while_reading():
    """The process is paused between reading an engine's state and sending the order.

    The lease was valid before the read. Without a second check the order would be
    sent after the next leader's.
    """
    engine = FakeEngine()
    with pytest.raises(LeaseNotHeld):
        EngineOrders(_permits(7, count=1)).reconcile([(engine.endpoint(), DESIRED)])
    assert engine.orders == []


def test_higher_number_aborts_the_remaining_orders():
    """Another entry is the leader already; further orders would be rejected."""
    fenced, next_one = FakeEngine(checks=True), FakeEngine()
    fenced.highest = 8
    engines = [(fenced.endpoint(), DESIRED), (next_one.endpoint(), DESIRED)]
    with pytest.raises(OrderFenced):
        EngineOrders(_permits(7)).reconcile(engines)
    assert next_one.orders == []


def test_unreachable_engine_does_not_block_the_others():
    unreachable, other = FakeEngine(responds=False), FakeEngine()
    engines = [(unreachable.endpoint(), DESIRED), (other.endpoint(), DESIRED)]
    assert EngineOrders(_permits(7)).reconcile(engines) == 1
    assert other.state == {"load_model": "reports"}
