"""Why claims are not kept by a home that holds a lease: it runs a request twice."""

from datetime import timedelta
from random import Random

from sassafrasdale.clock import ManualClock
from sassafrasdale.coordination.leases import LeaseHolder
from tests.coordination.fakes import FakeStore
from tests.coordination.stepping import Program, wait

TTL = timedelta(seconds=10)


class LeaseHome:
    """Home of a shard that remembers its keys, and sends while it has a permit."""

    def __init__(self, holder: LeaseHolder, runs: list[str]) -> None:
        self.holder = holder
        self._runs = runs
        self._known: set[str] = set()

    def request(self, key: str) -> None:
        """Run ``key`` unless this home has; it can be paused before the send."""
        if key in self._known:
            return
        self._known.add(key)
        self.holder.permit(checks_fencing=False)
        wait()
        self._runs.append(key)


def test_paused_home_and_its_successor_both_run_a_request():
    """A home checks its lease, and is paused before it sends the date hold.

    The lease runs out. The new home waits out the old lease, knows nothing of the
    key, and runs the caller's retry. Then the old home thaws and sends: two holds.
    A plain service checks no fencing number, so nothing stops the second.
    """
    clock = ManualClock()
    store = FakeStore(clock)
    runs: list[str] = []
    homes = [
        LeaseHome(LeaseHolder(store, "shard", name, clock, Random(1), TTL), runs)
        for name in ("entry-1", "entry-2")
    ]
    _settle(homes[0].holder, clock)
    paused = Program(lambda: homes[0].request("date-1"))
    clock.advance(TTL)
    _settle(homes[1].holder, clock)
    Program(lambda: homes[1].request("date-1")).finish()
    paused.finish()
    assert runs == ["date-1", "date-1"]


def _settle(holder: LeaseHolder, clock: ManualClock) -> None:
    while holder.state != "holding":
        holder.step()
        clock.advance(TTL / 4)
