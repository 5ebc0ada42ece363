"""Simulated rollouts: the outcomes of the requests to two versions, step by step.

A history has a service with some routes, a good baseline version and a canary version,
which is bad in one of several ways, or good while unrelated faults occur.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from sassafrasdale.decisions.canary import Outcomes, OutcomeTable, latency_bucket

STEP = timedelta(milliseconds=500)
SAMPLE_SHARE = 0.05
# Requests of each route, as a fraction of all.
ROUTES = {"r-reports": 0.2, "r-explanations": 0.45, "r-chats": 0.28, "r-rare": 0.07}
MEDIAN_TIMES = {
    "r-reports": 0.3,
    "r-explanations": 0.13,
    "r-chats": 0.1,
    "r-rare": 0.09,
}
SPREAD = 0.6
GROUPS = ("0", "1", "2", "3")
BASELINE = ""
BASE_FAILURE_RATE = 0.01
SORTS = (
    "good",
    "good, cold memory",
    "good, one endpoint fails 0.4",
    "good, all endpoints fail 0.05 for a while",
    "fails 0.15",
    "fails 0.4",
    "fails 0.4 later",
    "fails 0.5 on one rare route",
    "four times slower, half of the answers",
    "four times slower, all answers",
)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The outcomes after one more step.

    :param at: time since the rollout began.
    :param rows: outcomes so far.
    :param bad: responses of the canary so far that its defect made bad.
    """

    at: timedelta
    rows: OutcomeTable
    bad: int


def simulate_rollout(
    sort: str, rng: Random, requests: int, duration: timedelta
) -> Iterator[Snapshot]:
    """Yield the outcomes of a simulated rollout after each step.

    :param sort: one of :data:`SORTS`.
    :param requests: requests to the service over the whole duration.
    """
    rows: dict[tuple[str, str], Outcomes] = {}
    steps = int(duration / STEP)
    bad = 0
    for step in range(steps):
        at = step / steps
        for _ in range(_round_randomly(requests / steps, rng)):
            route = rng.choices(list(ROUTES), list(ROUTES.values()))[0]
            is_canary = rng.random() < SAMPLE_SHARE
            group = rng.choice(GROUPS) if is_canary else BASELINE
            outcomes = rows.setdefault((group, route), Outcomes())
            took = MEDIAN_TIMES[route] * rng.lognormvariate(0, SPREAD)
            fails = rng.random() < _failure_rate(sort, at)
            is_defective = is_canary and _has_defect(sort, route, group, at, rng)
            if is_defective and "slower" in sort:
                took *= 4
            elif is_defective:
                fails = True
            if is_canary and "cold" in sort:
                took *= 1.5
            bad += is_defective and not sort.startswith("good")
            if fails:
                outcomes.failed += 1
                continue
            outcomes.answered += 1
            outcomes.times[latency_bucket(timedelta(seconds=took))] += 1
        yield Snapshot(step * STEP, rows, bad)


def _round_randomly(mean: float, rng: Random) -> int:
    """Round up or down at random, so that the expected value is the mean."""
    return int(mean) + (rng.random() < mean % 1)


def _failure_rate(sort: str, at: float) -> float:
    if "all endpoints" in sort and 0.4 < at < 0.6:
        return BASE_FAILURE_RATE + 0.05
    return BASE_FAILURE_RATE


def _has_defect(sort: str, route: str, group: str, at: float, rng: Random) -> bool:
    match sort:
        case "good, one endpoint fails 0.4":
            return group == GROUPS[0] and rng.random() < 0.4
        case "fails 0.15":
            return rng.random() < 0.15
        case "fails 0.4":
            return rng.random() < 0.4
        case "fails 0.4 later":
            return at > 0.6 and rng.random() < 0.4
        case "fails 0.5 on one rare route":
            return route == "r-rare" and rng.random() < 0.5
        case "four times slower, half of the answers":
            return rng.random() < 0.5
        case "four times slower, all answers":
            return True
    return False
