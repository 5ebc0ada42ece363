"""Tests of the plan for streams on an endpoint that is being reclaimed."""

from datetime import timedelta

import pytest

from sassafrasdale.decisions.reclaims import (
    plan_stream,
    plan_streams,
    recomputed_tokens,
)
from sassafrasdale.decisions.structures import (
    KeepInPlace,
    MoveCache,
    ReclaimPolicy,
    Recompute,
    StreamTarget,
    StreamView,
)

POLICY = ReclaimPolicy()
TARGET = StreamTarget("b")


def _stream(name: str = "s", context: int = 8000, remaining: int = 1000) -> StreamView:
    return StreamView(name, context, remaining, timedelta(milliseconds=30))


@pytest.mark.parametrize(
    ("seconds", "expected"),
    [(60, KeepInPlace()), (10, MoveCache("b")), (1, Recompute("b", 8000))],
)
def test_plan_fits_the_notice(seconds, expected):
    plan = plan_stream(_stream(), timedelta(seconds=seconds), TARGET, POLICY)
    assert plan == expected


def test_recomputes_only_tokens_missing_in_the_target():
    target = StreamTarget("b", cached_tokens=6000)
    plan = plan_stream(_stream(), timedelta(seconds=1), target, POLICY)
    assert recomputed_tokens([plan]) == 2000


def test_stays_where_there_is_no_target():
    plan = plan_stream(_stream(), timedelta(seconds=10), None, POLICY)
    assert plan == KeepInPlace(finishes_in_time=False)


def test_moves_share_the_link_longest_context_first():
    """Guards against recomputing every stream though some could be moved.

    Planned separately, each transfer fits before the reclaim; together they don't, and
    the endpoint is reclaimed while all are in progress.
    """
    streams = [_stream(str(n), context=n * 10_000) for n in range(1, 11)]
    plans = plan_streams(streams, timedelta(seconds=5), lambda _: TARGET, POLICY)
    moved = {name for name, plan in plans.items() if isinstance(plan, MoveCache)}
    assert moved == {"10", "8"}
