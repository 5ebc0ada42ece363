"""Tests of the simulated admission scenarios against their expected outcomes."""

import pytest

from bench.admission.catalogue import SCENARIOS
from bench.admission.fleets import OURS
from bench.admission.outcomes import Outcome, find_faults, load_outcomes


@pytest.mark.parametrize(
    "outcome", load_outcomes(), ids=lambda out: f"{out.situation}, {out.measure}"
)
def test_outcome_is_met(outcome: Outcome):
    assert list(find_faults(outcome)) == []


def test_replay_gives_the_same_result_every_time():
    first, second = (SCENARIOS["callers come back"](OURS) for _ in range(2))
    assert first.attempts == second.attempts
    assert first.outcomes == second.outcomes


def test_outcome_that_is_not_met_is_found():
    result = SCENARIOS["generations at 1x"](OURS)
    outcome = Outcome("generations at 1x", "useful", 1.1, ("fixed limit",), 0.1)
    faults = list(find_faults(outcome, lambda situation, policy: result))
    assert len(faults) == 2
