"""Evidence about a response that does not go on, by a manual clock."""

from datetime import timedelta
from types import SimpleNamespace

from sassafrasdale.clock import ManualClock
from sassafrasdale.decisions.silence import STALL_TIME, SilenceCause, StartHedge
from sassafrasdale.deployment import Endpoint, EndpointState
from sassafrasdale.gateway.directory import EndpointRecord
from sassafrasdale.gateway.hedger import CONSIDER_INTERVAL
from sassafrasdale.gateway.silence_watch import SilenceWatch
from sassafrasdale.structures import Address

SECOND = timedelta(seconds=1)
ADDRESS = Address("127.0.0.1", 1)


class Partition:
    """A gateway without links to endpoints, and a stream that has stalled.

    :param is_forwarded: whether a peer forwards the stream; else it was sent directly,
        before the link was lost.
    :param responds: whether peers reach the endpoint that could take over.
    """

    def __init__(self, *, is_forwarded: bool, responds: bool = True) -> None:
        self.clock = ManualClock()
        self._responds = responds
        self.first = self._record("i-0")
        self.second = self._record("i-1")
        self._watch = SilenceWatch(
            self.first,
            lambda: [self.second],
            lambda record: not is_forwarded,
            self,
            self.clock,
            is_engine=True,
        )
        self._watch.note_progress()

    def begin_checks(self, records) -> None:
        """Ask peers, which answer at once."""
        if self._responds:
            for record in records:
                record.note_reached_by_peer(self.clock.elapsed())

    def can_check(self, record) -> bool:
        """Return whether a check shows that an endpoint responds."""
        return True

    def hedge_cause(self, limit: timedelta) -> tuple[SilenceCause, timedelta] | None:
        """Return why and when a hedge is justified; None if none is in time."""
        while self.clock.elapsed() < limit:
            self.clock.advance(CONSIDER_INTERVAL)
            match self._watch.judge():
                case StartHedge(cause):
                    return cause, self.clock.elapsed()
        return None

    def may_take_over(self) -> bool:
        """Return whether a hedge may go to the other endpoint."""
        return self.second.name not in self._watch.unresponsive()

    def _record(self, name: str) -> EndpointRecord:
        endpoint = Endpoint(
            name, "models", ADDRESS, "a", EndpointState.READY, 6, version="v1"
        )
        return EndpointRecord(endpoint, SimpleNamespace(received_at=None))


def test_what_peers_reach_is_evidence_for_a_forwarded_stream():
    """Guards against streams of a partitioned gateway that are never hedged."""
    partition = Partition(is_forwarded=True)
    assert partition.hedge_cause(8 * SECOND) == (SilenceCause.ENDPOINT, STALL_TIME)
    assert partition.may_take_over()


def test_a_forwarded_stream_is_waited_for_where_peers_reach_nothing():
    """Guards against hedges of all forwarded streams in a stall of all endpoints."""
    partition = Partition(is_forwarded=True, responds=False)
    assert partition.hedge_cause(8 * SECOND) is None
    assert not partition.may_take_over()


def test_what_peers_reach_does_not_show_that_the_own_link_works():
    """Guards against direct streams that wait behind a link that others don't need."""
    partition = Partition(is_forwarded=False)
    partition.clock.advance(SECOND / 2)
    partition.first.note_reached_by_peer(partition.clock.elapsed())
    assert partition.hedge_cause(8 * SECOND) == (SilenceCause.LINK, SECOND)
