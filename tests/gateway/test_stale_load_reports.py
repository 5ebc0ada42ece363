"""Placement by eight gateways whose reports of each other are 0.4 s old."""

from dataclasses import replace
from statistics import fmean

import pytest

from bench.placement.model import REPORTS, RunSettings
from bench.placement.run import Mechanisms, play

SEEDS = range(2)
# A third of the engines takes 1.3 times as long; the load is that of a burst.
SETTING = RunSettings(slowness=(1, 1, 1.3, 1, 1), load=1.3, seconds=40)


def late_share(mechanisms: Mechanisms) -> float:
    rows = [play(SETTING, seed, mechanisms) for seed in SEEDS]
    return fmean(row.late["report"] for row in rows)


@pytest.mark.timeout(60)
def test_outdated_loads_do_not_send_all_to_one_engine():
    """Report requests would be late for a whole minute, with engines half idle.

    Workload: 57 prompts a second in groups of three, heavy-tailed sizes, eight
    gateways. Each knows the others' load of 0.2 s ago, and all choose one engine.
    """
    assert late_share(Mechanisms()) < 0.7 * late_share(
        Mechanisms(noise=0, age_reports=False)
    )


@pytest.mark.timeout(60)
def test_fetched_parts_are_not_prefilled_again():
    """Engines would spend a tenth of their time on prefixes that others have computed.

    Workload: 17 reports a second with 117 shared prefixes of 4,870 tokens, on engines
    with empty KV caches. At least a third of the repeated prefill is fetched instead;
    for the rest, the engine that is asked does not have the prefix.
    """
    setting = replace(SETTING, kinds=(REPORTS,))
    recomputed = {
        fetch: sum(
            play(setting, seed, Mechanisms(fetch=fetch)).recomputed_tokens
            for seed in SEEDS
        )
        for fetch in (False, True)
    }
    assert recomputed[True] < 0.75 * recomputed[False]
