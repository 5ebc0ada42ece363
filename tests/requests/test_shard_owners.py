"""Why claims are not kept by a shard owner with a lease: requests may run twice."""

from datetime import timedelta
from random import Random

from sassafrasdale.clock import ManualClock
from sassafrasdale.coordination.leases import LeaseHolder
from tests.coordination.fakes import FakeStore
from tests.coordination.stepping import Program, wait

TTL = timedelta(seconds=10)


class ShardOwner:
    """Shard owner that keeps its keys in memory and sends while its lease permits."""

    def __init__(self, holder: LeaseHolder, runs: list[str]) -> None:
        self.holder = holder
        self._runs = runs
        self._known: set[str] = set()

    def request(self, key: str) -> None:
        """Run ``key`` unless this owner has; it can be paused before sending."""
        if key in self._known:
            return
        self._known.add(key)
        self.holder.permit(checks_fencing=False)
        wait()
        self._runs.append(key)


def test_paused_owner_and_its_successor_both_run_a_request():
    """A shard owner checks its lease, and is paused before it sends a request.

    The lease expires. The new owner waits for that, does not know the key, and runs
    the caller's retry. Then the old owner resumes and sends the request again. A
    plain service checks no fencing number, so nothing prevents the second run.
    """
    clock = ManualClock()
    store = FakeStore(clock)
    runs: list[str] = []
    owners = [
        ShardOwner(LeaseHolder(store, "shard", name, clock, Random(1), TTL), runs)
        for name in ("entry-1", "entry-2")
    ]
    _acquire(owners[0].holder, clock)
    paused = Program(lambda: owners[0].request("date-1"))
    clock.advance(TTL)
    _acquire(owners[1].holder, clock)
    Program(lambda: owners[1].request("date-1")).finish()
    paused.finish()
    assert runs == ["date-1", "date-1"]


def _acquire(holder: LeaseHolder, clock: ManualClock) -> None:
    while holder.state != "holding":
        holder.step()
        clock.advance(TTL / 4)
