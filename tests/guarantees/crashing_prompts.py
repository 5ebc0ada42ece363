"""Callers whose prompts hold a part that crashes engines, and sound callers beside."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import sleep, spawn
from standins.gateway_endpoints import PartDefect, Run, StandInEndpoint
from standins.gateway_fleet import ask, status_of
from tests.gateway.world import request
from tests.guarantees.gateway_fleets import (
    RunningFleet,
    add_engines,
    start_gateways,
)

CLOCK = SystemClock()
SECOND = timedelta(seconds=1)
BAD_PART = "bad0"
FIRST_PART = "c0de"
OTHER_PARTS = (FIRST_PART, "d0c1", "d0c2")
LAST_EVENT = b"id: 8\n"
# From this time after the fifth crash on, all connected gateways know.
CONTACT_TIME = 3 * SECOND
KNOWN_CRASHES = 5
MAX_LATE_SENDS = 3
ATTEMPTS = 2
SOUND_CALLERS = 6
SOUND_PAUSE = timedelta(milliseconds=40)


@dataclass(frozen=True, slots=True)
class Served:
    """The first attempt of a request and its response."""

    sent_at: timedelta
    response: bytes

    @property
    def status(self) -> int:
        """Status of the response; 0 if there was none."""
        return status_of(self.response)

    @property
    def is_complete(self) -> bool:
        """Whether it is a stream up to its last event."""
        return self.status == 200 and LAST_EVENT in self.response


@dataclass(frozen=True, slots=True)
class Prompts:
    """Prompts of the two kinds of callers.

    :param bad_at: place of the part that crashes engines.
    :param shared: parts that all requests have in common, in order.
    """

    bad_at: int = 1
    shared: Sequence[str] = OTHER_PARTS

    def bad(self, own: str) -> str:
        """Return a prompt with the part that crashes engines."""
        parts = [*self.shared[: self.bad_at], BAD_PART, *self.shared[self.bad_at :]]
        return _prompt([*parts, own])

    def sound(self, own: str) -> str:
        """Return a prompt with the other parts only."""
        return _prompt([*self.shared, own])


def _prompt(parts: Sequence[str]) -> str:
    return ",".join(f"{part}:60" for part in parts)


class CrashingPrompts(RunningFleet):
    """Gateways, engines that crash on a part of prompts, and callers of both kinds.

    :param defect: which part crashes the engines, and how.
    """

    def __init__(
        self,
        prompts: Prompts,
        defect: PartDefect | None,
        *,
        gateways: int = 3,
        engines: int = 8,
    ) -> None:
        super().__init__()
        self._prompts = prompts
        self._number = 0
        self.engines: list[StandInEndpoint] = add_engines(self.fleet, engines)
        for engine in self.engines:
            engine.part_defect = defect
        start_gateways(self.fleet, gateways)
        self.sound: list[Served] = []
        self.bad: list[Served] = []

    @property
    def crashes(self) -> list[timedelta]:
        """Times of the engines' crashes, in order."""
        return sorted(at for engine in self.engines for at in engine.crashed_at)

    @property
    def bad_runs(self) -> list[Run]:
        """Runs of requests with the part at engines."""
        return [
            run
            for engine in self.engines
            for run in engine.runs
            if run.request_id.startswith("bad")
        ]

    def late_sends(self) -> int:
        """Return the number of such runs once all gateways must know the part."""
        if len(self.crashes) < KNOWN_CRASHES:
            return 0
        known_at = self.crashes[KNOWN_CRASHES - 1] + CONTACT_TIME
        return sum(run.at > known_at for run in self.bad_runs)

    def sound_share(self, since: timedelta, until: timedelta) -> float:
        """Return the fraction of sound requests complete at the first attempt."""
        sent = [each for each in self.sound if since <= each.sent_at < until]
        assert len(sent) >= 20
        return sum(each.is_complete for each in sent) / len(sent)

    def start_sound_callers(self) -> None:
        """Have callers send sound requests until the fleet is closed."""
        for number in range(SOUND_CALLERS):
            spawn(self._send_sound, number)

    def _send_sound(self, caller: int) -> None:
        while self.is_running:
            self._number += 1
            sent_at = CLOCK.elapsed()
            own = f"a{self._number:x}"
            answer = self._ask(
                caller, f"/reports/{own}", f"sound-{own}", self._prompts.sound(own)
            )
            if self.is_running:
                self.sound.append(Served(sent_at, answer))
            sleep(SOUND_PAUSE)

    def send_bad(self, count: int, pause: timedelta, at_once: int = 1) -> None:
        """Send requests with the part, each of them a new one, through all gateways.

        :param at_once: requests that are sent at the same time.
        """
        for _ in range(count):
            for _ in range(at_once):
                self._number += 1
                spawn(self._attempt_bad, self._number)
            sleep(pause)

    def send_rare(self, part: str) -> None:
        """Send a sound request with a part that few requests have."""
        self._number += 1
        own = f"c{self._number:x}"
        prompt = Prompts(shared=(*self._prompts.shared, part)).sound(own)
        spawn(self._ask, self._number, f"/reports/{own}", f"rare-{own}", prompt)

    def _attempt_bad(self, number: int) -> None:
        own = f"b{number:x}"
        prompt = self._prompts.bad(own)
        for attempt in range(ATTEMPTS):
            sent_at = CLOCK.elapsed()
            answer = self._ask(
                number + attempt, f"/reports/{own}", f"bad-{own}-{attempt}", prompt
            )
            served = Served(sent_at, answer)
            if attempt == 0:
                self.bad.append(served)
            if served.status == 503:
                return

    def _ask(self, gateway: int, path: str, request_id: str, prompt: str) -> bytes:
        gateways = self.fleet.gateways
        raw = request(
            path,
            request_id,
            Deadline_Ms="4000",
            Token_Count="240,24",
            Prompt_Prefix=prompt,
        )
        return ask(gateways[gateway % len(gateways)].address, raw)
