"""The reclaim of an availability zone in a replay."""

from datetime import timedelta
from typing import TYPE_CHECKING

from bench.replay.engines import MODEL, FakeEngine, Job
from bench.replay.entries import LIMIT, OURS, Entry, PendingRequest
from sassafrasdale.decisions.reclaims import plan_streams
from sassafrasdale.decisions.structures import (
    MoveCache,
    ReclaimPolicy,
    Recompute,
    StreamTarget,
    StreamView,
)

if TYPE_CHECKING:
    from bench.replay.simulation import Replay


class ZoneReclaim:
    """Reclaims a zone's engines, after entries had time to migrate their streams.

    :param replay: the replay.
    :param policy: constants of the reclaim decisions.
    """

    def __init__(self, replay: "Replay", policy: ReclaimPolicy) -> None:
        self._replay = replay
        self._policy = policy

    def notify(self) -> None:
        """Give notice, and let each entry plan the migration of its streams."""
        engines = self._zone_engines()
        self._replay.leaving = {engine.name for engine in engines}
        self._replay.set_endpoints()
        if self._replay.strategy not in (OURS, LIMIT):
            return
        for engine in engines:
            for entry in self._replay.entries:
                self._migrate_streams(entry, engine)

    def terminate(self) -> None:
        """Terminate the engines, and reroute the requests left on them."""
        engines = self._zone_engines()
        self._replay.terminated = {engine.name for engine in engines}
        # All engines end first: withdrawing a request from a running engine would
        # start its next waiting request, whose prompt would count as computed there.
        for engine in engines:
            engine.terminate()
            for entry in self._replay.entries:
                entry.forget(engine)
        for entry in self._replay.entries:
            interrupted = [
                f for f in entry.pending_requests.values() if f.engine in engines
            ]
            for pending in interrupted:
                self._replay.reroute(entry, pending)

    def restore(self) -> None:
        """Make the engines available again, with empty caches."""
        self._replay.terminated = set()
        self._replay.leaving = set()
        self._replay.set_endpoints()

    def _zone_engines(self) -> list[FakeEngine]:
        zone = self._replay.scenario.reclaimed_zone
        return [
            e for e in (*self._replay.models, *self._replay.plains) if e.zone == zone
        ]

    def _migrate_streams(self, entry: Entry, engine: FakeEngine) -> None:
        """Plan how an entry's streams leave an engine, and carry the plan out."""
        pending_requests = [
            f for f in entry.pending_requests.values() if f.engine is engine
        ]
        pending_requests = [f for f in pending_requests if not f.request.is_lookup]
        if not pending_requests:
            return
        now = self._replay.events.now
        by_id = {str(pending.request.number): pending for pending in pending_requests}
        targets: dict[str, FakeEngine] = {}

        def choose_target(stream: StreamView) -> StreamTarget | None:
            request = by_id[stream.request_id].request
            routed = entry.route(
                request, self._replay.models, self._replay.leaving, now
            )
            if routed is None:
                return None
            targets[stream.request_id] = routed[0]
            return StreamTarget(routed[0].name, routed[1].cached_tokens)

        own_share = len(pending_requests) / max(len(pending_requests), engine.load)
        plans = plan_streams(
            [self._stream(pending) for pending in pending_requests],
            timedelta(seconds=self._replay.scenario.notice),
            choose_target,
            self._policy,
            own_share,
        )
        for request_id, plan in plans.items():
            pending = by_id[request_id]
            match plan:
                case MoveCache():
                    self._move_cache(entry, pending, targets[request_id])
                case Recompute():
                    self._replay.withdraw(entry, pending)
                    self._replay.send(entry, pending)

    def _stream(self, pending: PendingRequest) -> StreamView:
        job = pending.job
        done = job.generated(self._replay.events.now)
        return StreamView(
            str(pending.request.number),
            job.prompt_tokens + done if job.first_at is not None else 0,
            job.tokens - done,
            timedelta(seconds=job.token_delay or MODEL.token_delay * 1.4),
        )

    def _move_cache(
        self, entry: Entry, pending: PendingRequest, target: FakeEngine
    ) -> None:
        source = pending.engine
        context = pending.job.prompt_tokens + pending.job.generated(
            self._replay.events.now
        )
        done_at = source.reserve_export(context)
        self._replay.events.at(
            done_at, self._finish_move, entry, pending, pending.job, target
        )

    def _finish_move(
        self, entry: Entry, pending: PendingRequest, job: Job, target: FakeEngine
    ) -> None:
        if pending.job is not job or job.cancelled:
            return
        if entry.pending_requests.get(pending.request.number) is not pending:
            return
        self._replay.withdraw(entry, pending)
        self._replay.submit(entry, pending, target, has_kv_cache=True)
