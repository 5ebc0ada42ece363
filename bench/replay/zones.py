"""The reclaim of an availability zone in a replay."""

from datetime import timedelta
from typing import TYPE_CHECKING

from bench.replay.engines import MODEL, FakeEngine, Job
from bench.replay.entries import LIMIT, OURS, Entry, Flight
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
    """Takes a zone's engines away, and lets entries save what runs there.

    :param replay: the replay.
    :param policy: constants of the reclaims.
    """

    def __init__(self, replay: "Replay", policy: ReclaimPolicy) -> None:
        self._replay = replay
        self._policy = policy

    def notify(self) -> None:
        """Give notice, and have each entry plan its streams."""
        engines = self._zone_engines()
        self._replay.leaving = {engine.name for engine in engines}
        self._replay.set_endpoints()
        if self._replay.way not in (OURS, LIMIT):
            return
        for engine in engines:
            for entry in self._replay.entries:
                self._save(entry, engine)

    def leave(self) -> None:
        """Take the engines away with all that is left on them."""
        engines = self._zone_engines()
        self._replay.gone = {engine.name for engine in engines}
        # The engines stop first: a request taken off one that runs would start
        # the next that waits, which then counts as computed there.
        for engine in engines:
            engine.leave()
            for entry in self._replay.entries:
                entry.forget(engine)
        for entry in self._replay.entries:
            lost = [f for f in entry.flights.values() if f.engine in engines]
            for flight in lost:
                self._replay.lost(entry, flight)

    def come_back(self) -> None:
        """Give the engines back, with empty caches."""
        self._replay.gone = set()
        self._replay.leaving = set()
        self._replay.set_endpoints()

    def _zone_engines(self) -> list[FakeEngine]:
        zone = self._replay.scenario.reclaimed_zone
        return [
            e for e in (*self._replay.models, *self._replay.plains) if e.zone == zone
        ]

    def _save(self, entry: Entry, engine: FakeEngine) -> None:
        """Plan the streams of an entry on a leaving engine, and act on the plan."""
        flights = [f for f in entry.flights.values() if f.engine is engine]
        flights = [f for f in flights if not f.request.is_lookup]
        if not flights:
            return
        now = self._replay.events.now
        by_id = {str(flight.request.number): flight for flight in flights}
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

        share = len(flights) / max(len(flights), engine.load)
        plans = plan_streams(
            [self._stream(flight) for flight in flights],
            timedelta(seconds=self._replay.scenario.notice),
            choose_target,
            self._policy,
            share,
        )
        for request_id, plan in plans.items():
            flight = by_id[request_id]
            match plan:
                case MoveCache():
                    self._move(entry, flight, targets[request_id])
                case Recompute():
                    self._replay.take_off(entry, flight)
                    self._replay.send(entry, flight)

    def _stream(self, flight: Flight) -> StreamView:
        job = flight.job
        done = job.generated(self._replay.events.now)
        return StreamView(
            str(flight.request.number),
            job.prompt_tokens + done if job.first_at is not None else 0,
            job.tokens - done,
            timedelta(seconds=job.token_delay or MODEL.token_delay * 1.4),
        )

    def _move(self, entry: Entry, flight: Flight, target: FakeEngine) -> None:
        source = flight.engine
        context = flight.job.prompt_tokens + flight.job.generated(
            self._replay.events.now
        )
        done_at = source.move_done_at(context)
        self._replay.events.at(done_at, self._moved, entry, flight, flight.job, target)

    def _moved(
        self, entry: Entry, flight: Flight, job: Job, target: FakeEngine
    ) -> None:
        if flight.job is not job or job.dropped:
            return
        if entry.flights.get(flight.request.number) is not flight:
            return
        self._replay.take_off(entry, flight)
        self._replay.submit(entry, flight, target, ready=True)
