"""What the silence of an endpoint says of the link to it."""

from datetime import timedelta

import pytest

from sassafrasdale.decisions.links import Reachability
from sassafrasdale.green import sleep, spawn
from tests.gateway.world import ScriptedEndpoint, World, request, respond_with

STEP = timedelta(milliseconds=10)
# The silence, the check, and the time in which a request here may go on.
DIAGNOSED_AFTER = timedelta(seconds=1.6)


class StalledEndpoint:
    """An endpoint with a request of a gateway, whose peers are asked for it.

    :param ends_as_peers_check: whether its stall ends before the peers' checks.
    """

    def __init__(self, *, ends_as_peers_check):
        self.is_stalled = True
        self.asked = 0
        self._ends = ends_as_peers_check
        self.world = World()
        self.world.add("i-1", "records", ScriptedEndpoint(self._answer))
        self.world.forwarders.ask = self._ask_peers
        self._task = spawn(self.world.links.run)

    def _answer(self, sock, received):
        while self.is_stalled:
            sleep(STEP)
        sleep(STEP)
        respond_with()(sock, received)

    def _ask_peers(self, name):
        self.asked += 1
        self.is_stalled = not self._ends
        return {"front-a-2": Reachability.REACHED}

    def is_link_lost(self):
        caller = self.world.caller()
        caller.send(request("/reports/open/1"))
        sleep(DIAGNOSED_AFTER)
        record = self.world.directory.records["i-1"]
        return self.world.links.is_partitioned(record)

    def close(self):
        self.is_stalled = False
        self._task.kill()


@pytest.mark.parametrize("ends", [True, False])
def test_a_link_is_lost_only_if_the_endpoint_stays_silent(ends):
    """Guards against links given up as a stall ends, between two checks of it."""
    endpoint = StalledEndpoint(ends_as_peers_check=ends)
    assert endpoint.is_link_lost() == (not ends)
    assert endpoint.asked
    endpoint.close()
