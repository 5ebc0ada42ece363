"""What becomes of streams in each kind of reclaim."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from standins.callers import MODEL, Balancer, Crowd, busiest, start_fleet
from standins.fleet import Fleet

STREAMS = 24
STEP_MS = 60.0
TOKENS = 150
NOTICE_SECONDS = 5.0
HALF_WAY_SECONDS = 2.0
"""Streams need 9 s, so that those of a fresh notice of 5 s don't fit."""


@dataclass(frozen=True, slots=True)
class Case:
    """One kind of reclaim.

    :param name: what the table calls it.
    :param strike: brings it about.
    :param tokens: length of each answer.
    """

    name: str
    strike: Callable[[Fleet], None]
    tokens: int = TOKENS


@dataclass(frozen=True, slots=True)
class Result:
    """What became of the streams of a case."""

    name: str
    whole: int
    lost: int
    resumed: int
    generated: int
    recomputed: int
    pauses: tuple[float, ...]

    def row(self) -> str:
        """Return the table's row."""
        median = self.pauses[len(self.pauses) // 2]
        return (
            f"| {self.name} | {self.whole} of {STREAMS} | {self.lost} | "
            f"{self.resumed} | {self.generated} | {self.recomputed} | "
            f"{median:.2f} | {self.pauses[-1]:.2f} |"
        )


def run(case: Case) -> Result:
    """Run one case and return what became of its streams."""
    with start_fleet(step_ms=STEP_MS) as fleet, Crowd(Balancer(fleet.entries)) as crowd:
        crowd.stream(STREAMS, case.tokens)
        crowd.wait_until_running(events=10)
        case.strike(fleet)
        crowd.faults(may_restart=True)
        counts = [
            engine.counts()
            for engine in fleet.of_service(MODEL)
            if engine.return_code is None
        ]
    streams = crowd.streams
    return Result(
        case.name,
        whole=sum(not stream.faults() for stream in streams),
        lost=sum(stream.restarted for stream in streams),
        resumed=sum(stream.resumed for stream in streams),
        generated=sum(each["generated_tokens"] for each in counts),
        recomputed=sum(each["recomputed_tokens"] for each in counts),
        pauses=tuple(sorted(stream.longest_pause for stream in streams)),
    )


def _refuse_export(fleet: Fleet) -> None:
    engine = busiest(fleet)
    engine.set_faults(outage="refuse")
    fleet.reclaim(engine.name, NOTICE_SECONDS)


def _two_zones(fleet: Fleet) -> None:
    fleet.reclaim_zone("zone-a", NOTICE_SECONDS)
    time.sleep(HALF_WAY_SECONDS)
    fleet.reclaim_zone("zone-b", NOTICE_SECONDS)


def _silence(fleet: Fleet) -> None:
    for engine in fleet.of_service(MODEL):
        engine.set_faults(silence_connections=True)


def _kill_half_way(fleet: Fleet) -> None:
    entry = fleet.entries[0]
    fleet.platform.give_notice(entry.name, NOTICE_SECONDS)
    time.sleep(HALF_WAY_SECONDS)
    entry.kill()


def _one(fleet: Fleet) -> None:
    fleet.reclaim(busiest(fleet).name, NOTICE_SECONDS)


CASES = (
    Case("no reclaim", lambda fleet: None),
    Case("engine, 5 s, streams fit", _one, tokens=50),
    Case("engine, 5 s, streams don't fit", _one),
    Case("engine, 5 s, export refused", _refuse_export),
    Case("engine, killed", lambda fleet: fleet.take(busiest(fleet).name)),
    Case("zone, 5 s", lambda fleet: fleet.reclaim_zone("zone-a", NOTICE_SECONDS)),
    Case("two zones, 2 s apart, 5 s each", _two_zones),
    Case(
        "entry, 5 s",
        lambda fleet: fleet.reclaim(fleet.entries[0].name, NOTICE_SECONDS),
    ),
    Case("entry, killed 2 s into its notice", _kill_half_way),
    Case("entry, killed", lambda fleet: fleet.entries[0].kill()),
    Case("connections to engines silent", _silence),
)


def measure() -> None:
    """Run every case and print the table."""
    print(
        "| reclaim | whole | lost and asked anew | resumptions | tokens generated "
        "by live engines | recomputed | longest pause, median (s) | worst (s) |"
    )
    print("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
    for case in CASES:
        print(run(case).row(), flush=True)
