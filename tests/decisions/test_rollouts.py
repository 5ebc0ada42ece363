"""Tests of the steps of a rollout."""

from dataclasses import replace
from datetime import timedelta

import pytest

from sassafrasdale.decisions.rollouts import (
    REPORT_DELAY,
    RolloutAction,
    RolloutView,
    complete_after,
    full_share_after,
    full_share_duration,
    next_action,
)

SECOND = timedelta(seconds=1)
TAKEOVER = 2.5 * SECOND
VIEW = RolloutView(
    duration=30 * SECOND,
    takeover=TAKEOVER,
    is_started=True,
    in_force=False,
    is_rejected=False,
    is_suspect=False,
    age=10 * SECOND,
    full_share_for=None,
    targets=10,
    others=10,
)
LATE = replace(VIEW, age=29 * SECOND, full_share_for=10 * SECOND)


def step(view=VIEW, **changed):
    return next_action(replace(view, **changed))


def test_order_is_reported_as_running_first():
    assert step(is_started=False) is RolloutAction.START
    assert step(is_started=False, is_rejected=True) is RolloutAction.START


def test_deployed_version_is_complete_immediately():
    """Guards against no requests to the service's only endpoints until the deadline."""
    assert step(is_started=False, in_force=True) is RolloutAction.COMPLETE


def test_rejected_version_is_rolled_back_at_any_time():
    assert step(is_rejected=True) is RolloutAction.ROLL_BACK
    assert step(LATE, is_rejected=True) is RolloutAction.ROLL_BACK


def test_good_version_gets_its_full_share_and_is_completed():
    age = full_share_after(VIEW.duration, TAKEOVER)
    assert step(age=age - SECOND) is RolloutAction.WAIT
    assert step(age=age) is RolloutAction.FULL_SHARE
    assert step(age=age + SECOND, full_share_for=SECOND) is RolloutAction.WAIT
    known = full_share_duration(VIEW.duration) + REPORT_DELAY
    assert step(age=age + known, full_share_for=known) is RolloutAction.COMPLETE


def test_suspect_version_is_not_completed():
    """Guards against a bad version for all callers despite evidence from a few."""
    assert step(LATE, is_suspect=True) is RolloutAction.ROLL_BACK
    assert step(is_suspect=True) is RolloutAction.WAIT


def test_waits_for_enough_endpoints_until_the_deadline():
    """The old endpoints stop immediately, so the others must carry the whole load."""
    assert step(LATE, targets=7) is RolloutAction.WAIT
    assert step(LATE, targets=7, age=30 * SECOND) is RolloutAction.ROLL_BACK
    assert step(LATE, targets=8) is RolloutAction.COMPLETE


def test_version_without_endpoints_is_rolled_back_at_the_deadline():
    assert step(targets=0, others=0) is RolloutAction.WAIT
    assert step(targets=0, others=0, age=30 * SECOND) is RolloutAction.ROLL_BACK


@pytest.mark.parametrize("seconds", [2, 6, 12, 20, 30, 120])
def test_there_is_time_left_before_the_deadline(seconds):
    """Guards against a good version that is late since a leader was killed."""
    duration = seconds * SECOND
    assert complete_after(duration, TAKEOVER) <= duration * 0.92
    short = SECOND / 2
    if seconds >= 8:
        assert complete_after(duration, short) <= duration - 2 * SECOND
    begin = full_share_after(duration, TAKEOVER)
    assert begin >= duration / 2
    done = begin + full_share_duration(duration) + REPORT_DELAY
    if seconds >= 12:
        assert done <= complete_after(duration, TAKEOVER)
        assert complete_after(duration, TAKEOVER) + TAKEOVER < duration
