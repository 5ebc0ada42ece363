"""Figures of zone failures: load on endpoints, and results for callers."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from types import MappingProxyType

from bench.admission.fleets import LIMIT, NONE, OURS, Policy
from bench.admission.measures import (
    in_time_share,
    latency,
    peak_per_second,
    rate,
)
from bench.admission.replay import Ending, Result
from bench.admission.scenarios import DOWN, UP, capacity_rate, zone_fails
from bench.admission.traces import GENERATION

PEAK_WIDTH = 0.5
"""Length of the windows in which a peak is counted, in seconds."""

NO_SLOW_START = timedelta(microseconds=1)

STORM_POLICIES: Mapping[str, Policy] = MappingProxyType(
    {
        "ours": OURS,
        "without retry budget": replace(OURS, budget=None),
        "without ejection": replace(OURS, health=None),
        "without both": replace(OURS, health=None, budget=None),
        "without slow start": replace(
            OURS, health=replace(OURS.health, slow_start=NO_SLOW_START)
        ),
        "no admission": NONE,
        "shared counter": LIMIT,
    }
)


@dataclass(frozen=True, slots=True)
class Storm:
    """The figures of the failure and recovery of zones.

    :param sends: attempts at endpoints while the zones are down, as a multiple of
        the requests offered.
    :param peak: maximum attempts within half a second after the failure, likewise.
    :param return_peak: the same after the recovery.
    :param in_time_down: share in time of the requests that arrive during the failure.
    :param in_time_up: of those that arrive within 20 s after the recovery.
    :param in_time: of all.
    :param failed: requests that ended with an error.
    :param late_p99: p99 of the response times after the recovery, in seconds.
    """

    sends: float
    peak: float
    return_peak: float
    in_time_down: float
    in_time_up: float
    in_time: float
    failed: float
    late_p99: float


def measure_storm(policy: Policy, load: float, **others) -> Storm:
    """Replay the failure of zones and return its figures."""
    result = zone_fails(policy, load, **others)
    offered = capacity_rate(GENERATION) * load
    return Storm(
        sends=rate(result.attempts, DOWN, UP) / offered,
        peak=peak_per_second(result.attempts, DOWN, PEAK_WIDTH) / offered,
        return_peak=peak_per_second(result.attempts, UP, PEAK_WIDTH) / offered,
        in_time_down=_in_time(result, DOWN, UP),
        in_time_up=_in_time(result, UP, UP + 20),
        in_time=in_time_share(result),
        failed=sum(out.ending is Ending.FAILED for out in result.outcomes),
        late_p99=latency(result, 0.99, UP),
    )


def _in_time(result: Result, start: float, end: float) -> float:
    return in_time_share(result, lambda request: start <= request.arrival < end)
