"""Model of a day: requests with shared parts, engines that crash, one gateway's view.

Virtual time. The gateway that is looked at hears of strikes at once, but of whole
answers and of what is known to be sound only after the exchange's delay: the worst case
for what is innocent.
"""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from sassafrasdale.decisions.quarantine import StrikeLedger
from sassafrasdale.decisions.strikes import PART_PREFIX, Strike, StrikeState

BAD = PART_PREFIX + "bad"
START_S = 0.2
CRASH_AFTER_S = 0.1
DOWN_S = 1.5
MIN_WRITE_S = 0.2
MAX_WRITE_S = 4.0
SOUND_AFTER_S = 0.5
# From this time after the fifth crash on, sends of the bad part are late.
CONTACT_S = 3.0
KNOWN_CRASHES = 5
SYSTEM_PROMPTS = 5
DOCUMENTS = 200
SESSIONS = 400
MAX_TRIES = 2


@dataclass(frozen=True, slots=True)
class Deployment:
    """What a day is like.

    :param engines: number of engines.
    :param rate: sound requests per second.
    :param bad_rate: requests per second with the part that crashes engines.
    :param crash_rate: crashes of other causes per second.
    :param delay_s: time after which one gateway's news has reached all others.
    :param is_new: whether all gateways have just started and know nothing.
    """

    engines: int = 8
    rate: float = 30.0
    bad_rate: float = 0.0
    crash_rate: float = 0.0
    delay_s: float = 0.5
    is_new: bool = False
    duration_s: float = 60.0


@dataclass(slots=True)
class Outcome:
    """What happened on a day.

    :ivar crashes: times of the crashes under the bad part.
    :ivar late: sends of it that came too late.
    :ivar innocents: sound parts that were quarantined at some time.
    :ivar refused: sound requests that were refused.
    :ivar sent: sound requests.
    """

    crashes: list[float] = field(default_factory=list)
    late: int = 0
    innocents: set[str] = field(default_factory=set)
    refused: int = 0
    sent: int = 0


@dataclass(slots=True)
class _Run:
    name: str
    parts: tuple[str, ...]
    engine: int
    begins_at: float
    ends_at: float
    tries: int = 1
    is_over: bool = False

    @property
    def is_bad(self) -> bool:
        return BAD in self.parts


class Day:
    """One drawn day.

    :param seed: of what is drawn.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._rng = Random(seed)
        self._now = 0.0
        self._ledger = StrikeLedger(now=lambda: self._now)
        self._events: list[tuple[float, int, object]] = []
        self._number = 0
        self._runs: dict[int, list[_Run]] = {n: [] for n in range(deployment.engines)}
        self._down_until = [0.0] * deployment.engines
        self._sound: set[str] = set()
        self.outcome = Outcome()

    def play(self) -> Outcome:
        """Play the day and return what happened."""
        deployment = self._deployment
        if not deployment.is_new:
            self._sound.update(f"{PART_PREFIX}s{n}" for n in range(SYSTEM_PROMPTS))
            self._sound.update(f"{PART_PREFIX}d{n}" for n in range(DOCUMENTS))
        for rate, action in (
            (deployment.rate, self._send_sound),
            (deployment.bad_rate, self._send_bad),
            (deployment.crash_rate, self._crash_any),
        ):
            if rate:
                self._repeat(rate, action)
        while self._events and self._events[0][0] < deployment.duration_s:
            self._now, _, action = heappop(self._events)
            action()
        return self.outcome

    def _at(self, time: float, action: object) -> None:
        self._number += 1
        heappush(self._events, (time, self._number, action))

    def _repeat(self, rate: float, action) -> None:
        def once() -> None:
            action()
            self._at(self._now + self._rng.expovariate(rate), once)

        self._at(self._rng.expovariate(rate), once)

    def _send_sound(self) -> None:
        rng = self._rng
        system = int(SYSTEM_PROMPTS * rng.random() ** 2)
        document = int(DOCUMENTS * rng.random() ** 3)
        parts = [f"{PART_PREFIX}s{system}", f"{PART_PREFIX}d{document}"]
        if rng.random() < 0.5:
            parts.append(f"{PART_PREFIX}t{rng.randrange(SESSIONS)}")
        self._number += 1
        self.outcome.sent += 1
        if self._ledger.quarantined.intersection(parts):
            self.outcome.refused += 1
            self.outcome.innocents.update(self._ledger.quarantined.intersection(parts))
            return
        self._start(f"r{self._number}", tuple(parts), 1)

    def _send_bad(self) -> None:
        system = int(SYSTEM_PROMPTS * self._rng.random() ** 2)
        self._number += 1
        self._start(f"b{self._number}", (f"{PART_PREFIX}s{system}", BAD), 1)

    def _start(self, name: str, parts: tuple[str, ...], tries: int) -> None:
        if not self._ledger.quarantined.isdisjoint((name, *parts)):
            return
        engines = [n for n, until in enumerate(self._down_until) if until <= self._now]
        if not engines:
            return
        begins_at = self._now + START_S
        writes = self._rng.uniform(MIN_WRITE_S, MAX_WRITE_S)
        run = _Run(
            name, parts, self._rng.choice(engines), begins_at, begins_at + writes, tries
        )
        if run.is_bad:
            run.ends_at = begins_at + CRASH_AFTER_S
            self._count_late()
        self._runs[run.engine].append(run)
        self._at(run.ends_at, lambda: self._end(run))
        self._at(begins_at + SOUND_AFTER_S, lambda: self._write(run))

    def _count_late(self) -> None:
        crashes = self.outcome.crashes
        if len(crashes) >= KNOWN_CRASHES:
            self.outcome.late += self._now > crashes[KNOWN_CRASHES - 1] + CONTACT_S

    def _write(self, run: _Run) -> None:
        if not run.is_over:
            self._learn(run.parts)

    def _learn(self, parts: tuple[str, ...]) -> None:
        self._sound.update(parts)
        for part in parts:
            self._at(
                self._now + self._deployment.delay_s,
                lambda part=part: self._ledger.note_sound(part),
            )

    def _end(self, run: _Run) -> None:
        if run.is_over:
            return
        if run.is_bad:
            self.outcome.crashes.append(self._now)
            self._crash(run.engine)
            return
        run.is_over = True
        self._runs[run.engine].remove(run)
        self._learn(run.parts)
        for feature in (run.name, *run.parts):
            self._at(
                self._now + self._deployment.delay_s,
                lambda feature=feature: self._ledger.clear(feature),
            )

    def _crash_any(self) -> None:
        engine = self._rng.randrange(self._deployment.engines)
        if self._down_until[engine] <= self._now:
            self._crash(engine)

    def _crash(self, engine: int) -> None:
        lost, self._runs[engine] = self._runs[engine], []
        self._down_until[engine] = self._now + DOWN_S
        for run in lost:
            run.is_over = True
            self._strike(run)
            if run.tries < MAX_TRIES and self._ledger.may_retry((run.name, *run.parts)):
                self._start(run.name, run.parts, run.tries + 1)

    def _strike(self, run: _Run) -> None:
        begun = run.begins_at < self._now and not run.is_bad
        engine = f"i-{run.engine}"
        # A run that had been written for a while was not ended by its parts.
        was_sound = self._now - run.begins_at >= SOUND_AFTER_S
        for feature in (run.name, *(() if was_sound else run.parts)):
            request = run.name if feature != run.name else ""
            strike = Strike(feature, engine, "v1", begun, self._now, "g", request)
            self._ledger.add(strike)
            if feature in self._sound:
                self._at(
                    self._now + 2 * self._deployment.delay_s,
                    lambda struck=strike: self._ledger.add(
                        struck, StrikeState.KNOWN_SOUND
                    ),
                )
        self.outcome.innocents.update(
            part
            for part in self._ledger.quarantined
            if part.startswith(PART_PREFIX) and part != BAD
        )
