"""When a gateway tries to acquire the lease for the leader duties."""

from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.decisions.rollouts import RolloutOrder
from sassafrasdale.gateway.duties import (
    AGGREGATOR_PRIORITY,
    OLDER_GATEWAY_PRIORITY,
    Duties,
)
from sassafrasdale.gateway.usage import ClusterTime
from sassafrasdale.green import sleep, spawn
from sassafrasdale.platform.settings import decode_settings
from tests.gateway.fleets import no_rollouts
from tests.platform.documents import settings

SECOND = timedelta(seconds=1)


class FakePeering:
    """Fake of the peer state that a gateway sees."""

    def __init__(self):
        self.has_leader = True
        self.has_older = False
        self.is_aggregator = False

    def knows_leader(self):
        return self.has_leader

    def may_have_older_gateway(self, incarnation):
        return self.has_older


class LeaseRequested(Exception):
    """The store received a call for the lease."""


class Store:
    """A store that raises an error on each read."""

    def get(self, key):
        raise LeaseRequested


class World:
    """The duties of one gateway with a fake of its peers."""

    def __init__(self):
        self.clock = ManualClock()
        self.peers = FakePeering()
        self.duties = Duties(
            decode_settings(settings()),
            Store(),
            self.peers,
            tuple,
            no_rollouts(self.clock),
            ClusterTime(self.clock),
            self.clock,
            Random(1),
            1,
        )

    def requests_lease(self):
        try:
            self.duties._lease.step()
        except LeaseRequested:
            return True
        return False


@pytest.fixture
def world():
    return World()


def test_no_lease_is_requested_while_there_is_a_leader(world):
    world.clock.advance(60 * SECOND)
    assert not world.requests_lease()
    assert world.duties.claim() is None


def test_aggregators_request_the_lease_at_once(world):
    world.requests_lease()
    world.peers.has_leader = False
    world.peers.is_aggregator = True
    assert world.requests_lease()


def test_other_gateways_leave_the_lease_to_aggregators_at_first(world):
    """Guards against a lease that no gateway can acquire.

    After the leader is killed, two hundred gateways request the lease at the same
    moment, and the store's rate limit rejects them all.
    """
    world.clock.advance(10 * SECOND)
    world.requests_lease()
    world.peers.has_leader = False
    assert not world.requests_lease()
    world.clock.advance(AGGREGATOR_PRIORITY)
    assert world.requests_lease()


def test_a_new_gateway_leaves_the_lease_to_older_ones(world):
    world.peers.has_leader = False
    world.peers.is_aggregator = True
    world.peers.has_older = True
    assert not world.requests_lease()
    world.clock.advance(OLDER_GATEWAY_PRIORITY)
    assert world.requests_lease()


def test_no_lease_is_requested_for_rollouts_before_the_first_one():
    """Guards against needless calls to the store."""
    clock = ManualClock()
    duties = Duties(
        decode_settings(settings(cloud=None)),
        Store(),
        FakePeering(),
        tuple,
        no_rollouts(clock),
        ClusterTime(clock),
        clock,
        Random(1),
        1,
    )
    runs = []
    duties._lease.run = lambda: runs.append(True)
    for task in duties.tasks():
        spawn(task)
    sleep()
    assert not runs
    order = RolloutOrder("records", "v2", SECOND)
    duties._rollouts.add_order(order, 5, is_live=True)
    sleep()
    assert runs
