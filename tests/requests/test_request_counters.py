"""Tests of counting requests by outcome."""

from datetime import timedelta
from pathlib import Path

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.metrics import Metrics
from sassafrasdale.requests.request_counters import RequestCounters
from sassafrasdale.requests.structures import Answered, Call, NotRun, Outcome
from sassafrasdale.text.parser import parse_text

EXAMPLE = Path(__file__).parents[2] / "examples" / "authority.yaml"
TEXT = parse_text(EXAMPLE.read_text(encoding="utf-8"))
OBJECTIVE = TEXT.services["reports"].objective
WHOLE = Answered(200, (), b"")
MOMENT = timedelta(milliseconds=1)


@pytest.mark.parametrize(
    ("outcome", "latency", "first_token", "in_time"),
    [
        (WHOLE, OBJECTIVE.latency, OBJECTIVE.first_token, 1),
        (WHOLE, OBJECTIVE.latency + MOMENT, OBJECTIVE.first_token, 0),
        (WHOLE, OBJECTIVE.latency, OBJECTIVE.first_token + MOMENT, 0),
        (Answered(500, (), b""), MOMENT, MOMENT, 0),
        (NotRun("full", timedelta(seconds=1)), MOMENT, None, 0),
    ],
    ids=["in time", "late", "late first token", "failed", "refused"],
)
def test_in_time_means_both_objectives(
    outcome: Outcome, latency: timedelta, first_token: timedelta, in_time: int
):
    """The burn report shows no burn while callers wait long for first tokens.

    It happens if only the time to the complete response is compared to the objective.
    """
    clock = ManualClock()
    clock.advance(timedelta(hours=1))
    ledger = RequestCounters(Metrics("entry-1", "cairo-a"), clock)
    ledger.set_text(TEXT)
    call = Call("id", "cube-labs", "reports", timedelta(hours=2), 3)
    began = ledger.begin(call)
    clock.advance(latency)
    first_token_at = None if first_token is None else began + first_token
    ledger.end(call, outcome, began, first_token_at)
    burns = {each["service"]: each for each in ledger.burn()["services"]}
    window = burns["reports"]["windows"][0]
    assert (window["total"], window["in_time"]) == (1, in_time)
