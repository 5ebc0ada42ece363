"""The outcome of streams in each kind of reclaim."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from standins.callers import MODEL, Balancer, CallerPool, busiest_engine, start_fleet
from standins.fleet import Fleet

STREAMS = 24
STEP_MS = 60.0
TOKENS = 150
NOTICE_SECONDS = 5.0
DURING_NOTICE_SECONDS = 2.0
"""Streams need 9 s, so that a new one can't finish within a notice of 5 s."""


@dataclass(frozen=True, slots=True)
class Case:
    """One kind of reclaim.

    :param name: its name in the table.
    :param trigger: causes it.
    :param tokens: length of each response.
    """

    name: str
    trigger: Callable[[Fleet], None]
    tokens: int = TOKENS


@dataclass(frozen=True, slots=True)
class Result:
    """The outcome of a case's streams."""

    name: str
    complete: int
    restarted: int
    resumed: int
    generated: int
    recomputed: int
    max_gaps: tuple[float, ...]

    def row(self) -> str:
        """Return the table's row."""
        median = self.max_gaps[len(self.max_gaps) // 2]
        return (
            f"| {self.name} | {self.complete} of {STREAMS} | {self.restarted} | "
            f"{self.resumed} | {self.generated} | {self.recomputed} | "
            f"{median:.2f} | {self.max_gaps[-1]:.2f} |"
        )


def run(case: Case) -> Result:
    """Run one case and return the outcome of its streams."""
    with (
        start_fleet(step_ms=STEP_MS) as fleet,
        CallerPool(Balancer(fleet.entries)) as callers,
    ):
        callers.stream(STREAMS, case.tokens)
        callers.wait_until_running(events=10)
        case.trigger(fleet)
        callers.faults(may_restart=True)
        counts = [
            engine.counts()
            for engine in fleet.endpoints_of(MODEL)
            if engine.return_code is None
        ]
    streams = callers.streams
    return Result(
        case.name,
        complete=sum(not stream.faults() for stream in streams),
        restarted=sum(stream.restarted for stream in streams),
        resumed=sum(stream.resumed for stream in streams),
        generated=sum(each["generated_tokens"] for each in counts),
        recomputed=sum(each["recomputed_tokens"] for each in counts),
        max_gaps=tuple(sorted(stream.longest_pause for stream in streams)),
    )


def _refuse_export(fleet: Fleet) -> None:
    engine = busiest_engine(fleet)
    engine.set_faults(outage="refuse")
    fleet.reclaim(engine.name, NOTICE_SECONDS)


def _reclaim_two_zones(fleet: Fleet) -> None:
    fleet.reclaim_zone("zone-a", NOTICE_SECONDS)
    time.sleep(DURING_NOTICE_SECONDS)
    fleet.reclaim_zone("zone-b", NOTICE_SECONDS)


def _silence_connections(fleet: Fleet) -> None:
    for engine in fleet.endpoints_of(MODEL):
        engine.set_faults(silence_connections=True)


def _kill_during_notice(fleet: Fleet) -> None:
    entry = fleet.entries[0]
    fleet.platform.give_notice(entry.name, NOTICE_SECONDS)
    time.sleep(DURING_NOTICE_SECONDS)
    entry.kill()


def _reclaim_engine(fleet: Fleet) -> None:
    fleet.reclaim(busiest_engine(fleet).name, NOTICE_SECONDS)


CASES = (
    Case("no reclaim", lambda fleet: None),
    Case("engine, 5 s, streams fit", _reclaim_engine, tokens=50),
    Case("engine, 5 s, streams don't fit", _reclaim_engine),
    Case("engine, 5 s, export refused", _refuse_export),
    Case(
        "engine, killed", lambda fleet: fleet.kill_instance(busiest_engine(fleet).name)
    ),
    Case("zone, 5 s", lambda fleet: fleet.reclaim_zone("zone-a", NOTICE_SECONDS)),
    Case("two zones, 2 s apart, 5 s each", _reclaim_two_zones),
    Case(
        "entry, 5 s",
        lambda fleet: fleet.reclaim(fleet.entries[0].name, NOTICE_SECONDS),
    ),
    Case("entry, killed 2 s into its notice", _kill_during_notice),
    Case("entry, killed", lambda fleet: fleet.entries[0].kill()),
    Case("connections to engines silent", _silence_connections),
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
