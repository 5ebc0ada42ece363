"""Orders to engines at the moment in which the duty is lost."""

import json
from datetime import timedelta

import pytest

from sassafrasdale.coordination.exceptions import LeaseNotHeld
from sassafrasdale.coordination.leases import Permit
from sassafrasdale.duties.exceptions import OrderFenced
from sassafrasdale.duties.orders import EngineOrders, WantedState
from sassafrasdale.endpoints.adapters import EndpointAnswer
from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.endpoints.exceptions import NotSent
from sassafrasdale.structures import Address, Instance, Role

WANTED = WantedState("load_model", "reports")


class FakeEngine:
    """Engine that keeps the last order, and checks its number if it is told to."""

    def __init__(self, *, checks=False, state=None, answers=True):
        self.checks = checks
        self.state = dict(state or {})
        self.answers = answers
        self.highest = 0
        self.orders = []

    def ask(self, method, target, *, limit):
        if not self.answers:
            raise NotSent("no connection")
        return {"state": self.state}

    def send(self, request, limit):
        order = json.loads(request.body)
        if self.checks and order["fencing_number"] < self.highest:
            return EndpointAnswer(409, (), b"{}")
        self.highest = max(self.highest, order["fencing_number"])
        self.orders.append(order)
        self.state[order["kind"]] = order["value"]
        return EndpointAnswer(200, (), b"{}")

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


def test_engine_that_is_right_gets_no_order():
    engine = FakeEngine(state={"load_model": "reports"})
    assert EngineOrders(_permits(7)).bring([(engine.endpoint(), WANTED)]) == 0
    assert engine.orders == []


def test_checking_engine_that_is_right_learns_the_new_number_once():
    """Until it has heard the new number it would take the former holder's order."""
    engine = FakeEngine(checks=True, state={"load_model": "reports"})
    orders = EngineOrders(_permits(7))
    engines = [(engine.endpoint(), WANTED)]
    assert [orders.bring(engines), orders.bring(engines)] == [1, 0]
    assert engine.highest == 7


def test_lease_lost_while_an_engine_is_read_sends_no_order():
    """The process is paused between reading an engine and sending the order.

    The look at the lease before the reading was right. Without another one the
    order would go out after the successor's.
    """
    engine = FakeEngine()
    with pytest.raises(LeaseNotHeld):
        EngineOrders(_permits(7, count=1)).bring([(engine.endpoint(), WANTED)])
    assert engine.orders == []


def test_higher_number_ends_the_round():
    """Another entry has the duty already; further orders would only be refused."""
    fenced, next_one = FakeEngine(checks=True), FakeEngine()
    fenced.highest = 8
    engines = [(fenced.endpoint(), WANTED), (next_one.endpoint(), WANTED)]
    with pytest.raises(OrderFenced):
        EngineOrders(_permits(7)).bring(engines)
    assert next_one.orders == []


def test_engine_out_of_reach_does_not_keep_the_others_waiting():
    silent, other = FakeEngine(answers=False), FakeEngine()
    engines = [(silent.endpoint(), WANTED), (other.endpoint(), WANTED)]
    assert EngineOrders(_permits(7)).bring(engines) == 1
    assert other.state == {"load_model": "reports"}
